"""First packets that a sidecar queues until its host has a free slot.

Load pattern: all slots of a host are in use, and more first packets arrive than
slots become free. Which of them is served next is decided by ``service_order``;
those that cannot be served in time because requests of higher priority arrived
are rejected while their clients can still try another host.
"""

from __future__ import annotations

from siskinbank.admission.service_order import (
    IN_TIME,
    QueuedRequest,
    service_order,
)

__all__ = ('PendingQueue', 'QueuedOpening', 'sent_ago_s')

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.messages import Opening

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


class QueuedOpening(QueuedRequest):
    """A queued first packet.

    Attributes:
        key: the key of the flow.
        opening: the packet with the routing data from its entry.
        queued_at: time in seconds when it arrived at this host.
    """

    __slots__ = ('key', 'opening', 'queued_at')

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
        super().__init__(
            opening.priority,
            sent,
            opening.target_latency_ms / _MS,
            opening.timeout_ms / _MS,
            work_s,
        )
        self.key = key
        self.opening = opening
        self.queued_at = queued_at

    @property
    def served_by(self) -> float:
        """Time in seconds by which the packet must go to the host.

        Later it exceeds the longest allowed wait, or its client abandons it.
        """
        return min(
            self.queued_at + self.opening.wait_limit_ms / _MS,
            self.sent + _ABANDONED_S,
        )


class PendingQueue:
    """The queue of first packets of one sidecar, in order of arrival."""

    __slots__ = ('_queued',)

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queued: dict[bytes, QueuedOpening] = {}

    def __len__(self) -> int:
        """Return the number of queued packets."""
        return len(self._queued)

    def get(self, key: bytes) -> QueuedOpening | None:
        """Return the queued packet of a flow."""
        return self._queued.get(key)

    @property
    def full(self) -> bool:
        """Whether the queue is full."""
        return len(self._queued) >= _MAX_QUEUED

    def enqueue(self, queued: QueuedOpening) -> None:
        """Add a packet to the queue."""
        self._queued[queued.key] = queued

    def ahead_of(self, new: QueuedRequest, now: float) -> int:
        """Return how many queued packets get a slot before a new one."""
        rank = new.rank(now)
        return sum(
            1 for queued in self._queued.values() if queued.rank(now) <= rank
        )

    def count_in_time(self, now: float) -> int:
        """Return how many queued flows can still be in time."""
        flows = self._queued.values()
        return sum(1 for queued in flows if queued.stage(now) == IN_TIME)

    def next(self, now: float, free: int) -> QueuedOpening | None:
        """Remove and return the flow that goes to the host, None if none may.

        Args:
            now: the time in seconds.
            free: slots without a request; negative if requests wait at the
                host.
        """
        if free <= -_MAX_WAITING_AT_HOST or not self._queued:
            return None
        chosen = service_order(self._queued.values(), now)[0]
        return self._queued.pop(chosen.key)

    def remove_abandoned(self, now: float) -> list[QueuedOpening]:
        """Remove and return the flows that their clients have abandoned."""
        oldest = now - _ABANDONED_S
        return self._remove(
            [queued for queued in self._queued.values() if queued.sent < oldest]
        )

    def remove_hopeless(
        self, now: float, wait_s: Callable[[int], float]
    ) -> list[QueuedOpening]:
        """Remove and return the flows overtaken by too many requests.

        Load pattern: requests of higher priority arrive after a first packet
        was queued. Without them each packet stays queued, as when it came.

        Args:
            now: the time in seconds.
            wait_s: returns the wait for a slot in seconds, by the number of
                queued requests that are served before.
        """
        hopeless: list[QueuedOpening] = []
        highest_priority: int | None = None
        ahead = 0
        for queued in service_order(self._queued.values(), now):
            overtaken = (
                highest_priority is not None
                and highest_priority < queued.priority
            )
            if overtaken and now + wait_s(ahead) > queued.served_by:
                hopeless.append(queued)
                continue
            ahead += 1
            if highest_priority is None or queued.priority < highest_priority:
                highest_priority = queued.priority
        return self._remove(hopeless)

    def clear(self) -> list[QueuedOpening]:
        """Remove and return all queued packets."""
        return self._remove(list(self._queued.values()))

    def _remove(self, removed: list[QueuedOpening]) -> list[QueuedOpening]:
        for queued in removed:
            self._queued.pop(queued.key)
        return removed
