"""Wait longer after each failure."""

import random

__all__ = ('Backoff',)

_FIRST_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 10


class Backoff:
    """Waits longer after each failure, up to a bound, with jitter."""

    def __init__(self, rng: random.Random) -> None:
        """Start with the shortest wait; ``rng`` draws the jitter."""
        self._rng = rng
        self._seconds = _FIRST_BACKOFF_SECONDS

    def reset(self) -> None:
        """Start again after a success."""
        self._seconds = _FIRST_BACKOFF_SECONDS

    def next(self) -> float:
        """Return the seconds to wait after a failure."""
        seconds = self._seconds * self._rng.uniform(0.5, 1.5)
        self._seconds = min(self._seconds * 2, _MAX_BACKOFF_SECONDS)
        return seconds
