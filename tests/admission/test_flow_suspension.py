"""Tests of the suspension of flows when the upstream turns cold."""

import unittest

from siskinbank.admission.flow_suspension import FlowSuspension
from siskinbank.admission.limit import ClimbingLimit
from siskinbank.kernel.clock import FakeClock

FLOWS = range(100)
COLD = 10


class TestFlowSuspension(unittest.TestCase):
    """Open flows resume as the limit climbs; none is lost."""

    def setUp(self) -> None:
        """Open a hundred flows on a warm upstream."""
        self.clock = FakeClock()
        self.limit = ClimbingLimit(COLD, 200, 10, self.clock)
        self.flow_suspension = FlowSuspension(self.limit, self.clock)
        self.clock.advance(10)
        for _ in FLOWS:
            self.limit.take()

    def turn_cold(self) -> None:
        """Turn cold with all flows open."""
        self.limit.restart()
        self.flow_suspension.suspend(FLOWS)

    def admitted(self) -> int:
        """Return how many flows get a packet through."""
        return sum(
            self.flow_suspension.admits(flow, closing=False) for flow in FLOWS
        )

    def test_cold_twice(self) -> None:
        """Each time no more than the cold limit gets through at once."""
        for _ in range(2):
            self.turn_cold()
            self.assertEqual(self.admitted(), COLD)
            self.clock.advance(2)
            self.assertEqual(self.admitted(), self.limit.limit)

    def test_open_flows_go_before_new_ones(self) -> None:
        """No new flow is accepted while open flows are suspended."""
        self.turn_cold()
        self.assertFalse(self.limit.take())
        self.clock.advance(10)
        self.assertEqual(self.admitted(), len(FLOWS))
        self.assertTrue(self.limit.take())

    def test_dead_flows_free_their_units(self) -> None:
        """Flows that stay silent count as ended; they may still resume."""
        self.turn_cold()
        self.clock.advance(11)
        self.flow_suspension.sweep()
        self.assertEqual(self.limit.room, 200)
        self.assertTrue(self.flow_suspension.admits(FLOWS[0], closing=False))

    def test_closing_flow_frees_its_unit(self) -> None:
        """After the caller's last data a short silence frees the unit."""
        self.assertTrue(self.flow_suspension.admits(FLOWS[0], closing=True))
        self.clock.advance(3)
        self.flow_suspension.sweep()
        self.assertEqual(self.limit.in_use, len(FLOWS) - 1)
        self.assertTrue(self.flow_suspension.admits(FLOWS[0], closing=False))
        self.assertEqual(self.limit.in_use, len(FLOWS))

    def test_removes_flows_that_are_gone(self) -> None:
        """No state is left of flows that are no longer owned."""
        self.turn_cold()
        self.flow_suspension.keep_only(())
        self.assertEqual(
            (len(self.flow_suspension), self.limit.suspended), (0, 0)
        )
