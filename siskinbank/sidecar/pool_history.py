"""How the pool of a service ranks flows now, and ranked them lately."""

from collections.abc import Iterable, Iterator

from siskinbank.choice.router import PoolRanks
from siskinbank.config.site import Host
from siskinbank.kernel.clock import Clock

__all__ = ('PoolHistory',)

#: How long other processes may still rank by an earlier generation.
SKEW_SECONDS = 60
_MAX_EARLIER = 4
_HOMES = 2
_UNSETTLED_HOMES = 3


class PoolHistory:
    """The ranking in force and those that other processes may still use."""

    def __init__(self, clock: Clock) -> None:
        """Start without a pool."""
        self._clock = clock
        self._now: PoolRanks | None = None
        self._earlier: list[tuple[float, PoolRanks]] = []
        self._changed = clock()
        self._since: float | None = None

    @property
    def settled(self) -> bool:
        """Whether the pool has not changed for long enough."""
        return self._clock() - self._changed > SKEW_SECONDS

    @property
    def is_young(self) -> bool:
        """Whether this process may be newer than what others rank by."""
        if self._since is None:
            return True
        return self._clock() - self._since <= SKEW_SECONDS

    def update(self, ranks: PoolRanks) -> bool:
        """Take over the ranking in force; return whether it has changed."""
        if ranks is self._now:
            return False
        now = self._clock()
        if self._since is None:
            self._since = now
        if self._now is not None:
            self._earlier.append((now, self._now))
            del self._earlier[:-_MAX_EARLIER]
        self._now = ranks
        self._changed = now
        return True

    def known(self, number: int) -> list[Host]:
        """Return the hosts that may own a flow, likeliest first."""
        return self._now.known(number) if self._now else []

    def fresh(self, number: int) -> list[Host]:
        """Return the hosts to offer a new flow to, best first."""
        return self._now.fresh(number) if self._now else []

    def homes(self, number: int, own: str, *, new: bool) -> list[Host]:
        """Return the hosts that should know that ``own`` owns a flow.

        These are the hosts where other processes look first: by the ranking
        in force, and by the earlier ones that may still be in use elsewhere.
        A process that does not know ``own`` yet looks where the flow would
        be without it, which is the next host by rank.

        Args:
            number: the flow's number.
            own: the owner's name.
            new: whether the flow was opened just now.
        """
        ranked = self.known(number)
        others = [host for host in ranked if host.name != own]
        if new and not self.settled:
            wanted = others[:_UNSETTLED_HOMES]
        elif ranked and ranked[0].name == own:
            wanted = []
        else:
            wanted = others[:_HOMES]
        wanted.extend(self._earlier_firsts(number))
        return _unique(wanted, own)

    def suspects(self, number: int, own: str, *, first: bool) -> list[Host]:
        """Return the hosts that may have taken a flow as new before ``own``.

        Args:
            number: the flow's number.
            own: the name of the host that is asked to take it.
            first: whether entries offer such a packet by ``fresh``.
        """
        offered = self.fresh(number) if first else self.known(number)
        wanted = offered[:1]
        if not self.settled:
            # A young process knows of no earlier pool, and asks all.
            asked = None if self.is_young else 1
            wanted.extend(self.known(number)[:asked])
            wanted.extend(self._earlier_firsts(number))
        return _unique(wanted, own)

    def _earlier_firsts(self, number: int) -> Iterator[Host]:
        since = self._clock() - SKEW_SECONDS
        for ended, ranks in reversed(self._earlier):
            if ended >= since:
                yield from ranks.known(number)[:1]
                yield from ranks.fresh(number)[:1]


def _unique(hosts: Iterable[Host], own: str) -> list[Host]:
    named = {host.name: host for host in hosts if host.name != own}
    return list(named.values())
