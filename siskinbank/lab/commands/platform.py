"""``siskinbank lab platform``: run the platform stand-in."""

import asyncio

import click
from aiohttp import web

from siskinbank.commands._options import ADDRESS
from siskinbank.lab.standins.platform import PlatformStandIn

__all__ = ('command',)


@click.command('platform')
@click.option(
    '--bind', type=ADDRESS, required=True, help='Address to serve at.'
)
def command(bind: tuple[str, int]) -> None:
    """Run a stand-in for the platform, for tests on loopback."""
    asyncio.run(_serve(bind))


async def _serve(bind: tuple[str, int]) -> None:
    runner = web.AppRunner(PlatformStandIn().application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, *bind).start()
    await asyncio.Event().wait()
