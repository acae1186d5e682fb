"""Tests of the request path: bodies, cancelling, deadlines, stops, faults."""

import asyncio
import gzip
from collections import Counter
from typing import Any

import aiohttp

from siskinbank.kernel.reasons import Drop, Refusal
from siskinbank.lab.request_rig import RequestRig, RigHost, wait_until
from siskinbank.lab.request_upstream import Behaviour
from siskinbank.util import digest64
from siskinbank.wire.headers import TICKET_HEADER
from siskinbank.wire.messages import Message
from siskinbank.wire.request_messages import (
    BodyPart,
    LinkOpened,
    OpenRequests,
    Refused,
    RequestHead,
    ResponseHead,
)
from siskinbank.wire.streams import MessageStream
from tests.raw_http import exchange, read_request, serving
from tests.request_case import RequestCase, running_rig

LARGE = 3_000_000
SERVICE = digest64('matcher')

#: Raw requests that must not reach an upstream.
SMUGGLED = (
    b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n'
    b'Content-Length: 5\r\n\r\nabcde',
    b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n',
    b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nX: b\0c\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nX y: b\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 70_000 + b'\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nSiskinbank-Deadline: nan\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nSiskinbank-Deadline: -1\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a b\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nSiskinbank-Idempotent: perhaps\r\n\r\n',
    b'CONNECT elsewhere:443 HTTP/1.1\r\nHost: a\r\n\r\n',
)


def make_head(number: int, **changed: Any) -> RequestHead:
    """Return the head of a valid request."""
    fields = {
        'number': number,
        'service': SERVICE,
        'key': '',
        'ticket': '',
        'idempotent': True,
        'due': 1e12,
        'bounded': False,
        'method': 'GET',
        'target': '/',
        'length': 0,
        'headers': [],
    }
    return RequestHead(**{**fields, **changed})


class TestBodies(RequestCase):
    """Large and slow bodies."""

    async def test_large_both_ways(self) -> None:
        """A large body is echoed whole, chunked or with its length."""
        body = bytes(range(250)) * (LARGE // 250)

        async def chunks() -> Any:
            yield body

        async with running_rig() as rig:
            for sent in (body, chunks()):
                got = await self.post(rig.urls()[0], sent)  # type: ignore[arg-type]
                self.assertEqual(got, ('answered', body))

    async def test_compressed(self) -> None:
        """A compressed body reaches the upstream as it was sent."""
        body = gzip.compress(b'body' * 1000)
        got = bytearray()

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            got.extend(await read_request(reader))
            got.extend(await reader.readexactly(len(body)))
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

        async with running_rig(entries=1, hosts=1) as rig:
            async with serving(rig.hosts['matcher-1'], serve):
                outcome, _body = await self.post(
                    rig.urls()[0], body, Content_Encoding='gzip'
                )
        self.assertEqual(outcome, 'answered')
        self.assertIn(b'Content-Encoding: gzip', got)
        self.assertTrue(got.endswith(body))

    async def test_headers_in_latin_1(self) -> None:
        """Header values that are not in UTF-8 are forwarded both ways."""
        got = bytearray()

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            got.extend(await read_request(reader))
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: caf\xe9\r\n\r\n'
            )

        async with running_rig(entries=1, hosts=1) as rig:
            async with serving(rig.hosts['matcher-1'], serve):
                answer = await exchange(
                    rig,
                    b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
                    b'X: caf\xe9\r\nY: \xc3\xa9\r\n\r\n',
                )
        self.assertIn('X: café\r\n'.encode(), answer.content)
        self.assertIn('X: café\r\nY: é\r\n'.encode(), got)

    async def test_slow_bodies_do_not_block_others(self) -> None:
        """Other requests pass a slow sender and a slow reader on one link."""
        async with running_rig(entries=1, hosts=1, slots=5) as rig:
            url = rig.urls()[0]
            go_on = asyncio.Event()

            async def slow() -> Any:
                yield bytes(100_000)
                await go_on.wait()
                yield b'end'

            sender = asyncio.create_task(self.post(url, slow()))  # type: ignore[arg-type]
            reading = await self.session.post(url, data=bytes(LARGE))
            for _ in range(20):
                outcome, _body = await self.post(url, bytes(50_000))
                self.assertEqual(outcome, 'answered')
            go_on.set()
            self.assertEqual((await sender)[0], 'answered')
            self.assertEqual(len(await reading.read()), LARGE)

    async def test_cut_answer_cuts_connection(self) -> None:
        """The connection is aborted, so that the caller detects the cut."""
        async with running_rig(entries=1, hosts=1) as rig:
            host = rig.hosts['matcher-1']
            host.upstream.behaviour = Behaviour.cut
            self.assertEqual((await self.post(rig.urls()[0]))[0], 'lost')


class TestCancelling(RequestCase):
    """Deadlines and callers that disconnect."""

    async def test_caller_disconnects(self) -> None:
        """The upstream's run is cancelled and its slot is free again."""
        async with running_rig(entries=1, hosts=1, slots=1) as rig:
            host = rig.hosts['matcher-1']
            await self.hang(rig, host)
            host.upstream.behaviour = Behaviour.answer
            outcome, _body = await self.post(rig.urls()[0])
            self.assertEqual(outcome, 'answered')

    async def hang(self, rig: RequestRig, host: RigHost) -> None:
        """Start a request that hangs, and cancel it."""
        host.upstream.behaviour = Behaviour.hang
        caller = asyncio.create_task(self.post(rig.urls()[0]))
        await wait_until(lambda: host.upstream.runs.total())
        caller.cancel()
        await wait_until(lambda: host.upstream.cancelled)

    async def test_deadline_reaches_the_upstream(self) -> None:
        """The remaining time is forwarded and ends a run that hangs."""
        async with running_rig(entries=1, hosts=1) as rig:
            host = rig.hosts['matcher-1']
            host.upstream.behaviour = Behaviour.hang
            outcome, _body = await self.post(rig.urls()[0], deadline=0.5)
            self.assertEqual(outcome, 'unknown')
            given = float(host.upstream.headers[0]['Siskinbank-Deadline'])
            self.assertLess(given, 0.5)
            await wait_until(lambda: host.upstream.cancelled)

    async def test_expired(self) -> None:
        """A request without time left is not run."""
        async with running_rig(entries=1, hosts=1) as rig:
            outcome, _body = await self.post(rig.urls()[0], deadline=0)
            self.assertEqual(outcome, 'not-run')
            self.assertEqual(rig.hosts['matcher-1'].upstream.arrivals, 0)

    async def test_silent_host(self) -> None:
        """Idempotent requests are retried if a host is suspended."""
        async with running_rig(entries=1, hosts=2) as rig:
            url = rig.urls()[0]
            rig.hosts['matcher-1'].link.pause()
            outcomes = [
                await self.post(url, Siskinbank_Idempotent='true')
                for _ in range(4)
            ]
            self.assertGreaterEqual(outcomes.count(('answered', b'body')), 3)

    async def test_full_host_refuses_and_never_runs_late(self) -> None:
        """With full slots and queue, further requests are refused."""
        async with running_rig(entries=1, hosts=1, slots=2) as rig:
            host = rig.hosts['matcher-1']
            host.upstream.work_seconds = 0.2
            answers = await asyncio.gather(
                *(
                    self.post(rig.urls()[0], key=f'k{number}')
                    for number in range(20)
                ),
            )
            counts = Counter(outcome for outcome, _body in answers)
            self.assertEqual(counts, {'answered': 4, 'not-run': 16})
            self.assertEqual(host.upstream.arrivals, 4)


class TestPlannedStops(RequestCase):
    """A planned stop cuts no requests."""

    async def test_entry(self) -> None:
        """Open requests are answered, then the connections are closed."""
        async with running_rig(entries=1, hosts=1) as rig:
            host = rig.hosts['matcher-1']
            host.upstream.work_seconds = 0.3
            url = rig.urls()[0]
            caller = asyncio.create_task(self.post(url))
            await wait_until(lambda: host.upstream.arrivals)
            stop = asyncio.create_task(rig.drain_entry(0))
            self.assertEqual((await caller)[0], 'answered')
            await stop
            self.assertEqual((await self.post(url))[0], 'lost')

    async def test_sidecar(self) -> None:
        """It finishes open requests; new ones go to other hosts."""
        async with running_rig(entries=1, hosts=2) as rig:
            url = rig.urls()[0]
            for host in rig.hosts.values():
                host.upstream.work_seconds = 0.2
            first = rig.hosts['matcher-1'].upstream
            callers: list[asyncio.Task[tuple[str, str]]] = []

            def all_arrived() -> bool:
                return _arrivals(rig) >= len(callers)

            # Hosts are chosen at random: send until the first one has a request.
            while not first.arrivals:
                callers.append(asyncio.create_task(self.post(url)))
                await wait_until(all_arrived)
            await rig.drain_sidecar('matcher-1')
            outcomes = {(await caller)[0] for caller in callers}
            outcomes.add((await self.post(url))[0])
            self.assertEqual(outcomes, {'answered'})


def _arrivals(rig: RequestRig) -> int:
    return sum(host.upstream.arrivals for host in rig.hosts.values())


class TestMalformed(RequestCase):
    """Invalid input is refused and counted; other requests succeed."""

    async def test_request_smuggling(self) -> None:
        """An invalid request gets a 4xx answer and reaches no upstream."""
        async with running_rig(entries=1, hosts=1) as rig:
            address = rig.entries[0].address
            for raw in SMUGGLED:
                with self.subTest(raw[:60]):
                    reader, writer = await asyncio.open_connection(
                        address,
                        rig.port,
                    )
                    writer.write(raw)
                    line = await reader.readline()
                    self.assertRegex(line, b'HTTP/1.[01] 4')
                    writer.close()
            self.assertEqual(rig.hosts['matcher-1'].upstream.arrivals, 0)
            metrics = rig.entries[0].process.metrics
            self.assertEqual(metrics.total('refusal'), len(SMUGGLED))

    async def test_invalid_messages(self) -> None:
        """Invalid heads, numbers and parts affect only their own request."""
        async with running_rig(entries=1, hosts=1) as rig:
            host = rig.hosts['matcher-1']
            stream = await self.open_stream(host)
            sent = (
                make_head(1, headers=[['a', 'b\r\nc: d']]),
                make_head(2, headers=[['Transfer-Encoding', 'chunked']]),
                make_head(3, target='/ HTTP/1.1\r\nc: d'),
                make_head(4, service=1),
                make_head(5, due=-1.0),
                make_head(6),
                make_head(6),
                make_head(2),
                BodyPart(99, 0, True, b''),
            )
            for message in sent:
                await stream.send(message)
            refused, answered = await self.collect(stream, 6)
            self.assertEqual(
                refused,
                {
                    1: Refusal.malformed,
                    2: Refusal.malformed,
                    3: Refusal.malformed,
                    4: Refusal.wrong_service,
                    5: Refusal.expired,
                },
            )
            self.assertEqual(answered, {6})
            self.assertEqual(host.upstream.arrivals, 1)
            assert host.process is not None
            metrics = host.process.metrics
            self.assertEqual(metrics.value(Drop.reused_number), 2)
            self.assertEqual(metrics.value(Refusal.malformed), 3)
            stream.writer.close()

    async def test_body_out_of_order(self) -> None:
        """A request with a malformed body fails; another one succeeds."""
        async with running_rig(entries=1, hosts=1) as rig:
            host = rig.hosts['matcher-1']
            stream = await self.open_stream(host)
            await stream.send(make_head(1, method='POST', length=-1))
            await stream.send(BodyPart(1, 1, True, b'late'))
            await stream.send(make_head(2))
            _refused, answered = await self.collect(stream, 1)
            self.assertEqual(answered, {2})
            assert host.process is not None
            metrics = host.process.metrics
            self.assertEqual(metrics.value(Drop.malformed), 1)
            stream.writer.close()

    async def open_stream(self, host: RigHost) -> MessageStream:
        """Open a request link to a sidecar, as an entry does."""
        connection = await asyncio.open_connection(*host.sidecar_address)
        stream = MessageStream(*connection)
        await stream.send(OpenRequests('test'))
        self.assertIsInstance(await stream.receive(), LinkOpened)
        return stream

    async def collect(
        self,
        stream: MessageStream,
        count: int,
    ) -> tuple[dict[int, str], set[int]]:
        """Return refusals and answers, up to ``count`` replies."""
        refused: dict[int, str] = {}
        answered: set[int] = set()
        while len(refused) + len(answered) < count:
            received: Message | None = await stream.receive()
            if isinstance(received, Refused):
                refused[received.number] = received.reason
            elif isinstance(received, ResponseHead):
                answered.add(received.number)
        return refused, answered


class TestProblems(RequestCase):
    """Problem documents sent to callers."""

    async def test_documents(self) -> None:
        """Documents have status, outcome, reason and Retry-After."""
        async with running_rig(entries=1, hosts=1) as rig:
            url = rig.urls()[0]
            rig.hosts['matcher-1'].state = 'draining'
            rig.publish()
            cases = (
                ({}, 503, 'not-run', 'no-host', '1'),
                ({TICKET_HEADER: 'x'}, 409, 'unknown', 'bad-ticket', None),
                (
                    {'Siskinbank-Deadline': 'x'},
                    400,
                    'not-run',
                    'malformed',
                    None,
                ),
            )
            for headers, status, outcome, reason, retry in cases:
                with self.subTest(reason):
                    wanted = (outcome, reason)
                    got = await self.session.post(url, headers=headers)
                    problem = await got.json(content_type=None)
                    self.assert_problem(got, problem, wanted)
                    self.assertEqual(got.status, status)
                    self.assertEqual(got.headers.get('Retry-After'), retry)

    def assert_problem(
        self,
        got: aiohttp.ClientResponse,
        problem: dict[str, Any],
        wanted: tuple[str, str],
    ) -> None:
        """Check the fields of a problem document."""
        self.assertEqual(got.content_type, 'application/problem+json')
        self.assertEqual((problem['outcome'], problem['reason']), wanted)
        self.assertEqual(
            problem['type'], 'urn:siskinbank:{0}:{1}'.format(*wanted)
        )
        self.assertEqual(problem['status'], got.status)
