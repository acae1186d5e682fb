"""Tests of the pace of greetings."""

import unittest

from siskinbank.relay.greetings import LOOK_S, GreetingPace

PERIOD_S = 1.0
STARTED = 100


class TestPace(unittest.TestCase):
    """Load pattern: all processes start within a second."""

    def test_a_process_that_comes_up_late_is_met_soon(self) -> None:
        """Replay: it is up 0.05 s to 1.5 s after the first greeting."""
        for late_ms in range(50, 1500, 50):
            pace = GreetingPace(STARTED, PERIOD_S)
            up = STARTED + late_ms / 1000
            now: float = STARTED
            while not (pace.is_due(now) and now >= up):
                now += LOOK_S
            self.assertLessEqual(now - up, LOOK_S + 0.001)

    def test_old_processes_greet_seldom(self) -> None:
        """Who is dead gets few datagrams."""
        pace = GreetingPace(STARTED, PERIOD_S)
        looks = [STARTED + 10 + step * LOOK_S for step in range(100)]
        self.assertLessEqual(sum(map(pace.is_due, looks)), 11)
