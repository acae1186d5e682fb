"""Claims that let a request run at most once on this host."""

from collections.abc import Awaitable, Callable

from siskinbank.config.site import Host
from siskinbank.coordination.tickets import OnceRegister, TicketOffice
from siskinbank.kernel.reasons import Doubt, Refusal
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.primary_hosts import PrimaryHostHistory
from siskinbank.wire.request_messages import RequestHead

__all__ = ('ExecutionClaims',)

#: How long a claim is stored; longer than the lifetime of any ticket.
_CLAIM_SECONDS = 600.0
_MAX_CLAIMS = 200_000
FencePrimaries = Callable[[list[Host], RequestHead], Awaitable[bool]]
_TICKET = 'ticket'
_KEY = 'key'


class ExecutionClaims:
    """Claims the single run of a request, before its admission is checked.

    A request with a ticket, or one that isn't idempotent and has a key, runs
    at most once. The ticket of a refused request becomes invalid, so that no
    late copy of it runs. The key of a refused request may be sent again.
    """

    def __init__(
        self, context: SidecarContext, fence_at: FencePrimaries
    ) -> None:
        """Initialize the claims of this incarnation of the process.

        Args:
            context: the sidecar's shared parts.
            fence_at: asks hosts to fence the key of a request; returns
                whether all did.
        """
        process = context.process

        def clock() -> float:
            return process.timers.now

        self.office = TicketOffice(process.name, clock)
        self._primaries = PrimaryHostHistory(context)
        self._fence_at = fence_at
        self._fenced = OnceRegister(clock, _CLAIM_SECONDS, _MAX_CLAIMS)
        self._claims = OnceRegister(clock, _CLAIM_SECONDS, _MAX_CLAIMS)

    async def claim(self, head: RequestHead) -> Doubt | Refusal | None:
        """Claim the run of a request; return why it is refused, if so."""
        name = _claim_name(head)
        if name is None:
            return None
        if name in self._claims:
            return Doubt.duplicate
        doubt = self._check_outcome(head)
        if doubt is not None:
            return doubt
        if not self._claims.claim(name):
            return Doubt.unsettled if head.ticket else Refusal.keys_full
        if head.ticket or not self._primaries.unresolved_seconds(head.key):
            return None
        return await self._resolve(head)

    def fence(self, service: int, key: str) -> bool:
        """Refuse requests with a key from now on.

        Returns:
            False if a request with the key may have run already.
        """
        name = f'{_KEY} {service} {key}'
        if self._primaries.recently_started():
            return False
        return name in self._fenced or self._fence(name)

    def release(self, head: RequestHead) -> None:
        """Release the key of a refused request that has no ticket."""
        if not head.ticket and head.key:
            self._claims.release(f'{_KEY} {head.service} {head.key}')

    def retry_after(self, head: RequestHead, doubt: Doubt) -> float:
        """Return the seconds after which to retry, 0 if a retry is useless."""
        if head.ticket or doubt is not Doubt.unsettled:
            return 0
        return self._primaries.unresolved_seconds(head.key)

    def _fence(self, name: str) -> bool:
        return self._claims.claim(name) and self._fenced.claim(name)

    def _check_outcome(self, head: RequestHead) -> Doubt | None:
        if head.ticket:
            return self.office.check(head.ticket, head.service, head.key)
        wait = self._primaries.unresolved_seconds(head.key)
        if wait and self._primaries.former_primaries(head.key) is None:
            return Doubt.unsettled
        return None

    async def _resolve(self, head: RequestHead) -> Doubt | None:
        """Fence a key at its former primary hosts, else release the claim."""
        primaries = self._primaries.former_primaries(head.key)
        resolved = False
        try:
            resolved = primaries is not None and await self._fence_at(
                primaries, head
            )
        finally:
            if not resolved:
                self.release(head)
        return None if resolved else Doubt.unsettled


def _claim_name(head: RequestHead) -> str | None:
    """Return the name to claim, or None for a request that may run again."""
    if head.ticket:
        return f'{_TICKET} {head.ticket}'
    if head.key and not head.idempotent:
        return f'{_KEY} {head.service} {head.key}'
    return None
