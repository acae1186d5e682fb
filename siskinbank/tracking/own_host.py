"""Known state of a sidecar's own host, and admission of new flows."""

from __future__ import annotations

from siskinbank.admission import reasons
from siskinbank.admission.arrivals import (
    LOWEST_PRIORITY,
    ColdLimit,
    ExpectedRequests,
    ProcessingTime,
    QueueCapacity,
    RefusalBackoff,
)
from siskinbank.admission.requests_in_progress import (
    RequestsInProgress,
    wait_for_slot_s,
)
from siskinbank.platform.packets import route_key
from siskinbank.platform.settings import DEFAULT_FLOW_LIFETIME_S
from siskinbank.relay import messages
from siskinbank.relay.loop import NEVER
from siskinbank.tracking.idle_timeout import IdleTimeout
from siskinbank.tracking.store_position import StorePosition

__all__ = ('NO_FREE_SLOTS', 'OwnHost')

# Number of free slots of a host that would shed another request: it gets none.
NO_FREE_SLOTS = -1000

# Time after which an unreachable host is tried again, in seconds.
_UNREACHABLE_S = 1.0
# After a start or a stall, the sidecar waits this long for a record from the
# store, in seconds, before it uses the old state again.
_RECORD_WAIT_S = 0.5
# After the store came back from an older copy, what it held since that copy is
# written again within this time, in seconds: hosts write every second, and the
# platform allows the operator this time for an evacuation.
_SETTLING_S = 5.0
# A sidecar has seen all flows of its host this long after the time for which a
# host may keep an idle flow, in seconds: a change of it may reach hosts and
# sidecars at different times.
_OBSERVATION_MARGIN_S = 3.0
# End of a warm-up that has not begun yet.
_NOT_BEGUN = -NEVER
# Flags of a record that the operator sets.
_OPERATOR_FLAGS = messages.EVACUATED | messages.OPERATOR_READ
# A host that started at most this long before its sidecar, in milliseconds,
# had no earlier sidecar: one that is killed needs longer to restart.
_JOINT_START_MS = 250
_MS = 1000


class OwnHost:
    """State of the host beside a sidecar.

    Attributes:
        service: digest of the service in the sidecar's settings.
        record: last record from the store, None before the first one.
        confirmed_at: time when the store confirmed the record, in seconds.
        version: newest configuration version that was announced.
        idle_timeout: how long the host may keep idle flows.
        stopping: whether the sidecar is about to stop.
        busy: number of requests in progress.
        in_progress: these requests, in order.
        processing_time: mean processing times of requests at the host.
        expected_requests: accepted flows whose first request has not arrived
            yet.
        queue_capacity: learned capacity of the host's queue.
        refusal_backoff: pauses new flows while the host refuses all of them.
        has_accepted_flow: whether the host has accepted a flow since this
            process started or last found it unreachable.
    """

    __slots__ = (
        '_assumed_cold_until',
        '_born_ms',
        '_cold',
        '_cold_until',
        '_is_born_in_future',
        '_observed_since',
        '_operator_flags',
        '_record_wait_until',
        '_restart_noted_at',
        '_settled_at',
        '_started',
        '_started_ms',
        '_unreachable_at',
        '_warm_up',
        'busy',
        'confirmed_at',
        'expected_requests',
        'has_accepted_flow',
        'idle_timeout',
        'in_progress',
        'processing_time',
        'queue_capacity',
        'record',
        'refusal_backoff',
        'service',
        'stopping',
        'version',
    )

    def __init__(
        self,
        service: int,
        now: float,
        started_ms: int,
        flow_lifetime_s: float = DEFAULT_FLOW_LIFETIME_S,
    ) -> None:
        """Initialize the state without a record.

        Args:
            service: digest of the service in the sidecar's settings.
            now: time in seconds on the clock that counts suspension.
            started_ms: wall-clock time of the sidecar's start in milliseconds,
                comparable to the start time that hosts report.
            flow_lifetime_s: age in seconds at which any flow may be discarded.
        """
        self.service = service
        self.record: messages.Record | None = None
        self._born_ms = 0
        self.confirmed_at = NEVER
        self.version = 0
        self.idle_timeout = IdleTimeout(flow_lifetime_s)
        self.stopping = False
        self.busy = 0
        self.in_progress = RequestsInProgress()
        self.processing_time = ProcessingTime()
        self.expected_requests = ExpectedRequests()
        self.queue_capacity = QueueCapacity()
        self.refusal_backoff = RefusalBackoff()
        self.has_accepted_flow = False
        # Rate and duration of a warm-up, as an entry last stated them.
        self._warm_up: tuple[float, float] = (0, 0)
        # End of the warm-up of a host without a record, as far as known.
        self._assumed_cold_until = _NOT_BEGUN
        self._cold = ColdLimit()
        self._cold_until = NEVER
        self._unreachable_at = NEVER
        self._restart_noted_at = NEVER
        self._record_wait_until = now + _RECORD_WAIT_S
        self._settled_at = NEVER
        # The operator's flags as last read, without those that are only kept.
        self._operator_flags = 0
        self._started = now
        self._started_ms = started_ms
        self._is_born_in_future = False
        self._observed_since = now

    @property
    def slots(self) -> int:
        """Number of requests that the host processes concurrently."""
        return self.record.slots if self.record else 1

    @property
    def position(self) -> StorePosition:
        """Position of the record in the history of the store."""
        return self.record.position if self.record else StorePosition()

    @property
    def born_ms(self) -> int:
        """Start of the host's incarnation in Unix milliseconds, 0 if unknown.

        It is that of the last record of the sidecar's service that states it.
        """
        return self._born_ms

    @property
    def born_at(self) -> float:
        """Start of the host's incarnation in seconds, from its time of day."""
        return self._started + (self._born_ms - self._started_ms) / _MS

    @property
    def is_leaving(self) -> bool:
        """Whether the store says that the host drains or has left."""
        record = self.record
        return record is not None and (
            not record.flags & messages.REGISTERED
            or bool(record.flags & messages.DRAINING)
        )

    def age_ms(self, now: float) -> int:
        """Return the age of the record in milliseconds, -1 without one."""
        return int((now - self.confirmed_at) * 1000) if self.record else -1

    def is_waiting_for_record(self, now: float) -> bool:
        """Return whether the sidecar still waits for a new record."""
        return now < self._record_wait_until

    def is_trusted(self, now: float) -> bool:
        """Return whether the host can be used like any other.

        Otherwise other hosts are preferred: after a power failure a machine
        may be back whose host has been replaced. A host without a record is
        trusted once it has accepted a flow: its record in the store may have
        expired during a network partition, and the host is registered again
        only with its next heartbeat.
        """
        if self.record is None:
            return self.has_accepted_flow
        return not self.is_waiting_for_record(now)

    def request_count(self, now: float, priority: int = LOWEST_PRIORITY) -> int:
        """Return the number of requests in progress and expected.

        Args:
            now: time in seconds on the clock that counts suspension.
            priority: expected requests of a lower priority do not count.
        """
        return self.busy + self.expected_requests.count(now, priority)

    def may_accept_trial_flow(self, now: float) -> bool:
        """Return whether a host without a record may accept one flow."""
        return self.record is None and not self.request_count(now)

    def note_opened(self) -> None:
        """Note that the host accepted a flow."""
        self.has_accepted_flow = True
        self.refusal_backoff.note_accepted()

    def has_observed_all_flows(self, now: float) -> bool:
        """Return whether the sidecar has seen all flows of the host.

        It has if it has observed the host for longer than flows may be idle,
        or if both started together: a host gets no packet before its sidecar
        runs.
        """
        started_together = self._born_ms > self._started_ms - _JOINT_START_MS
        if started_together and not self._is_born_in_future:
            return True
        longest_s = self.idle_timeout.longest_s(now) + _OBSERVATION_MARGIN_S
        return now - self._observed_since > longest_s

    def wait_for_record(self, now: float) -> None:
        """Wait for a new record after a stall."""
        self._record_wait_until = now + _RECORD_WAIT_S

    def apply_record(self, record: messages.Record, now: float) -> bool:
        """Apply a record unless it is older; return whether it was applied.

        The host records and the operator keys have separate positions: a
        reader may have a newer state of the one and an older state of the
        other.
        """
        previous = self.record
        if record.version and record.version >= self.version:
            self.version = record.version
            self.idle_timeout.note(record.idle_timeout_s, now)
        if previous is None:
            self._operator_flags = record.flags & _OPERATOR_FLAGS
        elif not self._merge(previous, record, now):
            return False
        self.record = record
        self._note_incarnation(record, now)
        self.confirmed_at = now - record.age_s
        self._cold_until = now + record.cold_s if record.cold_s else NEVER
        self._record_wait_until = NEVER
        return True

    def note_warm_up(self, cold_per_s: float, duration_s: float) -> None:
        """Note what an entry states of the warm-up of the service's hosts.

        Args:
            cold_per_s: requests a second that a cold host accepts, 0 if that is
                not stated.
            duration_s: duration of a warm-up in seconds.
        """
        self._warm_up = (cold_per_s, duration_s)

    def note_unreachable(self, now: float) -> bool:
        """Note that the host is unreachable; return whether that is new."""
        newly_unreachable = now - self._unreachable_at > _UNREACHABLE_S
        self._unreachable_at = now
        self._restart_noted_at = now
        self._assumed_cold_until = _NOT_BEGUN
        self.has_accepted_flow = False
        return newly_unreachable

    def note_restart(self, now: float) -> None:
        """Note that the host has lost a flow, as after a restart.

        Load pattern: hosts return cold while the store is down, so that no
        record tells of it.
        """
        self._restart_noted_at = now
        self._assumed_cold_until = now + self._warm_up[1]

    def state(self, now: float) -> int:
        """Return the reason why entries should avoid this host, or NONE."""
        return self._persistent_reason(self.service, now)

    def free_slots(self, requests: int, now: float) -> int:
        """Return the free slots with this many requests.

        Args:
            requests: requests at the host, and expected ones that go first.
            now: time in seconds on the clock that counts suspension.

        Returns:
            A negative number if requests wait at the host, NO_FREE_SLOTS if the
            host would shed another one.
        """
        if requests >= self.slots and self.queue_capacity.is_full(
            requests, now
        ):
            return NO_FREE_SLOTS
        return self.slots - requests

    def wait_s(
        self,
        now: float,
        ahead: int = 0,
        ahead_work_s: float | None = None,
        priority: int = LOWEST_PRIORITY,
    ) -> float:
        """Return how long a new request would wait for a slot, in seconds.

        Args:
            now: time in seconds on the clock that counts suspension.
            ahead: number of queued requests that get a slot before it.
            ahead_work_s: sum of their processing times in seconds, None to
                count each with the mean over all routes.
            priority: priority of the request; expected requests of a lower one
                are served after it.
        """
        count = self.request_count(now, priority) + ahead
        if count < self.slots:
            return 0
        processing_time = self.processing_time
        work_s = self.in_progress.work_s()
        work_s.extend(
            processing_time.of_route(route_key(key))
            for key in self.expected_requests.keys(priority)
        )
        if ahead and ahead_work_s is not None:
            work_s.extend(ahead_work_s / ahead for _ in range(ahead))
        work_s.extend(
            processing_time.seconds for _ in range(count - len(work_s))
        )
        return wait_for_slot_s(work_s, self.slots)

    def refusal_reason(self, service: int, now: float) -> int:
        """Return the reason why the host accepts no flow now, or NONE.

        A wait for a free slot is not a reason; see ``wait_s``.

        Args:
            service: digest of the service that the flow belongs to.
            now: time in seconds on the clock that counts suspension.
        """
        persistent = self._persistent_reason(service, now)
        if persistent:
            return persistent
        return reasons.COLD if self.cold_flows_left(now) == 0 else reasons.NONE

    def is_cold(self, now: float) -> bool:
        """Return whether the host is cold: its speed says nothing yet."""
        return now < self._cold_until

    def cold_flows_left(self, now: float) -> int | None:
        """Return the number of flows that a cold host may still accept.

        Returns:
            None if there is no limit: the host is warm, or its service states no
            rate. A host that seems to have started again since its record was
            read counts as cold, and one without a record for as long as a
            warm-up lasts after its first flow, as when hosts are added while
            the store is down.
        """
        if self.record is None:
            per_s = self._warm_up[0]
            may_be_cold = now < self._assumed_cold_until
        else:
            per_s = self.record.cold_per_s
            has_restarted = self._restart_noted_at > self.confirmed_at
            may_be_cold = has_restarted or self.is_cold(now)
        if not per_s or not may_be_cold:
            return None
        return self._cold.flows_left(now, per_s)

    def note_admitted(
        self, key: bytes, now: float, priority: int = 0, sent: float = 0
    ) -> None:
        """Count a flow against the cold limit, and expect its request.

        Args:
            key: the key of the flow.
            now: time in seconds on the clock that counts suspension.
            priority: priority of the flow's route.
            sent: time in seconds when the client sent the first packet, 0
                if unknown.
        """
        self._cold.note(now)
        # The host had started before.
        cold_until = now + self._warm_up[1]
        self._assumed_cold_until = min(self._assumed_cold_until, cold_until)
        self.expected_requests.add(key, now, priority, sent)

    def _note_era(
        self, previous: messages.Record, record: messages.Record, now: float
    ) -> None:
        """Note that the store came back from an older copy."""
        is_new = (
            previous.position.era < record.position.era
            or previous.operator_position.era < record.operator_position.era
        )
        if is_new:
            self._settled_at = now + _SETTLING_S

    def _merge(
        self, previous: messages.Record, record: messages.Record, now: float
    ) -> bool:
        """Add what is still known to a record; return False if it is older."""
        self._note_era(previous, record, now)
        settling = now < self._settled_at
        if (
            settling
            and 0 < _stated_born_ms(record, self.service) < self._born_ms
        ):
            # A copy of the store may have the record of an earlier incarnation.
            return False
        if record.position.is_before(previous.position):
            if not _has_newer_keys(previous, record):
                return False
            self._keep_host_state(previous, record, now)
        elif record.operator_position.is_before(previous.operator_position):
            # The reader has an older state of what the operator set.
            record.flags &= ~_OPERATOR_FLAGS
            record.flags |= self._operator_flags
            record.cold_per_s = previous.cold_per_s
            record.operator_position = previous.operator_position
        self._operator_flags = record.flags & _OPERATOR_FLAGS
        if settling:
            _keep_restrictions(previous, record)
        return True

    def _note_incarnation(self, record: messages.Record, now: float) -> None:
        """Note which incarnation of the host a record is of."""
        born_ms = _stated_born_ms(record, self.service)
        if born_ms in {0, self._born_ms}:
            return
        has_restarted = self._born_ms != 0
        self._born_ms = born_ms
        # The time of day was set back since the host started.
        self._is_born_in_future = self.born_at > now
        if has_restarted:
            self._unreachable_at = NEVER
            self._observed_since = now
            self.refusal_backoff.note_accepted()
            self.processing_time.forget_speed()

    def _keep_host_state(
        self, previous: messages.Record, record: messages.Record, now: float
    ) -> None:
        """Take only what the operator set from a record of an older listing.

        Load pattern: an entry that can't list the hosts reads the operator keys
        still, and another entry lists the hosts.
        """
        record.flags &= _OPERATOR_FLAGS
        record.flags |= previous.flags & ~_OPERATOR_FLAGS
        if record.service != previous.service:
            record.cold_per_s = previous.cold_per_s
        record.service = previous.service
        record.slots = previous.slots
        record.born_ms = previous.born_ms
        record.position = previous.position
        record.age_s = now - self.confirmed_at
        record.cold_s = max(0, self._cold_until - now)

    def _persistent_reason(self, service: int, now: float) -> int:
        if service != self.service:
            return reasons.OTHER_SERVICE
        # Entries must know why the sidecar will be silent, and whether its host
        # may still hold flows then.
        is_unreachable = now - self._unreachable_at < _UNREACHABLE_S
        if self.stopping:
            return reasons.ENDED if is_unreachable else reasons.STOPPING
        recorded = _recorded_reason(self.record, service)
        if recorded:
            return recorded
        if is_unreachable:
            return reasons.UNREACHABLE
        if self.refusal_backoff.is_paused(now):
            return reasons.REFUSING
        return reasons.NONE


def _has_newer_keys(previous: messages.Record, record: messages.Record) -> bool:
    """Return whether a record has a newer state of what the operator set.

    Without the host its sender does not know the data centre.
    """
    return previous.operator_position.is_before(
        record.operator_position
    ) and bool(record.flags & messages.REGISTERED)


def _keep_restrictions(
    previous: messages.Record, record: messages.Record
) -> None:
    """Keep the flags that the copy may lack and that are set again soon."""
    kept = previous.flags & messages.EVACUATED
    if record.born_ms in {0, previous.born_ms}:
        kept |= previous.flags & messages.DRAINING
    record.flags |= kept


def _recorded_reason(record: messages.Record | None, service: int) -> int:
    if record is None:
        return reasons.NONE
    if record.flags & messages.EVACUATED:
        return reasons.EVACUATED
    if not record.flags & messages.REGISTERED:
        return reasons.UNREGISTERED
    if record.service != service:
        return reasons.OTHER_SERVICE
    if record.flags & messages.DRAINING:
        return reasons.DRAINING
    return reasons.NONE


def _stated_born_ms(record: messages.Record, service: int) -> int:
    """Return the start that a record states of the host of a service, or 0.

    The record of another service at this address tells nothing of the host:
    addresses are reused, and other clients write to the store.
    """
    is_own = record.service == service
    is_registered = bool(record.flags & messages.REGISTERED)
    return record.born_ms if is_own and is_registered else 0
