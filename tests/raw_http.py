"""Raw HTTP connections: a scripted upstream, and a caller that sees bytes."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from siskinbank.lab.request_rig import RequestRig, RigHost

__all__ = (
    'Received',
    'Serve',
    'exchange',
    'read_request',
    'read_until_closed',
    'reset',
    'serving',
)

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

#: Linger time 0: closing sends a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)
_READ_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Received:
    """What a caller received, and whether the connection was reset."""

    content: bytes
    was_reset: bool

    @property
    def body(self) -> bytes:
        """The bytes after the head."""
        return self.content.partition(b'\r\n\r\n')[2]


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Return the head of a request, or no bytes at the end of the stream."""
    try:
        return await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionResetError):
        return b''


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


async def read_until_closed(reader: asyncio.StreamReader) -> Received:
    """Return all bytes until the connection ends."""
    content = bytearray()
    async with asyncio.timeout(5):
        try:
            while chunk := await reader.read(_READ_BYTES):
                content.extend(chunk)
        except ConnectionResetError:
            return Received(bytes(content), was_reset=True)
    return Received(bytes(content), was_reset=False)


async def exchange(rig: RequestRig, request: bytes) -> Received:
    """Send bytes to the first entry; return what comes until the close."""
    address = rig.entries[0].address
    reader, writer = await asyncio.open_connection(address, rig.port)
    writer.write(request)
    try:
        return await read_until_closed(reader)
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def serving(host: RigHost, serve: Serve) -> AsyncIterator[None]:
    """Replace the upstream of a host; ``serve`` gets each connection."""
    await host.upstream.stop()
    tasks: set[asyncio.Task[None]] = set()

    async def run(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await serve(reader, writer)
        finally:
            writer.close()

    def accept(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        tasks.add(asyncio.create_task(run(reader, writer)))

    server = await asyncio.start_server(
        accept, *host.upstream_address, reuse_address=True
    )
    try:
        yield
    finally:
        server.close()
        await _cancel_all(tasks)


async def _cancel_all(tasks: set[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
