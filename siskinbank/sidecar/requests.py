"""Run the numbered requests of entries on the upstream, within its slots."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp

from siskinbank.coordination.tickets import TICKET_SECONDS
from siskinbank.kernel.reasons import Doubt, Drop, Refusal
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.execution_claims import ExecutionClaims
from siskinbank.sidecar.fencing import KeyFencer
from siskinbank.sidecar.slots import SlotQueue
from siskinbank.sidecar.upstream import UpstreamAnswer, UpstreamClient
from siskinbank.wire.bodies import (
    INITIAL_CREDIT_BYTES,
    WINDOW_BYTES,
    BodyReader,
    BodyTruncatedError,
    SendWindow,
    send_body,
)
from siskinbank.wire.headers import (
    forwarded_headers,
    header_problem,
    target_problem,
)
from siskinbank.wire.messages import Message, MessageError
from siskinbank.wire.request_messages import (
    BodyPart,
    Cancel,
    Credit,
    Failed,
    FenceKey,
    GoAway,
    IssueTicket,
    KeyFenced,
    LinkOpened,
    Ping,
    Refused,
    RequestHead,
    ResponseHead,
    TicketIssued,
)
from siskinbank.wire.streams import MessageStream

__all__ = ('RequestServer',)

_RETRY_AFTER_SECONDS = 1.0
_LINGER_SECONDS = 3
_MAX_REQUESTS_PER_LINK = 10_000
#: Statuses of an upstream that is overloaded or has no backend.
_OVERLOADED_STATUSES = frozenset((502, 503, 504))
_RUNS_METRIC = 'requests_run'
#: Errors after which the upstream may have read part of the request.
_FAILURES = (aiohttp.ClientError, BodyTruncatedError, OSError, ValueError)
#: Errors after which nothing of the request was sent.
_CONNECT_FAILURES = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


@dataclass(slots=True)
class _RunningRequest:
    """A request that is being received or run."""

    head: RequestHead
    link: '_ServedLink'
    body: BodyReader
    window: SendWindow
    task: asyncio.Task[None] | None = None


class _ServedLink:
    """The stream of an entry or another sidecar and its requests by number."""

    def __init__(self, stream: MessageStream) -> None:
        self.stream = stream
        self.running: dict[int, _RunningRequest] = {}
        self.highest_number = 0
        #: Whether no more requests are accepted, as the key was withdrawn.
        self.retired = False
        self.ended = asyncio.Event()

    def post(self, sent: Message) -> None:
        """Send one short message; a lost link is detected by ``receive``."""
        if not self.stream.writer.is_closing():
            self.stream.post(sent)


class RequestServer:
    """Serves the request streams of entries and other sidecars."""

    def __init__(self, context: SidecarContext) -> None:
        """Initialize a server for the context's upstream."""
        self._context = context
        self._metrics = context.process.metrics
        self._claims = ExecutionClaims(
            context, KeyFencer(context.process, context.streams).fence_at
        )
        self._slots = SlotQueue(context)
        self._client: UpstreamClient | None = None
        self._links: set[_ServedLink] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[
            type[Message], Callable[[Any, _ServedLink], None]
        ] = {
            RequestHead: self._start_request,
            IssueTicket: self._issue_ticket,
            FenceKey: self._fence_key,
            Ping: lambda asked, link: link.post(asked),
        }
        context.process.open_work['requests'] = lambda: len(self._tasks)
        context.process.on_close(self._close)
        context.streams.subscribe(self._retire_links)

    async def serve(self, stream: MessageStream) -> None:
        """Serve one stream until its end, then cancel its open requests."""
        link = _ServedLink(stream)
        self._links.add(link)
        link.post(
            LinkOpened(
                self._context.process.name,
                self._claims.office.incarnation,
                self._context.now,
            ),
        )
        if self._context.process.stopping.is_set():
            link.post(GoAway(0))
        try:
            while (received := await stream.receive()) is not None:
                self._dispatch(received, link)
        except MessageError:
            self._metrics.count(Drop.malformed)
        except OSError:
            self._metrics.count(Drop.link_lost)
        finally:
            self._close_link(link)

    async def drain(self) -> None:
        """Refuse new requests and finish the running ones.

        Then wait up to ``_LINGER_SECONDS`` for the entries to close their
        links.
        """
        for link in self._links:
            link.post(GoAway(link.highest_number))
        while self._tasks:
            await asyncio.wait(self._tasks)
        waits = [
            asyncio.create_task(served.ended.wait()) for served in self._links
        ]
        if waits:
            await asyncio.wait(waits, timeout=_LINGER_SECONDS)

    def _retire_links(self) -> None:
        """Accept no more requests on links whose key was withdrawn."""
        for link in self._links:
            if link.stream.withdrawn and not link.retired:
                link.retired = True
                link.post(GoAway(link.highest_number))
                self._context.process.start_task(_close_when_finished(link))

    async def _close(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._client is not None:
            await self._client.close()

    def _close_link(self, link: _ServedLink) -> None:
        self._links.discard(link)
        link.ended.set()
        if link.stream.dropped:
            self._metrics.count(Drop.doubled, link.stream.dropped)
        for request in list(link.running.values()):
            _cancel(request)

    def _dispatch(self, received: Message, link: _ServedLink) -> None:
        handler = self._handlers.get(type(received))
        if handler is not None:
            handler(received, link)
        elif isinstance(received, BodyPart | Credit | Cancel):
            request = link.running.get(received.number)
            if request is not None:
                self._continue_request(request, received)
        else:
            self._metrics.count(Drop.malformed)

    def _continue_request(
        self,
        request: _RunningRequest,
        received: BodyPart | Credit | Cancel,
    ) -> None:
        """Handle a message that belongs to an open request."""
        if isinstance(received, Credit):
            request.window.add_credit(received.size)
            return
        if isinstance(received, Cancel):
            _cancel(request)
            return
        problem = request.body.put(received)
        if problem is not None:
            self._metrics.count(problem)
            request.body.fail(BodyTruncatedError(problem.value))

    def _start_request(self, head: RequestHead, link: _ServedLink) -> None:
        if not self._use_number(head.number, link):
            return
        if len(link.running) >= _MAX_REQUESTS_PER_LINK:
            self._refuse(head, link, Refusal.at_limit)
            return
        body = BodyReader(head.number, link.post)
        request = _RunningRequest(head, link, body, SendWindow())
        link.running[head.number] = request
        task = asyncio.create_task(self._run(request))
        request.task = task
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish(request, done))

    def _use_number(self, number: int, link: _ServedLink) -> bool:
        """Mark a number as used; return False if the message is dropped."""
        if link.retired:
            self._context.streams.note_refusal('the key was withdrawn')
            return False
        if number <= link.highest_number:
            self._metrics.count(Drop.reused_number)
            return False
        link.highest_number = number
        return True

    def _finish(
        self, request: _RunningRequest, task: asyncio.Task[None]
    ) -> None:
        self._tasks.discard(task)
        request.link.running.pop(request.head.number, None)
        if not task.cancelled() and task.exception() is not None:
            self._metrics.count(Doubt.failed)
            self._fail(request, Doubt.failed)

    def _issue_ticket(self, asked: IssueTicket, link: _ServedLink) -> None:
        if not self._use_number(asked.number, link):
            return
        reason = self._refusal(asked.service)
        if reason is None and self._slots.full:
            reason = Refusal.at_limit
        if reason is not None:
            self._metrics.count(reason)
            link.post(
                Refused(asked.number, reason.value, _RETRY_AFTER_SECONDS),
            )
            return
        issued = self._claims.office.issue(asked.service, asked.key)
        link.post(TicketIssued(asked.number, issued, TICKET_SECONDS))

    def _fence_key(self, asked: FenceKey, link: _ServedLink) -> None:
        if not self._use_number(asked.number, link):
            return
        if self._claims.fence(asked.service, asked.key):
            link.post(KeyFenced(asked.number))
            return
        self._metrics.count(Doubt.unsettled)
        link.post(Failed(asked.number, Doubt.unsettled.value, 0))

    async def _run(self, request: _RunningRequest) -> None:
        head = request.head
        if header_problem(head.headers) or target_problem(
            head.method,
            head.target,
        ):
            self._refuse(head, request.link, Refusal.malformed)
            return
        cause = await self._claims.claim(head)
        if isinstance(cause, Doubt):
            self._metrics.count(cause)
            self._fail(request, cause, self._claims.retry_after(head, cause))
            return
        reason = cause or await self._admit(head)
        if reason is not None:
            self._refuse(head, request.link, reason)
            return
        if head.length:
            granted = WINDOW_BYTES - INITIAL_CREDIT_BYTES
            request.link.post(Credit(head.number, granted))
        try:
            await self._send_upstream(request)
        finally:
            self._slots.give_back()

    async def _admit(self, head: RequestHead) -> Refusal | None:
        """Take a slot, or release the claim and return the reason."""
        reason = self._refusal(head.service)
        if reason is None and head.due <= self._context.now:
            reason = Refusal.expired
        try:
            reason = reason or await self._slots.take(head.due)
        except asyncio.CancelledError:
            self._claims.release(head)
            raise
        if reason is not None:
            self._claims.release(head)
        return reason

    def _refusal(self, service: int) -> Refusal | None:
        context = self._context
        if context.service is None or service != context.service.ident:
            return Refusal.wrong_service
        if context.settings.upstream_http is None:
            return Refusal.unreachable
        return context.refusal

    def _refuse(
        self,
        head: RequestHead,
        link: _ServedLink,
        reason: Refusal,
    ) -> None:
        self._metrics.count(reason)
        retry_after = self._retry_after(reason)
        link.post(Refused(head.number, reason.value, retry_after))

    def _retry_after(self, reason: Refusal) -> float:
        """Return the seconds after which the caller may retry."""
        admission = self._context.admission
        if reason is Refusal.at_limit and admission is not None:
            return admission.limits.slots.retry_after
        return _RETRY_AFTER_SECONDS

    def _note_result(self, *, good: bool) -> None:
        admission = self._context.admission
        if admission is not None:
            admission.health_monitor.note_result(good=good)

    def _fail(
        self,
        request: _RunningRequest,
        doubt: Doubt,
        retry_after: float = 0,
    ) -> None:
        request.link.post(
            Failed(request.head.number, doubt.value, retry_after),
        )

    async def _send_upstream(self, request: _RunningRequest) -> None:
        base = self._context.settings.upstream_http
        assert base is not None
        if self._client is None:
            self._client = UpstreamClient(base)
        head = request.head
        left = head.due - self._context.now
        self._metrics.tally(_RUNS_METRIC)
        sent_at = self._context.now
        try:
            async with (
                asyncio.timeout(left) as limit,
                self._client.send(head, left, request.body.read) as answer,
            ):
                if not head.bounded:
                    limit.reschedule(None)
                self._note_result(
                    good=answer.status not in _OVERLOADED_STATUSES
                )
                self._metrics.time(
                    'upstream_answer', self._context.now - sent_at
                )
                await self._forward_answer(request, answer)
        except _CONNECT_FAILURES:
            self._note_result(good=False)
            self._claims.release(head)
            self._refuse(head, request.link, Refusal.unreachable)
        except TimeoutError:
            self._note_result(good=False)
            self._metrics.count(Doubt.expired)
            self._fail(request, Doubt.expired)
        except _FAILURES as error:
            # A truncated body or a lost link is no fault of the upstream.
            if isinstance(error, aiohttp.ClientError):
                self._note_result(good=False)
            self._metrics.count(Doubt.failed)
            self._fail(request, Doubt.failed)

    async def _forward_answer(
        self,
        request: _RunningRequest,
        answer: UpstreamAnswer,
    ) -> None:
        number = request.head.number
        stream = request.link.stream
        await stream.send(
            ResponseHead(
                number,
                answer.status,
                _content_length(answer),
                self._context.now,
                forwarded_headers(answer.headers),
            ),
        )

        await send_body(number, answer.read_chunk, stream.send, request.window)


def _content_length(answer: aiohttp.ClientResponse) -> int:
    declared = answer.content_length
    return -1 if declared is None else declared


def _cancel(request: _RunningRequest) -> None:
    request.body.fail(BodyTruncatedError('cancelled'))
    if request.task is not None:
        request.task.cancel()


async def _close_when_finished(link: _ServedLink) -> None:
    """Finish the running requests of a link, then close it.

    The peer may close it first, within ``_LINGER_SECONDS``, when it has read
    that the link is going away; it then knows which requests did not run.
    """
    tasks = [served.task for served in link.running.values() if served.task]
    if tasks:
        await asyncio.wait(tasks)
    ended = asyncio.create_task(link.ended.wait())
    await asyncio.wait((ended,), timeout=_LINGER_SECONDS)
    ended.cancel()
    link.stream.writer.close()
