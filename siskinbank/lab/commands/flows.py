"""``siskinbank lab flows``: flows during planned changes and a failure."""

import click

from siskinbank.lab.experiment import make_command
from siskinbank.lab.flows import measure_flows

__all__ = ('command',)

command = make_command(
    'flows',
    'Measure broken flows while hosts, entries and sidecars change.',
    measure_flows,
    [
        click.Option(
            ['--entries'],
            type=click.IntRange(1, 400),
            default=4,
            show_default=True,
        ),
        click.Option(
            ['--hosts'],
            type=click.IntRange(4, 200),
            default=7,
            show_default=True,
        ),
        click.Option(
            ['--flows'],
            type=click.IntRange(1, 100_000),
            default=300,
            show_default=True,
        ),
    ],
)
