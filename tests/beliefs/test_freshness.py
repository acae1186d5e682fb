"""Tests of who reads the store."""

import unittest

from siskinbank.beliefs.freshness import (
    StoreReturn,
    hosts_patience_s,
    operator_patience_s,
    pause_after_failures_s,
    rank_of,
    sidecar_reads,
)

# From a host's word to its effect everywhere.
_ALLOWED_S = 3


class TestStoreReturn(unittest.TestCase):
    """When a missing entry says that its host is gone."""

    def test_not_soon_after_the_store_was_away(self) -> None:
        """Lapsed entries take two seconds to be back."""
        back = StoreReturn()
        self.assertFalse(back.trusts_absence(100))
        back.note_read(100, -1e9)
        self.assertFalse(back.trusts_absence(102))
        self.assertTrue(back.trusts_absence(102.4))
        back.note_read(110, 105)
        self.assertFalse(back.trusts_absence(111))

    def test_a_process_that_left_the_reading_to_others(self) -> None:
        """They saw the store all the time."""
        back = StoreReturn()
        back.note_read(100, -1e9)
        back.note_read(140, 139.5)
        self.assertTrue(back.trusts_absence(140))


class TestPatience(unittest.TestCase):
    """One reader at a time, and the next in time."""

    def test_ranks(self) -> None:
        """By address among those that live."""
        self.assertEqual(rank_of(b'b', [b'a', b'c']), 1)
        self.assertEqual(rank_of(b'a', []), 0)

    def test_the_next_reader_waits_for_the_first(self) -> None:
        """Word of a read takes a quarter second to go round."""
        for rank in range(1, 30):
            longer = hosts_patience_s(rank) - hosts_patience_s(0)
            self.assertGreaterEqual(longer, 0.25)
            self.assertGreaterEqual(operator_patience_s(rank), 1.25)

    def test_two_dead_readers_are_replaced_in_time(self) -> None:
        """The third reads before what it knows is too old."""
        for patience in (hosts_patience_s, operator_patience_s):
            self.assertLessEqual(patience(2) + 0.25, _ALLOWED_S - 1)

    def test_sidecars_leave_the_store_to_entries(self) -> None:
        """Replay: 20 s from the start, told every second or not at all."""
        for told, most in ((True, 0), (False, 10)):
            reads = 0
            seen, heard = -1e9, -1e9
            for step in range(200):
                now = 100 + step / 10
                heard = float(int(now)) if told else heard
                if sidecar_reads(now, 100, heard, seen):
                    reads += 1
                    seen = now
            self.assertLessEqual(reads, most)
        self.assertFalse(sidecar_reads(100.9, 100, -1e9, -1e9))
        self.assertTrue(sidecar_reads(101.2, 100, -1e9, -1e9))

    def test_a_store_that_is_down_is_asked_less_and_less(self) -> None:
        """But at least once a second by the first reader."""
        pauses = [pause_after_failures_s(count, 0) for count in range(9)]
        self.assertEqual(pauses[0], 0)
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[-1], 1)
        self.assertGreaterEqual(pause_after_failures_s(9, 3), pauses[-1])
