"""``siskinbank lab key-cost``: cost of keys and TLS."""

import click

from siskinbank.lab.experiment import make_command
from siskinbank.lab.key_cost import measure_key_cost

__all__ = ('command',)

command = make_command(
    'key-cost',
    'Measure packets and streams with and without keys, in one run.',
    measure_key_cost,
    [click.Option(['--rounds'], type=int, default=5, show_default=True)],
)
