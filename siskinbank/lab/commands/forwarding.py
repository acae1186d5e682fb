"""``siskinbank lab forwarding``: packets per second of one entry."""

import click

from siskinbank.lab.experiment import make_command
from siskinbank.lab.forwarding import measure_forwarding

__all__ = ('command',)

command = make_command(
    'forwarding',
    'Compare an entry with keyed datagrams against a bare forwarder.',
    measure_forwarding,
    [
        click.Option(
            ['--rounds'],
            type=click.IntRange(1, 20),
            default=5,
            show_default=True,
        ),
    ],
)
