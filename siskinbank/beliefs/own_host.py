"""What a sidecar believes of its own host, and whether it takes a flow."""

from __future__ import annotations

from siskinbank.admission import reasons
from siskinbank.admission.arrivals import (
    Arriving,
    ColdLimit,
    QueueRoom,
    RefusingHost,
    WorkTime,
)
from siskinbank.relay import messages
from siskinbank.relay.loop import NEVER

__all__ = ('OwnHost',)

# A host that could not be reached is tried again after this, in seconds.
_UNREACHABLE_S = 1.0
# After a start or a standstill, what the store says is waited for this long,
# in seconds, before old beliefs serve again.
_DOUBT_S = 0.5
# Hosts discard flows that are idle for 15 s.
_WATCHED_S = 18.0
# A host that began at most this long before its sidecar, in milliseconds,
# had no other sidecar: one that is killed needs longer to be back.
_TOGETHER_MS = 250


class OwnHost:
    """The host beside a sidecar.

    Attributes:
        service: digest of the service that the sidecar was set up for.
        record: what the store last said, None if nobody has told yet.
        confirmed: when the store said so.
        version: the newest configuration heard of.
        stopping: the sidecar is about to stop.
        busy: requests in progress.
        work: how long the host works on a request.
        arriving: flows whose first request is on its way.
        room: how many requests the host keeps.
        proven: it has taken a flow that this process saw.
        refusing: whether it refuses all new flows.
    """

    __slots__ = (
        '_cold',
        '_cold_until',
        '_doubt_until',
        '_operator_revision',
        '_started_ms',
        '_unreachable_at',
        '_watched_since',
        'arriving',
        'busy',
        'confirmed',
        'proven',
        'record',
        'refusing',
        'room',
        'service',
        'stopping',
        'version',
        'work',
    )

    def __init__(self, service: int, now: float, started_ms: int) -> None:
        """Know nothing but the service.

        Args:
            service: digest of the service that the sidecar was set up for.
            now: time on the clock that counts suspension.
            started_ms: the time of day, as hosts state the time of their own
                start.
        """
        self.service = service
        self.record: messages.Record | None = None
        self.confirmed = NEVER
        self.version = 0
        self.stopping = False
        self.busy = 0
        self.work = WorkTime()
        self.arriving = Arriving()
        self.room = QueueRoom()
        self.refusing = RefusingHost()
        self.proven = False
        self._cold = ColdLimit()
        self._cold_until = NEVER
        self._unreachable_at = NEVER
        self._doubt_until = now + _DOUBT_S
        self._operator_revision = 0
        self._started_ms = started_ms
        self._watched_since = now

    @property
    def slots(self) -> int:
        """How many requests the host works on at a time."""
        return self.record.slots if self.record else 1

    @property
    def revision(self) -> int:
        """Store revision of what is known, 0 if nothing is."""
        return self.record.revision if self.record else 0

    def age_ms(self, now: float) -> int:
        """Return the age of the record, -1 without one."""
        return int((now - self.confirmed) * 1000) if self.record else -1

    def in_doubt(self, now: float) -> bool:
        """Say whether a word from the store is still to be waited for."""
        return now < self._doubt_until

    def is_trusted(self, now: float) -> bool:
        """Say whether nothing speaks for other hosts.

        A machine may have come back whose host has been replaced. A host of
        which the store says nothing is trusted once it has taken a flow: its
        entry may have lapsed in a cut, and is back only with its next word.
        """
        if self.record is None:
            return self.proven
        return not self.in_doubt(now)

    def expected(self, now: float) -> int:
        """Return the requests in progress and those on their way."""
        return self.busy + self.arriving.count(now)

    def may_prove_itself(self, now: float) -> bool:
        """Say whether a host that nobody knows may take one flow."""
        return self.record is None and not self.expected(now)

    def note_opened(self) -> None:
        """Note that the host took a flow."""
        self.proven = True
        self.refusing.note_taken()

    def seen_whole(self, now: float) -> bool:
        """Say whether the sidecar has seen all flows that the host holds.

        It has if it has watched for longer than flows may be idle, or if
        both started together: a host gets no packet before its sidecar runs.
        """
        born_ms = self.record.born_ms if self.record else 0
        together = born_ms > self._started_ms - _TOGETHER_MS
        return together or now - self._watched_since > _WATCHED_S

    def doubt(self, now: float) -> None:
        """Wait for fresh words: time has passed unnoticed."""
        self._doubt_until = now + _DOUBT_S

    def believe(self, record: messages.Record, now: float) -> bool:
        """Take a record unless it is older; say whether it was taken.

        What hosts wrote and what the operator wrote have revisions of their
        own: a reader may know more of the one and less of the other.
        """
        before = self.record
        self.version = max(self.version, record.version)
        if before and record.revision < before.revision:
            return False
        if before and record.operator_revision < self._operator_revision:
            kept = messages.OUT | messages.OPERATOR
            record.flags = record.flags & ~kept | before.flags & kept
            record.cold_per_s = before.cold_per_s
            record.operator_revision = self._operator_revision
        self._operator_revision = record.operator_revision
        if before and record.born_ms not in {0, before.born_ms}:
            self._unreachable_at = NEVER
            self._watched_since = now
            self.refusing.note_taken()
        self.record = record
        self.confirmed = now - record.age_s
        self._cold_until = now + record.cold_s if record.cold_s else NEVER
        self._doubt_until = NEVER
        return True

    def lose(self, now: float) -> bool:
        """Note that nobody listens at the host; say whether that is new."""
        fresh = now - self._unreachable_at > _UNREACHABLE_S
        self._unreachable_at = now
        self.proven = False
        return fresh

    def state(self, now: float) -> int:
        """Return the reason why no entry should name this host, or NONE."""
        return self._lasting_reason(self.service, now)

    def is_full(self, now: float) -> bool:
        """Say whether the host would shed another request."""
        expected = self.expected(now)
        return expected >= self.slots and self.room.is_full(expected, now)

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Return how long a new request would wait for a slot.

        Args:
            now: time on the clock that counts suspension.
            ahead: flows that are kept and get a slot before it.
        """
        return self.work.wait_s(self.expected(now) + ahead, self.slots)

    def reason_against(self, service: int, now: float) -> int:
        """Return why the host takes no flow at this moment, or NONE.

        Waiting work is no such reason; see ``wait_s``.

        Args:
            service: digest of the service that the flow belongs to.
            now: time on the clock that counts suspension.
        """
        lasting = self._lasting_reason(service, now)
        if lasting:
            return lasting
        return reasons.COLD if self.spare(now) == 0 else reasons.NONE

    def spare(self, now: float) -> int | None:
        """Return the flows that a cold host may still take, None if warm.

        A service that states no rate sets no limit.
        """
        record = self.record
        if record is None or not record.cold_per_s or now >= self._cold_until:
            return None
        return self._cold.spare(now, record.cold_per_s)

    def note_taken(self, key: bytes, now: float) -> None:
        """Count a flow against the cold limit, and expect its request."""
        self._cold.note(now)
        self.arriving.add(key, now)

    def _lasting_reason(self, service: int, now: float) -> int:
        if service != self.service:
            return reasons.OTHER_SERVICE
        # What the store says goes first: it holds for good.
        recorded = _recorded_reason(self.record, service)
        if recorded:
            return recorded
        if self.stopping:
            return reasons.STOPPING
        if now - self._unreachable_at < _UNREACHABLE_S:
            return reasons.UNREACHABLE
        if self.refusing.pauses(now):
            return reasons.REFUSING
        return reasons.NONE


def _recorded_reason(record: messages.Record | None, service: int) -> int:
    if record is None:
        return reasons.NONE
    if record.flags & messages.OUT:
        return reasons.OUT
    if not record.flags & messages.REGISTERED:
        return reasons.UNREGISTERED
    if record.service != service:
        return reasons.OTHER_SERVICE
    if record.flags & messages.DRAINING:
        return reasons.DRAINING
    return reasons.NONE
