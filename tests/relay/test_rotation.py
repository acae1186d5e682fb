"""Tests of turns through lists whose members and order change."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.relay.rotation import Rotation

PER_TURN = 4
MEMBERS = list(range(20))

# Changes before a turn: whether a member is in the list, and its place there.
memberships = st.lists(
    st.lists(st.sampled_from(MEMBERS), unique=True), max_size=40
)


class Waits:
    """Checks that members are served within the announced turns.

    Attributes:
        late: members that were passed over, with the number of the turn.
    """

    def __init__(self, rotation: Rotation) -> None:
        """Watch a rotation."""
        self.late: list[tuple[int, int]] = []
        self._rotation = rotation
        self._due: dict[int, int] = {}
        self._turn = 0

    def turn(self, members: list[int]) -> list[int]:
        """Take a turn; members that are away are owed nothing."""
        self._turn += 1
        turns = self._rotation.turns(len(members))
        served = self._rotation.next(members)
        new_due = self._turn + turns - 1
        # Whoever is new waits behind all others.
        self._due = {
            member: self._due.get(member, new_due) for member in members
        }
        self._due.update(dict.fromkeys(served, self._turn + turns))
        self.late.extend(
            (member, self._turn)
            for member, due in self._due.items()
            if due <= self._turn
        )
        return served


class TestRotation(unittest.TestCase):
    """Load pattern: a list that changes between turns."""

    def setUp(self) -> None:
        """Create a rotation of a few members a turn."""
        self.rotation: Rotation = Rotation(PER_TURN)
        self.waits = Waits(self.rotation)

    def test_steady_list(self) -> None:
        """All members are served in order, then again."""
        served = [
            member for _ in range(10) for member in self.waits.turn(MEMBERS)
        ]
        self.assertEqual(served, MEMBERS * 2)
        self.assertEqual(self.waits.late, [])

    def test_order_changes(self) -> None:
        """A member is not passed over because others change places."""
        random = Random(1)
        for _ in range(200):
            members = list(MEMBERS)
            random.shuffle(members)
            self.assertEqual(len(self.waits.turn(members)), PER_TURN)
        self.assertEqual(self.waits.late, [])

    def test_members_before_the_next_one_leave(self) -> None:
        """Those that waited longest are served next."""
        self.waits.turn(MEMBERS)
        self.assertEqual(
            self.waits.turn(MEMBERS[2:]), MEMBERS[PER_TURN : 2 * PER_TURN]
        )

    def test_growth_beyond_one_turn(self) -> None:
        """Members that were told one turn do not wait for new ones."""
        for count in range(1, len(MEMBERS)):
            # New members are listed first.
            self.waits.turn(MEMBERS[-count:])
        self.assertEqual(self.waits.late, [])

    def test_members_that_left_are_forgotten(self) -> None:
        """Memory is bounded by the members of the last turn."""
        for start in range(0, 10_000, 10):
            self.rotation.next(list(range(start, start + 10)))
        self.assertLessEqual(len(self.rotation), 10)
        self.rotation.next([])
        self.assertEqual(len(self.rotation), 0)

    @given(memberships)
    def test_any_changes(self, turns: list[list[int]]) -> None:
        """Each turn is full, without repeats, and keeps what was announced."""
        waits = Waits(Rotation(PER_TURN))
        for members in turns:
            served = waits.turn(members)
            self.assertEqual(len(served), min(PER_TURN, len(members)))
            self.assertEqual(len(served), len(set(served)))
            self.assertLessEqual(set(served), set(members))
        self.assertEqual(waits.late, [])
