"""``siskinbank lab upstream``: run an upstream stand-in."""

import asyncio

import click

from siskinbank.commands._options import ADDRESS
from siskinbank.config.site import Address
from siskinbank.lab.standins.upstream import UpstreamStandIn

__all__ = ('command',)


@click.command('upstream')
@click.option('--name', required=True, help='Name that answers carry.')
@click.option('--packets', type=ADDRESS, help='Address for IP-in-UDP.')
@click.option('--tcp', type=ADDRESS, help='Address for connections.')
@click.option('--http', type=ADDRESS, help='Address for requests.')
@click.option('--callers', type=ADDRESS, help='Where packet answers go.')
@click.option('--slots', type=int, default=3, show_default=True)
def command(
    name: str,
    packets: Address | None,
    tcp: Address | None,
    http: Address | None,
    callers: Address | None,
    slots: int,
) -> None:
    """Run a stand-in of an upstream, for trials on loopback."""

    async def serve() -> None:
        upstream = UpstreamStandIn(name, callers, slots)
        if packets is not None:
            await upstream.serve_packets(packets)
        if tcp is not None:
            await upstream.serve_tcp(tcp)
        if http is not None:
            await upstream.serve_http(http)
        await asyncio.Event().wait()

    asyncio.run(serve())
