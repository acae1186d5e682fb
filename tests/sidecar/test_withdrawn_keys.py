"""Tests of streams that are open while their key is withdrawn."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from siskinbank.config.site import Address
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.reasons import Drop
from siskinbank.lab.request_rig import RequestRig, wait_until
from siskinbank.peers.connect import PeerStreams
from siskinbank.util import digest64
from siskinbank.wire.keys import Key, KeyRing
from siskinbank.wire.request_messages import (
    GoAway,
    LinkOpened,
    OpenRequests,
    OpenTunnel,
    RequestHead,
    ResponseHead,
    TunnelOpened,
)
from siskinbank.wire.streams import MessageStream
from tests.raw_http import read_request, serving
from tests.request_case import RequestCase

OLD = Key(1, bytes(range(32)))
NEW = Key(2, bytes(range(100, 132)))
SERVICE = digest64('matcher')
#: The sidecar waits 3 s for its peer to close a link.
_CLOSE_SECONDS = 6
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_SMALL = len(_ANSWER)


class RecordingStreams(PeerStreams):
    """Streams of a process that remembers those that it opened."""

    def __init__(self, process: ProcessContext, keys: KeyRing) -> None:
        """Initialize without streams."""
        super().__init__(process, keys)
        self.opened: list[MessageStream] = []

    async def connect(self, address: Address) -> MessageStream:
        """Open a stream and remember it."""
        stream = await super().connect(address)
        self.opened.append(stream)
        return stream


def make_head(number: int) -> RequestHead:
    """Return the head of a request without a body."""
    return RequestHead(
        number=number,
        service=SERVICE,
        key='',
        ticket='',
        idempotent=True,
        due=1e12,
        bounded=False,
        method='GET',
        target=f'/{number}',
        length=0,
        headers=[],
    )


class TestWithdrawnKeys(RequestCase):
    """An entry and a sidecar that have their own key rings."""

    def setUp(self) -> None:
        """Create the rings; all processes have only the old key."""
        self.rings = {
            role: KeyRing([OLD]) for role in ('entry', 'sidecar', 'caller')
        }
        self.streams: dict[str, RecordingStreams] = {}
        self.asked: list[bytes] = []
        self.may_answer = asyncio.Event()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[RequestRig]:
        """Run a rig with TLS, whose entry connects to the sidecar itself."""
        rig = RequestRig(random.Random(1), streams=self.open_streams)
        await rig.start(1, 1)
        self.host = rig.hosts['matcher-1']
        self.host.link_address = self.host.sidecar_address
        rig.publish()
        try:
            async with serving(self.host, self.answer):
                yield rig
        finally:
            await rig.stop()

    def open_streams(self, process: ProcessContext) -> PeerStreams:
        """Return the streams of a process with the keys of its role."""
        role = process.role
        self.streams[role] = RecordingStreams(process, self.rings[role])
        return self.streams[role]

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection once that is allowed."""
        while request := await read_request(reader):
            self.asked.append(request.split()[1])
            await self.may_answer.wait()
            writer.write(_ANSWER)

    def replace_keys(self, *keys: Key) -> None:
        """Replace the keys of the entry and the sidecar."""
        for role in ('entry', 'sidecar'):
            self.rings[role].replace(keys)

    async def connect(self) -> MessageStream:
        """Open a stream of a caller to the sidecar."""
        process = ProcessContext('caller', 'test')
        streams = self.open_streams(process)
        return await streams.connect(self.host.sidecar_address)

    async def test_new_requests_use_new_link(self) -> None:
        """An idle link is closed, and the next request opens another one."""
        self.may_answer.set()
        async with self.running() as rig:
            url = rig.urls()[0]
            self.assertEqual((await self.post(url))[0], 'answered')
            self.replace_keys(NEW)
            self.assertEqual((await self.post(url))[0], 'answered')
            opened = self.streams['entry'].opened
            self.assertEqual(len(opened), 2)
            await wait_until(opened[0].writer.is_closing)
            self.assertFalse(opened[1].writer.is_closing())

    async def test_request_in_progress(self) -> None:
        """A request that was sent before is answered on its link."""
        async with self.running() as rig:
            sent = asyncio.create_task(self.post(rig.urls()[0]))
            await wait_until(lambda: self.asked)
            self.replace_keys(NEW)
            await asyncio.sleep(0.1)
            link = self.streams['entry'].opened[0]
            self.assertFalse(link.writer.is_closing())
            self.may_answer.set()
            self.assertEqual(await sent, ('answered', b'ok'))
            await wait_until(link.writer.is_closing)
            self.assertEqual(len(self.asked), 1)

    async def test_peer_that_keeps_its_link(self) -> None:
        """A sidecar runs no new request of a peer that keeps the old key."""
        async with self.running(), asyncio.timeout(_CLOSE_SECONDS):
            link = await self.connect()
            await link.send(OpenRequests('test'))
            self.assertIsInstance(await link.receive(), LinkOpened)
            await link.send(make_head(1))
            await wait_until(lambda: self.asked)
            self.rings['sidecar'].replace([NEW])
            self.assertEqual(await link.receive(), GoAway(1))
            await link.send(make_head(2))
            self.may_answer.set()
            self.assertIsInstance(await link.receive(), ResponseHead)
            await link.reader.read()
            self.assertEqual(self.asked, [b'/1'])
            self.check_refused()

    async def test_sidecar_with_withdrawn_key(self) -> None:
        """An entry sends no new request to a sidecar that has the old key."""
        self.may_answer.set()
        self.rings['entry'].replace([NEW, OLD])
        self.rings['sidecar'].replace([OLD, NEW])
        async with self.running() as rig:
            url = rig.urls()[0]
            self.assertEqual((await self.post(url))[0], 'answered')
            self.rings['entry'].replace([NEW])
            self.assertEqual((await self.post(url))[0], 'not-run')
            self.assertEqual(len(self.asked), 1)

    async def test_connection(self) -> None:
        """An open connection of a caller goes on; no further one opens."""
        self.may_answer.set()
        async with self.running():
            opened = await self.connect()
            waiting = await self.connect()
            hello = OpenTunnel(SERVICE, '127.0.0.1:1')
            await opened.send(hello)
            self.assertIsInstance(await opened.receive(), TunnelOpened)
            self.rings['sidecar'].replace([NEW])
            request = b'GET /tunnel HTTP/1.1\r\n\r\n'
            opened.writer.write(len(request).to_bytes(4, 'big') + request)
            answer = await opened.reader.readexactly(4 + _SMALL)
            self.assertEqual(answer[4:], _ANSWER)
            await waiting.send(hello)
            self.assertIsNone(await waiting.receive())
            self.check_refused()
            opened.writer.close()

    async def test_rotation(self) -> None:
        """A rotation whose steps reach one process first fails no request."""
        self.may_answer.set()
        outcomes: list[str] = []

        async def ask(url: str) -> None:
            while True:
                outcomes.append((await self.post(url))[0])

        async with self.running() as rig:
            load = [asyncio.create_task(ask(url)) for url in rig.urls() * 3]
            for keys in ((OLD, NEW), (NEW, OLD), (NEW,)):
                for role in ('sidecar', 'entry'):
                    self.rings[role].replace(keys)
                    await asyncio.sleep(0.2)
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
            await asyncio.sleep(0.1)
            opened = self.streams['entry'].opened
            still_open = [
                stream for stream in opened if not stream.writer.is_closing()
            ]
            self.assertEqual(still_open, opened[-1:])
            self.assertGreater(len(opened), 1)
        self.assertEqual(set(outcomes), {'answered'})

    def check_refused(self) -> None:
        """Check that the sidecar counted what it refused."""
        process = self.host.process
        assert process is not None
        self.assertEqual(process.metrics.value(Drop.unkeyed_stream), 1)
