"""``siskinbank lab cold``: load on cold upstreams."""

import click

from siskinbank.lab.cold import measure_cold
from siskinbank.lab.experiment import make_command

__all__ = ('command',)

command = make_command(
    'cold',
    'Measure the load on cold upstreams beyond their limit.',
    measure_cold,
    [
        click.Option(
            ['--entries'],
            type=click.IntRange(0, 1000),
            default=0,
            help='Entries that start together; 0 measures 3 and 400.',
        ),
        click.Option(
            ['--hosts'],
            type=click.IntRange(3, 200),
            default=7,
            show_default=True,
        ),
        click.Option(
            ['--flows'],
            type=click.IntRange(10, 200),
            default=100,
            show_default=True,
            help='Flows open at a time for each host.',
        ),
    ],
)
