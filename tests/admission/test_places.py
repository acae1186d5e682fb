"""Tests of the flows' places when the upstream turns cold."""

import unittest

from siskinbank.admission.limit import ClimbingLimit
from siskinbank.admission.places import FlowPlaces
from siskinbank.kernel.clock import FakeClock

FLOWS = range(100)
COLD = 10


class TestPlaces(unittest.TestCase):
    """Open flows come back as the limit climbs; none is forgotten."""

    def setUp(self) -> None:
        """Carry a hundred flows, then turn cold."""
        self.clock = FakeClock()
        self.limit = ClimbingLimit(COLD, 200, 10, self.clock)
        self.places = FlowPlaces(self.limit, self.clock)
        self.clock.advance(10)
        for _ in FLOWS:
            self.limit.take()

    def turn_cold(self) -> None:
        """Turn cold with all flows open."""
        self.limit.restart()
        self.places.suspend(FLOWS)

    def admitted(self) -> int:
        """Return how many flows get a packet through."""
        return sum(self.places.admits(flow, closing=False) for flow in FLOWS)

    def test_cold_twice(self) -> None:
        """Each time no more than the cold limit gets through at once."""
        for _ in range(2):
            self.turn_cold()
            self.assertEqual(self.admitted(), COLD)
            self.clock.advance(2)
            self.assertEqual(self.admitted(), self.limit.limit)

    def test_open_flows_go_before_new_ones(self) -> None:
        """Nothing new is taken while open flows wait."""
        self.turn_cold()
        self.assertFalse(self.limit.take())
        self.clock.advance(10)
        self.assertEqual(self.admitted(), len(FLOWS))
        self.assertTrue(self.limit.take())

    def test_dead_flows_make_room(self) -> None:
        """Flows that stay silent count as ended; they may still come back."""
        self.turn_cold()
        self.clock.advance(11)
        self.places.sweep()
        self.assertEqual(self.limit.room, 200)
        self.assertTrue(self.places.admits(FLOWS[0], closing=False))

    def test_closing_flow_gives_its_place_back(self) -> None:
        """After the caller's last data a short silence frees the place."""
        self.assertTrue(self.places.admits(FLOWS[0], closing=True))
        self.clock.advance(3)
        self.places.sweep()
        self.assertEqual(self.limit.in_use, len(FLOWS) - 1)
        self.assertTrue(self.places.admits(FLOWS[0], closing=False))
        self.assertEqual(self.limit.in_use, len(FLOWS))

    def test_forgets_what_is_gone(self) -> None:
        """Flows that are owned no more leave no trace."""
        self.turn_cold()
        self.places.keep_only(())
        self.assertEqual((len(self.places), self.limit.suspended), (0, 0))
