"""Tests of searches that nobody answers."""

import unittest

from siskinbank.entry.searches import Searches

FLOW = b'f' * 13


class TestSearches(unittest.TestCase):
    """Whom to ask."""

    def test_turns_to_the_next_when_silent(self) -> None:
        """Retransmissions ask the next candidate; bursts do not."""
        searches = Searches()
        times = (0, 0.01, 1, 1.1, 2, 3)
        turns = [searches.turn(FLOW, now, 3) for now in times]
        self.assertEqual(turns, [0, 0, 1, 1, 2, 0])

    def test_answer_ends_the_search(self) -> None:
        """A later search starts at the first candidate."""
        searches = Searches()
        searches.turn(FLOW, 0, 3)
        searches.end(FLOW)
        self.assertEqual(searches.turn(FLOW, 9, 3), 0)

    def test_bound(self) -> None:
        """Unanswered searches do not pile up."""
        searches = Searches()
        for number in range(25_000):
            searches.turn(number.to_bytes(13, 'big'), 0, 3)
        self.assertLessEqual(len(searches), 10_000)
