"""``siskinbank check``: validate a base file and its overlays."""

import click

from siskinbank.config.changes import list_changes
from siskinbank.config.models import DocumentModel
from siskinbank.config.overlay import load_files, remove_unserved
from siskinbank.config.published import load_version
from siskinbank.kernel.findings import Findings

__all__ = ('command',)


@click.command('check')
@click.argument('base')
@click.argument('overlays', nargs=-1)
@click.option(
    '--against',
    metavar='OLD',
    help='Version in force, as printed by `render` or `render --publish`; '
    'print what differs.',
)
def command(
    base: str,
    overlays: tuple[str, ...],
    against: str | None,
) -> int:
    """Validate BASE merged with the OVERLAYS.

    Prints all findings and warnings, one per line:

    \b
        FILE:LINE: path.in.document: problem; correction
        FILE:LINE: path.in.document: warning: problem; correction

    A warning is an entry that has no effect or contradicts another one.

    \b
    Exit codes: 0 if the configuration is valid, also with warnings and
    differences, 1 with findings.
    """
    findings = Findings()
    warnings = Findings()
    model = load_files(base, overlays, findings, warnings)
    old = load_version(against, findings) if against else None
    for finding in (*findings, *warnings):
        click.echo(str(finding))
    if model:
        _print_summary(model)
    if model and old:
        _print_changes(old, model, against)
    if findings:
        click.echo(f'{len(findings)} findings', err=True)
        return 1
    return 0


def _print_changes(
    old: DocumentModel,
    new: DocumentModel,
    old_file: str | None,
) -> None:
    changes = list_changes(remove_unserved(old), remove_unserved(new))
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
