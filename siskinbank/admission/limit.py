"""A limit that starts cold and climbs to its full value."""

from siskinbank.kernel.clock import Clock

__all__ = ('ClimbingLimit',)


class ClimbingLimit:
    """How much of one resource the upstream can bear now."""

    def __init__(
        self,
        cold: int,
        full: int,
        warm_up_seconds: float,
        clock: Clock,
    ) -> None:
        """Start at ``cold`` and reach ``full`` after the warm-up."""
        self._cold = cold
        self._full = full
        self._warm_up = warm_up_seconds
        self._clock = clock
        self._since = clock()
        self.used = 0

    @property
    def limit(self) -> int:
        """The most that may be in use now."""
        elapsed = self._clock() - self._since
        if elapsed >= self._warm_up:
            return self._full
        climbed = (self._full - self._cold) * elapsed / self._warm_up
        return self._cold + int(climbed)

    def restart(self) -> None:
        """Fall to the cold limit, because the upstream turned cold."""
        self._since = self._clock()

    def take(self) -> bool:
        """Take one unit if there is one."""
        if self.used >= self.limit:
            return False
        self.used += 1
        return True

    def give_back(self) -> None:
        """Return one unit."""
        self.used = max(self.used - 1, 0)
