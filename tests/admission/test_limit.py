"""Tests of the climbing limit."""

import unittest

from siskinbank.admission.limit import ClimbingLimit
from siskinbank.kernel.clock import FakeClock


class TestClimbingLimit(unittest.TestCase):
    """From cold to full, and back."""

    def test_climbs_and_falls(self) -> None:
        """The limit climbs to full and falls to cold at once."""
        clock = FakeClock()
        limit = ClimbingLimit(10, 110, 10, clock)
        seen = []
        for _ in range(3):
            seen.append(limit.limit)
            clock.advance(5)
        limit.restart()
        seen.append(limit.limit)
        self.assertEqual(seen, [10, 60, 110, 10])

    def test_takes_no_more_than_the_limit(self) -> None:
        """What is over the limit is refused until something is given back."""
        limit = ClimbingLimit(2, 2, 0, FakeClock())
        self.assertEqual([limit.take() for _ in range(3)], [True, True, False])
        limit.give_back()
        self.assertTrue(limit.take())
