"""The timer interface that gossip uses."""

from collections.abc import Callable
from typing import Protocol

__all__ = ('TimerSource',)


class TimerSource(Protocol):
    """A timer service in real or virtual time."""

    @property
    def now(self) -> float:
        """The clock's time in seconds."""

    def every(
        self,
        interval: float,
        callback: Callable[[], None],
        jitter: float = 0,
    ) -> object:
        """Call ``callback`` every ``interval`` seconds.

        ``jitter`` is the largest deviation, as a fraction of the interval.
        """

    def after(self, delay: float, callback: Callable[[], None]) -> object:
        """Call ``callback`` once, after ``delay`` seconds."""
