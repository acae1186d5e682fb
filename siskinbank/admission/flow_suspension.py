"""Suspends and resumes the flows of an upstream within its limit."""

from collections.abc import Container, Hashable, Iterable

from siskinbank.admission.limit import ClimbingLimit
from siskinbank.kernel.clock import Clock

__all__ = ('FlowSuspension',)

#: Seconds without packets after which a flow whose caller has sent all its data
#: frees its unit of the limit.
_CLOSING_TIMEOUT_SECONDS = 2
#: The same for a flow that was resumed after the upstream turned cold: the flow
#: may have ended with the upstream.
_RESUMED_TIMEOUT_SECONDS = 10
#: Seconds without packets after which a suspended flow counts as ended at the
#: upstream too.
_ENDED_TIMEOUT_SECONDS = 10


class FlowSuspension:
    """Suspends flows when the upstream turns cold, and resumes them later.

    A suspended flow stays owned, and its packets are dropped until the
    climbing limit has room: the caller's transport retransmits them. So an
    upstream that turned cold does not get the load that it carried a moment
    earlier, and a wrong verdict breaks no flow.
    """

    def __init__(self, limit: ClimbingLimit, clock: Clock) -> None:
        """Create the suspension state for ``limit``, with no flow suspended."""
        self._limit = limit
        self._clock = clock
        self._suspended: dict[Hashable, float] = {}
        self._closing: set[Hashable] = set()
        self._deadlines: dict[Hashable, float] = {}

    def __len__(self) -> int:
        """Return the number of suspended flows."""
        return len(self._suspended)

    @property
    def closing(self) -> int:
        """The number of active flows whose caller has sent all its data."""
        return len(self._closing & self._deadlines.keys())

    def suspend(self, flows: Iterable[Hashable]) -> None:
        """Suspend all ``flows``."""
        now = self._clock()
        for owned in flows:
            self._suspended.setdefault(owned, now)
        self._deadlines.clear()
        self._update_limit()

    def admits(self, flow: Hashable, *, closing: bool) -> bool:
        """Return whether a packet of an owned flow may go to the upstream now.

        A suspended flow is resumed if the limit has room.

        Args:
            flow: the flow.
            closing: whether its caller has sent all its data.
        """
        if closing:
            self._closing.add(flow)
        elif not self._suspended and not self._deadlines:
            return True
        if flow in self._suspended:
            return self._resume(flow)
        if flow in self._closing:
            self._deadlines[flow] = self._clock() + _CLOSING_TIMEOUT_SECONDS
        elif flow in self._deadlines:
            self._deadlines[flow] = self._clock() + _RESUMED_TIMEOUT_SECONDS
        return True

    def sweep(self) -> None:
        """Suspend the flows that were silent for too long."""
        now = self._clock()
        silent = [flow for flow, due in self._deadlines.items() if due <= now]
        for silent_flow in silent:
            del self._deadlines[silent_flow]
            self._suspended[silent_flow] = now
        oldest = now - _ENDED_TIMEOUT_SECONDS
        self._limit.presumed_ended = sum(
            last_seen < oldest or suspended_flow in self._closing
            for suspended_flow, last_seen in self._suspended.items()
        )
        self._update_limit()

    def reopen(self, flow: Hashable) -> None:
        """Note that the identifier of a closing flow is in use again."""
        if flow in self._closing:
            self.forget(flow)

    def forget(self, flow: Hashable) -> None:
        """Remove a flow that is no longer owned."""
        self._suspended.pop(flow, None)
        self._closing.discard(flow)
        self._deadlines.pop(flow, None)
        self._update_limit()

    def keep_only(self, flows: Container[object]) -> None:
        """Remove all flows that are not in ``flows``."""
        known = self._suspended.keys() | self._closing | self._deadlines.keys()
        for gone in known:
            if gone not in flows:
                self.forget(gone)

    def _resume(self, flow: Hashable) -> bool:
        # The upstream has a closing flow open already, so the last packets of
        # the flow pass.
        if flow in self._closing:
            self._deadlines[flow] = self._clock() + _CLOSING_TIMEOUT_SECONDS
        elif self._limit.claim():
            self._deadlines[flow] = self._clock() + _RESUMED_TIMEOUT_SECONDS
        else:
            self._suspended[flow] = self._clock()
            return False
        self._suspended.pop(flow, None)
        self._update_limit()
        return True

    def _update_limit(self) -> None:
        self._limit.suspended = len(self._suspended)
