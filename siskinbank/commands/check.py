"""``siskinbank check``: validate a base file and its overlays."""

import click

from siskinbank.config.overlay import load_files, remove_unserved
from siskinbank.kernel.findings import Findings

__all__ = ('command',)


@click.command('check')
@click.argument('base')
@click.argument('overlays', nargs=-1)
def command(base: str, overlays: tuple[str, ...]) -> int:
    """Validate BASE merged with the OVERLAYS.

    Prints all findings, one per line:

    \b
        FILE:LINE: path.in.document: problem; correction

    \b
    Exit codes: 0 if the configuration is valid, 1 with findings.
    """
    findings = Findings()
    model = load_files(base, overlays, findings)
    for finding in findings:
        click.echo(str(finding))
    if model is None:
        click.echo(f'{len(findings)} findings', err=True)
        return 1
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
    return 0
