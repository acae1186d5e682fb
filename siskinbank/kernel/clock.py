"""Clocks that go on counting while the machine is suspended."""

import time
from collections.abc import Callable

__all__ = ('Clock', 'FakeClock', 'boot_seconds')

#: Returns seconds since a fixed moment; never goes back.
Clock = Callable[[], float]


def boot_seconds() -> float:
    """Return the seconds since boot, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeClock:
    """A clock that tests and experiments move by hand."""

    def __init__(self, now: float = 0) -> None:
        """Start at ``now`` seconds."""
        self.now = now

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the time forward.

        Raises:
            ValueError: ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError('a clock does not go back')
        self.now += seconds
