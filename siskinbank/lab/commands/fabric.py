"""``siskinbank lab fabric``: run the fabric stand-in."""

import asyncio

import click

from siskinbank.commands._options import ADDRESS
from siskinbank.directory.client import PlatformClient
from siskinbank.lab.standins.fabric import FabricStandIn
from siskinbank.util import parse_address

__all__ = ('command',)


@click.command('fabric')
@click.option(
    '--bind', type=ADDRESS, required=True, help='Address to serve at.'
)
@click.option('--platform', required=True, help='URL of the platform.')
@click.option('--seed', type=int, default=1, show_default=True)
@click.argument('entries', nargs=-1, required=True)
def command(
    bind: tuple[str, int],
    platform: str,
    seed: int,
    entries: tuple[str, ...],
) -> None:
    """Spray packets over ENTRIES (NAME=IP:PORT), for tests on loopback."""
    addresses = {}
    for entry in entries:
        name, _equals, address = entry.partition('=')
        try:
            addresses[name] = parse_address(address)
        except ValueError as error:
            raise click.BadParameter(str(error)) from error
    fabric = FabricStandIn(addresses, PlatformClient(platform), seed)
    asyncio.run(fabric.run(bind))
