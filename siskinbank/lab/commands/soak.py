"""``siskinbank lab soak``: a fleet under seeded faults."""

import asyncio

import click

from siskinbank.lab.soak import run_soak

__all__ = ('command',)

_MOST_MINUTES = 60


@click.command('soak')
@click.option(
    '--minutes',
    type=click.FloatRange(min=0.1, max=_MOST_MINUTES),
    default=1,
    show_default=True,
)
@click.option('--seed', type=int, default=1, show_default=True)
def command(minutes: float, seed: int) -> int:
    """Disturb a small fleet on loopback and check each promise throughout.

    Prints one line for each promise, with the number of chances it had to
    fail. Exits with 1 on a violation.
    """
    report = asyncio.run(run_soak(minutes, seed, click.echo))
    click.echo('\n'.join(report.lines()))
    return 0 if report.holds else 1
