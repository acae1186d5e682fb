"""Exponential back-off with full jitter."""

import random
from dataclasses import dataclass, field

__all__ = ('Backoff',)


@dataclass(slots=True)
class Backoff:
    """Pauses between tries, drawn from a range that doubles.

    A pause is uniform between 0 and ``base * 2 ** tries`` seconds, at most
    ``cap``, so that callers that failed together don't retry together.
    """

    base: float = 0.025
    cap: float = 2
    rng: random.Random = field(default_factory=random.Random)
    _tries: int = 0

    def next_pause(self) -> float:
        """Return the next pause in seconds."""
        limit = min(self.cap, self.base * 2**self._tries)
        self._tries += 1
        return self.rng.uniform(0, limit)

    def reset(self) -> None:
        """Start over after a success."""
        self._tries = 0
