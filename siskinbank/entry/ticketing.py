"""Request a ticket for a caller from one of the hosts."""

import asyncio
import random

from aiohttp import web

from siskinbank.config.site import Host
from siskinbank.entry.calls import Call
from siskinbank.entry.context import EntryContext
from siskinbank.entry.links import LinkLostError
from siskinbank.kernel.outcomes import NotRun
from siskinbank.kernel.reasons import Refusal, Retry
from siskinbank.wire.headers import TICKET_HEADER
from siskinbank.wire.request_messages import IssueTicket, TicketIssued

__all__ = ('issue_ticket',)

_ISSUE_TIMEOUT_SECONDS = 2.0
_RANDOM_BITS = 64
_RETRY_AFTER_SECONDS = 1.0


async def issue_ticket(
    context: EntryContext,
    call: Call,
) -> web.Response | NotRun:
    """Return a response with a ticket, or a refusal if no host issues one.

    Hosts are asked one after the other, which is safe because issuing a ticket
    runs no request.
    """
    flow = random.getrandbits(_RANDOM_BITS)
    for host in context.router.fresh(call.service, flow):
        issued = await _request_ticket(context, call, host)
        if issued is not None:
            return web.json_response(
                {'ticket': issued.ticket, 'good_for': issued.good_for},
                headers={
                    TICKET_HEADER: issued.ticket,
                    'Cache-Control': 'no-store',
                },
            )
        context.process.metrics.count(Retry.not_run)
    return NotRun(Refusal.no_host, _RETRY_AFTER_SECONDS)


async def _request_ticket(
    context: EntryContext,
    call: Call,
    host: Host,
) -> TicketIssued | None:
    try:
        async with asyncio.timeout(min(_ISSUE_TIMEOUT_SECONDS, call.remaining)):
            link = await context.links.get(host.address)
            exchange = link.open()
            try:
                exchange.post(
                    IssueTicket(exchange.number, call.service.ident, call.key),
                )
                reply = await exchange.reply
            finally:
                exchange.close(finished=True)
    except (LinkLostError, TimeoutError):
        return None
    return reply if isinstance(reply, TicketIssued) else None
