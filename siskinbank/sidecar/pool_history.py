"""The current and recent flow rankings of a service's pool."""

import functools
from collections.abc import Iterable, Iterator

from siskinbank.choice.registry import Rank
from siskinbank.choice.router import PoolRanks
from siskinbank.config.site import Address, Host
from siskinbank.kernel.clock import Clock

__all__ = ('PoolHistory',)

#: How long other processes may still use the ranking of an earlier generation.
SKEW_SECONDS = 60
_MAX_EARLIER_RANKINGS = 4
#: Flows whose ranking by the current pool is kept. A ranking takes 0.3
#: microseconds for each host, and each ``Restarted`` message needs that of every
#: owned flow. A flow takes some 0.3 KB; a sidecar owns 1,125 at the design size.
_MAX_CACHED_FLOWS = 2048
#: Number of other hosts to which a flow is announced if its owner isn't its
#: primary host.
_ANNOUNCEMENT_TARGETS = 2
#: Number of other hosts to which a new flow is announced in an unstable pool.
_UNSTABLE_ANNOUNCEMENT_TARGETS = 3


class PoolHistory:
    """The current ranking and those that other processes may still use."""

    def __init__(self, clock: Clock) -> None:
        """Initialize the history without a pool."""
        self._clock = clock
        self._current: PoolRanks | None = None
        self._known: Rank = _rank_no_hosts
        self._earlier: list[tuple[float, PoolRanks]] = []
        self._changed = clock()
        self._joined: float | None = None

    @property
    def is_stable(self) -> bool:
        """Return whether the pool has not changed for ``SKEW_SECONDS``."""
        return self._clock() - self._changed > SKEW_SECONDS

    @property
    def joined_recently(self) -> bool:
        """Return whether other processes may use a pool without this host."""
        if self._joined is None:
            return True
        return self._clock() - self._joined <= SKEW_SECONDS

    def update(self, ranks: PoolRanks) -> bool:
        """Set the current ranking; return whether it has changed."""
        if ranks is self._current:
            return False
        now = self._clock()
        if self._joined is None:
            self._joined = now
        if self._current is not None:
            self._earlier.append((now, self._current))
            del self._earlier[:-_MAX_EARLIER_RANKINGS]
        self._current = ranks
        self._known = functools.lru_cache(_MAX_CACHED_FLOWS)(ranks.known)
        self._changed = now
        return True

    def known(self, number: int) -> list[Host]:
        """Return the hosts that may own a flow, most likely first.

        The list is cached and must not be changed.
        """
        return self._known(number)

    def fresh(self, number: int) -> list[Host]:
        """Return the hosts to offer a new flow to, best first."""
        return self._current.fresh(number) if self._current else []

    def announcement_targets(
        self, number: int, own_name: str, *, new: bool
    ) -> list[Host]:
        """Return the hosts to which ``own_name`` announces that it owns a flow.

        These are the hosts that other processes ask first: by the current
        ranking, and by earlier ones that may still be in use elsewhere. A
        process whose pool does not contain ``own_name`` yet asks the next
        host by rank.

        Args:
            number: the flow's number.
            own_name: the owner's name.
            new: whether the flow was just opened.
        """
        ranked = self.known(number)
        others = [host for host in ranked if host.name != own_name]
        if new and not self.is_stable:
            targets = others[:_UNSTABLE_ANNOUNCEMENT_TARGETS]
        elif ranked and ranked[0].name == own_name:
            targets = []
        else:
            targets = others[:_ANNOUNCEMENT_TARGETS]
        targets.extend(self._earlier_primaries(number))
        return _unique(targets, own_name)

    def announced_to(
        self,
        receiver: Address,
        numbers: Iterable[int],
        own_name: str,
    ) -> list[int]:
        """Return the flows for which one host is an announcement target.

        It selects flows as ``announcement_targets`` does for flows that are not
        new. When a pool starts at once, each host asks every other one, and
        each time all flows are checked; so most are skipped by a few
        comparisons.

        Args:
            receiver: the host's address.
            numbers: the numbers of the flows that ``own_name`` owns.
            own_name: the owner's name.
        """
        since = self._clock() - SKEW_SECONDS
        has_earlier = any(ended >= since for ended, _ in self._earlier)
        known = self._known
        selected = []
        for number in numbers:
            ranked = known(number)
            if not has_earlier and not _may_be_target(
                receiver, ranked, own_name
            ):
                continue
            targets = self.announcement_targets(number, own_name, new=False)
            if any(host.address == receiver for host in targets):
                selected.append(number)
        return selected

    def possible_owners(
        self, number: int, own_name: str, *, first: bool
    ) -> list[Host]:
        """Return the hosts that may have admitted a flow before ``own_name``.

        Args:
            number: the flow's number.
            own_name: the name of the host that is to admit it now.
            first: whether the packet opens a TCP connection; entries offer
                such a packet by the ``fresh`` ranking.
        """
        offered = self.fresh(number) if first else self.known(number)
        targets = offered[:1]
        if not self.is_stable:
            # A process that joined recently has no earlier rankings and asks
            # all hosts.
            count = None if self.joined_recently else 1
            targets.extend(self.known(number)[:count])
            targets.extend(self._earlier_primaries(number))
        return _unique(targets, own_name)

    def _earlier_primaries(self, number: int) -> Iterator[Host]:
        since = self._clock() - SKEW_SECONDS
        for ended, ranks in reversed(self._earlier):
            if ended >= since:
                yield from ranks.known(number)[:1]
                yield from ranks.fresh(number)[:1]


def _may_be_target(
    receiver: Address, ranked: list[Host], own_name: str
) -> bool:
    """Return whether a host may be among the targets of a flow not new."""
    if not ranked or ranked[0].name == own_name:
        return False
    # The owner may be one of these, which leaves the others.
    possible = ranked[: _ANNOUNCEMENT_TARGETS + 1]
    return receiver in [host.address for host in possible]


def _rank_no_hosts(_number: int) -> list[Host]:
    return []


def _unique(hosts: Iterable[Host], own_name: str) -> list[Host]:
    named = {host.name: host for host in hosts if host.name != own_name}
    return list(named.values())
