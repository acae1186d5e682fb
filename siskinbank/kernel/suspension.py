"""Notice that the process was suspended, before it acts on old beliefs."""

from collections.abc import Callable

from siskinbank.kernel.timers import TimerService

__all__ = ('SuspensionGuard',)

_BEAT_SECONDS = 0.5
#: A process whose timers stood still for longer was suspended.
_TOLERANCE_SECONDS = 3
#: How long to wait for a fresh view after waking; the platform may be down.
_WAIT_SECONDS = 2


class SuspensionGuard:
    """Says until when the process may act without looking again.

    A hot path compares its clock with ``until``. After a suspension the
    moment stays in the past until the live list was read anew, or until the
    process has waited for that long enough.
    """

    def __init__(
        self,
        timers: TimerService,
        list_age: Callable[[], float | None],
        may_act: Callable[[], bool],
    ) -> None:
        """Watch the timers.

        Args:
            timers: call the guard while the process is awake.
            list_age: tells the age of the live list in seconds.
            may_act: whether the view is fit to act on.
        """
        self._timers = timers
        self._list_age = list_age
        self._may_act = may_act
        self._woke: float | None = None
        self.until = timers.now + _TOLERANCE_SECONDS
        timers.every(_BEAT_SECONDS, self._beat)

    @property
    def awake(self) -> bool:
        """Whether the process may act now."""
        return self._timers.now <= self.until

    def _beat(self) -> None:
        now = self._timers.now
        if not self._may_act():
            return
        if now > self.until and not self._is_fresh(now):
            return
        self._woke = None
        self.until = now + _TOLERANCE_SECONDS

    def _is_fresh(self, now: float) -> bool:
        """Whether the view was renewed since the process woke."""
        if self._woke is None:
            self._woke = now
            return False
        age = self._list_age()
        waited = now - self._woke
        return waited >= _WAIT_SECONDS or (age is not None and age < waited)
