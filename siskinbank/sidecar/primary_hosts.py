"""Track for how long this host has been the primary host of a key."""

from siskinbank.choice.primary_hosts import primary_candidates, primary_rank
from siskinbank.choice.registry import Rank
from siskinbank.config.site import Host
from siskinbank.sidecar.context import SidecarContext
from siskinbank.util import digest64

__all__ = ('SETTLE_SECONDS', 'PrimaryHostHistory')

#: How long a host must have been the primary host of a key before it runs
#: requests with the key, and the longest time after its first try that a
#: request may be sent again under its key.
SETTLE_SECONDS = 30.0


class PrimaryHostHistory:
    """Tracks the primary hosts of keys over the last ``SETTLE_SECONDS``.

    The primary host of a key is the host that ranks first for it. A former
    primary host may have run a request with the key, so a new one waits until
    no caller sends the key again.
    """

    def __init__(self, context: SidecarContext) -> None:
        """Initialize the history and follow the context's view."""
        self._context = context
        self._started = context.now
        self._current: Rank = _rank_nothing
        self._signature: tuple[object, ...] = ()
        self._generation = 0
        self._former: list[tuple[float, Rank]] = []
        context.view.subscribe(self._refresh)

    def unresolved_seconds(self, key: str) -> float:
        """Return the seconds until a key need not be fenced at other hosts.

        The result is 0 if this host may run requests with the key now, and
        ``SETTLE_SECONDS`` if it isn't the key's primary host.
        """
        digest = digest64(key)
        if not self._is_primary(self._current, digest):
            return SETTLE_SECONDS
        now = self._context.now
        self._expire(now)
        remaining = [
            until - now
            for until, rank in self._former
            if not self._is_primary(rank, digest)
        ]
        return max(remaining, default=0)

    def former_primaries(self, key: str) -> list[Host] | None:
        """Return the other hosts that were recently the primary of a key.

        None means that fencing the key at them would not suffice: this host
        is not the primary host of the key, or it joined the pool so recently
        that it does not know the former ones.
        """
        digest = digest64(key)
        now = self._context.now
        self._expire(now)
        if self.recently_started() or not self._is_primary(
            self._current, digest
        ):
            return None
        primaries = {}
        for _until, rank in self._former:
            ranked = rank(digest)
            if not ranked:
                return None
            primaries[ranked[0].name] = ranked[0]
        primaries.pop(self._context.process.name, None)
        return list(primaries.values())

    def recently_started(self) -> bool:
        """Return whether this process started less than ``SETTLE_SECONDS`` ago.

        An earlier incarnation may then have run recent requests.
        """
        return self._context.now - self._started < SETTLE_SECONDS

    def _is_primary(self, rank: Rank, digest: int) -> bool:
        ranked = rank(digest)
        return bool(ranked) and ranked[0].name == self._context.process.name

    def _expire(self, now: float) -> None:
        self._former = [former for former in self._former if former[0] > now]

    def _refresh(self) -> None:
        generation = self._context.view.generation
        if self._generation and generation > self._generation + 1:
            # The skipped generations may have had other primary hosts.
            self._add_former(_rank_nothing)
        self._generation = generation
        service = self._context.service
        hosts: tuple[Host, ...] = ()
        if service is not None:
            hosts = primary_candidates(self._context.view, service)
        signature = tuple((host.name, host.weight) for host in hosts)
        self._replace(primary_rank(hosts), signature)

    def _replace(self, rank: Rank, signature: tuple[object, ...]) -> None:
        if signature == self._signature:
            return
        self._add_former(self._current)
        self._current = rank
        self._signature = signature

    def _add_former(self, rank: Rank) -> None:
        now = self._context.now
        self._expire(now)
        self._former.append((now + SETTLE_SECONDS, rank))


def _rank_nothing(_flow: int) -> list[Host]:
    return []
