"""``siskinbank sidecar``: run the sidecar of one upstream."""

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
    help_text="The upstream's IP-in-UDP address.",
    type=ADDRESS,
)
@option(
    '--upstream-tcp',
    help_text="The upstream's address for plain connections.",
    type=ADDRESS,
)
@option(
    '--upstream-http',
    help_text="The upstream's base URL for requests.",
    type=URL,
)
@option(
    '--upstream-health',
    help_text="URL of the upstream's health or load report.",
    type=URL,
)
def command(log_level: str, log_format: str, **given: Any) -> int:
    """Admit work to the upstream beside this process, and own it.

    The name must be the host's name in the configuration.

    \b
    Exit codes: 0 after a planned stop, 2 for bad options, 3 when a second
    signal cut work short, 4 when an address could not be bound.
    """
    from siskinbank.settings import SidecarSettings
    from siskinbank.sidecar.daemon import start_sidecar

    settings = SidecarSettings(**given)
    return run_command(
        'sidecar',
        settings.name,
        (log_level, log_format),
        lambda process: start_sidecar(process, settings),
    )
