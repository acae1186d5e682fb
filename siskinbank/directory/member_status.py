"""The status of instances as members: alive, leaving or silent.

A status applies to one incarnation of an instance, identified by its epoch.
Within an epoch a later state replaces an earlier one, as in SWIM (Das, Gupta
and Motivala, 2002). Only the instance itself starts a new epoch, and thereby
refutes an earlier status.
"""

from dataclasses import dataclass
from typing import Any

from siskinbank.wire.checks import is_number_below, is_valid_name

__all__ = (
    'MemberState',
    'MemberStatus',
    'MemberStatusTable',
    'parse_member_status',
)

#: Width of an epoch on the wire.
_EPOCH_BITS = 48
_EPOCH_LIMIT = 1 << _EPOCH_BITS
_FIELDS = 3


class MemberState:
    """States in the order in which they replace each other."""

    alive = 0
    leaving = 1
    silent = 2


@dataclass(frozen=True, slots=True, order=True)
class MemberStatus:
    """The status of one instance; field order decides which one is newer."""

    epoch: int
    state: int
    name: str

    @property
    def parts(self) -> list[Any]:
        """The status in its message form."""
        return [self.epoch, self.state, self.name]


def parse_member_status(parts: Any) -> MemberStatus | None:
    """Parse a status of a message; return None if it is malformed."""
    if not isinstance(parts, list) or len(parts) != _FIELDS:
        return None
    epoch, state, name = parts
    if not is_number_below(epoch, _EPOCH_LIMIT) or not is_valid_name(name):
        return None
    if not is_number_below(state, MemberState.silent + 1):
        return None
    return MemberStatus(epoch, state, name)


@dataclass(slots=True)
class _KnownStatus:
    status: MemberStatus
    received_at: float
    announced_leaving: bool


class MemberStatusTable:
    """The newest status of each instance; those without one are alive."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._known: dict[str, _KnownStatus] = {}

    def __len__(self) -> int:
        """Return the number of instances with a known status."""
        return len(self._known)

    @property
    def leaving(self) -> frozenset[str]:
        """The instances that announced leaving, including silent ones."""
        return frozenset(
            name
            for name, known in self._known.items()
            if known.announced_leaving
        )

    def merge(self, status: MemberStatus, now: float) -> bool:
        """Merge a status; return whether it is newer than the known one."""
        known = self._known.get(status.name)
        if known is not None and status <= known.status:
            return False
        if known is None and status.state == MemberState.alive:
            return False
        announced_before = known is not None and known.announced_leaving
        announced_leaving = status.state == MemberState.leaving
        announced_leaving = announced_leaving or (
            announced_before and status.state == MemberState.silent
        )
        self._known[status.name] = _KnownStatus(status, now, announced_leaving)
        return True

    def get(self, name: str) -> MemberStatus | None:
        """Return the last known status of an instance."""
        known = self._known.get(name)
        return known.status if known else None

    def silent_for(self, name: str, now: float) -> float | None:
        """Return the seconds since an instance was reported silent."""
        known = self._known.get(name)
        if known is None or known.status.state != MemberState.silent:
            return None
        return now - known.received_at

    def silent(self, now: float) -> dict[str, float]:
        """Return the silent instances, with the seconds since the report."""
        return {
            name: now - known.received_at
            for name, known in self._known.items()
            if known.status.state == MemberState.silent
        }

    def prune(self, now: float, alive_seconds: float) -> None:
        """Remove alive statuses older than ``alive_seconds``."""
        self._known = {
            name: known
            for name, known in self._known.items()
            if known.status.state != MemberState.alive
            or now - known.received_at < alive_seconds
        }

    def forget(self, name: str) -> None:
        """Remove the status of an instance."""
        self._known.pop(name, None)
