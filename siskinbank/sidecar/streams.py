"""Accept tunnels and numbered requests of entries and other sidecars."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from siskinbank.kernel.reasons import Drop, Refusal
from siskinbank.peers.pump import pump_both
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.requests import RequestServer
from siskinbank.wire.messages import Message, MessageError
from siskinbank.wire.request_messages import (
    OpenRequests,
    OpenTunnel,
    Refused,
    TunnelOpened,
)
from siskinbank.wire.streams import MessageStream

__all__ = ('start_streams',)

_HELLO_TIMEOUT_SECONDS = 5


async def start_streams(
    context: SidecarContext,
    requests: RequestServer,
) -> None:
    """Start to listen for streams of entries and other sidecars.

    Raises:
        OSError: the address could not be bound.
    """
    tunnels: set[asyncio.Task[None]] = set()

    def accept(stream: MessageStream) -> None:
        context.process.start_task(_serve(context, requests, tunnels, stream))

    server = await context.streams.listen(context.settings.bind, accept)

    async def drain() -> None:
        await requests.drain()
        while tunnels:
            await asyncio.wait(tunnels)
        server.close()

    async def close() -> None:
        server.close()

    context.process.on_close(close)
    context.process.open_work['tunnels'] = lambda: len(tunnels)
    context.process.on_drain(drain)


async def _serve(
    context: SidecarContext,
    requests: RequestServer,
    tunnels: set[asyncio.Task[None]],
    stream: MessageStream,
) -> None:
    hello = await _receive_hello(context, stream)
    try:
        if stream.withdrawn:
            context.streams.note_refusal('the key was withdrawn')
        elif isinstance(hello, OpenRequests):
            await requests.serve(stream)
        elif isinstance(hello, OpenTunnel):
            await _track(tunnels, _serve_tunnel(context, stream, hello))
    except OSError:
        context.process.metrics.count(Drop.link_lost)
    finally:
        stream.writer.close()


async def _receive_hello(
    context: SidecarContext,
    stream: MessageStream,
) -> Message | None:
    try:
        async with asyncio.timeout(_HELLO_TIMEOUT_SECONDS):
            return await stream.receive()
    except (MessageError, TimeoutError, OSError):
        context.process.metrics.count(Refusal.malformed)
        return None


async def _track(
    tasks: set[asyncio.Task[None]],
    work: Coroutine[Any, Any, None],
) -> None:
    task = asyncio.create_task(work)
    tasks.add(task)
    try:
        await task
    finally:
        tasks.discard(task)


async def _serve_tunnel(
    context: SidecarContext,
    stream: MessageStream,
    hello: OpenTunnel,
) -> None:
    reason = _reserve_connection(context, hello)
    if reason is not None:
        context.process.metrics.count(reason)
        await stream.send(Refused(0, reason.value, 1))
        return
    limits = context.limits
    assert limits is not None
    try:
        address = context.settings.upstream_tcp
        assert address is not None
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            context.process.metrics.count(Refusal.unreachable)
            await stream.send(Refused(0, Refusal.unreachable.value, 1))
            return
        await stream.send(TunnelOpened())
        context.process.metrics.tally('flows_opened')
        await pump_both(reader, writer, stream, wait_for_close=True)
    finally:
        limits.connections.give_back()


def _reserve_connection(
    context: SidecarContext, hello: OpenTunnel
) -> Refusal | None:
    """Reserve a connection; return the reason if it is refused, else None."""
    service = context.service
    if service is None or hello.service != service.ident:
        return Refusal.wrong_service
    if context.settings.upstream_tcp is None:
        return Refusal.unreachable
    if context.refusal is not None:
        return context.refusal
    if context.limits is None or not context.limits.connections.take():
        return Refusal.at_limit
    return None
