"""Start the sidecar process of an upstream."""

import asyncio

from siskinbank.kernel.process import ProcessContext
from siskinbank.node import start_node
from siskinbank.peers.connect import PeerStreams
from siskinbank.settings import SidecarSettings
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.health_checks import start_health_checks
from siskinbank.sidecar.packets import PacketHandler
from siskinbank.sidecar.requests import RequestServer
from siskinbank.sidecar.streams import start_streams

__all__ = ('start_sidecar',)


async def start_sidecar(
    process: ProcessContext,
    settings: SidecarSettings,
) -> None:
    """Start a sidecar process.

    Raises:
        OSError: an address could not be bound.
    """
    node = await start_node(process, settings)
    context = SidecarContext(
        process,
        settings,
        node.view,
        node.peers,
        PeerStreams(process, settings.keys),
    )
    PacketHandler(context, await _open_upstream(settings))
    start_health_checks(context)
    await start_streams(context, RequestServer(context))


async def _open_upstream(
    settings: SidecarSettings,
) -> asyncio.DatagramTransport | None:
    if settings.upstream_packets is None:
        return None
    (
        transport,
        _protocol,
    ) = await asyncio.get_running_loop().create_datagram_endpoint(
        asyncio.DatagramProtocol,
        remote_addr=settings.upstream_packets,
    )
    return transport
