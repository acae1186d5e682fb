"""A retry budget: a share of fresh work plus a small floor."""

from siskinbank.kernel.clock import Clock

__all__ = ('RetryBudget',)

_SHARE = 0.1
_FLOOR_A_SECOND = 0.1
_BURST = 5


class RetryBudget:
    """Allows retries for a share of the fresh requests.

    Each fresh request earns ``share`` of a retry, and each second earns
    ``floor``, so that rare requests may be tried again too. At most ``burst``
    retries are saved up.
    """

    def __init__(
        self,
        clock: Clock,
        share: float = _SHARE,
        floor: float = _FLOOR_A_SECOND,
        burst: float = _BURST,
    ) -> None:
        """Start with one retry saved."""
        self._clock = clock
        self._share = share
        self._floor = floor
        self._burst = burst
        self._saved = min(1, burst)
        self._earned_at = clock()

    def note_fresh(self) -> None:
        """Earn a share for a fresh request."""
        self._earn(self._share)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        self._earn(0)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _earn(self, amount: float) -> None:
        now = self._clock()
        by_time = max(now - self._earned_at, 0) * self._floor
        self._earned_at = now
        self._saved = min(self._saved + by_time + amount, self._burst)
