"""``siskinbank lab demo``: a fleet under failures, on loopback."""

import asyncio

import click

from siskinbank.lab.demo import run_demo

__all__ = ('command',)

_TIMEOUT_SECONDS = 80


@click.command('demo')
def command() -> int:
    """Run a small fleet under load with failures and planned changes.

    Kills an entry, drains a host, and takes a data centre out of service
    and back. Exits with 0 only if all invariants held.
    """

    async def run() -> int:
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            result = await run_demo(click.echo)
        click.echo(
            'flows lost with their data centre: '
            f'{result.lost_with_data_centre}; '
            f'tcp connections lost with the killed entry: '
            f'{result.lost_with_entry}; flows refused: '
            f'{result.refused_flows}',
        )
        for problem in (*result.broken, *result.wrong_outcomes):
            click.echo(f'violation: {problem}', err=True)
        click.echo(result.line())
        return 0 if result.holds else 1

    try:
        return asyncio.run(run())
    except TimeoutError:
        click.echo('demo: not finished in time', err=True)
        return 1
