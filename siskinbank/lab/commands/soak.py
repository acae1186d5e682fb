"""``siskinbank lab soak``: a fleet under seeded faults."""

import asyncio

import click

from siskinbank.lab.soak import run_soak

__all__ = ('command',)

_MAX_MINUTES = 60


@click.command('soak')
@click.option(
    '--minutes',
    type=click.FloatRange(min=0.1, max=_MAX_MINUTES),
    default=1,
    show_default=True,
)
@click.option('--seed', type=int, default=1, show_default=True)
def command(minutes: float, seed: int) -> int:
    """Inject faults into a small fleet on loopback and check invariants.

    Prints one line for each invariant, with the number of checks. Exits with
    1 on a violation.
    """
    report = asyncio.run(run_soak(minutes, seed, click.echo))
    click.echo('\n'.join(report.lines()))
    return 0 if report.holds else 1
