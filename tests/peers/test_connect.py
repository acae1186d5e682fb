"""Tests of TLS streams with mutual authentication."""

import asyncio
import gc
import unittest
from collections.abc import Awaitable, Callable

from siskinbank.config.site import Address
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.reasons import Drop
from siskinbank.peers.connect import PeerStreams
from siskinbank.peers.pump import pump_both
from siskinbank.wire.keys import Key, KeyRing
from siskinbank.wire.request_messages import OpenRequests, TunnelOpened
from siskinbank.wire.streams import MessageStream

OLD = Key(1, bytes(32))
NEW = Key(2, b'7' * 32)
#: Another secret under the number of a valid key.
WRONG_SECRET = Key(1, b'8' * 32)
HELLO = OpenRequests('entry-1')

Serve = Callable[[MessageStream], Awaitable[None]]


class Listener:
    """A process that answers each stream and counts the accepted ones."""

    def __init__(self, *keys: Key) -> None:
        """Initialize with the keys that are accepted."""
        self.ring = KeyRing(keys)
        self.process = ProcessContext('sidecar', 'test')
        self.accepted = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Address:
        """Start listening and return the address."""
        streams = PeerStreams(self.process, self.ring)

        def accept(stream: MessageStream) -> None:
            self._tasks.add(asyncio.ensure_future(self._answer(stream)))

        self._server = await streams.listen(('127.0.0.1', 0), accept)
        address: Address = self._server.sockets[0].getsockname()
        return address

    async def __aexit__(self, *_error: object) -> None:
        """Stop listening."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _answer(self, stream: MessageStream) -> None:
        if await stream.receive() == HELLO:
            self.accepted += 1
            await stream.send(TunnelOpened())


async def ask(address: Address, *keys: Key) -> object:
    """Send a hello and return the answer, or None if refused."""
    process = ProcessContext('entry', 'test')
    streams = PeerStreams(process, KeyRing(keys))
    try:
        async with asyncio.timeout(10):
            stream = await streams.connect(address)
            await stream.send(HELLO)
            answer = await stream.receive()
            await stream.close()
    except OSError:
        return None
    return answer


async def tunnel(*, cut: bool) -> bytes:
    """Send through a tunnel to a server that answers at end of file.

    Args:
        cut: whether the far side interrupts the stream instead.

    Returns:
        The bytes that the caller receives.

    Raises:
        OSError: the caller's connection was reset.
    """
    ring = KeyRing([OLD])
    streams = PeerStreams(ProcessContext('entry', 'test'), ring)
    tasks: set[asyncio.Task[None]] = set()

    async def serve_far_end(stream: MessageStream) -> None:
        if cut:
            stream.writer.write(b'\0\0\0\5half')
            await stream.writer.drain()
            stream.writer.close()
            return
        reader, writer = await asyncio.open_connection(*upstream_address)
        await pump_both(reader, writer, stream)

    async def upstream(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = await reader.read()
        # The near side has read the caller's FIN. A collection at this point
        # ends the near side if only its own connection refers to its task.
        gc.collect()
        writer.write(b'got ' + request)
        writer.close()

    async def serve_near_end(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await pump_both(reader, writer, await streams.connect(far_address))

    def accept_caller(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        tasks.add(asyncio.ensure_future(serve_near_end(reader, writer)))

    server = await asyncio.start_server(upstream, '127.0.0.1', 0)
    upstream_address = server.sockets[0].getsockname()
    listener = await streams.listen(
        ('127.0.0.1', 0),
        lambda stream: tasks.add(asyncio.ensure_future(serve_far_end(stream))),
    )
    far_address = listener.sockets[0].getsockname()
    front = await asyncio.start_server(accept_caller, '127.0.0.1', 0)
    try:
        reader, writer = await asyncio.open_connection(
            *front.sockets[0].getsockname(),
        )
        writer.write(b'x' * 100_000)
        writer.write_eof()
        async with asyncio.timeout(10):
            return await reader.read()
    finally:
        for closed in (server, listener, front):
            closed.close()


class TestStreams(unittest.IsolatedAsyncioTestCase):
    """Authentication by keys."""

    async def test_keys(self) -> None:
        """Streams open if each side accepts the other's first key."""
        for own, others, expected in (
            ((OLD,), (OLD,), True),
            ((OLD,), (OLD, NEW), True),
            ((OLD, NEW), (OLD,), True),
            ((OLD, NEW), (NEW, OLD), True),
            ((NEW, OLD), (OLD, NEW), True),
            ((NEW,), (NEW, OLD), True),
            ((OLD,), (NEW,), False),
            ((OLD,), (WRONG_SECRET,), False),
            ((OLD, NEW), (WRONG_SECRET,), False),
        ):
            with self.subTest(own=own, others=others):
                listener = Listener(*own)
                async with listener as address:
                    answer = await ask(address, *others)
                self.assertEqual(answer == TunnelOpened(), expected)
                self.assertEqual(listener.accepted, int(expected))

    async def test_counts_refusals(self) -> None:
        """Plain bytes and foreign keys are counted and refused."""
        listener = Listener(OLD)
        async with listener as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b'GET / HTTP/1.1\r\n\r\n')
            await reader.read()
            writer.close()
            self.assertEqual(
                listener.process.metrics.value(Drop.unkeyed_stream), 1
            )
            self.assertIsNone(await ask(address, NEW))
        self.assertGreaterEqual(
            listener.process.metrics.value(Drop.unkeyed_stream), 1
        )
        self.assertEqual(listener.accepted, 0)

    async def test_rotation_while_listening(self) -> None:
        """Peers connect in each step of a rotation; then the old key fails."""
        listener = Listener(OLD)
        async with listener as address:
            for own, others in (
                ((OLD, NEW), (OLD,)),
                ((OLD, NEW), (NEW, OLD)),
                ((NEW, OLD), (OLD, NEW)),
                ((NEW,), (NEW, OLD)),
            ):
                listener.ring.replace(own)
                with self.subTest(own=own, others=others):
                    answer = await ask(address, *others)
                    self.assertEqual(answer, TunnelOpened())
            self.assertIsNone(await ask(address, OLD))


class TestTunnel(unittest.IsolatedAsyncioTestCase):
    """Half-closed and interrupted tunnels."""

    async def test_half_close(self) -> None:
        """A caller that has closed its sending side gets the answer."""
        answer = await tunnel(cut=False)
        self.assertEqual(answer, b'got ' + b'x' * 100_000)

    async def test_interrupted_stream(self) -> None:
        """An interrupted stream resets the caller's connection."""
        with self.assertRaises(OSError):
            await tunnel(cut=True)
