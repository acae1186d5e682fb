"""Which of the upstream's flows hold a place within its limit."""

from collections.abc import Container, Hashable, Iterable

from siskinbank.admission.limit import ClimbingLimit
from siskinbank.kernel.clock import Clock

__all__ = ('FlowPlaces',)

#: Silence after the caller's last data, after which the place is free.
_CLOSING_SECONDS = 2
#: The same for a flow from before the upstream turned cold: it may be dead.
_PROVING_SECONDS = 10
#: Silence after which a suspended flow counts as ended at the upstream too.
_ENDED_SECONDS = 10


class FlowPlaces:
    """Suspends flows when the upstream turns cold, and lets them back in.

    A suspended flow stays owned, and its packets wait for the climbing limit:
    the caller's transport sends them again. So an upstream that turned cold
    does not get the load that it carried a moment earlier, and no flow breaks
    on a mere suspicion.
    """

    def __init__(self, limit: ClimbingLimit, clock: Clock) -> None:
        """Hold places within ``limit``."""
        self._limit = limit
        self._clock = clock
        self._suspended: dict[Hashable, float] = {}
        self._closing: set[Hashable] = set()
        self._deadlines: dict[Hashable, float] = {}

    def __len__(self) -> int:
        """Return the number of flows without a place."""
        return len(self._suspended)

    @property
    def closing(self) -> int:
        """The flows with a place whose caller has sent all."""
        return len(self._closing & self._deadlines.keys())

    def suspend(self, flows: Iterable[Hashable]) -> None:
        """Take the places of all ``flows``."""
        now = self._clock()
        for owned in flows:
            self._suspended.setdefault(owned, now)
        self._deadlines.clear()
        self._tell()

    def admits(self, flow: Hashable, *, closing: bool) -> bool:
        """Whether a packet of an owned flow may go to the upstream now."""
        if closing:
            self._closing.add(flow)
        elif not self._suspended and not self._deadlines:
            return True
        if flow in self._suspended:
            return self._resume(flow)
        if flow in self._closing:
            self._deadlines[flow] = self._clock() + _CLOSING_SECONDS
        elif flow in self._deadlines:
            self._deadlines[flow] = self._clock() + _PROVING_SECONDS
        return True

    def sweep(self) -> None:
        """Free the places of flows that were silent for too long."""
        now = self._clock()
        silent = [flow for flow, due in self._deadlines.items() if due <= now]
        for quiet in silent:
            del self._deadlines[quiet]
            self._suspended[quiet] = now
        latest = now - _ENDED_SECONDS
        self._limit.presumed_ended = sum(
            seen < latest or held in self._closing
            for held, seen in self._suspended.items()
        )
        self._tell()

    def reopen(self, flow: Hashable) -> None:
        """Note that a closing flow's name is used anew."""
        if flow in self._closing:
            self.forget(flow)

    def forget(self, flow: Hashable) -> None:
        """Forget a flow that is owned no more."""
        self._suspended.pop(flow, None)
        self._closing.discard(flow)
        self._deadlines.pop(flow, None)
        self._tell()

    def keep_only(self, flows: Container[object]) -> None:
        """Forget all flows that are not in ``flows``."""
        known = self._suspended.keys() | self._closing | self._deadlines.keys()
        for gone in known:
            if gone not in flows:
                self.forget(gone)

    def _resume(self, flow: Hashable) -> bool:
        # The upstream has a closing flow anyhow, so its last packets pass.
        if flow in self._closing:
            self._deadlines[flow] = self._clock() + _CLOSING_SECONDS
        elif self._limit.claim():
            self._deadlines[flow] = self._clock() + _PROVING_SECONDS
        else:
            self._suspended[flow] = self._clock()
            return False
        self._suspended.pop(flow, None)
        self._tell()
        return True

    def _tell(self) -> None:
        self._limit.suspended = len(self._suspended)
