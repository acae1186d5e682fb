"""Turns through a list that is too long for one message or one turn."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, TypeVar

    Member = TypeVar('Member')

__all__ = ('Rotation',)


class Rotation:
    """Selects a bounded part of a list, those that waited longest first.

    It remembers members, not places, as lists change between turns. New members
    wait behind all others, so a member never waits longer than ``turns`` said
    when it was last selected, however much the list grows.
    """

    __slots__ = ('_per_turn', '_waiting')

    def __init__(self, per_turn: int) -> None:
        """Create a rotation that starts with the first members.

        Args:
            per_turn: maximum number of members per turn.
        """
        self._per_turn = per_turn
        #: Members of the last list; those that wait longest come first.
        self._waiting: dict[Any, None] = {}

    def __len__(self) -> int:
        """Return the number of members that are remembered."""
        return len(self._waiting)

    def turns(self, count: int) -> int:
        """Return the number of turns for a number of members, 1 or more."""
        return max(1, -(-count // self._per_turn))

    def next(self, members: list[Member]) -> list[Member]:
        """Return the members of the next turn, each at most once.

        Args:
            members: all members; others are forgotten.
        """
        present = dict.fromkeys(members)
        queue = [member for member in self._waiting if member in present]
        queue.extend(
            member for member in present if member not in self._waiting
        )
        selected = queue[: self._per_turn]
        self._waiting = dict.fromkeys(queue[self._per_turn :] + selected)
        return selected
