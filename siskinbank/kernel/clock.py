"""Monotonic clocks that include time spent in suspension."""

import time
from collections.abc import Callable

__all__ = ('Clock', 'FakeClock', 'boot_seconds')

#: Returns monotonic seconds since a fixed point in time.
Clock = Callable[[], float]


def boot_seconds() -> float:
    """Return the seconds since boot, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeClock:
    """A clock that tests and experiments advance manually."""

    def __init__(self, now: float = 0) -> None:
        """Initialize the clock to ``now`` seconds."""
        self.now = now

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``.

        Raises:
            ValueError: ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError('seconds must not be negative')
        self.now += seconds
