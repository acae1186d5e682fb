"""Tests of a stop of the HTTP ingress while callers read slowly."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from unittest import mock

import uvloop

from siskinbank.entry import exchanges
from siskinbank.ingress import http
from siskinbank.ingress.listening import listen
from siskinbank.lab.request_rig import RequestRig, wait_until
from siskinbank.peers.linger import close_with_fin
from tests.raw_http import Serve, read_request, serving
from tests.request_case import RequestCase, running_rig

#: So small that most of an answer waits in the entry.
_SOCKET_BUFFER_BYTES = 4096
#: Below 64 KiB, so that the entry has written the whole answer to its buffer.
_BODY = bytes(range(250)) * 200
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(_BODY) + _BODY
#: Longer than the ingress accepts requests on open connections.
_STOP_SECONDS = 3
#: Ends a test that hangs.
_LIMIT_SECONDS = 20
#: Within it, an answer has reached the entry.
_ANSWER_SECONDS = 0.5
_READ_BYTES = 64 * 1024


def listen_with_small_buffers(address: str, port: int) -> socket.socket:
    """Listen; accepted sockets inherit the size of the send buffer."""
    sock = listen(address, port)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES)
    return sock


async def answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request."""
    await read_request(reader)
    writer.write(_ANSWER)
    await writer.drain()


async def answer_without_length(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request with a chunked body."""
    await read_request(reader)
    writer.write(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'%x\r\n%s\r\n0\r\n\r\n' % (len(_BODY), _BODY)
    )
    await writer.drain()


@contextlib.asynccontextmanager
async def running_slow_rig(serve: Serve = answer) -> AsyncIterator[RequestRig]:
    """Run an entry with small send buffers, and a host that answers."""
    with mock.patch.object(http, 'listen', listen_with_small_buffers):
        async with running_rig(entries=1, hosts=1) as rig:
            async with serving(rig.hosts['matcher-1'], serve):
                yield rig


class TestStop(RequestCase):
    """Answers that are complete, but not sent yet, when the entry stops."""

    async def ask(self, rig: RequestRig, version: bytes) -> socket.socket:
        """Send a request, and read nothing."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES
        )
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, (rig.entries[0].address, rig.port))
        await loop.sock_sendall(
            caller, b'GET / HTTP/%s\r\nHost: a\r\n\r\n' % version
        )
        return caller

    async def read(self, caller: socket.socket) -> bytes:
        """Return all bytes until the regular end of a connection."""
        loop = asyncio.get_running_loop()
        parts = []
        while part := await loop.sock_recv(caller, _READ_BYTES):
            parts.append(part)
        return b''.join(parts)

    async def test_unsent_answers(self) -> None:
        """The stop waits until the sockets have taken all bytes.

        What is in a write buffer of the process is lost when it ends.
        """
        async with running_slow_rig() as rig:
            callers = [
                await self.ask(rig, version) for version in (b'1.1', b'1.0')
            ]
            open_work = rig.entries[0].process.open_work
            requests = open_work[f'requests on port {rig.port}']
            unsent = open_work[f'unsent answers on port {rig.port}']
            await wait_until(lambda: unsent() == 2 and not requests())
            stop = asyncio.create_task(rig.drain_entry(0))
            await asyncio.sleep(_STOP_SECONDS)
            self.assertFalse(stop.done())
            self.assertEqual(unsent(), 2)
            for caller in callers:
                content = await self.read(caller)
                self.assertEqual(content.partition(b'\r\n\r\n')[2], _BODY)
            async with asyncio.timeout(_LIMIT_SECONDS):
                await stop

    async def test_end_of_answer_without_length(self) -> None:
        """The connection resets on a close until all bytes are sent.

        Callers with HTTP/1.0 take a regular end for that of the answer, also
        if the entry is killed.
        """
        unsent: list[int] = []

        def record(transport: asyncio.Transport) -> None:
            unsent.append(transport.get_write_buffer_size())
            close_with_fin(transport)

        with mock.patch.object(exchanges, 'close_with_fin', record):
            async with running_slow_rig(answer_without_length) as rig:
                caller = await self.ask(rig, b'1.0')
                await asyncio.sleep(_ANSWER_SECONDS)
                self.assertEqual(unsent, [])
                content = await self.read(caller)
                self.assertEqual(content.partition(b'\r\n\r\n')[2], _BODY)
                await wait_until(lambda: unsent)
        self.assertEqual(unsent, [0])

    async def test_caller_that_leaves(self) -> None:
        """A caller that closes its connection does not hold up the stop."""
        async with running_slow_rig() as rig:
            caller = await self.ask(rig, b'1.1')
            await asyncio.sleep(_ANSWER_SECONDS)
            caller.close()
            async with asyncio.timeout(_LIMIT_SECONDS):
                await rig.drain_entry(0)


class TestStopWithUvloop(TestStop):
    """The same with the event loop of the product's processes."""

    @classmethod
    def setUpClass(cls) -> None:  # noqa: N802
        """Use uvloop."""
        policy = asyncio.get_event_loop_policy()
        cls.addClassCleanup(asyncio.set_event_loop_policy, policy)
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
