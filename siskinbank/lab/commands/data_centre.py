"""``siskinbank lab data-centre``: evacuation of a data centre."""

import click

from siskinbank.lab.data_centre import measure_data_centre
from siskinbank.lab.experiment import make_command

__all__ = ('command',)

command = make_command(
    'data-centre',
    'Take data centres out of service and back, twice.',
    measure_data_centre,
    [
        click.Option(
            ['--entries'],
            type=click.IntRange(1, 1000),
            default=3,
            show_default=True,
        ),
        click.Option(
            ['--hosts'],
            type=click.IntRange(3, 200),
            default=9,
            show_default=True,
        ),
        click.Option(
            ['--flows'],
            type=click.IntRange(5, 55),
            default=30,
            show_default=True,
            help='Flows open at a time for each host.',
        ),
    ],
)
