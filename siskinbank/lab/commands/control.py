"""``siskinbank lab control``: control plane cost of each process."""

import click

from siskinbank.lab.control import measure_control
from siskinbank.lab.experiment import make_command

__all__ = ('command',)

_MAX_REAL_PROCESSES = 100

command = make_command(
    'control',
    'Measure bytes, CPU time and memory of the control plane.',
    measure_control,
    [
        click.Option(
            ['--processes'],
            type=click.IntRange(30, 5000),
            default=120,
            show_default=True,
        ),
        click.Option(
            ['--real'],
            type=click.IntRange(0, _MAX_REAL_PROCESSES),
            default=0,
            show_default=True,
            help='Also measure this many separate processes on loopback.',
        ),
    ],
)
