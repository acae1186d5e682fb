"""A limit that starts cold, climbs to its full value and drops on trouble."""

from siskinbank.kernel.clock import Clock

__all__ = ('ClimbingLimit',)

#: A paced limit that is below full grants at most as many units in any second as
#: the limit is high: this share of them at once, the rest spread evenly.
_BURST_SHARE = 0.1
_PACE_SHARE = 1 - _BURST_SHARE
#: Share of the units in use that remains after a sign of trouble.
_TROUBLE_SHARE = 0.7
#: Seconds in which repeated signs of trouble lower the limit only once.
_TROUBLE_SECONDS = 0.5
#: Weight of the newest interval in the mean interval between two returned
#: units.
_RETURN_WEIGHT = 0.1
_MIN_RETRY_SECONDS = 0.05
_MAX_RETRY_SECONDS = 60.0


class ClimbingLimit:
    """The amount of one resource that the upstream can handle now.

    All ingresses of a sidecar share the one object, so that any number of
    entries that act at once stays within it. ``used`` counts the units taken;
    ``suspended`` of them belong to flows that get no packets at present, and
    ``presumed_ended`` of these to flows that count as ended after a silence.
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
        """Create a limit that climbs from ``cold`` to ``full`` in the warm-up.

        Args:
            cold: what the upstream can handle right after its start.
            full: what it can handle when warm.
            warm_up_seconds: the time from the one to the other.
            clock: the time in seconds.
            paced: while the limit is below full, spread the units over a
                second instead of granting them all at once.
        """
        self._clock = clock
        self._paced = paced
        self._tokens: float = 0
        self._refilled_at = clock()
        self._climb_started_at = clock()
        self._blocked = False
        self._lowered_at = float('-inf')
        self._returned_at: float | None = None
        self._mean_return_seconds = 1.0
        self._configure(cold, full, warm_up_seconds)
        self._start_level: float = self._cold
        self._tokens = self._burst_tokens()
        self.used = 0
        self.suspended = 0
        self.presumed_ended = 0

    @property
    def limit(self) -> int:
        """The most units that may be in use now."""
        if self._blocked:
            return 0
        return self._current_level()

    @property
    def full(self) -> int:
        """What the upstream can handle when it is warm."""
        return self._full

    @property
    def in_use(self) -> int:
        """The units that are taken and not suspended."""
        return self.used - self.suspended

    @property
    def room(self) -> int:
        """The units that are left."""
        left = max(self.limit - self._open_units(), 0)
        if self._paced and not self.is_full:
            return min(left, int(self._available_tokens()))
        return left

    @property
    def is_full(self) -> bool:
        """Whether the limit has reached its full value."""
        return self.limit >= self._full

    @property
    def retry_after(self) -> float:
        """Seconds until a unit is expected to be free."""
        return min(
            max(self._wait_seconds(), _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS
        )

    def change(self, cold: int, full: int, warm_up_seconds: float) -> None:
        """Apply a new configuration, starting from the current limit."""
        if (cold, full, warm_up_seconds) != self._configured:
            level = self._current_level()
            self._configure(cold, full, warm_up_seconds)
            self._climb_from(min(level, self._full))

    def restart(self) -> None:
        """Drop to the cold limit, because the upstream turned cold."""
        self._blocked = False
        self._climb_from(self._cold)

    def block(self) -> None:
        """Grant no units until the next ``restart``."""
        self._blocked = True

    def lower(self) -> None:
        """Lower the limit on trouble, starting from what is in use now."""
        now = self._clock()
        if now - self._lowered_at < _TROUBLE_SECONDS:
            return
        self._lowered_at = now
        used_now = min(self._current_level(), self.in_use)
        self._climb_from(max(self._cold, int(used_now * _TROUBLE_SHARE)))

    def take(self) -> bool:
        """Take one unit if there is one."""
        if self._open_units() >= self.limit or not self.claim():
            return False
        self.used += 1
        return True

    def claim(self) -> bool:
        """Return whether one more unit may come into use; spend a token."""
        if self.in_use >= self.limit:
            return False
        if not self._paced or self.is_full:
            return True
        self._tokens = self._available_tokens()
        self._refilled_at = self._clock()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def give_back(self) -> None:
        """Return one unit."""
        self.used = max(self.used - 1, 0)
        now = self._clock()
        if self._returned_at is not None:
            interval = now - self._returned_at
            self._mean_return_seconds += _RETURN_WEIGHT * (
                interval - self._mean_return_seconds
            )
        self._returned_at = now

    def _wait_seconds(self) -> float:
        if self._blocked:
            return self._warm_up
        missing = self._open_units() + 1 - self.limit
        if missing > 0:
            return_wait = self._mean_return_seconds * missing
            if self.is_full or not self._climb_per_second:
                return return_wait
            return min(return_wait, missing / self._climb_per_second)
        if self._paced and not self.is_full:
            return (1 - self._available_tokens()) / max(
                self._refill_per_second(), 1
            )
        return 0

    def _open_units(self) -> int:
        """Return the units open at the upstream, suspended or not."""
        return self.used - min(self.presumed_ended, self.suspended)

    def _current_level(self) -> int:
        elapsed = self._clock() - self._climb_started_at
        if elapsed >= self._warm_up:
            return self._full
        return min(
            self._full,
            int(self._start_level + self._climb_per_second * elapsed),
        )

    def _burst_tokens(self) -> float:
        return max(1, self._current_level() * _BURST_SHARE)

    def _refill_per_second(self) -> float:
        return self.limit * _PACE_SHARE

    def _available_tokens(self) -> float:
        elapsed = self._clock() - self._refilled_at
        return min(
            self._tokens + elapsed * self._refill_per_second(),
            self._burst_tokens(),
        )

    def _configure(self, cold: int, full: int, warm_up: float) -> None:
        self._configured = (cold, full, warm_up)
        self._full = full
        self._cold = min(cold, full)
        self._warm_up = warm_up
        self._climb_per_second = (full - self._cold) / warm_up if warm_up else 0

    def _climb_from(self, level: int) -> None:
        self._start_level = level
        self._climb_started_at = self._clock()
        self._tokens = min(self._available_tokens(), self._burst_tokens())
        self._refilled_at = self._clock()
