"""Requests that a sidecar queues until its host has a free slot.

Load pattern: all slots of a host are in use, and more requests arrive than
slots become free, some on open flows and some as first packets. Which of them is
served next is decided by ``service_order``; those that can't be served within
their limits leave the queue while their clients can still try another host.
"""

from __future__ import annotations

from siskinbank.admission.arrivals import LOWEST_PRIORITY
from siskinbank.admission.held_request import HeldRequest
from siskinbank.admission.known_routes import RouteParameters
from siskinbank.admission.service_order import (
    HOPELESS,
    IN_TIME,
    FlowRequest,
    service_order,
)

__all__ = ('PendingQueue', 'QueuedOpening', 'may_go_to_host', 'sent_ago_s')

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TypeAlias

    from siskinbank.relay.messages import Opening

    AnyQueued: TypeAlias = 'QueuedOpening | HeldRequest'

# When a client sends a first packet and its retransmissions, in seconds after
# the first.
_SENT_AT_S = (0, 0.2, 0.6)
# A client abandons a first packet 1.4 s after sending it; a packet handed to
# the host later than this, in seconds, reaches the client too late.
_ABANDONED_S = 1.35
# Requests that a host gets beyond its slots, to cover the round trip to the
# client: the next one is there when a slot becomes free.
_MAX_WAITING_AT_HOST = 1
# Capacity of the queue in first packets; further flows are refused.
_MAX_QUEUED = 256
# Capacity in requests on open flows; further ones are passed on at once. With 16
# packets each they take 5 MB.
_MAX_HELD = 256
_MS = 1000


def sent_ago_s(copy: int) -> float:
    """Return how long before a transmission the client sent its first packet.

    Args:
        copy: how many transmissions came before; more than clients send count
            as the last one.

    Returns:
        The time in seconds.
    """
    return _SENT_AT_S[min(copy, len(_SENT_AT_S) - 1)]


def may_go_to_host(free: int) -> bool:
    """Return whether a host gets another request.

    Args:
        free: slots without a request; negative if requests wait at the host.
    """
    return free > -_MAX_WAITING_AT_HOST


def _one_slot() -> int:
    return 1


class QueuedOpening(FlowRequest):
    """A queued first packet.

    Attributes:
        opening: the packet with the routing data from its entry.
    """

    __slots__ = ('opening',)

    needs_flow = True

    def __init__(
        self,
        key: bytes,
        opening: Opening,
        queued_at: float,
        sent: float,
        work_s: float,
    ) -> None:
        """Initialize the queue item.

        Args:
            key: the key of the flow.
            opening: the packet with the routing data from its entry.
            queued_at: time in seconds when it arrived at this host.
            sent: time in seconds when the client sent the first transmission.
            work_s: mean processing time of the route's requests, in seconds.
        """
        super().__init__(key, RouteParameters(opening), queued_at, sent, work_s)
        self.opening = opening

    def must_leave(self, now: float, wait_s: float) -> bool:
        """Return whether the packet may not wait this long for a slot.

        Load pattern: requests of higher priority arrive after it was queued.

        Args:
            now: time in seconds.
            wait_s: expected wait for a slot in seconds.
        """
        served_by = min(
            self.queued_at + self.opening.wait_limit_ms / _MS,
            self.sent + _ABANDONED_S,
        )
        return now + wait_s > served_by


class PendingQueue:
    """The queue of one sidecar, in order of arrival."""

    __slots__ = ('_held_count', '_queued', '_slots')

    def __init__(self, slots: Callable[[], int] = _one_slot) -> None:
        """Create an empty queue.

        Args:
            slots: returns the number of requests that the host processes
                concurrently.
        """
        self._slots = slots
        self._queued: dict[bytes, AnyQueued] = {}
        self._held_count = 0

    def __len__(self) -> int:
        """Return the number of queued first packets and requests."""
        return len(self._queued)

    @property
    def full(self) -> bool:
        """Whether the queue holds no more first packets."""
        return len(self._queued) - self._held_count >= _MAX_QUEUED

    @property
    def held_full(self) -> bool:
        """Whether the queue holds no more requests on open flows."""
        return self._held_count >= _MAX_HELD

    def opening(self, key: bytes) -> QueuedOpening | None:
        """Return the queued first packet of a flow."""
        queued = self._queued.get(key)
        return queued if isinstance(queued, QueuedOpening) else None

    def held(self, key: bytes) -> HeldRequest | None:
        """Return the held request of a flow."""
        queued = self._queued.get(key)
        return queued if isinstance(queued, HeldRequest) else None

    def enqueue(self, queued: AnyQueued) -> None:
        """Add a first packet or a request to the queue."""
        self._queued[queued.key] = queued
        self._held_count += isinstance(queued, HeldRequest)

    def remove(self, key: bytes) -> None:
        """Remove the packets of a flow."""
        queued = self._queued.pop(key, None)
        self._held_count -= isinstance(queued, HeldRequest)

    def work_ahead_of(self, new: FlowRequest, now: float) -> list[float]:
        """Return the processing times of what gets a slot before a new one.

        Returns:
            One for each queued request that goes first, in seconds.
        """
        rank = new.rank(now)
        return [
            queued.work_s
            for queued in self._queued.values()
            if queued.rank(now) <= rank
        ]

    def replaceable_by(
        self, new: FlowRequest, now: float
    ) -> QueuedOpening | None:
        """Return the first packet that leaves a full queue for a new one.

        Returns:
            The one that would be served last, None if its priority is not lower
            than that of the new one.
        """
        for queued in reversed(self._in_order(now)):
            if isinstance(queued, QueuedOpening):
                return queued if queued.priority > new.priority else None
        return None

    def load(self, now: float) -> int:
        """Return how many queued requests count as load of the host.

        Late first packets do not count: new flows go first, and the clients
        will have abandoned most of them. A request on an open flow stays.
        """
        return self._held_count + sum(
            1
            for queued in self._queued.values()
            if isinstance(queued, QueuedOpening)
            and queued.stage(now) == IN_TIME
        )

    def next(
        self,
        now: float,
        free: Callable[[AnyQueued], int],
        new_flows: bool = True,
    ) -> AnyQueued | None:
        """Remove and return what goes to the host, None if nothing may.

        A first packet that has to wait delays requests of a later stage only; a
        request on an open flow delays all that come after it.

        Args:
            now: the time in seconds.
            free: returns the slots without a request, as far as a queued item
                of its kind and priority may use them; negative if requests
                wait at the host.
            new_flows: whether the host accepts new flows at present.
        """
        skips_openings = not new_flows
        last_stage = HOPELESS
        for queued in self._in_order(now):
            is_opening = isinstance(queued, QueuedOpening)
            if queued.stage(now) > last_stage:
                return None
            if is_opening and skips_openings:
                continue
            if may_go_to_host(free(queued)):
                self.remove(queued.key)
                return queued
            if not is_opening:
                return None
            # Further ones have the same or a lower priority.
            skips_openings = True
            last_stage = queued.stage(now)
        return None

    def remove_abandoned(self, now: float) -> list[QueuedOpening]:
        """Remove and return the flows that their clients have abandoned."""
        oldest = now - _ABANDONED_S
        abandoned = [
            queued
            for queued in self._queued.values()
            if isinstance(queued, QueuedOpening) and queued.sent < oldest
        ]
        for queued in abandoned:
            self.remove(queued.key)
        return abandoned

    def remove_hopeless(
        self, now: float, wait_s: Callable[[QueuedOpening, int, float], float]
    ) -> list[AnyQueued]:
        """Remove and return what can't be served within its limits.

        Args:
            now: the time in seconds.
            wait_s: returns the wait of a first packet for a slot in seconds, by
                the number of queued requests that are served before it and the
                sum of their processing times in seconds.
        """
        hopeless: list[AnyQueued] = []
        highest = LOWEST_PRIORITY
        ahead = 0
        ahead_work_s: float = 0
        for queued in self._in_order(now):
            if isinstance(queued, HeldRequest):
                leaves = queued.must_leave(now)
            else:
                # Without requests of higher priority before it, a first packet
                # stays until its client abandons it.
                leaves = highest < queued.priority and queued.must_leave(
                    now, wait_s(queued, ahead, ahead_work_s)
                )
            if leaves:
                hopeless.append(queued)
                continue
            ahead += 1
            ahead_work_s += queued.work_s
            highest = min(highest, queued.priority)
        for removed in hopeless:
            self.remove(removed.key)
        return hopeless

    def clear(self, keep_held: bool = False) -> list[AnyQueued]:
        """Remove and return all that is queued.

        Args:
            keep_held: whether requests on open flows stay.
        """
        removed = [
            queued
            for queued in self._queued.values()
            if not keep_held or isinstance(queued, QueuedOpening)
        ]
        for queued in removed:
            self.remove(queued.key)
        return removed

    def _in_order(self, now: float) -> list[AnyQueued]:
        return service_order(self._queued.values(), now, self._slots())
