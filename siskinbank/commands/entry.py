"""``siskinbank entry``: run an entry."""

from typing import Any

import click

from siskinbank.commands._options import ADDRESS, option, process_options
from siskinbank.commands._run import run_command

__all__ = ('command',)


@click.command('entry')
@process_options
@option(
    '--fou',
    help_text='Address for IP-in-UDP packets from the fabric.',
    type=ADDRESS,
    default='0.0.0.0:5555',
)
@option(
    '--listen',
    help_text='IP address for services that do not set one.',
    default='0.0.0.0',
)
def command(log_level: str, log_format: str, **options: Any) -> int:
    """Accept packets, connections and requests and forward them to sidecars.

    \b
    Exit codes: 0 after a planned stop, 2 for invalid options, 3 if a second
    signal interrupted work, 4 if an address could not be bound.
    """
    from siskinbank.entry.daemon import start_entry
    from siskinbank.settings import EntrySettings

    settings = EntrySettings(**options)
    return run_command(
        'entry',
        settings.name,
        (log_level, log_format),
        lambda process: start_entry(process, settings),
    )
