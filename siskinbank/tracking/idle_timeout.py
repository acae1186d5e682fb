"""How long a host may keep an idle flow, as the operator states it."""

from __future__ import annotations

from siskinbank.platform.settings import DEFAULT_FLOW_LIFETIME_S
from siskinbank.relay.loop import NEVER

__all__ = ('IdleTimeout',)

# Time for which a host is assumed to keep an idle flow at least, in seconds,
# where the operator has not stated it.
_DEFAULT_SHORTEST_S = 15.0


class IdleTimeout:
    """The operator's idle timeout, also while it changes.

    Load pattern: the operator raises or lowers the timeout while clients pause
    on open flows. A host may go by the old timeout for a while, and keeps flows
    that were idle for longer than the new one.
    """

    __slots__ = ('_lifetime_s', '_previous_s', '_previous_until', '_stated_s')

    def __init__(self, lifetime_s: float = DEFAULT_FLOW_LIFETIME_S) -> None:
        """Initialize without a statement of the operator.

        Args:
            lifetime_s: age in seconds at which any flow may be discarded.
        """
        self._lifetime_s = lifetime_s
        self._stated_s: float | None = None
        self._previous_s: float = 0
        self._previous_until = NEVER

    def note(self, stated_s: float | None, now: float) -> None:
        """Record the timeout of a configuration.

        Args:
            stated_s: the timeout in seconds, None if it states none.
            now: time in seconds.
        """
        fresh_s = self._lifetime_s
        if stated_s is not None:
            fresh_s = min(fresh_s, stated_s)
        if self._stated_s not in {None, fresh_s}:
            self._previous_s = self.longest_s(now)
            self._previous_until = now + self._previous_s
        self._stated_s = fresh_s

    def longest_s(self, now: float) -> float:
        """Return the time in seconds after which no host keeps an idle flow."""
        stated_s = self._stated_s
        if stated_s is None:
            return self._lifetime_s
        if now < self._previous_until:
            return max(stated_s, self._previous_s)
        return stated_s

    def shortest_s(self, now: float) -> float:
        """Return the time in seconds for which each host keeps an idle flow."""
        stated_s = self._stated_s
        if stated_s is None:
            return min(self._lifetime_s, _DEFAULT_SHORTEST_S)
        if now < self._previous_until:
            return min(stated_s, self._previous_s)
        return stated_s
