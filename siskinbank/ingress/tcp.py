"""Ingress for plain TCP connections to the entry's own address."""

import asyncio

from siskinbank.config.site import Host, Service
from siskinbank.entry.context import EntryContext
from siskinbank.ingress.listening import accept_waiting, listen
from siskinbank.ingress.registry import (
    IngressHandle,
    IngressPlugin,
    ingresses,
)
from siskinbank.kernel.reasons import Refusal, Retry
from siskinbank.peers.linger import close_with_reset
from siskinbank.peers.pump import pump_both
from siskinbank.util import digest64
from siskinbank.wire.messages import MessageError
from siskinbank.wire.request_messages import OpenTunnel, TunnelOpened
from siskinbank.wire.streams import MessageStream

__all__ = ('start_tcp',)

_OPEN_TIMEOUT_SECONDS = 2


async def start_tcp(
    context: EntryContext,
    address: str,
    port: int,
) -> IngressHandle:
    """Listen for callers of one service.

    Raises:
        OSError: the address could not be bound.
    """
    open_flows: set[asyncio.Task[None]] = set()

    def accept(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = context.process.start_task(
            _serve(context, port, reader, writer),
        )
        open_flows.add(task)
        task.add_done_callback(open_flows.discard)

    bound = context.settings.listen if address == '0.0.0.0' else address
    sock = listen(bound, port)
    server = await asyncio.start_server(accept, sock=sock)

    open_work = context.process.open_work
    open_work[f'connections on port {port}'] = lambda: len(open_flows)

    async def drain() -> None:
        await accept_waiting(sock)
        server.close()
        while open_flows:
            await asyncio.wait(open_flows)

    return IngressHandle(drain)


async def _serve(
    context: EntryContext,
    port: int,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    # Closed without a reset, a connection that no host took would look like an
    # empty answer. The pump ends it regularly when it is complete.
    close_with_reset(writer.transport)
    try:
        service = find_service(context, 'tcp', port)
        if service is None:
            context.process.metrics.count(Refusal.no_host)
            return
        caller = '{0}:{1}'.format(*writer.get_extra_info('peername')[:2])
        started = context.process.timers.now
        stream = await _open_at_any_host(context, service, caller)
        elapsed = context.process.timers.now - started
        context.process.metrics.time('flow_opening', elapsed)
        if stream is not None:
            context.process.metrics.tally('flows_opened')
            await pump_both(reader, writer, stream)
    finally:
        writer.close()


def find_service(
    context: EntryContext,
    ingress: str,
    port: int,
) -> Service | None:
    """Return the service with this ingress on a port, or None."""
    site = context.view.site
    if site is None:
        return None
    for service in site.services.values():
        for endpoint in service.endpoints:
            if (endpoint.ingress, endpoint.port) == (ingress, port):
                return service
    return None


async def _open_at_any_host(
    context: EntryContext,
    service: Service,
    caller: str,
) -> MessageStream | None:
    """Try to open the connection at one candidate after the other."""
    metrics = context.process.metrics
    for host in context.router.fresh(service, digest64(caller)):
        try:
            stream = await _open_tunnel(context, host, service, caller)
        except (OSError, MessageError):
            metrics.count(Retry.unreachable)
            continue
        if stream is not None:
            return stream
        metrics.count(Retry.not_run)
    metrics.count(Refusal.no_host)
    return None


async def _open_tunnel(
    context: EntryContext,
    host: Host,
    service: Service,
    caller: str,
) -> MessageStream | None:
    async with asyncio.timeout(_OPEN_TIMEOUT_SECONDS):
        stream = await context.links.streams.connect(host.address)
        try:
            await stream.send(OpenTunnel(service.ident, caller))
            opened = isinstance(await stream.receive(), TunnelOpened)
            opened = opened and not stream.withdrawn
        except BaseException:
            stream.writer.close()
            raise
    if opened:
        return stream
    await stream.close()
    return None


ingresses.register(
    IngressPlugin(
        name='tcp',
        summary='plain TCP connections to the entry',
        start=start_tcp,
    ),
)
