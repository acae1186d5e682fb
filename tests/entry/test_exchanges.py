"""Tests of answers of a sidecar that does not follow the protocol."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence

import aiohttp

from siskinbank.wire.messages import Message
from siskinbank.wire.request_messages import (
    BodyPart,
    Failed,
    LinkOpened,
    Refused,
    RequestHead,
    ResponseHead,
)
from siskinbank.wire.streams import MessageStream
from tests.request_case import RequestCase, running_rig

#: Returns the messages that a sidecar sends after the head of a request.
Answer = Callable[[RequestHead], Sequence[Message]]


def head_of(number: int, length: int, status: int = 200) -> ResponseHead:
    """Return the head of an answer."""
    return ResponseHead(number, status, length, 0, [])


def echo(request: RequestHead) -> Sequence[Message]:
    """Return a complete answer, the target of the request."""
    target = request.target.encode()
    return (
        head_of(request.number, len(target)),
        BodyPart(request.number, 0, False, target),
        BodyPart(request.number, 1, True, b''),
    )


def answer_twice(request: RequestHead) -> Sequence[Message]:
    """Repeat the answer to the previous request, then answer this one."""
    before = RequestHead(
        request.number - 1, 0, '', '', False, 0, False, '', 'old', 0, []
    )
    copy = echo(before)
    return (*copy, *echo(request), *copy, *echo(request))


def cut_short(sent: int, *rest: Message) -> Answer:
    """Return an answer with a length of 5 of which ``sent`` bytes are sent."""

    def answer(request: RequestHead) -> Sequence[Message]:
        number = request.number
        if request.target == '/next':
            return echo(request)
        content = b'12345'[:sent]
        parts = [BodyPart(number, 0, False, content)] if content else []
        end = BodyPart(number, len(parts), True, b'')
        return (head_of(number, 5), *parts, *rest, end)

    return answer


CUT = {
    'no body': cut_short(0),
    'half': cut_short(2),
    'failed': cut_short(2, Failed(1, 'failed', 0)),
    'refused': cut_short(2, Refused(1, 'draining', 1)),
    'part missing': cut_short(2, BodyPart(1, 2, False, b'345')),
    'another head': cut_short(2, head_of(1, 3)),
}


class TestAnswers(RequestCase):
    """The next caller of a link or connection gets its own answer."""

    async def test_second_copies(self) -> None:
        """Messages of a request that has ended are dropped."""
        async with self._running(answer_twice) as url:
            for number in range(20):
                async with self.session.get(f'{url}/{number}') as got:
                    self.assertEqual(await got.text(), f'/{number}')

    async def test_second_copies_under_load(self) -> None:
        """The same with requests that are open at the same time."""
        async with self._running(answer_twice) as url:
            await asyncio.gather(
                *(self._get_many(url, caller) for caller in range(20))
            )

    async def test_cut_short(self) -> None:
        """A short answer ends the caller's connection."""
        for label, answer in CUT.items():
            with self.subTest(label):
                await self._check_cut_short(answer)

    async def test_no_body(self) -> None:
        """A length without a body is regular for HEAD and 304."""

        def answer(request: RequestHead) -> Sequence[Message]:
            status = 200 if request.method == 'HEAD' else 304
            end = BodyPart(request.number, 0, True, b'')
            return (head_of(request.number, 5, status), end)

        async with self._running(answer) as url:
            for method in ('HEAD', 'GET', 'HEAD', 'GET'):
                got = await self.session.request(method, url)
                self.assertEqual(await got.read(), b'')

    async def _check_cut_short(self, answer: Answer) -> None:
        async with self._running(answer) as url:
            with self.assertRaises(aiohttp.ClientError):
                await self._get(url, '/first')
            self.assertEqual(await self._get(url, '/next'), '/next')

    async def _get_many(self, url: str, caller: int) -> None:
        for number in range(10):
            path = f'/{caller}/{number}'
            self.assertEqual(await self._get(url, path), path)

    async def _get(self, url: str, path: str) -> str:
        async with asyncio.timeout(3), self.session.get(url + path) as got:
            return await got.text()

    @contextlib.asynccontextmanager
    async def _running(self, answer: Answer) -> AsyncIterator[str]:
        """Run an entry whose only sidecar sends the messages of ``answer``."""

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            stream = MessageStream(reader, writer)
            await stream.receive()
            await stream.send(LinkOpened('matcher-1', 1, 0))
            while (received := await stream.receive()) is not None:
                is_head = isinstance(received, RequestHead)
                for message in answer(received) if is_head else ():
                    await stream.send(message)
            writer.close()

        async with running_rig(entries=1, hosts=1) as rig:
            await rig.kill_sidecar('matcher-1')
            server = await asyncio.start_server(
                serve, *rig.hosts['matcher-1'].sidecar_address
            )
            async with server:
                yield rig.urls()[0]
