"""Limit the rate at which a process sends to others."""

from siskinbank.kernel.clock import Clock

__all__ = ('TokenBucket',)


class TokenBucket:
    """A token bucket: ``rate`` units per second, bursts up to ``burst``."""

    __slots__ = ('_burst', '_clock', '_rate', '_refilled_at', '_tokens')

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        """Create a full bucket."""
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._refilled_at = clock()

    def take(self, amount: float) -> bool:
        """Take tokens; return False if there are not enough."""
        now = self._clock()
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, refilled)
        self._refilled_at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True
