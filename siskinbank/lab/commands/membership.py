"""``siskinbank lab membership``: wrong lists, failures and pauses."""

import click

from siskinbank.lab.experiment import make_command
from siskinbank.lab.membership import measure_membership

__all__ = ('command',)

command = make_command(
    'membership',
    'Measure membership under wrong lists, pauses and partitions.',
    measure_membership,
    [
        click.Option(
            ['--processes'],
            type=click.IntRange(10, 5000),
            default=200,
            show_default=True,
        ),
    ],
)
