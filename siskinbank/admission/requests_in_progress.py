"""Requests at a host, in the order in which it starts them.

Load pattern: a slow host always has more requests than slots, so that each of
its requests waits. Measured without those that wait, its processing time would
stay unknown, or as it was before the load came. Hosts start requests in order
of arrival; so a request that waits is started when an earlier one ends, and its
processing time counts from there.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.sidecar.tracked_flows import Request

__all__ = ('RequestsInProgress', 'wait_for_slot_s')


class RequestsInProgress:
    """The requests of one host that have arrived and not ended."""

    __slots__ = ('_processed', '_waiting')

    def __init__(self) -> None:
        """Create an empty collection."""
        self._processed: dict[Request, None] = {}
        self._waiting: dict[Request, None] = {}

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._processed) + len(self._waiting)

    def work_s(self) -> list[float]:
        """Return the expected processing time of each request, in order."""
        return [
            request.work_s
            for group in (self._processed, self._waiting)
            for request in group
        ]

    def add(self, request: Request, now: float, slots: int | None) -> None:
        """Add a request that has arrived.

        Args:
            request: the request.
            now: time in seconds.
            slots: requests that the host processes concurrently, None if not
                known: a request that waits is then not measured.
        """
        if len(self._processed) < (slots or 1):
            self._processed[request] = None
            request.processed_from = now
        else:
            self._waiting[request] = None
            request.is_measurable = slots is not None

    def remove(
        self, request: Request, now: float, slots: int, is_answered: bool
    ) -> None:
        """Remove a request that has ended; the next one gets its slot.

        Args:
            request: the request.
            now: time in seconds.
            slots: requests that the host processes concurrently.
            is_answered: whether the host has answered it. Otherwise it may
                still have the slot, and the next one is not measured.
        """
        self._waiting.pop(request, None)
        self._processed.pop(request, None)
        while self._waiting and len(self._processed) < slots:
            started = next(iter(self._waiting))
            self._waiting.pop(started)
            self._processed[started] = None
            started.processed_from = now
            started.is_measurable &= is_answered

    def skip_measurements(self) -> None:
        """Measure none of these requests: the sidecar did not run meanwhile."""
        for group in (self._processed, self._waiting):
            for request in group:
                request.is_measurable = False


def wait_for_slot_s(work_s: list[float], slots: int) -> float:
    """Return how many seconds a new request would wait for a slot.

    Args:
        work_s: processing times in seconds of the requests before it, in the
            order in which the host starts them.
        slots: requests that the host processes concurrently.

    Returns:
        0 with a free slot; otherwise the mean time until one of the requests in
        the slots ends and those that wait have been processed.
    """
    if len(work_s) < slots:
        return 0
    next_end_s = sum(work_s[:slots]) / slots
    return (next_end_s + sum(work_s[slots:])) / slots
