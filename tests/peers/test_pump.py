"""Tests of the ends of tunnelled connections."""

import asyncio
import contextlib
import socket
import struct
import unittest
from collections.abc import AsyncIterator

from siskinbank.peers.pump import pump_both
from siskinbank.wire.streams import MessageStream

_LENGTH = struct.Struct('!I')
_CHUNK_BYTES = 50_000
_CHUNK = _LENGTH.pack(_CHUNK_BYTES) + bytes(_CHUNK_BYTES)
_END = _LENGTH.pack(0)


@contextlib.asynccontextmanager
async def connected() -> AsyncIterator[tuple[socket.socket, MessageStream]]:
    """Return a socket and the accepted stream that it is connected to."""
    accepted: asyncio.Future[MessageStream] = asyncio.Future()

    def accept(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        accepted.set_result(MessageStream(reader, writer))

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    peer = socket.create_connection(server.sockets[0].getsockname())
    peer.setblocking(False)
    try:
        yield peer, await accepted
    finally:
        peer.close()
        server.close()


async def read_all(peer: socket.socket) -> int:
    """Return the number of bytes until the end of a connection."""
    loop = asyncio.get_running_loop()
    size = 0
    async with asyncio.timeout(5):
        while chunk := await loop.sock_recv(peer, _CHUNK_BYTES):
            size += len(chunk)
    return size


class TestPump(unittest.IsolatedAsyncioTestCase):
    """Connections whose tunnel ends."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Connect a caller and a far end."""
        connections = contextlib.AsyncExitStack()
        self.addAsyncCleanup(connections.aclose)
        enter = connections.enter_async_context
        self.caller, near = await enter(connected())
        self.far, stream = await enter(connected())
        self.near = near
        self.stream = stream

    def start(self, **options: bool) -> None:
        """Start the pump, which is cancelled after the test."""
        near = self.near
        self.pump = asyncio.create_task(
            pump_both(near.reader, near.writer, self.stream, **options)
        )
        self.addCleanup(self.pump.cancel)

    async def send(self, raw: bytes) -> None:
        """Send bytes through the tunnel."""
        await asyncio.get_running_loop().sock_sendall(self.far, raw)

    async def test_regular_end(self) -> None:
        """The caller gets all bytes and a regular end, also when slow."""
        self.start()
        # More than the sockets buffer, so that bytes wait in the process.
        sending = asyncio.create_task(self.send(_CHUNK * 200 + _END))
        self.caller.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.2)
        self.assertEqual(await read_all(self.caller), _CHUNK_BYTES * 200)
        self.far.close()
        await asyncio.gather(sending, self.pump)

    async def test_end_waits_for_slow_caller(self) -> None:
        """The pump ends only after all bytes have left the process."""
        self.start()
        self.caller.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.05)
        # Stop when bytes wait in the process: the socket's buffers are full.
        while not self.near.writer.transport.get_write_buffer_size():
            await self.send(_LENGTH.pack(1000) + bytes(1000))
            await asyncio.sleep(0)
        await self.send(_END)
        await asyncio.sleep(0.2)
        self.assertFalse(self.pump.done())
        await read_all(self.caller)
        self.far.close()
        await self.pump

    async def test_close_of_stream(self) -> None:
        """The stream stays open until the other process closes it."""
        self.start(wait_for_close=True)
        self.caller.shutdown(socket.SHUT_WR)
        await self.send(_CHUNK + _END)
        await read_all(self.caller)
        await asyncio.sleep(0.1)
        self.assertFalse(self.pump.done())
        self.far.shutdown(socket.SHUT_WR)
        await self.pump

    async def test_cancelled(self) -> None:
        """The end of the process resets the caller's connection."""
        self.start()
        await self.send(_CHUNK)
        await asyncio.sleep(0.05)
        self.pump.cancel()
        with self.assertRaises(ConnectionResetError):
            await read_all(self.caller)

    async def test_cut_stream(self) -> None:
        """A stream without its end mark resets the caller's connection."""
        self.start()
        await self.send(_CHUNK)
        await asyncio.sleep(0.05)
        self.far.close()
        with self.assertRaises(ConnectionResetError):
            await read_all(self.caller)

    async def test_cut_caller(self) -> None:
        """A caller's reset ends the stream without its end mark."""
        self.start()
        await asyncio.get_running_loop().sock_sendall(self.caller, b'half')
        await asyncio.sleep(0.05)
        self.caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.caller.close()
        self.assertEqual(await read_all(self.far), _LENGTH.size + len(b'half'))
