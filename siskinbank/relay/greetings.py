"""When a process greets those that it has not heard of.

Load pattern: all processes start within a second. A greeting sent to one that
is not up yet is lost, and until both know each other, an entry can neither
place flows on a host nor end searches for lost ones.
"""

from __future__ import annotations

__all__ = ('LOOK_S', 'GreetingPace')

# How often it is looked at whether a greeting is due, and how often a young
# process greets, in seconds: half of a client's first repetition.
LOOK_S = 0.1
# A process is young for this long, in seconds: the slowest start beside it.
_YOUNG_S = 2.0


class GreetingPace:
    """Greets often at first, then seldom."""

    __slots__ = ('_greeted', '_period_s', '_started')

    def __init__(self, now: float, period_s: float) -> None:
        """Begin with a process that starts now and greets at once.

        Args:
            now: the time.
            period_s: seconds between greetings later on.
        """
        self._started = now
        self._greeted = now
        self._period_s = period_s

    def is_young(self, now: float) -> bool:
        """Say whether others may still be starting."""
        return now - self._started < _YOUNG_S

    def is_due(self, now: float) -> bool:
        """Say whether to greet now; if so, the next one is due later."""
        if not self.is_young(now) and now - self._greeted < self._period_s:
            return False
        self._greeted = now
        return True
