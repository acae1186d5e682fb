"""An event loop whose time goes on only while there is nothing to do.

Sockets are real. On loopback, what is sent can be received at once, so when
no socket is ready all parts of an experiment wait for a timer. The clock then
jumps to it. So a busy machine makes an experiment slow, but changes nothing
that is measured in its time.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ('VirtualLoop', 'run_virtual')

#: Real seconds for the kernel to hand on what is under way.
_SETTLE_SECONDS = 0.0005
#: Steps over a timer's exact time, which rounding might miss.
_ROUNDING_SECONDS = 0.000001

ResultT = TypeVar('ResultT')


class _VirtualSelector(selectors.DefaultSelector):
    """Selects without waiting; adds up the seconds it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.waited: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, or let the time pass."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(0) or super().select(_SETTLE_SECONDS)
        if not ready:
            self.waited += timeout + _ROUNDING_SECONDS
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time, starting at 0."""

    def __init__(self) -> None:
        """Start with a selector of its own."""
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.waited


def run_virtual(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
