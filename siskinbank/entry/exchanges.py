"""One attempt: send a request over a link and forward the answer."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import HttpVersion11, web

from siskinbank.entry.calls import Call
from siskinbank.entry.links import Exchange, LinkLostError, RequestLink
from siskinbank.kernel.outcomes import Answered, NotRun, Unknown
from siskinbank.kernel.reasons import Doubt, Refusal
from siskinbank.peers.linger import (
    close_with_fin,
    close_with_reset,
    wait_until_sent,
)
from siskinbank.wire.bodies import BodyTruncatedError, send_body
from siskinbank.wire.headers import OUTCOME_HEADER, header_problem
from siskinbank.wire.request_messages import (
    Failed,
    Refused,
    RequestHead,
    ResponseHead,
)

__all__ = ('run_exchange',)

Result = Answered | NotRun | Unknown

_PING_AFTER_SECONDS = 1.0
_MIN_STATUS = 200
_MAX_STATUS = 599
_BODILESS_STATUSES = frozenset((204, 304))


async def run_exchange(call: Call, link: RequestLink) -> Result:
    """Run one attempt.

    If the result is an answer, it has been sent to the caller already.
    """
    exchange = link.open()
    sender = asyncio.create_task(_send_request_body(exchange, call))
    finished = False
    try:
        # Numbers must reach the sidecar in order, so nothing may be awaited
        # between opening the exchange and this call.
        exchange.post(_request_head(exchange.number, call, link))
        reply = await _wait_for_reply(exchange, call, link)
        if not isinstance(reply, ResponseHead):
            finished = isinstance(reply, NotRun)
            return reply
        finished = await _forward_answer(exchange, call, reply)
        return Answered(reply.status)
    except LinkLostError:
        return Unknown(Doubt.lost)
    except TimeoutError:
        return Unknown(Doubt.expired)
    finally:
        sender.cancel()
        exchange.close(finished=finished)


def _request_head(number: int, call: Call, link: RequestLink) -> RequestHead:
    return RequestHead(
        number,
        call.service.ident,
        call.key,
        call.ticket,
        call.idempotent,
        link.to_remote_time(call.due),
        call.bounded,
        call.request.method,
        call.request.path_qs,
        call.length,
        call.headers,
    )


async def _send_request_body(exchange: Exchange, call: Call) -> None:
    """Send the body, if there is one."""
    if not call.length:
        return
    try:
        await send_body(
            exchange.number,
            _body_reader(call),
            exchange.send,
            exchange.window,
        )
    except LinkLostError as error:
        exchange.fail(error)
    except (OSError, web.RequestPayloadError) as error:
        # The caller's body was cut; it must not reach the upstream as complete.
        exchange.fail(LinkLostError(str(error)))


def _body_reader(call: Call) -> Callable[[], Awaitable[bytes]]:
    position = 0

    async def read() -> bytes:
        nonlocal position
        part = await call.body.part_at(position)
        position += 1
        return part

    return read


async def _wait_for_reply(
    exchange: Exchange,
    call: Call,
    link: RequestLink,
) -> ResponseHead | NotRun | Unknown:
    async with asyncio.timeout(call.remaining):
        if call.idempotent:
            await _wait_while_alive(exchange, link)
        reply = await exchange.reply
    if isinstance(reply, Refused):
        return _refusal(reply)
    if isinstance(reply, Failed):
        return _failure(reply)
    if not isinstance(reply, ResponseHead) or _is_malformed(reply):
        return Unknown(Doubt.malformed)
    return reply


async def _wait_while_alive(exchange: Exchange, link: RequestLink) -> None:
    """Wait for the reply while the sidecar answers pings.

    Idempotent work can be retried elsewhere, so it need not wait for a
    suspended sidecar.

    Raises:
        LinkLostError: the sidecar is unresponsive.
    """
    while True:
        await asyncio.wait((exchange.reply,), timeout=_PING_AFTER_SECONDS)
        if exchange.reply.done():
            return
        if not await link.is_alive() and not exchange.reply.done():
            raise LinkLostError('the sidecar is silent')


def _is_malformed(reply: ResponseHead) -> bool:
    good_status = _MIN_STATUS <= reply.status <= _MAX_STATUS
    return not good_status or header_problem(reply.headers) is not None


def _refusal(reply: Refused) -> NotRun | Unknown:
    try:
        reason = Refusal(reply.reason)
    except ValueError:
        return Unknown(Doubt.malformed)
    return NotRun(reason, reply.retry_after or None)


def _failure(reply: Failed) -> Unknown:
    try:
        reason = Doubt(reply.reason)
    except ValueError:
        return Unknown(Doubt.malformed)
    return Unknown(reason, reply.retry_after or None)


async def _forward_answer(
    exchange: Exchange,
    call: Call,
    head: ResponseHead,
) -> bool:
    """Forward the answer to the caller; return whether it is complete.

    A cut answer aborts the caller's connection, so that it never looks
    complete.
    """
    response = web.StreamResponse(status=head.status)
    call.response = response
    for name, text in head.headers:
        response.headers.add(name, text)
    response.headers[OUTCOME_HEADER] = 'answered'
    if head.length >= 0:
        response.content_length = head.length
    if call.closing():
        response.force_close()
    transport = call.request.transport
    ends_by_close = head.length < 0 and call.request.version < HttpVersion11
    if ends_by_close:
        # The close of the connection will mark the end of the answer.
        close_with_reset(transport)
    time_left = call.remaining if call.bounded else None
    try:
        async with asyncio.timeout(time_left):
            await response.prepare(call.request)
            await _forward_body(exchange, response, _body_length(call, head))
    except (BodyTruncatedError, TimeoutError, OSError):
        call.abort_connection()
        return False
    # Outside the time limit, as an answer that is ready is delivered.
    if ends_by_close and transport is not None:
        await wait_until_sent(transport)
    close_with_fin(transport)
    return True


def _body_length(call: Call, head: ResponseHead) -> int:
    """Return the size of the body in bytes, -1 if it is not known."""
    if call.request.method == 'HEAD' or head.status in _BODILESS_STATUSES:
        return 0
    return head.length


async def _forward_body(
    exchange: Exchange,
    response: web.StreamResponse,
    length: int,
) -> None:
    size = 0
    while part := await exchange.body.read():
        size += len(part)
        await response.write(part)
    if length not in {size, -1}:
        raise BodyTruncatedError(f'received {size} of {length} bytes')
    await response.write_eof()
