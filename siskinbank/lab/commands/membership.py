"""``siskinbank lab membership``: lists, silence and pauses."""

import click

from siskinbank.lab.membership import measure_membership
from siskinbank.lab.experiment import make_command

__all__ = ('command',)

command = make_command(
    'membership',
    'Measure what lying lists, pauses and partitions lead to.',
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
