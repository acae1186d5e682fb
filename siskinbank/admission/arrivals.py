"""Whether a sidecar's host may take a new flow.

Load patterns: a service whose hosts all restart at once, where cold hosts
bear a few requests a second over all entries; more first packets at once than
a host has slots, while its neighbours have room; entries that still believe
what was true seconds ago about a host that leaves, whose data centre was
taken out, or whose address went to another service. The sidecar decides at
the last moment, on what it sees itself and what the store last said.
"""

from __future__ import annotations

from siskinbank.admission import reasons

__all__ = ('ColdLimit', 'is_busy', 'refusal_is_final')

# A cold host's second, with room for the jitter between the sidecar's clock
# and the host's socket.
_COLD_WINDOW_S = 1.05
# New flows a second beyond what a cold host bears: the platform allows 5 and
# half as many again; the rest is left for copies that were under way.
_COLD_EXTRA = 3

# Rounds of work that may wait at a host where no other has room: about the
# latency that users expect, next to the usual time of a request.
_MOST_ROUNDS = 5

# Clients send a first packet three times.
_LAST_COPY = 2


class ColdLimit:
    """Counts new flows to a cold host in a sliding second."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        """Start with none."""
        self._times: list[float] = []

    def spare(self, now: float, per_s: float) -> int:
        """Return how many more flows fit in at this moment."""
        edge = now - _COLD_WINDOW_S
        self._times = [taken for taken in self._times if taken > edge]
        return max(0, int(per_s) + _COLD_EXTRA - len(self._times))

    def note(self, now: float) -> None:
        """Count one flow."""
        self._times.append(now)


def is_busy(busy: int, slots: int, candidates_left: bool) -> bool:
    """Say whether a flow should go elsewhere because of waiting work.

    With other candidates left, a flow goes on as soon as it would wait here.
    The last candidate lets it wait for a few rounds of work; beyond that a
    caller is better off at once with a refusal.

    Args:
        busy: requests in progress at the host.
        slots: requests that it works on at a time.
        candidates_left: whether the flow can be passed on.
    """
    rounds = 1 if candidates_left else _MOST_ROUNDS
    return busy >= slots * rounds


def refusal_is_final(reason: int, copy: int) -> bool:
    """Say whether a caller should hear of a refusal now.

    A cold host has room again within a second, and clients send two copies
    of a first packet in that time; any other refusal is told at once.

    Args:
        reason: why nobody took the flow.
        copy: how many copies of the first packet came before.
    """
    return reason != reasons.COLD or copy >= _LAST_COPY
