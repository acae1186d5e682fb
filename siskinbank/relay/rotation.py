"""Turns through a list that is too long for one message or one turn."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import TypeVar

    Member = TypeVar('Member')

__all__ = ('Rotation',)


class Rotation:
    """Selects a bounded part of a list; the next call continues after it."""

    __slots__ = ('_next', '_per_turn')

    def __init__(self, per_turn: int) -> None:
        """Create a rotation that starts with the first members.

        Args:
            per_turn: maximum number of members per turn.
        """
        self._per_turn = per_turn
        self._next = 0

    def turns(self, count: int) -> int:
        """Return the number of turns for a number of members, 1 or more."""
        return max(1, -(-count // self._per_turn))

    def next(self, members: list[Member]) -> list[Member]:
        """Return the members of the next turn, each at most once."""
        if len(members) <= self._per_turn:
            return members
        start = self._next % len(members)
        self._next = start + self._per_turn
        return (members[start:] + members[:start])[: self._per_turn]
