"""``siskinbank lab demo``: the whole path under failure, on loopback."""

import asyncio

import click

from siskinbank.lab.demo import run_demo

__all__ = ('command',)

_LIMIT_SECONDS = 80


@click.command('demo')
def command() -> int:
    """Run a small fleet under load while parts of it fail or leave.

    An entry is killed, an upstream drains, a data centre goes out of service
    and comes back. Exits with 0 only if what must hold has held.
    """

    async def run() -> int:
        async with asyncio.timeout(_LIMIT_SECONDS):
            result = await run_demo(click.echo)
        click.echo(
            f'flows given up with their data centre: {result.given_up}; '
            f'plain connections lost with the killed entry: '
            f'{result.lost_with_entry}; flows refused: '
            f'{result.refused_flows}',
        )
        for problem in (*result.broken, *result.untrue):
            click.echo(f'must not happen: {problem}', err=True)
        click.echo(result.line())
        return 0 if result.holds else 1

    try:
        return asyncio.run(run())
    except TimeoutError:
        click.echo('demo: did not end in time', err=True)
        return 1
