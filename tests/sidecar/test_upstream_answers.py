"""Tests of answers that an upstream sends twice or late."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from http import HTTPStatus

from siskinbank.wire.headers import DEADLINE_HEADER
from tests.raw_http import (
    Serve,
    read_request,
    serving,
)
from tests.request_case import RequestCase, running_rig


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
