"""Fuzz tests of the HTTP ingress with bytes of callers and upstreams."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import logbook

from siskinbank.kernel.events import HANDLER_FAILED
from siskinbank.kernel.reasons import Doubt
from siskinbank.lab.request_rig import RequestRig
from tests.raw_http import read_request, serving
from tests.request_case import RequestCase, running_rig

_SEED = 1
_INPUTS = 400
#: Requests without an end are not answered.
_ANSWER_SECONDS = 1.0
#: Ends a run in which a request hangs. The deadline of a request is 30 s, and an
#: answer takes less than 0.5 s on an idle machine.
_HANG_SECONDS = 60.0
_STATUS_BYTES = 20
_PARALLEL = 50
_REPLACED_BYTES = (0, 1, 1, 4, 20)
_REQUESTS = (
    b'GET / HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'word ' * 20 + b'\r\n\r\n',
    b'POST /a?b=c HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345',
    b'PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\n12345\r\n0\r\nX: y\r\n\r\n',
    b'POST / HTTP/1.0\r\nIdempotency-Key: k\r\nSiskinbank-Deadline: 1\r\n'
    b'Siskinbank-Ticket: a.b\r\nSiskinbank-Idempotent: true\r\n\r\n',
)
_ANSWERS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\n12345',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\n12345\r\n0\r\nX: y\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.0 204 No\r\n\r\n',
)
_TOKENS = (
    b'\0',
    b'\xe9',
    b'\r\n',
    b'-1',
    b'9' * 30,
    b'Content-Length: 3\r\n',
    b'Content-Encoding: gzip\r\n',
    b'Connection: upgrade\r\nUpgrade: x\r\n',
    b'Expect: 100-continue\r\n',
    b'http://[',
    b'*',
    b'%',
)

Ask = Callable[[RequestRig, bytes], Awaitable[bytes]]


def make_inputs(seeds: tuple[bytes, ...]) -> list[bytes]:
    """Return mutations of valid messages."""
    rng = random.Random(_SEED)
    inputs = []
    for _ in range(_INPUTS):
        raw = rng.choice(seeds)
        while rng.randrange(3):
            raw = _mutate(raw, rng)
        inputs.append(raw)
    return inputs


def _mutate(raw: bytes, rng: random.Random) -> bytes:
    start = rng.randint(0, len(raw))
    inserted = (b'', rng.randbytes(1), rng.choice(_TOKENS))
    tail = raw[start + rng.choice(_REPLACED_BYTES) :]
    return raw[:start] + rng.choice(inserted) + tail


async def ask(
    rig: RequestRig, raw: bytes, seconds: float = _ANSWER_SECONDS
) -> bytes:
    """Send bytes; return the start of the answer, if there is one."""
    address = rig.entries[0].address
    reader, writer = await asyncio.open_connection(address, rig.port)
    writer.write(raw)
    try:
        async with asyncio.timeout(seconds):
            return await reader.read(_STATUS_BYTES)
    except (ConnectionResetError, TimeoutError):
        return b''
    finally:
        writer.close()


def count_expired(rig: RequestRig) -> int:
    """Return how many requests were given up at their deadline."""
    processes = [entry.process for entry in rig.entries]
    processes.extend(
        host.process for host in rig.hosts.values() if host.process
    )
    return sum(process.metrics.value(Doubt.expired) for process in processes)


class TestFuzzing(RequestCase):
    """Malformed bytes affect only their own request."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Collect unexpected errors."""
        await super().asyncSetUp()
        self.errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, failure: self.errors.append(failure),
        )
        self.log = logbook.TestHandler()

    def check_log(self) -> None:
        """Check that no unexpected error was logged."""
        events = [record.extra for record in self.log.records]
        failed = HANDLER_FAILED.number
        self.assertEqual(
            [extra for extra in events if extra['number'] == failed], []
        )
        self.assertEqual(self.errors, [])

    async def test_requests(self) -> None:
        """A malformed request is refused without an unexpected error."""
        inputs = make_inputs(_REQUESTS)
        with self.log:
            async with running_rig(entries=1, hosts=1, slots=_PARALLEL) as rig:
                answered = await self.ask_all(rig, inputs)
                self.assertEqual(
                    (await self.post(rig.urls()[0]))[0], 'answered'
                )
        self.assertGreater(answered, _INPUTS / 2)
        self.check_log()

    async def test_answers(self) -> None:
        """A malformed answer fails its own request.

        The upstream closes each connection, so every request is answered, and
        none has to wait for its deadline.
        """
        inputs = make_inputs(_ANSWERS)

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            head = await read_request(reader)
            writer.write(inputs[int(head.split()[1][1:])])

        asked = [
            b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n' % number
            for number in range(_INPUTS)
        ]
        with self.log:
            async with running_rig(entries=1, hosts=1, slots=_PARALLEL) as rig:
                async with serving(rig.hosts['matcher-1'], serve):
                    answered = await self.ask_all(rig, asked, _HANG_SECONDS)
                    expired = count_expired(rig)
        self.assertEqual(answered, _INPUTS)
        self.assertEqual(expired, 0)
        self.check_log()

    async def ask_all(
        self,
        rig: RequestRig,
        inputs: list[bytes],
        seconds: float = _ANSWER_SECONDS,
    ) -> int:
        """Send all requests; return how many were answered."""
        answered = 0
        for start in range(0, _INPUTS, _PARALLEL):
            batch = inputs[start : start + _PARALLEL]
            answers = await asyncio.gather(
                *(ask(rig, raw, seconds) for raw in batch)
            )
            for raw, answer in zip(batch, answers, strict=True):
                self.assertNotIn(b' 500 ', answer, raw)
                answered += bool(answer)
        return answered
