"""Offer a request to one host after the other, as far as that is safe.

A host that refused a request has fenced the attempt: the next candidate may
have it. After doubt only an idempotent request is tried again, within the
service's retry budget and its own deadline, after a jittered pause.
"""

import asyncio
import random

from siskinbank.config.site import Host, Service
from siskinbank.coordination.backoff import Backoff
from siskinbank.coordination.budget import RetryBudget
from siskinbank.coordination.tickets import parse_ticket
from siskinbank.entry.calls import Call
from siskinbank.entry.context import EntryContext
from siskinbank.entry.exchanges import run_exchange
from siskinbank.entry.links import LinkLostError, RequestLink
from siskinbank.kernel.outcomes import Answered, NotRun, Unknown
from siskinbank.kernel.reasons import Doubt, Refusal, Retry
from siskinbank.util import digest64

__all__ = ('Attempts',)

_RANDOM_BITS = 64
_RETRY_AFTER_SECONDS = 1.0
#: How long a host that was at its limit is not asked again; its queue keeps
#: its slots busy for longer than that.
_FULL_SECONDS = 0.03
_RETRY_REASONS: dict[Doubt, Retry] = {
    Doubt.lost: Retry.lost,
    Doubt.failed: Retry.failed,
    Doubt.unreachable: Retry.unreachable,
}
#: Refusals that no other host would take back.
_FINAL = frozenset((Refusal.malformed, Refusal.expired))

Result = Answered | NotRun | Unknown


class Attempts:
    """The attempts of one entry for one service."""

    def __init__(self, context: EntryContext) -> None:
        """Run requests over the context's links."""
        self._context = context
        self._metrics = context.process.metrics
        self._budgets: dict[str, RetryBudget] = {}
        self._full_until: dict[str, float] = {}
        self._rng = random.Random()

    async def run(self, call: Call) -> Result:
        """Run a request and return its outcome.

        An answer has been sent to the caller already.
        """
        budget = self._budget(call.service)
        budget.note_fresh()
        try:
            async with asyncio.timeout(call.remaining):
                await call.body.read_start()
        except TimeoutError:
            return _expired(call)
        if call.ticket:
            return await self._run_by_ticket(call)
        if call.key and not call.idempotent:
            return await self._run_at_home(call)
        return await self._run_anywhere(call, budget)

    async def _run_by_ticket(self, call: Call) -> Result:
        host = _pick_by_ticket(self._context, call.service, call.ticket)
        if isinstance(host, Unknown):
            return host
        return await self._run_only_at(call, host)

    async def _run_at_home(self, call: Call) -> Result:
        home = self._context.homes.find(call.service, digest64(call.key))
        if home is None:
            return Unknown(Doubt.unsettled, _RETRY_AFTER_SECONDS)
        return await self._run_only_at(call, home)

    async def _run_only_at(self, call: Call, host: Host) -> Result:
        """Run where the key belongs; an earlier copy may have run there."""
        try:
            link = await self._context.links.get(host.address)
        except LinkLostError:
            return Unknown(Doubt.unreachable, _RETRY_AFTER_SECONDS)
        return await self._attempt(call, link)

    async def _run_anywhere(self, call: Call, budget: RetryBudget) -> Result:
        flow = self._flow(call)
        backoff = Backoff(rng=self._rng)
        result: Result = NotRun(Refusal.no_host, _RETRY_AFTER_SECONDS)
        for host in self._context.router.fresh(call.service, flow):
            if not await self._may_try(call, result, budget, backoff):
                return result
            result = _worse(result, await self._try_host(call, host))
        return result

    async def _may_try(
        self,
        call: Call,
        result: Result,
        budget: RetryBudget,
        backoff: Backoff,
    ) -> bool:
        """Whether the next host may be asked; pauses before a retry."""
        if isinstance(result, NotRun):
            return self._may_pass_on(call, result)
        if not isinstance(result, Unknown):
            return False
        if not call.idempotent or not call.body.replayable:
            return False
        if result.reason not in _RETRY_REASONS:
            return False
        pause = self._pause(call, result, budget, backoff)
        if pause is not None:
            await asyncio.sleep(pause)
        return pause is not None

    async def _try_host(self, call: Call, host: Host) -> Result:
        now = call.clock()
        if now < self._full_until.get(host.name, 0):
            return NotRun(Refusal.at_limit, _RETRY_AFTER_SECONDS)
        tried = await self._ask_host(call, host)
        if isinstance(tried, NotRun) and tried.reason is Refusal.at_limit:
            self._full_until[host.name] = call.clock() + _FULL_SECONDS
        return tried

    async def _ask_host(self, call: Call, host: Host) -> Result:
        try:
            link = await self._context.links.get(host.address)
        except LinkLostError:
            return NotRun(Refusal.unreachable, _RETRY_AFTER_SECONDS)
        return await self._attempt(call, link)

    async def _attempt(self, call: Call, link: RequestLink) -> Result:
        if call.remaining <= 0:
            return _expired(call)
        return await run_exchange(call, link)

    def _may_pass_on(self, call: Call, refusal: NotRun) -> bool:
        """Whether work that was refused may be offered to the next host."""
        if refusal.reason is Refusal.no_host:
            return True
        if refusal.reason in _FINAL or not call.body.replayable:
            return False
        reason = Retry.not_run
        if refusal.reason is Refusal.unreachable:
            reason = Retry.unreachable
        self._metrics.count(reason)
        return call.remaining > 0

    def _pause(
        self,
        call: Call,
        tried: Unknown,
        budget: RetryBudget,
        backoff: Backoff,
    ) -> float | None:
        """Return the pause before a retry, or None if there is to be none."""
        pause = backoff.next_pause()
        if pause >= call.remaining:
            return None
        if not budget.take():
            self._metrics.count(Retry.no_budget)
            return None
        self._metrics.count(_RETRY_REASONS[tried.reason])
        return pause

    def _flow(self, call: Call) -> int:
        if call.key:
            return digest64(call.key)
        return self._rng.getrandbits(_RANDOM_BITS)

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None:
            timers = self._context.process.timers
            budget = RetryBudget(lambda: timers.now)
            self._budgets[service.name] = budget
        return budget


def _pick_by_ticket(
    context: EntryContext,
    service: Service,
    text: str,
) -> Host | Unknown:
    """Return the host that a ticket names, if it may still be asked."""
    ticket = parse_ticket(text)
    site = context.view.site
    if ticket is None or site is None:
        return Unknown(Doubt.bad_ticket)
    found = site.find_host(ticket.host)
    if found is None or found[0].name != service.name:
        return Unknown(Doubt.unreachable)
    if site.is_out(found[1]):
        return Unknown(Doubt.unreachable)
    return found[1]


def _expired(call: Call) -> NotRun | Unknown:
    """Return the outcome of an attempt that was too late to be sent.

    Of a ticket an earlier copy may have run, so only its host can tell.
    """
    return Unknown(Doubt.expired) if call.ticket else NotRun(Refusal.expired)


def _worse(former: Result, latest: Result) -> Result:
    """Keep doubt: a later refusal does not undo an attempt that may run."""
    if isinstance(former, Unknown) and isinstance(latest, NotRun):
        return former
    return latest
