"""``siskinbank lab upstream``: run an upstream stand-in."""

import asyncio

import click

from siskinbank.commands._options import ADDRESS
from siskinbank.config.site import Address
from siskinbank.lab.standins.upstream import ColdStart, UpstreamStandIn

__all__ = ('command',)


@click.command('upstream')
@click.option('--name', required=True, help='Name to put into answers.')
@click.option('--packets', type=ADDRESS, help='Address for IP-in-UDP.')
@click.option('--tcp', type=ADDRESS, help='Address for connections.')
@click.option('--http', type=ADDRESS, help='Address for requests.')
@click.option(
    '--callers', type=ADDRESS, help='Address to send packet answers to.'
)
@click.option('--slots', type=int, default=3, show_default=True)
@click.option('--cold-slots', type=int, help='Slots when cold; default: all.')
@click.option(
    '--warm-up',
    type=float,
    default=0,
    help='Seconds until all slots are available.',
)
def command(
    name: str,
    packets: Address | None,
    tcp: Address | None,
    http: Address | None,
    callers: Address | None,
    slots: int,
    cold_slots: int | None,
    warm_up: float,
) -> None:
    """Run a stand-in for an upstream, for tests on loopback."""

    async def serve() -> None:
        cold = ColdStart(cold_slots or slots, warm_up)
        upstream = UpstreamStandIn(name, callers, slots, cold)
        if packets is not None:
            await upstream.serve_packets(packets)
        if tcp is not None:
            await upstream.serve_tcp(tcp)
        if http is not None:
            await upstream.serve_http(http)
        await asyncio.Event().wait()

    asyncio.run(serve())
