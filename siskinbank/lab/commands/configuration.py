"""``siskinbank lab configuration``: time in force, reverts and reads."""

import click

from siskinbank.lab.configuration import measure_configuration
from siskinbank.lab.experiment import make_command

__all__ = ('command',)

command = make_command(
    'configuration',
    'Measure the time until a configuration is in force, reverts and reads.',
    measure_configuration,
    [
        click.Option(
            ['--processes'],
            type=click.IntRange(10, 5000),
            default=200,
            show_default=True,
        ),
    ],
)
