"""Whether a process may act on its known state: a lease that peers renew.

The lease runs on a clock that counts suspension. A process that was suspended
for longer than the lease is stale: it asks several peers and acts again as
soon as a peer that is itself fresh has answered. If no peer answers for some
time during which the process was running, it is isolated and continues with
its last known state. This harms no other process: one that it could harm would
be reachable, and would have answered.
"""

import random

from siskinbank.kernel import events
from siskinbank.kernel.clock import Clock

__all__ = ('LEASE_SECONDS', 'Freshness')

LEASE_SECONDS = 10
_ISOLATION_SECONDS = 3
_NONCE_BITS = 32
_NONCE_LIMIT = 1 << _NONCE_BITS
#: Longest running time counted for one tick; during the rest of a longer
#: interval the process was suspended.
_MAX_TICK_SECONDS = 1.5


class Freshness:
    """The lease of one process.

    Attributes:
        nonce: number of the current request; peers echo it in their replies.
    """

    def __init__(
        self,
        clock: Clock,
        log: events.EventLog,
        rng: random.Random,
    ) -> None:
        """Create an expired lease: a new process first asks its peers."""
        self._clock = clock
        self._log = log
        self._renewed_at: float | None = None
        self._isolated_at: float | None = None
        self._unanswered_seconds: float = 0
        self._last_tick = clock()
        self._rng = rng
        self._sent_at: dict[int, float] = {}
        self.nonce = 0
        self._draw_nonce()

    @property
    def fresh(self) -> bool:
        """Whether the process may act on its known state."""
        now = self._clock()
        if self._isolated_at is not None:
            return now - self._isolated_at <= LEASE_SECONDS
        return self.lease_valid

    @property
    def lease_valid(self) -> bool:
        """Whether a reply of a fresh peer has renewed the lease in time."""
        if self._renewed_at is None:
            return False
        return self._clock() - self._renewed_at <= LEASE_SECONDS

    @property
    def isolated(self) -> bool:
        """Whether the process continues without replies of peers."""
        return self._isolated_at is not None

    @property
    def age(self) -> float | None:
        """Seconds since the last renewal by a fresh peer; None if never."""
        if self._renewed_at is None:
            return None
        return self._clock() - self._renewed_at

    def note_reply(self, echo: int) -> None:
        """Renew the lease with a fresh peer's reply to a recent request.

        The lease starts when the request was sent: replies that were queued
        in a socket buffer while the process was suspended may be outdated.
        """
        sent_at = self._sent_at.get(echo)
        if sent_at is None:
            return
        self._renewed_at = max(self._renewed_at or sent_at, sent_at)
        if not self.lease_valid:
            return
        self._unanswered_seconds = 0
        if self._isolated_at is not None:
            self._isolated_at = None
            self._log.write(events.ISOLATION_ENDED)

    def tick(self) -> None:
        """Count the running time without a reply; call about once a second."""
        self._draw_nonce()
        now = self._clock()
        running_seconds = min(now - self._last_tick, _MAX_TICK_SECONDS)
        suspended = now - self._last_tick > LEASE_SECONDS
        self._last_tick = now
        if self.lease_valid:
            return
        if suspended:
            self._isolated_at = None
            self._unanswered_seconds = 0
            return
        self._unanswered_seconds += running_seconds
        if self._isolated_at is not None:
            self._isolated_at = now
        elif self._unanswered_seconds >= _ISOLATION_SECONDS:
            self._isolated_at = now
            self._log.write(events.ISOLATED)

    def _draw_nonce(self) -> None:
        """Draw a new nonce, and forget those that are older than the lease."""
        now = self._clock()
        self._sent_at = {
            nonce: sent_at
            for nonce, sent_at in self._sent_at.items()
            if now - sent_at <= LEASE_SECONDS
        }
        self.nonce = self._rng.randrange(1, _NONCE_LIMIT)
        self._sent_at[self.nonce] = now
