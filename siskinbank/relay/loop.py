"""Event loop with timers for entry and sidecar processes.

It replaces asyncio, whose import alone takes longer than the whole start of
these processes (docs/design/platform.md).
"""

from __future__ import annotations

from select import EPOLLIN, EPOLLOUT, epoll
from time import CLOCK_BOOTTIME, clock_gettime

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('NEVER', 'Loop', 'Timer')

# A time before any time of the clock, in seconds.
NEVER = -1e9

# The longest wait for events, in seconds; limits the delay of signal handling.
_MAX_WAIT_S = 0.25
# A turn that ends this much later than planned, in seconds, is a stall of the
# process: several times the longest wait.
_STALL_THRESHOLD_S = 1.0
# Time since the previous turn, in seconds, after which the sockets are polled
# again: a poll during which the process was paused returns no events, or those
# from before the pause.
_POLL_AGAIN_S = 0.05


class Timer:
    """A scheduled call.

    Attributes:
        due: time of the next call, in seconds.
        period: interval between calls in seconds, 0 for a single call.
        callback: function to call.
    """

    __slots__ = ('callback', 'due', 'period')

    def __init__(
        self,
        due: float,
        period: float,
        callback: Callable[[], None],
    ) -> None:
        """Create a timer; a period of 0 stands for a single call."""
        self.due = due
        self.period = period
        self.callback = callback


class Loop:
    """Waits for sockets and timers, and runs their callbacks.

    The clock includes the time in suspension, so that all known state has aged
    when the process resumes.

    Attributes:
        now: time at which the current turn began, in seconds.
        since_previous_s: time since the previous turn began, in seconds. A
            socket whose callback was not called in that turn was empty when it
            began, or at most 0.05 s earlier.
        on_fault: called with exceptions of callbacks; if it is None, they end
            the process.
    """

    __slots__ = (
        '_callbacks',
        '_poll',
        '_running',
        '_stall_callbacks',
        '_timers',
        'now',
        'on_fault',
        'since_previous_s',
    )

    def __init__(self) -> None:
        """Create a loop without callbacks."""
        self.now = clock_gettime(CLOCK_BOOTTIME)
        self.since_previous_s: float = 0
        self._poll = epoll()
        self._callbacks: dict[int, Callable[[int], object]] = {}
        self._timers: list[Timer] = []
        self._stall_callbacks: list[Callable[[float], None]] = []
        self._running = False
        #: Called with exceptions of callbacks; without it they end the process.
        self.on_fault: Callable[[Exception], None] | None = None

    def watch(self, descriptor: int, callback: Callable[[int], object]) -> None:
        """Call back with the events when the descriptor is readable."""
        self._callbacks[descriptor] = callback
        self._poll.register(descriptor, EPOLLIN)

    def watch_writing(self, descriptor: int, writing: bool) -> None:
        """Enable or disable callbacks when the descriptor is writable."""
        events = EPOLLIN | EPOLLOUT if writing else EPOLLIN
        self._poll.modify(descriptor, events)

    def unwatch(self, descriptor: int) -> None:
        """Unregister a descriptor; must be called before it is closed."""
        if self._callbacks.pop(descriptor, None):
            self._poll.unregister(descriptor)

    def every(self, period: float, callback: Callable[[], None]) -> Timer:
        """Call back every ``period`` seconds, first after one period."""
        return self._add(Timer(self.now + period, period, callback))

    def after(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call back once, after ``delay`` seconds."""
        return self._add(Timer(self.now + delay, 0, callback))

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer; does nothing if it has run already."""
        if timer in self._timers:
            self._timers.remove(timer)

    def on_stall(self, callback: Callable[[float], None]) -> None:
        """Call back after a stall of the process with its length in seconds."""
        self._stall_callbacks.append(callback)

    def read_clock(self) -> float:
        """Return the present time in seconds.

        It is later than ``now`` if the turn takes long or the process was paused
        during it.
        """
        return max(self.now, clock_gettime(CLOCK_BOOTTIME))

    def stop(self) -> None:
        """Make ``run`` return after the current turn."""
        self._running = False

    def run(self) -> None:
        """Run until stopped."""
        self._running = True
        while self._running:
            self._run_once()

    def _run_once(self) -> None:
        before = self.now
        wait = self._wait_s()
        events = self._poll.poll(wait)
        self.now = clock_gettime(CLOCK_BOOTTIME)
        self.since_previous_s = self.now - before
        if self.since_previous_s > _POLL_AGAIN_S:
            events = self._poll.poll(0)
        stalled_s = self.since_previous_s - wait
        if stalled_s > _STALL_THRESHOLD_S:
            for on_stall_callback in self._stall_callbacks:
                on_stall_callback(stalled_s)
        for descriptor, event in events:
            callback = self._callbacks.get(descriptor)
            if callback:
                self._call(callback, event)
        self._run_timers()

    def _wait_s(self) -> float:
        wait = _MAX_WAIT_S
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

    def _call(self, callback: Callable[..., object], *args: int) -> None:
        """Run a callback; its exceptions do not affect other callbacks."""
        try:
            callback(*args)
        except Exception as fault:
            if self.on_fault is None:
                raise
            self.on_fault(fault)

    def _add(self, timer: Timer) -> Timer:
        self._timers.append(timer)
        return timer
