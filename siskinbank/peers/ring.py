"""Failure detection: monitor the successors on the data centre's ring."""

from dataclasses import dataclass

from siskinbank.directory.member_status import (
    MemberState,
    MemberStatus,
    MemberStatusTable,
)
from siskinbank.directory.roster import Record, Roster, ring_key

__all__ = ('RingMonitor',)

_MONITORED_SUCCESSORS = 2
_MAX_RING_STEPS = 8
_SILENT_SECONDS = 4


@dataclass(slots=True)
class _MonitoredSuccessor:
    """A monitored successor.

    ``last_seen`` is the time of its last message, or the time at which the
    monitoring started or was reset.
    """

    last_seen: float
    epoch: int = 0


class RingMonitor:
    """Tracks when each monitored successor last sent something."""

    def __init__(self, name: str, data_centre: str) -> None:
        """Initialize for the process ``name``."""
        self._name = name
        self._data_centre = data_centre
        self._monitored: dict[str, _MonitoredSuccessor] = {}

    def note_received(self, name: str, epoch: int, now: float) -> None:
        """Record that a message of an instance was received."""
        monitored = self._monitored.get(name)
        if monitored is not None:
            monitored.last_seen = now
            monitored.epoch = epoch

    def update(
        self,
        roster: Roster,
        statuses: MemberStatusTable,
        now: float,
        *,
        reset: bool,
    ) -> tuple[list[Record], list[MemberStatus]]:
        """Return the successors to ask, and the status of the silent ones.

        Args:
            roster: all instances.
            statuses: their known status; silent instances are skipped.
            now: the time in seconds.
            reset: whether to restart all silence timers. Set while this
                process has itself lost contact, since missing answers are no
                evidence then.
        """
        successors = self._successors(roster, statuses)
        previous = self._monitored
        self._monitored = {
            record.name: previous.get(record.name) or _MonitoredSuccessor(now)
            for record in successors
        }
        if reset:
            for monitored in self._monitored.values():
                monitored.last_seen = now
        silent = [
            self._silent_status(record.name, statuses)
            for record in successors
            if now - self._monitored[record.name].last_seen >= _SILENT_SECONDS
        ]
        return successors, silent

    def _silent_status(
        self, name: str, statuses: MemberStatusTable
    ) -> MemberStatus:
        known = statuses.get(name)
        epoch = max(
            self._monitored[name].epoch,
            known.epoch if known else 0,
        )
        return MemberStatus(epoch, MemberState.silent, name)

    def _successors(
        self, roster: Roster, statuses: MemberStatusTable
    ) -> list[Record]:
        ring = roster.index().rings.get(self._data_centre, ())
        position = _ring_index(ring, self._name)
        successors: list[Record] = []
        for step in range(1, min(len(ring), _MAX_RING_STEPS)):
            record = ring[(position + step) % len(ring)]
            if (
                record.name == self._name
                or len(successors) == _MONITORED_SUCCESSORS
            ):
                break
            if statuses.silent_for(record.name, 0) is None:
                successors.append(record)
        return successors


def _ring_index(ring: tuple[Record, ...], name: str) -> int:
    """Return the index of a name on a ring that is sorted by hash.

    If the ring does not contain the name, it is the index of its predecessor,
    or -1.
    """
    low, high = 0, len(ring)
    key = ring_key(name)
    while low < high:
        middle = (low + high) // 2
        if ring_key(ring[middle].name) < key:
            low = middle + 1
        else:
            high = middle
    return low if low < len(ring) and ring[low].name == name else low - 1
