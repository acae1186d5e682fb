"""``siskinbank lab requests``: runs, refusals and answers under faults."""

import click

from siskinbank.lab.experiment import make_command
from siskinbank.lab.requests import measure_requests

__all__ = ('command',)

command = make_command(
    'requests',
    'Measure runs per key, refusals and answers under faults.',
    measure_requests,
    [
        click.Option(
            ['--keys'],
            type=click.IntRange(10, 5000),
            default=300,
            show_default=True,
        ),
    ],
)
