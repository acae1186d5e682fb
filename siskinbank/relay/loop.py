"""The event loop of a process that carries packets, with its timer service.

It replaces asyncio in these processes, whose import alone takes longer than
everything that they need to be ready (docs/design/platform.md).
"""

from __future__ import annotations

from select import EPOLLIN, EPOLLOUT, epoll
from time import CLOCK_BOOTTIME, clock_gettime

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('NEVER', 'Loop', 'Timer')

# Before any time that the clock shows, in seconds.
NEVER = -1e9

# The longest wait for events, in seconds: bounds how late a signal is seen.
_LONGEST_WAIT_S = 0.25
# Two turns further apart than this, in seconds, mean that the process stood
# still: several times the longest wait.
_STALL_S = 1.0


class Timer:
    """A subscription to the timer service."""

    __slots__ = ('callback', 'due', 'period')

    def __init__(
        self,
        due: float,
        period: float,
        callback: Callable[[], None],
    ) -> None:
        """Remember when to call whom, and how often (0: once)."""
        self.due = due
        self.period = period
        self.callback = callback


class Loop:
    """Waits for sockets and timers, and calls who subscribed.

    The clock counts time in suspension, so that whatever a process believed
    before it has aged when it wakes.
    """

    __slots__ = (
        '_callbacks',
        '_poll',
        '_running',
        '_stalls',
        '_timers',
        'now',
        'on_fault',
    )

    def __init__(self) -> None:
        """Start with no subscribers."""
        self.now = clock_gettime(CLOCK_BOOTTIME)
        self._poll = epoll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._timers: list[Timer] = []
        self._stalls: list[Callable[[float], None]] = []
        self._running = False
        #: Takes a fault of a subscriber; without one it ends the process.
        self.on_fault: Callable[[Exception], None] | None = None

    def watch(self, descriptor: int, callback: Callable[[int], None]) -> None:
        """Call back with the events whenever the descriptor can be read."""
        self._callbacks[descriptor] = callback
        self._poll.register(descriptor, EPOLLIN)

    def watch_writing(self, descriptor: int, writing: bool) -> None:
        """Also call back when the descriptor can be written, or no more."""
        events = EPOLLIN | EPOLLOUT if writing else EPOLLIN
        self._poll.modify(descriptor, events)

    def forget(self, descriptor: int) -> None:
        """End the subscription of a descriptor, before it is closed."""
        if self._callbacks.pop(descriptor, None):
            self._poll.unregister(descriptor)

    def every(self, period: float, callback: Callable[[], None]) -> Timer:
        """Call back every ``period`` seconds, first after one period."""
        return self._add(Timer(self.now + period, period, callback))

    def after(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call back once, after ``delay`` seconds."""
        return self._add(Timer(self.now + delay, 0, callback))

    def cancel(self, timer: Timer) -> None:
        """Drop a timer; one that has run already is no mistake."""
        if timer in self._timers:
            self._timers.remove(timer)

    def on_stall(self, callback: Callable[[float], None]) -> None:
        """Call back with the seconds lost after the process stood still."""
        self._stalls.append(callback)

    def stop(self) -> None:
        """Return from ``run`` after this turn."""
        self._running = False

    def run(self) -> None:
        """Serve until stopped."""
        self._running = True
        while self._running:
            self._turn()

    def _turn(self) -> None:
        before = self.now
        wait = self._wait_s()
        events = self._poll.poll(wait)
        self.now = clock_gettime(CLOCK_BOOTTIME)
        lost = self.now - before - wait
        if lost > _STALL_S:
            for stalled in self._stalls:
                stalled(lost)
        for descriptor, event in events:
            callback = self._callbacks.get(descriptor)
            if callback:
                self._call(callback, event)
        self._run_timers()

    def _wait_s(self) -> float:
        wait = _LONGEST_WAIT_S
        for timer in self._timers:
            wait = min(wait, timer.due - self.now)
        return max(wait, 0)

    def _run_timers(self) -> None:
        due = [timer for timer in self._timers if timer.due <= self.now]
        for timer in due:
            if timer.period:
                timer.due = self.now + timer.period
            else:
                self.cancel(timer)
            self._call(timer.callback)

    def _call(self, callback: Callable[..., None], *words: int) -> None:
        """Call a subscriber; a fault in one of them ends no other."""
        try:
            callback(*words)
        except Exception as fault:
            if self.on_fault is None:
                raise
            self.on_fault(fault)

    def _add(self, timer: Timer) -> Timer:
        self._timers.append(timer)
        return timer
