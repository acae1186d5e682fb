"""Schedule of hellos to peers that have not sent anything yet.

Load pattern: all processes start within a second. A hello to a process that is
not up yet is lost. Until both have discovered each other, an entry can neither
place flows on a host nor end searches for lost flows.
"""

from __future__ import annotations

__all__ = (
    'HELLO_CHECK_INTERVAL_S',
    'HelloSchedule',
    'STARTUP_PEERS_INTERVAL_S',
)

# Interval at which it is checked whether a hello is due, and interval of hellos
# during startup, in seconds: half of a client's first retransmission timeout.
HELLO_CHECK_INTERVAL_S = 0.1
# Interval between requests for the addresses of other processes during startup,
# in seconds. A peer that has just started itself knows few of them.
STARTUP_PEERS_INTERVAL_S = 0.3
# Duration of the startup phase, in seconds: the slowest start of a peer.
_STARTUP_S = 2.0


class HelloSchedule:
    """Schedules frequent hellos during startup and fewer later."""

    __slots__ = ('_last_hello', '_period_s', '_started')

    def __init__(self, now: float, period_s: float) -> None:
        """Initialize the schedule of a process that sends a hello now.

        Args:
            now: time of the start, in seconds.
            period_s: seconds between hellos after the startup phase.
        """
        self._started = now
        self._last_hello = now
        self._period_s = period_s

    def is_starting(self, now: float) -> bool:
        """Return whether peers may still be starting."""
        return now - self._started < _STARTUP_S

    def is_due(self, now: float) -> bool:
        """Return whether a hello is due now, and count it as sent if so."""
        if (
            not self.is_starting(now)
            and now - self._last_hello < self._period_s
        ):
            return False
        self._last_hello = now
        return True
