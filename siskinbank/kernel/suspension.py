"""Detect that the process was suspended, before it uses outdated state."""

from collections.abc import Callable

from siskinbank.kernel.timers import TimerService

__all__ = ('SuspensionDetector',)

_CHECK_INTERVAL_SECONDS = 0.5
#: A longer gap between two timer calls means that the process was suspended.
_MAX_GAP_SECONDS = 3
#: Longest wait for a fresh view after resuming; the platform may be down.
_MAX_REFRESH_WAIT_SECONDS = 2


class SuspensionDetector:
    """Detects suspension and blocks work until the view is fresh again.

    A hot path compares its clock with ``valid_until``. After a suspension
    that time stays in the past until the live list has been read again, or
    until the process has waited ``_MAX_REFRESH_WAIT_SECONDS``.
    """

    def __init__(
        self,
        timers: TimerService,
        list_age: Callable[[], float | None],
        is_view_fresh: Callable[[], bool],
    ) -> None:
        """Start the periodic check.

        Args:
            timers: run the check while the process is not suspended.
            list_age: returns the age of the live list in seconds, or None.
            is_view_fresh: returns whether the view of the fleet is fresh.
        """
        self._timers = timers
        self._list_age = list_age
        self._is_view_fresh = is_view_fresh
        self._resumed_at: float | None = None
        self.valid_until = timers.now + _MAX_GAP_SECONDS
        timers.every(_CHECK_INTERVAL_SECONDS, self._check)

    @property
    def is_valid(self) -> bool:
        """Whether the process may use its view now."""
        return self._timers.now <= self.valid_until

    def _check(self) -> None:
        now = self._timers.now
        if not self._is_view_fresh():
            return
        if now > self.valid_until and not self._is_renewed(now):
            return
        self._resumed_at = None
        self.valid_until = now + _MAX_GAP_SECONDS

    def _is_renewed(self, now: float) -> bool:
        """Return whether the view was renewed since the process resumed."""
        if self._resumed_at is None:
            self._resumed_at = now
            return False
        age = self._list_age()
        waited = now - self._resumed_at
        return waited >= _MAX_REFRESH_WAIT_SECONDS or (
            age is not None and age < waited
        )
