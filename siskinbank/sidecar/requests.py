"""Run numbered requests on the upstream, within its slots."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp

from siskinbank.kernel.reasons import Refusal
from siskinbank.sidecar.context import SidecarContext
from siskinbank.wire.headers import forwarded_headers
from siskinbank.wire.messages import (
    AnswerHead,
    BodyPart,
    Cancel,
    Failed,
    Message,
    MessageError,
    Refused,
    RequestHead,
)
from siskinbank.wire.streams import MessageStream

__all__ = ('RequestServer',)

_QUEUED_PARTS = 16
_CHUNK_BYTES = 64 * 1024
_RETRY_AFTER_SECONDS = 1
_MAX_KEYS = 100_000


@dataclass(slots=True)
class _Running:
    """One request that is being received or run."""

    head: RequestHead
    stream: MessageStream
    body: asyncio.Queue[BodyPart] = field(
        default_factory=lambda: asyncio.Queue(_QUEUED_PARTS),
    )
    task: asyncio.Task[None] | None = None


class RequestServer:
    """Serves the request streams of all entries."""

    def __init__(self, context: SidecarContext) -> None:
        """Run requests on the context's upstream."""
        self._context = context
        self._metrics = context.process.metrics
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._keys: dict[str, None] = {}

    async def serve(self, stream: MessageStream) -> None:
        """Read one stream until its end; cancel what it leaves behind."""
        running: dict[int, _Running] = {}
        try:
            while (received := await stream.receive()) is not None:
                await self._dispatch(received, stream, running)
        except (MessageError, OSError):
            self._metrics.count(Refusal.malformed)
        finally:
            for number in list(running):
                _cancel(running, number)

    async def drain(self) -> None:
        """Wait until no request is running."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        if self._session is not None:
            await self._session.close()

    async def _dispatch(
        self,
        received: Message,
        stream: MessageStream,
        running: dict[int, _Running],
    ) -> None:
        if isinstance(received, RequestHead):
            self._start(received, stream, running)
        elif isinstance(received, BodyPart):
            await _queue_part(running, received)
        elif isinstance(received, Cancel):
            _cancel(running, received.number)

    def _start(
        self,
        head: RequestHead,
        stream: MessageStream,
        running: dict[int, _Running],
    ) -> None:
        request = _Running(head, stream)
        running[head.number] = request
        task = asyncio.create_task(self._run(request))
        request.task = task
        self._tasks.add(task)

        def finish(_task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            running.pop(head.number, None)

        task.add_done_callback(finish)

    async def _run(self, request: _Running) -> None:
        head = request.head
        if self._seen(head):
            await request.stream.send(Failed(head.number, 'duplicate-key'))
            return
        reason = self._refusal(head)
        if reason is not None:
            self._metrics.count(reason)
            refused = Refused(head.number, reason.value, _RETRY_AFTER_SECONDS)
            await request.stream.send(refused)
            return
        limits = self._context.limits
        assert limits is not None
        try:
            async with asyncio.timeout(head.deadline):
                await self._ask_upstream(request)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason_text = type(error).__name__
            await request.stream.send(Failed(head.number, reason_text))
        finally:
            limits.slots.give_back()

    def _seen(self, head: RequestHead) -> bool:
        return bool(head.key) and not head.idempotent and head.key in self._keys

    def _refusal(self, head: RequestHead) -> Refusal | None:
        context = self._context
        service = context.service
        if service is None or head.service != service.ident:
            return Refusal.wrong_service
        if context.settings.upstream_http is None:
            return Refusal.unreachable
        if not context.takes_work:
            return Refusal.draining
        if head.deadline <= 0:
            return Refusal.expired
        if context.limits is None or not context.limits.slots.take():
            return Refusal.at_limit
        if head.key and not head.idempotent:
            self._remember(head.key)
        return None

    def _remember(self, key: str) -> None:
        self._keys[key] = None
        if len(self._keys) > _MAX_KEYS:
            del self._keys[next(iter(self._keys))]

    async def _ask_upstream(self, request: _Running) -> None:
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        head = request.head
        base = self._context.settings.upstream_http
        has_body = head.method not in {'GET', 'HEAD', 'OPTIONS'}
        async with self._session.request(
            head.method,
            f'{base}{head.target}',
            headers=[(name, text) for name, text in head.headers],
            data=_body(request) if has_body else None,
            allow_redirects=False,
        ) as answer:
            await request.stream.send(
                AnswerHead(
                    head.number,
                    answer.status,
                    forwarded_headers(answer.headers),
                ),
            )
            await _send_parts(request, answer)


async def _send_parts(
    request: _Running,
    answer: aiohttp.ClientResponse,
) -> None:
    number = request.head.number
    part = 0
    async for chunk in answer.content.iter_chunked(_CHUNK_BYTES):
        await request.stream.send(BodyPart(number, part, False, chunk))
        part += 1
    await request.stream.send(BodyPart(number, part, True, b''))


async def _body(request: _Running) -> AsyncIterator[bytes]:
    while True:
        part = await request.body.get()
        if part.content:
            yield part.content
        if part.last:
            return


async def _queue_part(running: dict[int, _Running], part: BodyPart) -> None:
    request = running.get(part.number)
    if request is None or request.task is None or request.task.done():
        return
    if part.last and not part.content and request.body.full():
        return
    await request.body.put(part)


def _cancel(running: dict[int, _Running], number: int) -> None:
    request = running.pop(number, None)
    if request is not None and request.task is not None:
        request.task.cancel()
