"""Try a request at one host after the other, as far as that is safe.

A host that refused a request has fenced the attempt, so it may go to the next
candidate. After an unknown outcome only an idempotent request is retried,
within the service's retry budget and its own deadline, after a jittered pause.
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
#: How long a host that refused a request at its limit gets no further ones; the
#: requests in its queue occupy its slots for longer than that.
_AT_LIMIT_SECONDS = 0.03
_RETRY_REASONS: dict[Doubt, Retry] = {
    Doubt.lost: Retry.lost,
    Doubt.failed: Retry.failed,
    Doubt.unreachable: Retry.unreachable,
}
#: Refusals that apply at every host.
_FINAL_REFUSALS = frozenset((Refusal.malformed, Refusal.expired))

Result = Answered | NotRun | Unknown


class Attempts:
    """Runs the requests of one listener, with retries at other hosts."""

    def __init__(self, context: EntryContext) -> None:
        """Initialize without retry budgets; they are created per service."""
        self._context = context
        self._metrics = context.process.metrics
        self._budgets: dict[str, RetryBudget] = {}
        self._at_limit_until: dict[str, float] = {}
        self._rng = random.Random()

    async def run(self, call: Call) -> Result:
        """Run a request and return its outcome.

        If the outcome is an answer, it has been sent to the caller already.
        """
        budget = self._budget(call.service)
        budget.note_fresh()
        try:
            async with asyncio.timeout(call.remaining):
                await call.body.read_start()
        except TimeoutError:
            return _expired_result(call)
        if call.ticket:
            return await self._run_by_ticket(call)
        if call.key and not call.idempotent:
            return await self._run_at_primary(call)
        return await self._run_anywhere(call, budget)

    async def _run_by_ticket(self, call: Call) -> Result:
        host = _host_of_ticket(self._context, call.service, call.ticket)
        if isinstance(host, Unknown):
            return host
        return await self._run_only_at(call, host)

    async def _run_at_primary(self, call: Call) -> Result:
        primary = self._context.primary_hosts.find(
            call.service, digest64(call.key)
        )
        if primary is None:
            return Unknown(Doubt.unsettled, _RETRY_AFTER_SECONDS)
        return await self._run_only_at(call, primary)

    async def _run_only_at(self, call: Call, host: Host) -> Result:
        """Run at this host only, as an earlier copy may have run there."""
        try:
            link = await self._context.links.get(host.address)
        except LinkLostError:
            return Unknown(Doubt.unreachable, _RETRY_AFTER_SECONDS)
        return await self._attempt(call, link)

    async def _run_anywhere(self, call: Call, budget: RetryBudget) -> Result:
        flow = self._flow_hash(call)
        backoff = Backoff(rng=self._rng)
        result: Result = NotRun(Refusal.no_host, _RETRY_AFTER_SECONDS)
        for host in self._context.router.fresh(call.service, flow):
            if not await self._may_try(call, result, budget, backoff):
                return result
            result = _merge_results(result, await self._try_host(call, host))
        return result

    async def _may_try(
        self,
        call: Call,
        result: Result,
        budget: RetryBudget,
        backoff: Backoff,
    ) -> bool:
        """Return whether to try the next host; sleep before a retry."""
        if isinstance(result, NotRun):
            return self._may_forward(call, result)
        if not isinstance(result, Unknown):
            return False
        if not call.idempotent or not call.body.replayable:
            return False
        if result.reason not in _RETRY_REASONS:
            return False
        pause = self._retry_pause(call, result, budget, backoff)
        if pause is not None:
            await asyncio.sleep(pause)
        return pause is not None

    async def _try_host(self, call: Call, host: Host) -> Result:
        now = call.clock()
        if now < self._at_limit_until.get(host.name, 0):
            return NotRun(Refusal.at_limit, _RETRY_AFTER_SECONDS)
        tried = await self._attempt_at(call, host)
        if isinstance(tried, NotRun) and tried.reason is Refusal.at_limit:
            self._at_limit_until[host.name] = call.clock() + _AT_LIMIT_SECONDS
        return tried

    async def _attempt_at(self, call: Call, host: Host) -> Result:
        try:
            link = await self._context.links.get(host.address)
        except LinkLostError:
            return NotRun(Refusal.unreachable, _RETRY_AFTER_SECONDS)
        return await self._attempt(call, link)

    async def _attempt(self, call: Call, link: RequestLink) -> Result:
        if call.remaining <= 0:
            return _expired_result(call)
        return await run_exchange(call, link)

    def _may_forward(self, call: Call, refusal: NotRun) -> bool:
        """Return whether a refused request may go to the next host."""
        if refusal.reason is Refusal.no_host:
            return True
        if refusal.reason in _FINAL_REFUSALS or not call.body.replayable:
            return False
        reason = Retry.not_run
        if refusal.reason is Refusal.unreachable:
            reason = Retry.unreachable
        self._metrics.count(reason)
        return call.remaining > 0

    def _retry_pause(
        self,
        call: Call,
        tried: Unknown,
        budget: RetryBudget,
        backoff: Backoff,
    ) -> float | None:
        """Return the seconds before a retry, or None if there is none."""
        pause = backoff.next_pause()
        if pause >= call.remaining:
            return None
        if not budget.take():
            self._metrics.count(Retry.no_budget)
            return None
        self._metrics.count(_RETRY_REASONS[tried.reason])
        return pause

    def _flow_hash(self, call: Call) -> int:
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


def _host_of_ticket(
    context: EntryContext,
    service: Service,
    text: str,
) -> Host | Unknown:
    """Return the host that a ticket names, if it may still be used."""
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


def _expired_result(call: Call) -> NotRun | Unknown:
    """Return the outcome of an attempt that was too late to be sent.

    An earlier copy of a request with a ticket may have run at its host.
    """
    return Unknown(Doubt.expired) if call.ticket else NotRun(Refusal.expired)


def _merge_results(earlier: Result, latest: Result) -> Result:
    """Merge outcomes: a refusal does not cancel an earlier unknown one."""
    if isinstance(earlier, Unknown) and isinstance(latest, NotRun):
        return earlier
    return latest
