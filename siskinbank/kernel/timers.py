"""The timer service for periodic and delayed callbacks."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from siskinbank.kernel.clock import Clock, boot_seconds

__all__ = ('Subscription', 'TimerService')

#: Upper bound of a sleep, so that timers catch up soon after a suspension.
_MAX_SLEEP_SECONDS = 0.25


class Subscription:
    """A callback registered with the timer service."""

    def __init__(
        self,
        callback: Callable[[], None],
        interval: float | None,
        jitter: float,
    ) -> None:
        """Initialize a subscription; ``interval`` is None for one call."""
        self.callback = callback
        self.interval = interval
        self.jitter = jitter
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the subscription was cancelled."""
        return self._cancelled

    def cancel(self) -> None:
        """Cancel the subscription; may be called repeatedly."""
        self._cancelled = True


class TimerService:
    """Calls subscribers when they are due.

    The clock is a parameter, so that tests can drive the service with
    ``run_due``. A late periodic subscriber is called once, not once for each
    missed period.
    """

    def __init__(
        self,
        clock: Clock = boot_seconds,
        rng: random.Random | None = None,
    ) -> None:
        """Initialize the service; ``rng`` generates the jitter."""
        self._clock = clock
        self._rng = rng or random.Random()
        self._queue: list[tuple[float, int, Subscription]] = []
        self._sequence_numbers = itertools.count()
        #: Called with the error of a callback; the service goes on.
        self.on_error: Callable[[Exception], None] = _raise

    @property
    def clock(self) -> Clock:
        """The clock function, for hot paths."""
        return self._clock

    @property
    def now(self) -> float:
        """The current time of the clock in seconds."""
        return self._clock()

    def every(
        self,
        interval: float,
        callback: Callable[[], None],
        jitter: float = 0,
    ) -> Subscription:
        """Call ``callback`` every ``interval`` seconds.

        Args:
            interval: the period in seconds.
            callback: the function to call; it must not block.
            jitter: the largest deviation, as a fraction of the interval.

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
        """Call ``callback`` once after ``delay`` seconds."""
        subscription = Subscription(callback, None, 0)
        self._push(subscription, max(delay, 0))
        return subscription

    def run_due(self) -> float:
        """Call all due callbacks; return the seconds until the next one."""
        now = self._clock()
        while self._queue and self._queue[0][0] <= now:
            subscription = heapq.heappop(self._queue)[2]
            if subscription.cancelled:
                continue
            if subscription.interval is not None:
                self._push(subscription, self._period(subscription))
            try:
                subscription.callback()
            except Exception as error:
                self.on_error(error)
        if not self._queue:
            return _MAX_SLEEP_SECONDS
        return max(self._queue[0][0] - self._clock(), 0)

    async def run(self) -> None:
        """Run the service until cancelled."""
        while True:
            delay = self.run_due()
            await asyncio.sleep(min(delay, _MAX_SLEEP_SECONDS))

    def _period(self, subscription: Subscription) -> float:
        interval = subscription.interval or 0
        spread = subscription.jitter * interval
        return interval + self._rng.uniform(-spread, spread)

    def _push(self, subscription: Subscription, delay: float) -> None:
        due = self._clock() + delay
        heapq.heappush(
            self._queue, (due, next(self._sequence_numbers), subscription)
        )


def _raise(error: Exception) -> None:
    raise error
