"""Ingress for HTTP requests to the entry's own address."""

import asyncio
import weakref

from aiohttp import web

from siskinbank.entry.attempts import Attempts
from siskinbank.entry.calls import Call, read_call
from siskinbank.entry.context import EntryContext
from siskinbank.entry.problems import problem_response
from siskinbank.entry.ticketing import issue_ticket
from siskinbank.ingress.listening import accept_waiting, listen
from siskinbank.ingress.parse_log import make_parse_logger
from siskinbank.ingress.registry import (
    IngressHandle,
    IngressPlugin,
    ingresses,
)
from siskinbank.ingress.tcp import find_service
from siskinbank.kernel.outcomes import NotRun, Unknown
from siskinbank.kernel.reasons import Refusal
from siskinbank.wire.headers import MAX_HEADER_BYTES

__all__ = ('start_http',)

_MAX_OPEN_CALLS = 4096
_MAX_LINE_BYTES = 8 * 1024
_KEEP_ALIVE_SECONDS = 75
#: How long requests on open connections are accepted after the listener was
#: closed.
_LINGER_SECONDS = 1.0
#: How often a stop looks whether the callers have taken their answers.
_FLUSH_POLL_SECONDS = 0.05
_RETRY_AFTER_SECONDS = 1.0
_NEW_TICKET = 'new'


class _HttpIngress:
    """Serves the requests of one listener."""

    def __init__(self, context: EntryContext, port: int) -> None:
        self._context = context
        self._port = port
        self._attempts = Attempts(context)
        self.open_calls: set[asyncio.Task[None]] = set()
        self.closing = False
        self._transports: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()

    @property
    def unsent(self) -> int:
        """The number of connections with bytes in their write buffer."""
        return sum(
            transport.get_write_buffer_size() > 0
            for transport in self._transports
        )

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        task = asyncio.current_task()
        assert task is not None
        self.open_calls.add(task)
        if request.transport is not None:
            self._transports.add(request.transport)
        try:
            return await self._serve(request)
        finally:
            self.open_calls.discard(task)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        call = self._read_call(request)
        if isinstance(call, NotRun):
            return self._problem_answer(call)
        if call.ticket == _NEW_TICKET:
            issued = await issue_ticket(self._context, call)
            if isinstance(issued, web.Response):
                return self._close_if_draining(issued)
            return self._problem_answer(issued)
        timers = self._context.process.timers
        started = timers.now
        outcome = await self._attempts.run(call)
        self._context.process.metrics.time('request', timers.now - started)
        if isinstance(outcome, NotRun | Unknown):
            return self._problem_answer(outcome)
        assert call.response is not None
        return call.response

    def _read_call(self, request: web.BaseRequest) -> Call | NotRun:
        if len(self.open_calls) > _MAX_OPEN_CALLS:
            return NotRun(Refusal.entry_at_limit, _RETRY_AFTER_SECONDS)
        service = find_service(self._context, 'http', self._port)
        if service is None:
            return NotRun(Refusal.no_host, _RETRY_AFTER_SECONDS)
        timers = self._context.process.timers
        return read_call(
            request,
            service,
            lambda: timers.now,
            lambda: self.closing,
        )

    def _problem_answer(self, outcome: NotRun | Unknown) -> web.Response:
        self._context.process.metrics.count(outcome.reason)
        return self._close_if_draining(problem_response(outcome))

    def _close_if_draining(self, response: web.Response) -> web.Response:
        """When draining, mark the connection to be closed after a response."""
        if self.closing:
            response.force_close()
        return response


async def start_http(
    context: EntryContext,
    address: str,
    port: int,
) -> IngressHandle:
    """Listen for requests of one service.

    Raises:
        OSError: the address could not be bound.
    """
    ingress = _HttpIngress(context, port)
    server = web.Server(
        ingress.serve,
        handler_cancellation=True,
        access_log=None,
        logger=make_parse_logger(context.process),
        keepalive_timeout=_KEEP_ALIVE_SECONDS,
        max_line_size=_MAX_LINE_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        auto_decompress=False,
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    bound = context.settings.listen if address == '0.0.0.0' else address
    sock = listen(bound, port)
    site = web.SockSite(runner, sock)
    await site.start()
    open_work = context.process.open_work
    open_work[f'requests on port {port}'] = lambda: len(ingress.open_calls)
    open_work[f'unsent answers on port {port}'] = lambda: ingress.unsent

    async def drain() -> None:
        """Finish requests on open connections, then close these."""
        ingress.closing = True
        await accept_waiting(sock)
        await site.stop()
        await asyncio.sleep(_LINGER_SECONDS)
        while ingress.open_calls:
            await asyncio.wait(ingress.open_calls)
        await runner.cleanup()
        # The end of the process discards what its sockets have not taken.
        while ingress.unsent:
            await asyncio.sleep(_FLUSH_POLL_SECONDS)

    return IngressHandle(drain)


ingresses.register(
    IngressPlugin(
        name='http',
        summary='HTTP requests to the entry',
        start=start_http,
    ),
)
