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

__all__ = ('ColdLimit', 'WorkTime', 'refusal_is_final', 'where_to_wait')

# A cold host's second, with room for the jitter between the sidecar's clock
# and the host's socket.
_COLD_WINDOW_S = 1.05
# New flows a second beyond what a cold host bears: the platform allows 5 and
# half as many again; the rest is left for copies that were under way.
_COLD_EXTRA = 3

# The usual time of a request before any was seen, in seconds.
_FIRST_WORK_S = 0.04
# Part of a new measurement in the usual time: about the last ten count.
_WORK_SHARE = 0.1
# Part of a request's time limit that it may wait before it is worked on; the
# rest is for the work, the way, and for the client's next try elsewhere.
_WAIT_SHARE = 0.5

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


class WorkTime:
    """How long a host works on a request, from requests that did not wait."""

    __slots__ = ('seconds',)

    def __init__(self) -> None:
        """Begin with what requests usually take."""
        self.seconds = _FIRST_WORK_S

    def note(self, took: float) -> None:
        """Take in one request."""
        self.seconds += (took - self.seconds) * _WORK_SHARE

    def wait_s(self, busy: int, slots: int) -> float:
        """Return how long a new request would wait for a slot.

        Args:
            busy: requests in progress at the host.
            slots: requests that it works on at a time.
        """
        return max(0, busy - slots + 1) * self.seconds / slots


def where_to_wait(
    wait_s: float,
    limit_s: float,
    best_wait_s: float | None,
    candidates_left: bool,
) -> str:
    """Say what becomes of a flow at a host that is at work.

    With other candidates left, a flow goes on as soon as it would wait here.
    The last candidate sends it to the host with the shortest wait of all that
    it met. Where even that is too long for the request's time limit, a caller
    is better off at once with a refusal.

    Args:
        wait_s: how long it would wait here.
        limit_s: the time limit of the route's requests.
        best_wait_s: the shortest wait that it met before, None at the first.
        candidates_left: whether it can be passed on.

    Returns:
        ``here``, ``on``, ``back`` (to the host with the shortest wait) or
        ``nowhere``.
    """
    if wait_s <= 0:
        return 'here'
    if candidates_left:
        return 'on'
    shortest = wait_s if best_wait_s is None else min(wait_s, best_wait_s)
    if shortest > limit_s * _WAIT_SHARE:
        return 'nowhere'
    return 'back' if shortest < wait_s else 'here'


def refusal_is_final(reason: int, copy: int) -> bool:
    """Say whether a caller should hear of a refusal now.

    A cold host has room again within a second, and clients send two copies
    of a first packet in that time; any other refusal is told at once.

    Args:
        reason: why nobody took the flow.
        copy: how many copies of the first packet came before.
    """
    return reason != reasons.COLD or copy >= _LAST_COPY
