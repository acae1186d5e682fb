"""Tests of the roster, member statuses and reads of the live list."""

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.directory.failure_detection import find_gone
from siskinbank.directory.listing import ListReader
from siskinbank.directory.live import Instance, InstanceState, Role
from siskinbank.directory.member_status import (
    MemberState,
    MemberStatus,
    MemberStatusTable,
    parse_member_status,
)
from siskinbank.directory.roster import (
    Listing,
    Record,
    Roster,
    parse_record,
    record_of,
)
from siskinbank.kernel.clock import FakeClock
from siskinbank.peers.ages import DataCentreAges

INSTANCES = [
    Instance(f'host-{number}', Role.sidecar, 'a', (f'10.0.0.{number}', 7100))
    for number in range(10)
]
RECORDS = st.lists(
    st.builds(
        lambda number, version, listing: replace(
            record_of(INSTANCES[number], version), listing=listing
        ),
        st.integers(0, 9),
        st.integers(0, 3),
        st.integers(0, 2),
    ),
)
MALFORMED = (
    None,
    [],
    [1, 0, 'x', 'sidecar', 'a'],
    [-1, 0, 'x', 'sidecar', 'a', bytes(6)],
    [True, 0, 'x', 'sidecar', 'a', bytes(6)],
    [1, 3, 'x', 'sidecar', 'a', bytes(6)],
    [1, 0, 'x' * 64, 'sidecar', 'a', bytes(6)],
    [1, 0, 'x', 'king', 'a', bytes(6)],
    [1, 0, 'x', [], 'a', bytes(6)],
    [1, 0, 'x', 'sidecar', 'a', bytes(5)],
)


class TestRoster(unittest.TestCase):
    """Merging of records and statuses."""

    @settings(max_examples=50, deadline=None)
    @given(RECORDS, st.randoms(use_true_random=False))
    def test_merge_order(
        self,
        records: list[Record],
        rng: random.Random,
    ) -> None:
        """Records yield the same roster in any order."""
        in_order = Roster().merged(records)[0]
        shuffled = list(records)
        rng.shuffle(shuffled)
        reordered = Roster()
        for record in shuffled:
            reordered = reordered.merged([record])[0]
        self.assertEqual(in_order, reordered)
        self.assertEqual(in_order.differing(reordered.digests), [])

    def test_malformed_records(self) -> None:
        """Malformed records and statuses of peers are refused."""
        for parts in MALFORMED:
            with self.subTest(parts):
                self.assertIsNone(parse_record(parts))
                self.assertIsNone(parse_member_status(parts))

    def test_status_order(self) -> None:
        """Only a new epoch of the instance refutes that it is silent."""
        statuses = MemberStatusTable()
        self.assertFalse(
            statuses.merge(MemberStatus(5, MemberState.alive, 'x'), 0)
        )
        self.assertTrue(
            statuses.merge(MemberStatus(5, MemberState.silent, 'x'), 0)
        )
        self.assertFalse(
            statuses.merge(MemberStatus(5, MemberState.leaving, 'x'), 0)
        )
        self.assertTrue(
            statuses.merge(MemberStatus(6, MemberState.alive, 'x'), 0)
        )
        self.assertFalse(
            statuses.merge(MemberStatus(5, MemberState.silent, 'x'), 0)
        )

    def test_leaving_while_silent(self) -> None:
        """A leaving instance that is silent stays leaving until a new epoch."""
        statuses = MemberStatusTable()
        statuses.merge(MemberStatus(5, MemberState.leaving, 'x'), 0)
        statuses.merge(MemberStatus(5, MemberState.silent, 'x'), 4)
        self.assertEqual(statuses.leaving, {'x'})
        statuses.merge(MemberStatus(6, MemberState.alive, 'x'), 5)
        self.assertEqual(statuses.leaving, frozenset())


class TestFindGone(unittest.TestCase):
    """Failure detection by live list and silence."""

    def test_cases(self) -> None:
        """The live list alone or a short silence makes no instance gone."""
        cases = (
            (Listing.absent, None, False),
            (Listing.absent, 2, False),
            (Listing.absent, 6, True),
            (Listing.live, 6, False),
            (Listing.live, 16, True),
        )
        for listing, silent_for, expected in cases:
            with self.subTest(listing=listing, silent_for=silent_for):
                record = replace(record_of(INSTANCES[0], 1), listing=listing)
                roster = Roster().merged([record])[0]
                statuses = MemberStatusTable()
                if silent_for is not None:
                    silent = MemberStatus(1, MemberState.silent, record.name)
                    statuses.merge(silent, 100 - silent_for)
                gone = find_gone(roster, statuses, DataCentreAges(), 100)
                self.assertEqual(record.name in gone, expected)


class TestListReader(unittest.TestCase):
    """Updates from the reads of one reader."""

    def setUp(self) -> None:
        """Read the complete list once."""
        self.clock = FakeClock(100)
        self.reader = ListReader(self.clock)
        self.roster = Roster()
        self.read(INSTANCES)

    def read(self, instances: list[Instance]) -> list[Record]:
        """Read a list and merge the updates."""
        updates = self.reader.read(instances, self.roster)
        self.roster = self.roster.merged(updates)[0]
        return updates

    def test_leaving_is_published_at_once(self) -> None:
        """A leaving instance is published at the next read."""
        leaving = replace(INSTANCES[0], state=InstanceState.leaving)
        updates = self.read([leaving, *INSTANCES[1:]])
        self.assertEqual([record.listing for record in updates], [1])

    def test_mass_omission_is_held(self) -> None:
        """An empty list is held back for some time."""
        self.assertEqual(self.read([]), [])
        self.assertTrue(self.reader.held)
        self.clock.advance(5)
        self.assertEqual(self.read(INSTANCES), [])
        self.assertFalse(self.reader.held)

    def test_delayed_correction(self) -> None:
        """Another reader's change is corrected only after a delay."""
        other = replace(record_of(INSTANCES[0], 2), listing=Listing.leaving)
        self.roster = self.roster.merged([other])[0]
        self.assertEqual(self.read(list(INSTANCES)), [])
        self.clock.advance(11)
        updates = self.read(list(INSTANCES))
        self.assertEqual([record.version for record in updates], [3])
