"""Tests of the schedule of hellos."""

import unittest

from siskinbank.relay.hello_schedule import (
    HELLO_CHECK_INTERVAL_S,
    HelloSchedule,
)

PERIOD_S = 1.0
STARTED = 100


class TestHelloSchedule(unittest.TestCase):
    """Load pattern: all processes start within a second."""

    def test_late_peer_is_discovered_soon(self) -> None:
        """A peer that starts 0.05 s to 1.5 s after the first hello."""
        for late_ms in range(50, 1500, 50):
            schedule = HelloSchedule(STARTED, PERIOD_S)
            up_at = STARTED + late_ms / 1000
            now: float = STARTED
            while not (schedule.is_due(now) and now >= up_at):
                now += HELLO_CHECK_INTERVAL_S
            self.assertLessEqual(now - up_at, HELLO_CHECK_INTERVAL_S + 0.001)

    def test_hellos_are_rare_after_startup(self) -> None:
        """Dead peers get few datagrams."""
        schedule = HelloSchedule(STARTED, PERIOD_S)
        checks = [
            STARTED + 10 + step * HELLO_CHECK_INTERVAL_S for step in range(100)
        ]
        self.assertLessEqual(sum(map(schedule.is_due, checks)), 11)
