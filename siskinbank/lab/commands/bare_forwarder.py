"""``siskinbank lab bare-forwarder``: the baseline of ``lab forwarding``."""

import asyncio

import click
import uvloop

from siskinbank.commands._options import ADDRESS
from siskinbank.config.site import Address
from siskinbank.peers.datagrams import open_udp

__all__ = ('command',)


@click.command('bare-forwarder')
@click.option(
    '--bind', type=ADDRESS, required=True, help='Address to receive at.'
)
@click.option(
    '--to', type=ADDRESS, required=True, help='Address to forward to.'
)
def command(bind: Address, to: Address) -> None:
    """Forward each datagram unchanged, for comparison with an entry."""

    async def serve() -> None:
        transport: asyncio.DatagramTransport

        def forward(datagram: bytes, _sender: Address) -> None:
            transport.sendto(datagram, to)

        transport = await open_udp(bind, forward)
        await asyncio.Event().wait()

    uvloop.run(serve())
