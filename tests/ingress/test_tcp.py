"""Tests of how the TCP ingress ends connections that no host takes."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, cast

from siskinbank.config.site import Address
from siskinbank.ingress.tcp import start_tcp
from siskinbank.kernel.process import ProcessContext
from siskinbank.lab.plain_streams import PlainStreams
from siskinbank.lab.ports import free_ports
from siskinbank.wire.keys import Key, KeyRing
from siskinbank.wire.request_messages import Refused, TunnelOpened
from siskinbank.wire.streams import MessageStream

_LOOPBACK = '127.0.0.1'
_KEYS = KeyRing([Key(1, bytes(32))])
#: The end mark of a tunnel's direction.
_END = bytes(4)
_SECONDS = 5

Answer = Callable[[MessageStream], Awaitable[None]]


class TestTcp(unittest.IsolatedAsyncioTestCase):
    """A caller of a service that has one host."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the ingress, and a sidecar that runs ``answer``."""
        self.process = ProcessContext('entry', 'test')
        self.addAsyncCleanup(self.process.close)
        self.streams = PlainStreams(self.process, _KEYS)
        self.port, sidecar_port = free_ports(2)
        sidecar = (_LOOPBACK, sidecar_port)
        endpoint = SimpleNamespace(ingress='tcp', port=self.port)
        service = SimpleNamespace(ident=1, endpoints=[endpoint])
        self.services = {'a': service}
        host = SimpleNamespace(address=sidecar)
        context = SimpleNamespace(
            process=self.process,
            settings=SimpleNamespace(listen=_LOOPBACK),
            view=SimpleNamespace(site=SimpleNamespace(services=self.services)),
            router=SimpleNamespace(fresh=lambda *_given: [host]),
            links=SimpleNamespace(streams=self.streams),
        )
        await start_tcp(cast(Any, context), _LOOPBACK, self.port)
        self.answered = asyncio.Event()
        await self.listen(sidecar)

    async def listen(self, address: Address) -> None:
        """Start the sidecar."""

        async def serve(stream: MessageStream) -> None:
            await stream.receive()
            await self.answer(stream)
            self.answered.set()

        def accept(stream: MessageStream) -> None:
            self.process.start_task(serve(stream))

        self.sidecar = await self.streams.listen(address, accept)
        self.addCleanup(self.sidecar.close)

    async def answer(self, stream: MessageStream) -> None:
        """Refuse a connection, as a host at its limit does."""
        await stream.send(Refused(0, 'at-limit', 1))

    async def call(self) -> bytes:
        """Connect, and return what comes until the regular end.

        Raises:
            ConnectionResetError: the connection was reset.
        """
        reader, writer = await asyncio.open_connection(_LOOPBACK, self.port)
        try:
            async with asyncio.timeout(_SECONDS):
                return await reader.read()
        finally:
            writer.close()

    async def check_reset(self) -> None:
        """Check that a call does not end as an empty answer does."""
        with self.assertRaises(ConnectionResetError):
            await self.call()

    async def test_refused(self) -> None:
        """The only host refuses the connection."""
        await self.check_reset()
        self.assertTrue(self.answered.is_set())

    async def test_closed_by_sidecar(self) -> None:
        """The sidecar closes the stream without an answer."""

        async def close(stream: MessageStream) -> None:
            await stream.close()

        self.answer = close  # type: ignore[method-assign]
        await self.check_reset()

    async def test_unreachable(self) -> None:
        """No sidecar listens."""
        self.sidecar.close()
        await self.sidecar.wait_closed()
        await self.check_reset()

    async def test_no_service(self) -> None:
        """The configuration has no service at this port any more."""
        self.services.clear()
        await self.check_reset()

    async def test_end_of_process(self) -> None:
        """The entry ends while the host has not answered yet."""
        asked = asyncio.Event()

        async def wait(_stream: MessageStream) -> None:
            asked.set()
            await asyncio.Event().wait()

        self.answer = wait  # type: ignore[method-assign]
        call = asyncio.create_task(self.call())
        await asked.wait()
        await self.process.close()
        with self.assertRaises(ConnectionResetError):
            await call

    async def test_empty_answer(self) -> None:
        """An empty answer of the host ends regularly."""

        async def accept(stream: MessageStream) -> None:
            await stream.send(TunnelOpened())
            stream.writer.write(_END)
            await stream.reader.read()

        self.answer = accept  # type: ignore[method-assign]
        reader, writer = await asyncio.open_connection(_LOOPBACK, self.port)
        writer.write_eof()
        async with asyncio.timeout(_SECONDS):
            self.assertEqual(await reader.read(), b'')
        writer.close()
