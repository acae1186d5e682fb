"""An event loop in virtual time, which passes only while the loop is idle.

Sockets are real. Data sent on loopback can be received at once, so when no
socket is ready, all parts of an experiment wait for a timer, and the clock
advances to the next one. A busy machine thus slows an experiment down, but
does not change the times that it measures.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ('VirtualLoop', 'run_virtual')

#: Real seconds that the kernel gets to deliver data in transit.
_SETTLE_SECONDS = 0.0005
#: Added to each wait, as rounding might end it just before the timer is due.
_ROUNDING_SECONDS = 0.000001

ResultT = TypeVar('ResultT')


class _VirtualSelector(selectors.DefaultSelector):
    """Selects without waiting and sums up the timeouts that would pass."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready sockets, or advance the virtual time."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(0) or super().select(_SETTLE_SECONDS)
        if not ready:
            self.elapsed += timeout + _ROUNDING_SECONDS
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which starts at 0."""

    def __init__(self) -> None:
        """Initialize the loop with a virtual selector."""
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.elapsed


def run_virtual(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
