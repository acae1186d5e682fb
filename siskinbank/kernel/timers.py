"""The timer service that all periodic and delayed work subscribes to."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from siskinbank.kernel.clock import Clock, boot_seconds

__all__ = ('Subscription', 'TimerService')

#: The longest the service sleeps, so that a suspended machine catches up.
_MAX_SLEEP_SECONDS = 0.25


class Subscription:
    """One callback's place in the timer service."""

    def __init__(
        self,
        callback: Callable[[], None],
        interval: float | None,
        jitter: float,
    ) -> None:
        """Describe a callback; ``interval`` is None for a single call."""
        self.callback = callback
        self.interval = interval
        self.jitter = jitter
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the callback will not be called again."""
        return self._cancelled

    def cancel(self) -> None:
        """Stop calling; safe to call twice."""
        self._cancelled = True


class TimerService:
    """Call subscribers when their time has come.

    Time comes from a clock that is given, so that tests drive the service
    with ``run_due``. A periodic subscriber that was late is called once, not
    once for each period it missed.
    """

    def __init__(
        self,
        clock: Clock = boot_seconds,
        rng: random.Random | None = None,
    ) -> None:
        """Make a service on ``clock``; ``rng`` draws the jitter."""
        self._clock = clock
        self._rng = rng or random.Random()
        self._queue: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()

    @property
    def clock(self) -> Clock:
        """The clock itself, for hot paths."""
        return self._clock

    @property
    def now(self) -> float:
        """The clock's time in seconds."""
        return self._clock()

    def every(
        self,
        interval: float,
        callback: Callable[[], None],
        jitter: float = 0,
    ) -> Subscription:
        """Call ``callback`` each ``interval`` seconds.

        Args:
            interval: the period in seconds.
            callback: what to call; it must not block.
            jitter: the share of the interval by which each call may differ.

        Raises:
            ValueError: the interval is not positive.
        """
        if interval <= 0:
            raise ValueError(f'interval must be positive, not {interval}')
        subscription = Subscription(callback, interval, jitter)
        self._push(subscription, self._period(subscription))
        return subscription

    def after(
        self,
        delay: float,
        callback: Callable[[], None],
    ) -> Subscription:
        """Call ``callback`` once, ``delay`` seconds from now."""
        subscription = Subscription(callback, None, 0)
        self._push(subscription, max(delay, 0))
        return subscription

    def run_due(self) -> float:
        """Call all that is due; return the seconds until the next call."""
        now = self._clock()
        while self._queue and self._queue[0][0] <= now:
            subscription = heapq.heappop(self._queue)[2]
            if subscription.cancelled:
                continue
            subscription.callback()
            if subscription.interval is not None:
                self._push(subscription, self._period(subscription))
        if not self._queue:
            return _MAX_SLEEP_SECONDS
        return max(self._queue[0][0] - self._clock(), 0)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            due = self.run_due()
            await asyncio.sleep(min(due, _MAX_SLEEP_SECONDS))

    def _period(self, subscription: Subscription) -> float:
        interval = subscription.interval or 0
        spread = subscription.jitter * interval
        return interval + self._rng.uniform(-spread, spread)

    def _push(self, subscription: Subscription, delay: float) -> None:
        due = self._clock() + delay
        heapq.heappush(self._queue, (due, next(self._order), subscription))
