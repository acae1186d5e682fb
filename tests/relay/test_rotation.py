"""Tests of turns through lists whose members and order change."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.relay.rotation import GroupRotation, Rotation

PER_TURN = 4
MEMBERS = list(range(20))

# Changes before a turn: whether a member is in the list, and its place there.
memberships = st.lists(
    st.lists(st.sampled_from(MEMBERS), unique=True), max_size=40
)

GROUPS_PER_TURN = (4, 2)
MAX_ADDED = 2
AWAY = len(GROUPS_PER_TURN)
# The group of each member in each turn.
moves = st.lists(
    st.lists(
        st.integers(0, AWAY), min_size=len(MEMBERS), max_size=len(MEMBERS)
    ),
    max_size=20,
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


class TestGroupRotation(unittest.TestCase):
    """Load pattern: members move between groups with different waits."""

    def setUp(self) -> None:
        """Create a rotation and record what members are told."""
        self.rotation = GroupRotation(GROUPS_PER_TURN, MAX_ADDED)
        self.due: dict[int, int] = {}
        self.now = 0

    def turn(self, *groups: list[int]) -> list[list[int]]:
        """Take a turn and return the selected members of each group."""
        self.now += 1
        selected = self.rotation.next(groups)
        self.due = {
            member: self.due[member]
            for member in set().union(*groups) & self.due.keys()
        }
        for chosen, turns in selected:
            self.due.update(dict.fromkeys(chosen, self.now + turns))
        return [members for members, _ in selected]

    def late(self) -> list[int]:
        """Return the members that should have been selected by now."""
        return [member for member, due in self.due.items() if due <= self.now]

    def test_member_that_moves_is_told_in_time(self) -> None:
        """And takes the place of nobody in its new group."""
        self.turn([0], MEMBERS[1:])
        self.assertEqual(self.turn([], MEMBERS), [[], [3, 4, 0]])
        self.assertEqual(self.turn([], MEMBERS), [[], [5, 6]])

    def test_told_outside_a_turn(self) -> None:
        """Members may be told before the first turn and between turns."""
        for member in MEMBERS[-MAX_ADDED:]:
            self.rotation.note_announced(member, 2)
        self.assertEqual(self.turn([], MEMBERS), [[], [0, 1, 18, 19]])
        self.assertEqual(self.turn([], MEMBERS), [[], [2, 3]])

    def test_new_member_that_moves(self) -> None:
        """A member that was never told is selected as soon as if it stayed."""
        first, second = MEMBERS[:8], MEMBERS[8:-1]
        places = ([*first, 19], second), (first, [*second, 19])
        selected = [self.turn(*places[turn % 2]) for turn in range(3)]
        self.assertNotIn(19, sum(selected[0], []))
        self.assertIn(19, sum(selected[1] + selected[2], []))

    def test_added_members_are_bounded(self) -> None:
        """Those that are due first come first, the others in later turns."""
        self.turn(MEMBERS[:4], MEMBERS[4:])
        added = [self.turn([], MEMBERS)[1][2:] for _ in range(4)]
        self.assertEqual(added, [[0, 1], [2, 3], [], []])

    @given(moves)
    def test_any_moves(self, turns: list[list[int]]) -> None:
        """Members are late only where the bound on added ones is reached."""
        self.setUp()
        for places in turns:
            groups = [
                [member for member in MEMBERS if places[member] == group]
                for group in range(AWAY)
            ]
            added = 0
            for members, selected, limit in zip(
                groups, self.turn(*groups), GROUPS_PER_TURN, strict=True
            ):
                self.assertEqual(len(selected), len(set(selected)))
                self.assertLessEqual(set(selected), set(members))
                added += len(selected) - min(limit, len(members))
            self.assertLessEqual(added, MAX_ADDED)
            if added < MAX_ADDED:
                self.assertEqual(self.late(), [])
