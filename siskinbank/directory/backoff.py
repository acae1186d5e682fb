"""Exponential backoff for reads of the platform."""

import random

__all__ = ('Backoff',)

_MIN_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 10
#: Range of the factor by which each delay varies.
_JITTER = (0.5, 1.5)


class Backoff:
    """Exponential backoff with jitter and an upper limit."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize with the shortest delay; ``rng`` draws the jitter."""
        self._rng = rng
        self._seconds = _MIN_BACKOFF_SECONDS

    def reset(self) -> None:
        """Return to the shortest delay after a success."""
        self._seconds = _MIN_BACKOFF_SECONDS

    def next(self) -> float:
        """Return the seconds to wait after a failure, and double the delay."""
        seconds = self._seconds * self._rng.uniform(*_JITTER)
        self._seconds = min(self._seconds * 2, _MAX_BACKOFF_SECONDS)
        return seconds
