"""``siskinbank check``: validate a configuration before it is sent."""

import click

from siskinbank.config.changes import list_changes
from siskinbank.config.models import DocumentModel
from siskinbank.config.overlay import load_files, remove_unserved
from siskinbank.config.published import load_version
from siskinbank.config.routing import (
    add_routing_warnings,
    check_version,
    list_routing_changes,
    summarize,
)
from siskinbank.kernel.findings import Findings
from siskinbank.platform.routing_document import load_routing

__all__ = ('command',)


@click.command('check')
@click.argument('base', required=False)
@click.argument('overlays', nargs=-1)
@click.option(
    '--routes',
    metavar='NEW',
    help="Routing configuration of the users' platform, a JSON document; in "
    'place of BASE and OVERLAYS.',
)
@click.option(
    '--against',
    metavar='OLD',
    help='Version in force, as printed by `render` or `render --publish`, with '
    '--routes a document like NEW; print what differs.',
)
def command(
    base: str | None,
    overlays: tuple[str, ...],
    routes: str | None,
    against: str | None,
) -> int:
    """Validate BASE merged with the OVERLAYS, or a routing configuration.

    Prints all findings and warnings, one per line:

    \b
        FILE:LINE: path.in.document: problem; correction
        FILE:LINE: path.in.document: warning: problem; correction

    A warning is an entry that has no effect or contradicts another one.

    \b
    Exit codes: 0 if the configuration is valid, also with warnings and
    differences, 1 with findings.
    """
    if routes is not None:
        if base is not None:
            raise click.UsageError(
                '--routes takes neither BASE nor OVERLAYS; check them separately.'
            )
        return _check_routing(routes, against)
    if base is None:
        raise click.UsageError("Missing argument 'BASE', or --routes NEW.")
    return _check_files(base, overlays, against)


def _check_files(
    base: str,
    overlays: tuple[str, ...],
    against: str | None,
) -> int:
    findings = Findings()
    warnings = Findings()
    model = load_files(base, overlays, findings, warnings)
    old = load_version(against, findings) if against else None
    _print_findings(findings, warnings)
    if model:
        _print_summary(model)
    if model and old:
        changes = list_changes(remove_unserved(old), remove_unserved(model))
        _print_changes(changes, against)
    return _exit_code(findings)


def _check_routing(routes: str, against: str | None) -> int:
    findings = Findings()
    warnings = Findings()
    table = load_routing(routes, findings, warnings)
    # The version in force can't be corrected any more.
    old = load_routing(against, findings, Findings()) if against else None
    if table:
        check_version(table, old, findings)
        add_routing_warnings(table, warnings)
    _print_findings(findings, warnings)
    if table:
        click.echo(summarize(table))
    if table and old:
        _print_changes(list_routing_changes(old, table), against)
    return _exit_code(findings)


def _print_findings(findings: Findings, warnings: Findings) -> None:
    for finding in (*findings, *warnings):
        click.echo(str(finding))


def _exit_code(findings: Findings) -> int:
    if findings:
        click.echo(f'{len(findings)} findings', err=True)
        return 1
    return 0


def _print_changes(changes: list[str], old_file: str | None) -> None:
    for line in changes:
        click.echo(line)
    click.echo(f'{len(changes)} differences from {old_file}')


def _print_summary(model: DocumentModel) -> None:
    served_services = remove_unserved(model).services
    hosts = sum(len(service.hosts) for service in served_services.values())
    click.echo(
        f'{model.site}: {len(served_services)} services, {hosts} hosts, '
        f'{len(model.data_centres)} data centres',
    )
    unserved = sorted(model.services.keys() - served_services.keys())
    if unserved:
        names = ', '.join(unserved)
        click.echo(f'without hosts, so not served here: {names}')
