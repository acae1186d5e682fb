"""Which keys this host may vouch for: it must long have been their home."""

from siskinbank.choice.homes import home_hosts, home_rank
from siskinbank.choice.registry import Rank
from siskinbank.config.site import Host
from siskinbank.sidecar.context import SidecarContext
from siskinbank.util import digest64

__all__ = ('SETTLE_SECONDS', 'KeyHome')

#: How long a host must have been the home of a key before it runs the key,
#: and the longest after its first try that a key may be sent again.
SETTLE_SECONDS = 30.0


class KeyHome:
    """Remembers the homes that keys had in the last seconds.

    The home of a key is the host that ranks first for it. Another home may
    have run the key, so a new home waits until nobody sends it again.
    """

    def __init__(self, context: SidecarContext) -> None:
        """Follow the context's view."""
        self._context = context
        self._since = context.now
        self._now: Rank = _nobody
        self._signature: tuple[object, ...] = ()
        self._generation = 0
        self._former: list[tuple[float, Rank]] = []
        context.view.subscribe(self._refresh)

    def unsettled_for(self, key: str) -> float:
        """Return the seconds until this host may vouch for a key.

        0 means now. A host that is not the key's home gets the whole time.
        """
        digest = digest64(key)
        if not self._is_own(self._now, digest):
            return SETTLE_SECONDS
        now = self._context.now
        self._forget(now)
        waits = [
            until - now
            for until, rank in self._former
            if not self._is_own(rank, digest)
        ]
        return max(waits, default=0)

    def former(self, key: str) -> list[Host] | None:
        """Return the other hosts that were the home of a key lately.

        None means that asking them would not settle it: this host is not the
        home of the key, or it joined the pool so lately that it does not know
        the former ones.
        """
        digest = digest64(key)
        now = self._context.now
        self._forget(now)
        if self.is_young() or not self._is_own(self._now, digest):
            return None
        homes = {}
        for _until, rank in self._former:
            ranked = rank(digest)
            if not ranked:
                return None
            homes[ranked[0].name] = ranked[0]
        homes.pop(self._context.process.name, None)
        return list(homes.values())

    def is_young(self) -> bool:
        """Whether an earlier life of this host may have run recent keys."""
        return self._context.now - self._since < SETTLE_SECONDS

    def _is_own(self, rank: Rank, digest: int) -> bool:
        ranked = rank(digest)
        return bool(ranked) and ranked[0].name == self._context.process.name

    def _forget(self, now: float) -> None:
        self._former = [entry for entry in self._former if entry[0] > now]

    def _refresh(self) -> None:
        generation = self._context.view.generation
        if self._generation and generation > self._generation + 1:
            # Pools in between were never seen, and so neither their homes.
            self._remember(_nobody)
        self._generation = generation
        service = self._context.service
        hosts: tuple[Host, ...] = ()
        if service is not None:
            hosts = home_hosts(self._context.view, service)
        signature = tuple((host.name, host.weight) for host in hosts)
        self._replace(home_rank(hosts), signature)

    def _replace(self, rank: Rank, signature: tuple[object, ...]) -> None:
        if signature == self._signature:
            return
        self._remember(self._now)
        self._now = rank
        self._signature = signature

    def _remember(self, rank: Rank) -> None:
        now = self._context.now
        self._forget(now)
        self._former.append((now + SETTLE_SECONDS, rank))


def _nobody(_flow: int) -> list[Host]:
    return []
