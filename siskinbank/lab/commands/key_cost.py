"""``siskinbank lab key-cost``: with keys and TLS, and without."""

import click

from siskinbank.lab.experiment import make_command
from siskinbank.lab.key_cost import measure_key_cost

__all__ = ('command',)

command = make_command(
    'key-cost',
    'Measure packets and streams with keys and without, in one run.',
    measure_key_cost,
    [click.Option(['--rounds'], type=int, default=5, show_default=True)],
)
