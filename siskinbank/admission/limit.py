"""A limit that starts cold, climbs to its full value and falls on trouble."""

from siskinbank.kernel.clock import Clock

__all__ = ('ClimbingLimit',)

#: While the limit is not full, at most its worth comes new in any second: this
#: share of it at once, and the rest spread evenly.
_BURST_SHARE = 0.1
_PACE_SHARE = 1 - _BURST_SHARE
#: What remains of the limit after a sign of trouble.
_TROUBLE_SHARE = 0.7
#: Seconds in which one trouble lowers the limit only once.
_TROUBLE_SECONDS = 0.5
#: Weight of the newest interval in the mean between two returned units.
_RETURN_WEIGHT = 0.1
_MIN_RETRY_SECONDS = 0.05
_MAX_RETRY_SECONDS = 60.0


class ClimbingLimit:
    """How much of one resource the upstream can bear now.

    All ingresses of a sidecar share the one object, so that any number of
    entries that act at once stays within it. ``used`` counts the units taken;
    ``suspended`` of them belong to work that gets no packets at present, and
    ``presumed_ended`` of these to work that has ended unseen.
    """

    def __init__(
        self,
        cold: int,
        full: int,
        warm_up_seconds: float,
        clock: Clock,
        *,
        paced: bool = False,
    ) -> None:
        """Start at ``cold`` and reach ``full`` after the warm-up.

        Args:
            cold: what the upstream bears right after its start.
            full: what it bears when warm.
            warm_up_seconds: the time from the one to the other.
            clock: the time in seconds.
            paced: while the limit is not full, let it be used up in a second
                and not at once.
        """
        self._clock = clock
        self._paced = paced
        self._tokens: float = 0
        self._paced_at = clock()
        self._since = clock()
        self._blocked = False
        self._lowered_at = float('-inf')
        self._returned_at: float | None = None
        self._return_seconds = 1.0
        self._describe(cold, full, warm_up_seconds)
        self._level: float = self._cold
        self._tokens = self._burst()
        self.used = 0
        self.suspended = 0
        self.presumed_ended = 0

    @property
    def limit(self) -> int:
        """The most that may be in use now."""
        if self._blocked:
            return 0
        return self._climbed()

    @property
    def full(self) -> int:
        """What the upstream bears when it is warm."""
        return self._full

    @property
    def in_use(self) -> int:
        """The units that are taken and not suspended."""
        return self.used - self.suspended

    @property
    def room(self) -> int:
        """The units that are left."""
        left = max(self.limit - self._open(), 0)
        if self._paced and not self.is_full:
            return min(left, int(self._refilled()))
        return left

    @property
    def is_full(self) -> bool:
        """Whether the climb is over."""
        return self.limit >= self._full

    @property
    def retry_after(self) -> float:
        """Seconds until a unit can be expected to be free."""
        return min(max(self._wait(), _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)

    def change(self, cold: int, full: int, warm_up_seconds: float) -> None:
        """Follow a new configuration from the limit of now."""
        if (cold, full, warm_up_seconds) != self._stated:
            level = self._climbed()
            self._describe(cold, full, warm_up_seconds)
            self._start_from(min(level, self._full))

    def restart(self) -> None:
        """Fall to the cold limit, because the upstream turned cold."""
        self._blocked = False
        self._start_from(self._cold)

    def block(self) -> None:
        """Take nothing until the next ``restart``."""
        self._blocked = True

    def lower(self) -> None:
        """Fall at once on trouble, from what is in use now."""
        now = self._clock()
        if now - self._lowered_at < _TROUBLE_SECONDS:
            return
        self._lowered_at = now
        carried = min(self._climbed(), self.in_use)
        self._start_from(max(self._cold, int(carried * _TROUBLE_SHARE)))

    def take(self) -> bool:
        """Take one unit if there is one."""
        if self._open() >= self.limit or not self.claim():
            return False
        self.used += 1
        return True

    def claim(self) -> bool:
        """Whether one more unit may come into use now; spends its pace."""
        if self.in_use >= self.limit:
            return False
        if not self._paced or self.is_full:
            return True
        self._tokens = self._refilled()
        self._paced_at = self._clock()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def give_back(self) -> None:
        """Return one unit."""
        self.used = max(self.used - 1, 0)
        now = self._clock()
        if self._returned_at is not None:
            gap = now - self._returned_at
            self._return_seconds += _RETURN_WEIGHT * (
                gap - self._return_seconds
            )
        self._returned_at = now

    def _wait(self) -> float:
        if self._blocked:
            return self._warm_up
        missing = self._open() + 1 - self.limit
        if missing > 0:
            returned = self._return_seconds * missing
            if self.is_full or not self._climb:
                return returned
            return min(returned, missing / self._climb)
        if self._paced and not self.is_full:
            return (1 - self._refilled()) / max(self._pace(), 1)
        return 0

    def _open(self) -> int:
        """What may be open at the upstream, suspended or not."""
        return self.used - min(self.presumed_ended, self.suspended)

    def _climbed(self) -> int:
        elapsed = self._clock() - self._since
        if elapsed >= self._warm_up:
            return self._full
        return min(self._full, int(self._level + self._climb * elapsed))

    def _burst(self) -> float:
        return max(1, self._climbed() * _BURST_SHARE)

    def _pace(self) -> float:
        return self.limit * _PACE_SHARE

    def _refilled(self) -> float:
        elapsed = self._clock() - self._paced_at
        return min(self._tokens + elapsed * self._pace(), self._burst())

    def _describe(self, cold: int, full: int, warm_up: float) -> None:
        self._stated = (cold, full, warm_up)
        self._full = full
        self._cold = min(cold, full)
        self._warm_up = warm_up
        self._climb = (full - self._cold) / warm_up if warm_up else 0

    def _start_from(self, level: int) -> None:
        self._level = level
        self._since = self._clock()
        self._tokens = min(self._refilled(), self._burst())
        self._paced_at = self._clock()
