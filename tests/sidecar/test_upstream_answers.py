"""Tests of answers that an upstream breaks off or sends twice."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from http import HTTPStatus

from siskinbank.wire.headers import DEADLINE_HEADER
from tests.raw_http import (
    Received,
    Serve,
    exchange,
    read_request,
    reset,
    serving,
)
from tests.request_case import RequestCase, running_rig

_ASK = b'%s / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_CLOSE_DELIMITED = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
_WITH_LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n'

#: Answers that end before they are complete. Those with a reset would be
#: complete if the upstream had closed the connection in the regular way.
BROKEN_OFF = (
    ('length, no body', _WITH_LENGTH, False),
    ('length, last byte missing', _WITH_LENGTH + b'123456789', False),
    ('length, reset before last byte', _WITH_LENGTH + b'123456789', True),
    ('chunked, no chunk', _CHUNKED, False),
    ('chunked, inside size', _CHUNKED + b'5\r\n12345\r\n5', False),
    ('chunked, inside chunk', _CHUNKED + b'5\r\n123', False),
    ('chunked, no last chunk', _CHUNKED + b'5\r\n12345\r\n', False),
    ('chunked, no end', _CHUNKED + b'5\r\n12345\r\n0\r\n', False),
    ('chunked, inside trailer', _CHUNKED + b'5\r\n12345\r\n0\r\nX: y', False),
    (
        'chunked, after trailer',
        _CHUNKED + b'5\r\n12345\r\n0\r\nX: y\r\n',
        False,
    ),
    ('chunked, last byte missing', _CHUNKED + b'5\r\n12345\r\n0\r\n\r', False),
    ('chunked, reset', _CHUNKED + b'5\r\n12345\r\n0\r\n\r', True),
    ('close-delimited, reset', _CLOSE_DELIMITED + b'12345', True),
    ('close-delimited, reset before body', _CLOSE_DELIMITED, True),
)
#: Answers without a body, by method, status line and headers.
EMPTY = (
    (b'HEAD', b'200 OK', b'Content-Length: 10'),
    (b'HEAD', b'200 OK', b'Transfer-Encoding: chunked'),
    (b'GET', b'204 No Content', b'X: y'),
    (b'GET', b'304 Not Modified', b'Content-Length: 10'),
    (b'GET', b'304 Not Modified', b'Transfer-Encoding: chunked'),
)


class TestBrokenOff(RequestCase):
    """A caller can tell a broken-off answer from a complete one."""

    async def test_broken_off(self) -> None:
        """The answer misses its end, or is an unknown outcome."""
        for label, answer, with_reset in BROKEN_OFF:
            with self.subTest(label):
                got = await self._answer(_ASK % b'GET', answer, with_reset)
                self._assert_incomplete(got.content)

    async def test_broken_off_for_old_callers(self) -> None:
        """A caller whose answers end with the connection gets a reset."""
        ask = b'GET / HTTP/1.0\r\nHost: a\r\n\r\n'
        for label, answer, with_reset in BROKEN_OFF:
            with self.subTest(label):
                got = await self._answer(ask, answer, with_reset)
                if b'Content-Length' in got.content:
                    self.assertNotEqual(got.body, b'1234567890')
                else:
                    self.assertTrue(got.was_reset, got)

    async def test_empty(self) -> None:
        """An answer without a body ends after its head."""
        for method, status, header in EMPTY:
            with self.subTest((method, status, header)):
                answer = b'HTTP/1.1 %s\r\n%s\r\n\r\n' % (status, header)
                got = await self._answer(_ASK % method, answer, False)
                self.assertTrue(
                    got.content.startswith(b'HTTP/1.1 %s\r\n' % status), got
                )
                self.assertEqual(got.body, b'')

    async def test_complete(self) -> None:
        """A complete answer of each form is delivered, for control."""
        answers = (
            _WITH_LENGTH + b'1234567890',
            _CHUNKED + b'5\r\n12345\r\n5\r\n67890\r\n0\r\nX: y\r\n\r\n',
            _CLOSE_DELIMITED + b'1234567890',
        )
        ask = b'GET / HTTP/1.0\r\nHost: a\r\n\r\n'
        for answer in answers:
            with self.subTest(answer):
                got = await self._answer(ask, answer, False)
                self.assertEqual(
                    (got.body, got.was_reset), (b'1234567890', False)
                )

    async def _answer(
        self, ask: bytes, answer: bytes, with_reset: bool
    ) -> Received:
        """Return what a caller gets when the upstream sends ``answer``."""

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await read_request(reader)
            writer.write(answer)
            # The bytes must have been read before a reset discards them.
            await asyncio.sleep(0.1)
            if with_reset:
                reset(writer)

        async with running_rig(entries=1, hosts=1) as rig:
            async with serving(rig.hosts['matcher-1'], serve):
                return await exchange(rig, ask)

    def _assert_incomplete(self, content: bytes) -> None:
        head, _separator, body = content.partition(b'\r\n\r\n')
        if head.startswith(b'HTTP/1.1 502 '):
            self.assertIn(b'Siskinbank-Outcome: unknown', head)
        elif b'Transfer-Encoding: chunked' in head:
            self.assertFalse(body.endswith(b'0\r\n\r\n'), content)
        else:
            self.assertIn(b'Content-Length: 10', head)
            self.assertLess(len(body), 10)


class TestSecondCopies(RequestCase):
    """An answer reaches only the caller whose request it answers."""

    async def test_second_copy(self) -> None:
        """Bytes that arrive between two requests answer neither."""
        async with self._running(_answer_twice(0.05)) as url:
            for number in range(10):
                await self._get(url, f'/{number}')
                await asyncio.sleep(0.1)

    async def test_second_copy_under_load(self) -> None:
        """The same with many callers, who reuse connections at once."""
        async with self._running(_answer_twice(0)) as url:
            await asyncio.gather(
                *(self._get_many(url, caller) for caller in range(20))
            )

    async def test_late_answer(self) -> None:
        """An answer after the deadline does not reach the next caller."""
        late = {DEADLINE_HEADER: '0.2'}
        async with self._running(_answer_late) as url:
            for number in range(5):
                async with self.session.get(f'{url}/late', headers=late) as got:
                    self.assertEqual(got.status, HTTPStatus.GATEWAY_TIMEOUT)
                await self._get(url, f'/{number}')

    async def _get_many(self, url: str, caller: int) -> None:
        for number in range(20):
            await self._get(url, f'/{caller}/{number}')

    async def _get(self, url: str, path: str) -> None:
        async with self.session.get(url + path) as got:
            self.assertEqual(await got.text(), path)

    @contextlib.asynccontextmanager
    async def _running(self, serve: Serve) -> AsyncIterator[str]:
        async with running_rig(entries=1, hosts=1, slots=30) as rig:
            async with serving(rig.hosts['matcher-1'], serve):
                yield rig.urls()[0]


def _answer_twice(pause: float) -> Serve:
    """Return a server that repeats each answer after ``pause`` seconds."""

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while head := await read_request(reader):
            answer = _echo_path(head)
            writer.write(answer)
            await asyncio.sleep(pause)
            writer.write(answer)

    return serve


async def _answer_late(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while head := await read_request(reader):
        if head.startswith(b'GET /late '):
            await asyncio.sleep(0.3)
        writer.write(_echo_path(head))


def _echo_path(head: bytes) -> bytes:
    path = head.split()[1]
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(path),
        path,
    )
