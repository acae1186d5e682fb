"""Whether a process may act on what it believes: a lease on being heard.

The lease runs on a clock that counts suspension. A process that was paused
for longer finds itself stale, asks several peers, and acts again as soon as
one that is itself fresh has answered. When nobody answers for a while that it
spent awake, it goes on with what it has: whoever could be harmed by that could
be reached, and would have answered.
"""

import random

from siskinbank.kernel import events
from siskinbank.kernel.clock import Clock

__all__ = ('LEASE_SECONDS', 'Freshness')

LEASE_SECONDS = 10
_GRACE_SECONDS = 3
_NONCES = 1 << 32
_LONGEST_TICK_SECONDS = 1.5


class Freshness:
    """The lease of one process."""

    def __init__(
        self,
        clock: Clock,
        log: events.EventLog,
        rng: random.Random,
    ) -> None:
        """Start stale: a new process asks before it serves."""
        self._clock = clock
        self._log = log
        self._heard_at: float | None = None
        self._isolated_at: float | None = None
        self._asked_awake: float = 0
        self._last_tick = clock()
        self._rng = rng
        self._asked: dict[int, float] = {}
        self.nonce = 0
        self._renew()

    @property
    def fresh(self) -> bool:
        """Whether the process may act on its beliefs."""
        now = self._clock()
        if self._isolated_at is not None:
            return now - self._isolated_at <= LEASE_SECONDS
        return self.heard

    @property
    def heard(self) -> bool:
        """Whether a fresh peer was heard within the lease."""
        if self._heard_at is None:
            return False
        return self._clock() - self._heard_at <= LEASE_SECONDS

    @property
    def isolated(self) -> bool:
        """Whether the process goes on without an answer."""
        return self._isolated_at is not None

    @property
    def age(self) -> float | None:
        """Seconds since a fresh peer was heard; None if never."""
        if self._heard_at is None:
            return None
        return self._clock() - self._heard_at

    def hear(self, echo: int) -> None:
        """Note an answer of a fresh peer to one of the last questions.

        The lease starts when the question was asked: answers that lay in a
        socket while the process was paused prove nothing about now.
        """
        asked_at = self._asked.get(echo)
        if asked_at is None:
            return
        self._heard_at = max(self._heard_at or asked_at, asked_at)
        if not self.heard:
            return
        self._asked_awake = 0
        if self._isolated_at is not None:
            self._isolated_at = None
            self._log.write(events.HEARD)

    def tick(self) -> None:
        """Count the time awake without an answer; call about each second."""
        self._renew()
        now = self._clock()
        awake = min(now - self._last_tick, _LONGEST_TICK_SECONDS)
        paused = now - self._last_tick > LEASE_SECONDS
        self._last_tick = now
        if self.heard:
            return
        if paused:
            self._isolated_at = None
            self._asked_awake = 0
            return
        self._asked_awake += awake
        if self._isolated_at is not None:
            self._isolated_at = now
        elif self._asked_awake >= _GRACE_SECONDS:
            self._isolated_at = now
            self._log.write(events.ISOLATED)

    def _renew(self) -> None:
        """Ask under a new number, and forget those beyond the lease."""
        now = self._clock()
        self._asked = {
            nonce: at
            for nonce, at in self._asked.items()
            if now - at <= LEASE_SECONDS
        }
        self.nonce = self._rng.randrange(1, _NONCES)
        self._asked[self.nonce] = now
