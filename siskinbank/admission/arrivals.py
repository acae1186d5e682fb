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

__all__ = (
    'Arriving',
    'ColdLimit',
    'QueueRoom',
    'RefusingHost',
    'WorkTime',
    'longest_wait_s',
    'nobody_is_final',
    'refusal_is_final',
    'where_to_wait',
)

# A cold host's second, with room for the jitter between the sidecar's clock
# and the host's socket.
_COLD_WINDOW_S = 1.05
# New flows a second beyond what a cold host bears: the platform allows 5 and
# half as many again; the rest is left for copies that were under way.
_COLD_EXTRA = 3

# The usual time of a request before any was seen, in seconds.
_FIRST_WORK_S = 0.04
# A request follows its flow's first packet within this, in seconds: several
# ways to the client and back, with one packet lost.
_ARRIVES_S = 0.3
# It usually does within this, in seconds, before any was seen: two ways to a
# client of 3 ms and back, and some work on the way.
_FIRST_ARRIVAL_S = 0.02
# A request is expected for this many times the usual.
_USUAL_TIMES = 3
# Requests by which the room of a queue is tried anew, a second.
_ROOM_GROWS_PER_S = 0.5
# Part of a new measurement in a usual time: about the last ten count.
_WORK_SHARE = 0.1
# Part of a request's time limit that it may wait before it is worked on; the
# rest is for the work, the way, and for the client's next try elsewhere.
_WAIT_SHARE = 0.5

# First packets refused in a row after which a host refuses all: one may come
# at the moment at which it leaves or is full.
_REFUSALS_IN_A_ROW = 2
# Pauses before a refusing host is tried again, in seconds: the first is about
# the time in which a host starts, the longest that in which a store forgets it.
_FIRST_PAUSE_S = 0.25
_LONGEST_PAUSE_S = 2.0

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


class Arriving:
    """Flows that were taken and whose first request is still on its way.

    Load pattern: many first packets reach a host within the time that a
    client takes to send its request; none of them shows among the requests in
    progress yet, and all of them will. Then a backlog, in which many clients
    have given up: a host must not wait long for their requests.
    """

    __slots__ = ('_taken', '_usual_s')

    def __init__(self) -> None:
        """Start with none."""
        self._taken: dict[bytes, float] = {}
        self._usual_s = _FIRST_ARRIVAL_S

    def add(self, key: bytes, now: float) -> None:
        """Expect the request of a flow."""
        self._taken[key] = now

    def note_request(self, key: bytes, now: float) -> None:
        """Note that the request came, and how long that took."""
        taken = self._taken.pop(key, None)
        if taken is not None:
            self._usual_s += (now - taken - self._usual_s) * _WORK_SHARE

    def end(self, key: bytes) -> None:
        """Note that the flow did not open."""
        self._taken.pop(key, None)

    def count(self, now: float) -> int:
        """Return how many requests are expected; some never come."""
        edge = now - min(_ARRIVES_S, self._usual_s * _USUAL_TIMES)
        late = [key for key, taken in self._taken.items() if taken < edge]
        for key in late:
            self._taken.pop(key)
        return len(self._taken)


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


class QueueRoom:
    """How many requests a host keeps before it sheds, learnt from sheds.

    Load pattern: a backlog fills the queue of every host; one request more is
    answered with a refusal and uses up one of its caller's tries, while a
    first packet that waits for its next copy costs nothing.
    """

    __slots__ = ('_most', '_shed_at')

    def __init__(self) -> None:
        """Know of no bound."""
        self._most: float = 0
        self._shed_at: float = 0

    def note_shed(self, kept: int, now: float) -> None:
        """Learn that a host with so many requests kept no more."""
        self._most = max(1, kept)
        self._shed_at = now

    def is_full(self, requests: int, now: float) -> bool:
        """Say whether a host with so many requests would shed another."""
        if not self._shed_at:
            return False
        # Room may grow again, with the work; it is tried step by step.
        most = self._most + (now - self._shed_at) * _ROOM_GROWS_PER_S
        return requests >= int(most)


class RefusingHost:
    """Keeps new flows away from a host that refuses all of them.

    Load pattern: after a loss of power machines are back whose hosts were
    replaced, while the store still names them. They are idle, so every entry
    would send its first packets there before any other host.
    """

    __slots__ = ('_pause_s', '_refusals', '_until')

    def __init__(self) -> None:
        """Start with a host that takes flows."""
        self._refusals = 0
        self._pause_s = _FIRST_PAUSE_S
        self._until: float = 0

    def note_refusal(self, now: float) -> bool:
        """Count a refused first packet; say whether a pause begins."""
        if self.pauses(now):
            return False
        self._refusals += 1
        if self._refusals < _REFUSALS_IN_A_ROW:
            return False
        self._until = now + self._pause_s
        self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)
        return True

    def note_taken(self) -> None:
        """Note that the host took a flow."""
        self._refusals = 0
        self._pause_s = _FIRST_PAUSE_S
        self._until = 0

    def pauses(self, now: float) -> bool:
        """Say whether the host is to be left alone."""
        return now < self._until


def longest_wait_s(limit_s: float) -> float:
    """Return the wait beyond which a request cannot be served in time."""
    return limit_s * _WAIT_SHARE


def where_to_wait(
    wait_s: float | None,
    longest_s: float,
    best_wait_s: float | None,
    candidates_left: bool,
) -> str:
    """Say what becomes of a flow at a host that is at work.

    With other candidates left, a flow goes on as soon as it would wait here.
    The last candidate sends it to the host with the shortest wait of all that
    it met, unless even that is too long.

    Args:
        wait_s: how long it would wait here, None if the host keeps no more.
        longest_s: how long it may wait, in seconds.
        best_wait_s: the shortest wait that it met before, None without one.
        candidates_left: whether it can be passed on.

    Returns:
        ``here``, ``on``, ``back`` (to the host with the shortest wait) or
        ``nowhere`` at this moment.
    """
    if wait_s == 0:
        return 'here'
    if candidates_left:
        return 'on'
    waits = [wait for wait in (wait_s, best_wait_s) if wait is not None]
    shortest = min(waits, default=longest_s + 1)
    if shortest > longest_s:
        return 'nowhere'
    return 'here' if shortest == wait_s else 'back'


def refusal_is_final(reason: int, copy: int) -> bool:
    """Say whether a caller should hear of a refusal now.

    A host that is cold, has a full queue or just started has room again within
    a second, and clients send two copies of a first packet in that time; any
    other refusal is told at once.

    Args:
        reason: why nobody took the flow.
        copy: how many copies of the first packet came before.
    """
    return nobody_is_final([reason], copy)


def nobody_is_final(states: list[int], copy: int) -> bool:
    """Say whether a caller should hear now that no host takes its flow.

    Args:
        states: why each host of the service takes none.
        copy: how many copies of the first packet came before.
    """
    return not reasons.SHORT.intersection(states) or copy >= _LAST_COPY
