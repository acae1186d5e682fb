"""Tests of the roster, the words, and what the list may say."""

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.kernel.clock import FakeClock
from siskinbank.peers.ages import Ages
from siskinbank.directory.beliefs import find_gone
from siskinbank.directory.listing import ListReader
from siskinbank.directory.live import Instance, InstanceState, Role
from siskinbank.directory.roster import (
    Listing,
    Record,
    Roster,
    parse_record,
    record_of,
)
from siskinbank.directory.words import Word, WordBook, WordState, parse_word

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
    """Merging."""

    @settings(max_examples=50, deadline=None)
    @given(RECORDS, st.randoms(use_true_random=False))
    def test_order_does_not_matter(
        self,
        records: list[Record],
        rng: random.Random,
    ) -> None:
        """Whatever comes first, all end with the same roster."""
        once = Roster().merged(records)[0]
        shuffled = list(records)
        rng.shuffle(shuffled)
        again = Roster()
        for record in shuffled:
            again = again.merged([record])[0]
        self.assertEqual(once, again)
        self.assertEqual(once.differing(again.digests), [])

    def test_malformed_records(self) -> None:
        """What peers may not send becomes no record."""
        for parts in MALFORMED:
            with self.subTest(parts):
                self.assertIsNone(parse_record(parts))
                self.assertIsNone(parse_word(parts))

    def test_word_order(self) -> None:
        """Only the instance itself takes back that it is silent."""
        words = WordBook()
        self.assertFalse(words.take(Word(5, WordState.alive, 'x'), 0))
        self.assertTrue(words.take(Word(5, WordState.silent, 'x'), 0))
        self.assertFalse(words.take(Word(5, WordState.leaving, 'x'), 0))
        self.assertTrue(words.take(Word(6, WordState.alive, 'x'), 0))
        self.assertFalse(words.take(Word(5, WordState.silent, 'x'), 0))

    def test_leaving_outlasts_silence(self) -> None:
        """A host that left and fell silent gets no work; a new life does."""
        words = WordBook()
        words.take(Word(5, WordState.leaving, 'x'), 0)
        words.take(Word(5, WordState.silent, 'x'), 4)
        self.assertEqual(words.leaving, {'x'})
        words.take(Word(6, WordState.alive, 'x'), 5)
        self.assertEqual(words.leaving, frozenset())


class TestGone(unittest.TestCase):
    """List and silence together."""

    def test_cases(self) -> None:
        """Neither the list alone nor a short silence makes a host gone."""
        cases = (
            (Listing.absent, None, False),
            (Listing.absent, 2, False),
            (Listing.absent, 6, True),
            (Listing.live, 6, False),
            (Listing.live, 16, True),
        )
        for listing, silent_for, wanted in cases:
            with self.subTest(listing=listing, silent_for=silent_for):
                record = replace(record_of(INSTANCES[0], 1), listing=listing)
                roster = Roster().merged([record])[0]
                words = WordBook()
                if silent_for is not None:
                    silent = Word(1, WordState.silent, record.name)
                    words.take(silent, 100 - silent_for)
                gone = find_gone(roster, words, Ages(), 100)
                self.assertEqual(record.name in gone, wanted)


class TestListReader(unittest.TestCase):
    """What a reader makes of its reads."""

    def setUp(self) -> None:
        """Read the whole list once."""
        self.clock = FakeClock(100)
        self.reader = ListReader(self.clock)
        self.roster = Roster()
        self.read(INSTANCES)

    def read(self, instances: list[Instance]) -> list[Record]:
        """Read a list and take over the news."""
        news = self.reader.read(instances, self.roster)
        self.roster = self.roster.merged(news)[0]
        return news

    def test_leaving_is_news_at_once(self) -> None:
        """The next read that says so is passed on."""
        leaving = replace(INSTANCES[0], state=InstanceState.leaving)
        news = self.read([leaving, *INSTANCES[1:]])
        self.assertEqual([record.listing for record in news], [1])

    def test_mass_omission_is_held(self) -> None:
        """An empty list is believed only after a while."""
        self.assertEqual(self.read([]), [])
        self.assertTrue(self.reader.held)
        self.clock.advance(5)
        self.assertEqual(self.read(INSTANCES), [])
        self.assertFalse(self.reader.held)

    def test_readers_that_disagree_do_not_fight(self) -> None:
        """What another reader changed is corrected only after a while."""
        other = replace(record_of(INSTANCES[0], 2), listing=Listing.leaving)
        self.roster = self.roster.merged([other])[0]
        self.assertEqual(self.read(list(INSTANCES)), [])
        self.clock.advance(11)
        news = self.read(list(INSTANCES))
        self.assertEqual([record.version for record in news], [3])
