"""``siskinbank lab fairness``: distribution of load over a pool."""

import click

from siskinbank.lab.experiment import make_command
from siskinbank.lab.fairness import measure_fairness

__all__ = ('command',)

command = make_command(
    'fairness',
    'Compare the busiest host against the mean, beside naive choices.',
    measure_fairness,
    [
        click.Option(
            ['--entries'],
            type=click.IntRange(1, 400),
            default=3,
            show_default=True,
        ),
        click.Option(
            ['--hosts'],
            type=click.IntRange(0, 1000),
            default=0,
            help='Hosts of the pool; 0 measures 7 and 100.',
        ),
        click.Option(
            ['--flows'],
            type=click.IntRange(10, 2000),
            default=100,
            show_default=True,
            help='Flows open at a time for each host.',
        ),
    ],
)
