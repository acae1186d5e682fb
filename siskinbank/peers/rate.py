"""A bound on the bytes that a process spends on others."""

from siskinbank.kernel.clock import Clock

__all__ = ('TokenBucket',)


class TokenBucket:
    """Lets ``rate`` units a second pass, and ``burst`` at once."""

    __slots__ = ('_burst', '_clock', '_filled_at', '_level', '_rate')

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        """Start full."""
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._level = burst
        self._filled_at = clock()

    def take(self, amount: float) -> bool:
        """Take units; False when there are not enough."""
        now = self._clock()
        grown = self._level + (now - self._filled_at) * self._rate
        self._level = min(self._burst, grown)
        self._filled_at = now
        if self._level < amount:
            return False
        self._level -= amount
        return True
