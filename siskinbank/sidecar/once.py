"""At most one run for each ticket and key on this host."""

from collections.abc import Awaitable, Callable

from siskinbank.config.site import Host
from siskinbank.coordination.tickets import OnceRegister, TicketOffice
from siskinbank.kernel.reasons import Doubt, Refusal
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.homes import KeyHome
from siskinbank.wire.request_messages import RequestHead

__all__ = ('OnceGuard',)

#: How long a run is remembered; longer than any ticket lives.
_MEMORY_SECONDS = 600.0
_MAX_CLAIMS = 200_000
AskHomes = Callable[[list[Host], RequestHead], Awaitable[bool]]
_TICKET = 'ticket'
_KEY = 'key'


class OnceGuard:
    """Decides whether a request may run, before anything else is asked.

    A request with a ticket, or not idempotent and with a key, runs once. A
    ticket that was refused is spent, so that no late copy of it runs. A key
    that was refused may be sent again.
    """

    def __init__(self, context: SidecarContext, ask: AskHomes) -> None:
        """Guard the context's upstream for this life of the process.

        Args:
            context: the sidecar's parts.
            ask: asks hosts to fence the key of a request; whether all did.
        """
        process = context.process

        def clock() -> float:
            return process.timers.now

        self.office = TicketOffice(process.name, clock)
        self._homes = KeyHome(context)
        self._ask = ask
        self._fenced = OnceRegister(clock, _MEMORY_SECONDS, _MAX_CLAIMS)
        self._claims = OnceRegister(clock, _MEMORY_SECONDS, _MAX_CLAIMS)

    async def claim(self, head: RequestHead) -> Doubt | Refusal | None:
        """Claim the one run; return why it is not to be had."""
        name = _name(head)
        if name is None:
            return None
        if name in self._claims:
            return Doubt.duplicate
        doubt = self._doubt(head)
        if doubt is not None:
            return doubt
        if not self._claims.claim(name):
            return Doubt.unsettled if head.ticket else Refusal.keys_full
        if head.ticket or not self._homes.unsettled_for(head.key):
            return None
        return await self._settle(head)

    def fence(self, service: int, key: str) -> bool:
        """Never run a key from now on; False if it may have run already."""
        name = f'{_KEY} {service} {key}'
        if self._homes.is_young():
            return False
        return name in self._fenced or self._fence(name)

    def release(self, head: RequestHead) -> None:
        """Take back the claim of a key that was refused."""
        if not head.ticket and head.key:
            self._claims.release(f'{_KEY} {head.service} {head.key}')

    def wait_for(self, head: RequestHead, doubt: Doubt) -> float:
        """Return the seconds after which to ask again; 0 for no use."""
        if head.ticket or doubt is not Doubt.unsettled:
            return 0
        return self._homes.unsettled_for(head.key)

    def _fence(self, name: str) -> bool:
        return self._claims.claim(name) and self._fenced.claim(name)

    def _doubt(self, head: RequestHead) -> Doubt | None:
        if head.ticket:
            return self.office.check(head.ticket, head.service, head.key)
        unsettled = self._homes.unsettled_for(head.key)
        if unsettled and self._homes.former(head.key) is None:
            return Doubt.unsettled
        return None

    async def _settle(self, head: RequestHead) -> Doubt | None:
        """Ask the former homes of a key to fence it, or give up the claim."""
        homes = self._homes.former(head.key)
        settled = False
        try:
            settled = homes is not None and await self._ask(homes, head)
        finally:
            if not settled:
                self.release(head)
        return None if settled else Doubt.unsettled


def _name(head: RequestHead) -> str | None:
    """Return what is claimed, or None for work that may run again."""
    if head.ticket:
        return f'{_TICKET} {head.ticket}'
    if head.key and not head.idempotent:
        return f'{_KEY} {head.service} {head.key}'
    return None
