"""First packets that a sidecar queues until its host has a free slot.

Load pattern: all processes and hosts lost power for a second or two. When they
are back, all clients from that time send at once, with retransmitted first
packets that can no longer be answered within the latency that users expect,
while new requests keep arriving. Served first in, first out, the new ones wait
behind the backlog until they are late as well, and seconds pass before any
request is in time again. So flows that can still be in time go first; the late
ones get the remaining slots, in order of arrival. When many can be in time,
the newest goes first: in order of arrival, each would wait until it can hardly
be in time any more, and then a request that takes a little longer to process
makes it late.
"""

from __future__ import annotations

__all__ = ('PendingQueue', 'QueuedOpening', 'sent_ago_s')

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.messages import Opening

# When a client sends a first packet and its retransmissions, in seconds after
# the first.
_SENT_AT_S = (0, 0.2, 0.6)
# A client abandons a first packet 1.4 s after sending it; a packet handed to
# the host later than this, in seconds, reaches the client too late.
_ABANDONED_S = 1.35
# From a free slot to the request's arrival and back to the client, in seconds:
# four one-way trips to a client at 3 ms each, and the delay of a busy process.
_NETWORK_S = 0.02
# Processing before an answer is ready, in multiples of the usual time: the
# request itself, and on average half of the request that occupies the slot.
_PROCESSING_FACTOR = 1.5
# With more queued flows than this that can be in time, the newest goes first.
# At a host that is not overloaded, no more than this wait by chance.
_MAX_IN_ORDER = 2
# Requests that a host gets beyond its slots, to cover the round trip to the
# client: the next one is there when a slot becomes free.
_MAX_WAITING_AT_HOST = 1
# Capacity of the queue in first packets; further flows are refused.
_MAX_QUEUED = 256


def sent_ago_s(copy: int) -> float:
    """Return how long before a transmission the client sent its first packet.

    Args:
        copy: how many transmissions came before; more than clients send count
            as the last one.

    Returns:
        The time in seconds.
    """
    return _SENT_AT_S[min(copy, len(_SENT_AT_S) - 1)]


class QueuedOpening:
    """A queued first packet.

    Attributes:
        opening: the packet with the routing data from its entry.
        queued_at: time in seconds when it arrived at this host.
        sent: time in seconds when the client sent the first transmission.
        target_latency_s: target latency of the client, in seconds.
    """

    __slots__ = ('opening', 'queued_at', 'sent', 'target_latency_s')

    def __init__(
        self,
        opening: Opening,
        queued_at: float,
        sent: float,
        target_latency_s: float,
    ) -> None:
        """Initialize the queue item."""
        self.opening = opening
        self.queued_at = queued_at
        self.sent = sent
        self.target_latency_s = target_latency_s

    def in_time_at(self, now: float, work_s: float) -> bool:
        """Return whether an answer would be in time, with a slot free now.

        Args:
            now: the time in seconds.
            work_s: the host's mean processing time of a request in seconds.
        """
        needed = _PROCESSING_FACTOR * work_s + _NETWORK_S
        return now + needed < self.sent + self.target_latency_s


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

    def enqueue(self, key: bytes, queued: QueuedOpening) -> None:
        """Add a packet to the queue."""
        self._queued[key] = queued

    def ahead_of(self, queued: QueuedOpening, now: float, work_s: float) -> int:
        """Return how many flows would get a slot before a new one."""
        if not queued.in_time_at(now, work_s):
            return len(self._queued)
        return self.count_in_time(now, work_s)

    def count_in_time(self, now: float, work_s: float) -> int:
        """Return how many queued flows can still be in time."""
        flows = self._queued.values()
        return sum(1 for queued in flows if queued.in_time_at(now, work_s))

    def next(
        self,
        now: float,
        work_s: float,
        free: int,
    ) -> tuple[bytes, QueuedOpening] | None:
        """Remove and return the flow that goes to the host, None if none may.

        Args:
            now: the time in seconds.
            work_s: the host's mean processing time of a request in seconds.
            free: slots without a request; negative if requests wait at the
                host.
        """
        if free <= -_MAX_WAITING_AT_HOST:
            return None
        in_time = [
            key
            for key, queued in self._queued.items()
            if queued.in_time_at(now, work_s)
        ]
        if in_time:
            chosen = in_time[0 if len(in_time) <= _MAX_IN_ORDER else -1]
        elif self._queued:
            chosen = next(iter(self._queued))
        else:
            return None
        return chosen, self._queued.pop(chosen)

    def remove_abandoned(self, now: float) -> list[tuple[bytes, QueuedOpening]]:
        """Remove and return the flows that their clients have abandoned."""
        oldest = now - _ABANDONED_S
        gone = [
            key for key, queued in self._queued.items() if queued.sent < oldest
        ]
        return [(key, self._queued.pop(key)) for key in gone]

    def clear(self) -> list[tuple[bytes, QueuedOpening]]:
        """Remove and return all queued packets."""
        all_queued = list(self._queued.items())
        self._queued.clear()
        return all_queued
