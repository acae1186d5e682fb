"""``siskinbank sidecar``: run the sidecar of an upstream."""

from typing import Any

import click

from siskinbank.commands._options import (
    ADDRESS,
    URL,
    option,
    process_options,
)
from siskinbank.commands._run import run_command

__all__ = ('command',)


@click.command('sidecar')
@process_options
@option(
    '--upstream-packets',
    help_text='IP-in-UDP address of the upstream.',
    type=ADDRESS,
)
@option(
    '--upstream-tcp',
    help_text='Address of the upstream for TCP connections.',
    type=ADDRESS,
)
@option(
    '--upstream-http',
    help_text='Base URL of the upstream for requests.',
    type=URL,
)
@option(
    '--upstream-health',
    help_text='URL of the health or load report of the upstream.',
    type=URL,
)
def command(log_level: str, log_format: str, **options: Any) -> int:
    """Admit work to the upstream and own its flows.

    The name must be the name of the host in the configuration.

    \b
    Exit codes: 0 after a planned stop, 2 for invalid options, 3 if a second
    signal interrupted work, 4 if an address could not be bound.
    """
    from siskinbank.settings import SidecarSettings
    from siskinbank.sidecar.daemon import start_sidecar

    settings = SidecarSettings(**options)
    return run_command(
        'sidecar',
        settings.name,
        (log_level, log_format),
        lambda process: start_sidecar(process, settings),
    )
