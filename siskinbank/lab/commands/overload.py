"""``siskinbank lab overload``: goodput at three times the capacity."""

import click

from siskinbank.lab.experiment import make_command
from siskinbank.lab.overload import measure_overload

__all__ = ('command',)

command = make_command(
    'overload',
    'Measure goodput at three times the upstream capacity.',
    measure_overload,
    [
        click.Option(
            ['--seconds'],
            type=click.FloatRange(1, 60),
            default=6,
            show_default=True,
        ),
    ],
)
