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
    help_text='IP number on which services without one listen.',
    default='0.0.0.0',
)
def command(log_level: str, log_format: str, **given: Any) -> int:
    """Take packets, connections and requests, and hand them to sidecars.

    \b
    Exit codes: 0 after a planned stop, 2 for bad options, 3 when a second
    signal cut work short, 4 when an address could not be bound.
    """
    from siskinbank.entry.daemon import start_entry
    from siskinbank.settings import EntrySettings

    settings = EntrySettings(**given)
    return run_command(
        'entry',
        settings.name,
        (log_level, log_format),
        lambda process: start_entry(process, settings),
    )
