"""``siskinbank check``: validate a base file and overlays."""

import click

from siskinbank.config.overlay import load_files, served
from siskinbank.kernel.findings import Findings

__all__ = ('command',)


@click.command('check')
@click.argument('base')
@click.argument('overlays', nargs=-1)
def command(base: str, overlays: tuple[str, ...]) -> int:
    """Validate BASE with the OVERLAYS laid over it.

    Prints all findings together, one a line:

    \b
        FILE:LINE: path.in.document: what is wrong; what would be right

    \b
    Exit codes: 0 when all is right, 1 with findings.
    """
    findings = Findings()
    model = load_files(base, overlays, findings)
    for finding in findings:
        click.echo(str(finding))
    if model is None:
        click.echo(f'{len(findings)} findings', err=True)
        return 1
    here = served(model).services
    hosts = sum(len(service.hosts) for service in here.values())
    click.echo(
        f'{model.site}: {len(here)} services, {hosts} hosts, '
        f'{len(model.data_centres)} data centres',
    )
    elsewhere = sorted(model.services.keys() - here.keys())
    if elsewhere:
        names = ', '.join(elsewhere)
        click.echo(f'without hosts, so not served here: {names}')
    return 0
