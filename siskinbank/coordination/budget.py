"""A retry budget: a share of new requests plus a minimum rate."""

from siskinbank.kernel.clock import Clock

__all__ = ('RetryBudget',)

_SHARE = 0.1
_FLOOR_PER_SECOND = 0.1
_BURST = 5


class RetryBudget:
    """Token bucket that limits retries to a share of new requests.

    Each new request adds ``share`` of a token and each second adds ``floor``,
    so that rare requests may be retried too. The bucket holds at most
    ``burst`` tokens; a retry takes one.
    """

    def __init__(
        self,
        clock: Clock,
        share: float = _SHARE,
        floor: float = _FLOOR_PER_SECOND,
        burst: float = _BURST,
    ) -> None:
        """Create a bucket with one token."""
        self._clock = clock
        self._share = share
        self._floor = floor
        self._burst = burst
        self._tokens = min(1, burst)
        self._refilled_at = clock()

    def note_fresh(self) -> None:
        """Add the share of a new request."""
        self._refill(self._share)

    def take(self) -> bool:
        """Take a token; return whether there was one."""
        self._refill(0)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, amount: float) -> None:
        now = self._clock()
        by_time = max(now - self._refilled_at, 0) * self._floor
        self._refilled_at = now
        self._tokens = min(self._tokens + by_time + amount, self._burst)
