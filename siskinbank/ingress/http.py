"""HTTP requests to the entry's own address."""

import asyncio
import random
from dataclasses import dataclass

from aiohttp import web

from siskinbank.config.site import Host, Service
from siskinbank.entry.context import EntryContext
from siskinbank.entry.links import Exchange, LinkLostError
from siskinbank.ingress.registry import (
    IngressHandle,
    IngressPlugin,
    ingresses,
)
from siskinbank.ingress.tcp import find_service
from siskinbank.kernel.outcomes import Answered, NotRun, Outcome, Unknown
from siskinbank.kernel.reasons import Refusal, Retry
from siskinbank.util import digest64
from siskinbank.wire.headers import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    forwarded_headers,
)
from siskinbank.wire.messages import (
    AnswerHead,
    BodyPart,
    Refused,
    RequestHead,
)

__all__ = ('start_http',)

_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
_DEFAULT_DEADLINE_SECONDS = 30.0
_CHUNK_BYTES = 64 * 1024
_MAX_REPLAY_BYTES = 1024 * 1024
_RANDOM_BITS = 64
_RETRY_AFTER_SECONDS = 1


@dataclass(slots=True)
class _Call:
    """One caller's request and how it may be run."""

    request: web.Request
    service: Service
    key: str
    idempotent: bool
    due: float

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.due - asyncio.get_running_loop().time()


async def start_http(
    context: EntryContext,
    address: str,
    port: int,
) -> IngressHandle:
    """Listen for requests of one service.

    Raises:
        OSError: the address could not be bound.
    """
    open_calls: set[asyncio.Task[None]] = set()

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        task = asyncio.current_task()
        assert task is not None
        open_calls.add(task)
        try:
            return await _serve(context, port, request)
        finally:
            open_calls.discard(task)

    server = web.Server(serve, access_log=None)
    runner = web.ServerRunner(server)
    await runner.setup()
    bound = context.settings.listen if address == '0.0.0.0' else address
    site = web.TCPSite(runner, bound, port)
    await site.start()

    async def drain() -> None:
        await site.stop()
        if open_calls:
            await asyncio.wait(open_calls)
        await runner.cleanup()

    return IngressHandle(drain)


async def _serve(
    context: EntryContext,
    port: int,
    request: web.BaseRequest,
) -> web.StreamResponse:
    service = find_service(context, 'http', port)
    if service is None:
        return _problem(NotRun(Refusal.no_host))
    call = _read_call(request, service)
    if isinstance(call, NotRun):
        context.process.metrics.count(call.reason)
        return _problem(call)
    outcome = await _run(context, call)
    if isinstance(outcome, web.StreamResponse):
        return outcome
    return _problem(outcome)


def _read_call(request: web.BaseRequest, service: Service) -> _Call | NotRun:
    headers = request.headers
    try:
        seconds = float(headers.get(DEADLINE_HEADER, _DEFAULT_DEADLINE_SECONDS))
    except ValueError:
        return NotRun(Refusal.malformed)
    told = headers.get(IDEMPOTENT_HEADER, '').lower()
    idempotent = request.method in _IDEMPOTENT_METHODS
    if told:
        idempotent = told == 'true'
    due = asyncio.get_running_loop().time() + seconds
    key = headers.get(KEY_HEADER, '')
    return _Call(request, service, key, idempotent, due)  # type: ignore[arg-type]


async def _run(
    context: EntryContext,
    call: _Call,
) -> web.StreamResponse | Outcome:
    """Offer the request to one candidate after the other."""
    flow = digest64(call.key) if call.key else random.getrandbits(_RANDOM_BITS)
    metrics = context.process.metrics
    body = await _read_body(call)
    outcome: Outcome = NotRun(Refusal.no_host, _RETRY_AFTER_SECONDS)
    for host in context.router.fresh(call.service, flow):
        if call.remaining <= 0:
            return NotRun(Refusal.expired)
        answer = await _try_host(context, call, host, body)
        if isinstance(answer, web.StreamResponse | Answered):
            return answer
        outcome = answer
        if isinstance(answer, NotRun):
            metrics.count(Retry.not_run)
        elif call.idempotent:
            metrics.count(Retry.lost)
        else:
            return answer
    if isinstance(outcome, NotRun):
        metrics.count(outcome.reason)
    return outcome


async def _read_body(call: _Call) -> bytes:
    return await call.request.read()


async def _try_host(
    context: EntryContext,
    call: _Call,
    host: Host,
    body: bytes,
) -> web.StreamResponse | Outcome:
    try:
        link = await context.links.get(host.address)
    except (OSError, TimeoutError):
        return NotRun(Refusal.unreachable, _RETRY_AFTER_SECONDS)
    exchange = link.open()
    finished = False
    try:
        async with asyncio.timeout(max(call.remaining, 0)):
            await _send(exchange, call, body)
            outcome = await _receive(exchange, call)
        finished = True
    except TimeoutError:
        return Unknown('deadline')
    except (OSError, LinkLostError) as error:
        return Unknown(str(error))
    finally:
        await exchange.close(finished=finished)
    return outcome


async def _send(exchange: Exchange, call: _Call, body: bytes) -> None:
    request = call.request
    await exchange.send(
        RequestHead(
            exchange.number,
            call.service.ident,
            call.key,
            call.idempotent,
            call.remaining,
            request.method,
            request.path_qs,
            forwarded_headers(request.headers),
        ),
    )
    parts = [
        body[start : start + _CHUNK_BYTES]
        for start in range(0, len(body), _CHUNK_BYTES)
    ] or [b'']
    for number, part in enumerate(parts):
        last = number == len(parts) - 1
        await exchange.send(BodyPart(exchange.number, number, last, part))


async def _receive(
    exchange: Exchange,
    call: _Call,
) -> web.StreamResponse | Outcome:
    head = await exchange.receive()
    if isinstance(head, Refused):
        return NotRun(Refusal(head.reason), head.retry_after or None)
    if not isinstance(head, AnswerHead):
        return Unknown(getattr(head, 'reason', 'malformed answer'))
    response = web.StreamResponse(status=head.status)
    for name, text in head.headers:
        response.headers.add(name, text)
    await response.prepare(call.request)
    try:
        async for part in exchange.parts():
            await response.write(part)
    except LinkLostError:
        _cut(call.request)
        return Answered(head.status)
    await response.write_eof()
    return response


def _cut(request: web.Request) -> None:
    """Close the caller's connection, so that a cut answer looks cut."""
    if request.transport is not None:
        request.transport.abort()


def _problem(outcome: Outcome) -> web.Response:
    """Return a problem document after RFC 9457."""
    reason = getattr(outcome, 'reason', '')
    headers = {}
    status = 502
    if isinstance(outcome, NotRun):
        status = 400 if outcome.reason is Refusal.malformed else 503
        if outcome.retry_after is not None:
            headers['Retry-After'] = str(max(int(outcome.retry_after), 1))
    return web.json_response(
        {
            'type': f'urn:siskinbank:{outcome.tag}:{reason}',
            'title': outcome.tag,
            'status': status,
            'outcome': outcome.tag,
            'reason': str(reason),
        },
        status=status,
        headers=headers,
        content_type='application/problem+json',
    )


ingresses.register(
    IngressPlugin(
        name='http',
        summary='HTTP requests to the entry',
        start=start_http,
    ),
)
