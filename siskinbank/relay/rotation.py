"""Turns through lists that are too long for one message or one turn."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, TypeVar

    Member = TypeVar('Member')

__all__ = ('GroupRotation', 'Rotation')


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

    def waits(self) -> dict[Any, int]:
        """Return the turns until each member is selected if none leaves."""
        return {
            member: place // self._per_turn + 1
            for place, member in enumerate(self._waiting)
        }


class GroupRotation:
    """Selects bounded parts of groups whose members move between them.

    Each member is told the number of turns until its next selection. A member
    that has moved waits behind all others of its new group; if that takes more
    turns than it was told, it is selected in addition, before it is due, so
    that few are due at the same time.
    """

    __slots__ = ('_due', '_max_added', '_rotations', '_turn')

    def __init__(self, per_turn: tuple[int, ...], max_added: int) -> None:
        """Create a rotation that starts with the first members of each group.

        Args:
            per_turn: maximum number of members per turn of each group.
            max_added: maximum number of members per turn that are selected in
                addition, those that were due first before others.
        """
        self._rotations = list(map(Rotation, per_turn))
        self._max_added = max_added
        self._turn = 0
        #: Turn by which each member is to be selected: the one that it was
        #: told, or the one expected when it was new.
        self._due: dict[Any, int] = {}

    def turns(self, group: int, count: int) -> int:
        """Return the number of turns for a number of members of a group."""
        return self._rotations[group].turns(count)

    def note_announced(self, member: Member, turns: int) -> None:
        """Record that a member was told to be selected within some turns."""
        self._due[member] = self._turn + turns

    def next(
        self, groups: tuple[list[Member], ...]
    ) -> list[tuple[list[Member], int]]:
        """Return the members of the next turn of each group.

        Args:
            groups: all members by group, each in one group; others are
                forgotten.

        Returns:
            The members, and the number of turns that they are to be told.
        """
        self._turn += 1
        selected = []
        for rotation, members in zip(self._rotations, groups, strict=True):
            part = (rotation.next(members), rotation.turns(len(members)))
            self._note_selected(*part)
            selected.append(part)
        overdue = self._overdue()
        for members, (chosen, turns) in zip(groups, selected, strict=True):
            added = [member for member in members if member in overdue]
            self._note_selected(added, turns)
            chosen.extend(added)
        return selected

    def _note_selected(self, members: list[Member], turns: int) -> None:
        for member in members:
            self.note_announced(member, turns)

    def _overdue(self) -> set[Any]:
        """Return the members to add; forget those that are in no group."""
        previous = self._due
        self._due = {}
        overdue = []
        for rotation in self._rotations:
            for member, turns in rotation.waits().items():
                due = previous.get(member, self._turn + turns)
                self._due[member] = due
                if due < self._turn + turns:
                    overdue.append(member)
        overdue.sort(key=self._due.__getitem__)
        return set(overdue[: self._max_added])
