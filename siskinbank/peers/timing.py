"""What the dissemination needs of a timer service."""

from collections.abc import Callable
from typing import Protocol

__all__ = ('TimerSource',)


class TimerSource(Protocol):
    """The timer service, or one in virtual time."""

    @property
    def now(self) -> float:
        """The clock's time in seconds."""

    def every(
        self,
        interval: float,
        callback: Callable[[], None],
        jitter: float = 0,
    ) -> object:
        """Call ``callback`` each ``interval`` seconds."""

    def after(self, delay: float, callback: Callable[[], None]) -> object:
        """Call ``callback`` once."""
