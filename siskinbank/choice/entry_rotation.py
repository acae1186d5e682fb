"""Decision whether an entry answers the readiness probe, by its capacity.

Load pattern: routers spread new flows evenly over the entries of a data centre,
regardless of their links and processors. With entries of 100 and of 5 Mbit/s
side by side, uploads through the latter miss their deadlines while the former
are nearly idle.
"""

from __future__ import annotations

__all__ = ('EntryRotation', 'EntryState', 'best_count', 'packet_rate')

# A full packet on the wire: entries forward packets of up to 1,231 bytes.
_PACKET_BITS = 9848
# Packets per second that one core forwards, rounded down: 16 to 18 us of
# processor time per full packet were measured on loopback with one packet per
# turn of the event loop. Several packets per turn take 6 to 8 us each.
_PACKETS_PER_CORE_S = 50_000
_BITS_PER_KBIT = 1000
# Entries leave only if the throughput under an even split grows by this factor:
# each that leaves or returns moves its flows to entries that must search their
# hosts, which a small gain is not worth.
_MIN_GAIN = 1.25
# An entry that has been heard from within this time, in seconds, is known:
# routers also count entries that are down.
_KNOWN_S = 60.0
# The report of an entry is fresh for this time, in seconds, or for this number
# of its announced intervals if that is longer.
_FRESH_S = 2.5
_FRESH_INTERVALS = 3
# Time for which the condition for leaving must hold, in seconds: as long as a
# report is fresh at the usual interval of a second. Each report that an entry
# leaves on is confirmed or replaced meanwhile, and two entries that see the same
# change do not flap together.
_HOLD_S = 3.0


class EntryState:
    """Last report of an entry.

    Attributes:
        packed: IP address as 4 bytes.
        capacity: packets per second, 0 if unknown.
        serving: whether the entry is ready and in rotation.
        stopping: whether it is about to stop.
        interval_s: announced time until its next report, in seconds.
        last_seen: time of the report, in seconds.
    """

    __slots__ = (
        'capacity',
        'interval_s',
        'last_seen',
        'packed',
        'serving',
        'stopping',
    )

    def __init__(self, packed: bytes, capacity: int, last_seen: float) -> None:
        """Create the state of an entry that is not in rotation."""
        self.packed = packed
        self.capacity = capacity
        self.serving = False
        self.stopping = False
        self.interval_s: float = 0
        self.last_seen = last_seen

    @property
    def order(self) -> tuple[bool, int, bytes]:
        """Sorting key: unknown capacity, then the highest; then the address."""
        return (self.capacity > 0, -self.capacity, self.packed)

    def is_in_rotation(self, now: float) -> bool:
        """Return whether a fresh report says that the entry is in rotation."""
        fresh_s = max(_FRESH_S, self.interval_s * _FRESH_INTERVALS)
        fresh = now - self.last_seen <= fresh_s
        return fresh and self.serving and not self.stopping

    def differs(self, other: EntryState) -> bool:
        """Return whether another report would lead to another decision."""
        return (
            self.capacity != other.capacity
            or self.serving != other.serving
            or self.stopping != other.stopping
        )


def packet_rate(link_kbps: int, cores: float) -> int:
    """Return the capacity of an entry in packets per second, 0 if unknown.

    The smaller of the rates that link and processor can carry; a limit that is
    unknown does not count. Links bind: one of 5 Mbit/s carries 507 packets per
    second and one of 100 Mbit/s 10,154, which takes a fifth of a core; the
    least processor share in use is 0.387 cores.

    Args:
        link_kbps: rate of the link in kbit/s, 0 if unknown.
        cores: processor time per second in cores, 0 if unknown.
    """
    rates = []
    if link_kbps > 0:
        rates.append(link_kbps * _BITS_PER_KBIT // _PACKET_BITS)
    if cores > 0:
        rates.append(int(cores * _PACKETS_PER_CORE_S))
    return max(1, min(rates)) if rates else 0


def best_count(capacities: list[int]) -> int:
    """Return how many of the best entries should be in rotation.

    It maximizes the throughput of the set under an even split, which is the
    number of entries times the lowest capacity. At least half of the entries
    stay, as routers use all if fewer are in rotation. Among equal results the
    largest set is chosen, and all stay if the gain is small.

    Args:
        capacities: capacities of all entries, the best first. An unknown one
            (0) counts as the highest known one.
    """
    total = len(capacities)
    highest = max(capacities)
    best = total
    best_rate = 0
    for count in range(total, (total - 1) // 2, -1):
        rate = count * (capacities[count - 1] or highest)
        if rate > best_rate:
            best, best_rate = count, rate
    rate_of_all = total * (capacities[-1] or highest)
    return best if best_rate >= _MIN_GAIN * rate_of_all else total


class EntryRotation:
    """Decides whether this entry is in rotation, from reports of the others.

    Attributes:
        own: state of this entry; ``own.serving`` is not used here.
        in_rotation: the decision.
    """

    __slots__ = ('_hold_started', '_others', 'in_rotation', 'own')

    def __init__(self, packed: bytes) -> None:
        """Create the state of an entry that is in rotation.

        Args:
            packed: its IP address as 4 bytes.
        """
        self.own = EntryState(packed, 0, 0)
        self.in_rotation = True
        self._others: dict[bytes, EntryState] = {}
        #: Since when the condition for leaving holds, None if it does not.
        self._hold_started: float | None = None

    @property
    def others(self) -> list[bytes]:
        """Addresses of the other known entries of the data centre."""
        return list(self._others)

    def __contains__(self, packed: bytes) -> bool:
        """Return whether an entry is known to be in the same data centre."""
        return packed in self._others

    def note(self, state: EntryState) -> bool:
        """Record the report of another entry of the same data centre.

        Returns:
            Whether it differs from the previous one.
        """
        previous = self._others.get(state.packed)
        self._others[state.packed] = state
        return previous is None or previous.differs(state)

    def forget(self, packed: bytes) -> None:
        """Remove an entry that is in another data centre."""
        self._others.pop(packed, None)

    def sweep(self, now: float) -> None:
        """Remove the entries that have been silent for a long time."""
        silent = [
            state.packed
            for state in self._others.values()
            if now - state.last_seen > _KNOWN_S
        ]
        for packed in silent:
            self.forget(packed)

    def join(self) -> None:
        """Return to rotation regardless of the other entries."""
        self.in_rotation = True
        self._hold_started = None

    def restart_hold(self) -> None:
        """Let the condition for leaving hold anew, as after a stall."""
        self._hold_started = None

    def decide(self, now: float, unlocated: int) -> None:
        """Update the decision.

        Args:
            now: time in seconds, on a clock that runs on during suspension.
            unlocated: number of entries whose data centre is not known. They
                may be in this one, so they delay leaving: an entry that knows
                few others after its start would count too few of them.
        """
        if not self.in_rotation:
            if not self._is_dispensable(now, 0):
                self.join()
        elif not self._is_dispensable(now, unlocated):
            self._hold_started = None
        elif self._hold_started is None:
            self._hold_started = now
        elif now - self._hold_started >= _HOLD_S:
            self.in_rotation = False
            self._hold_started = None

    def count_in_rotation(self, now: float) -> int:
        """Return how many other entries report that they are in rotation."""
        return sum(state.is_in_rotation(now) for state in self._others.values())

    def describe(self, now: float) -> dict[str, object]:
        """Return the inputs of the decision and their age, for the log."""
        ordered = self._ordered()
        ages = [now - state.last_seen for state in self._others.values()]
        return {
            'capacity': self.own.capacity,
            'rank': ordered.index(self.own) + 1,
            'known': len(ordered),
            'wanted': best_count([state.capacity for state in ordered]),
            'in_rotation': self.count_in_rotation(now),
            'age_ms': int(max(ages, default=0) * 1000),
        }

    def _is_dispensable(self, now: float, unlocated: int) -> bool:
        """Return whether enough better entries are in rotation."""
        if not self.own.capacity:
            return False
        ordered = self._ordered()
        capacities = [0 for _ in range(unlocated)]
        capacities.extend(state.capacity for state in ordered)
        better = ordered[: ordered.index(self.own)]
        in_rotation = sum(state.is_in_rotation(now) for state in better)
        return in_rotation >= best_count(capacities)

    def _ordered(self) -> list[EntryState]:
        """Return all known entries, the best first."""
        return sorted(
            (self.own, *self._others.values()),
            key=lambda state: state.order,
        )
