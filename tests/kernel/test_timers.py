"""Tests of the timer service."""

import unittest

from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.timers import TimerService


class TestTimerService(unittest.TestCase):
    """Subscriptions on a fake clock."""

    def setUp(self) -> None:
        """Make a service that stands still."""
        self.clock = FakeClock()
        self.timers = TimerService(self.clock)
        self.calls: list[float] = []

    def note(self) -> None:
        """Note when the callback was called."""
        self.calls.append(self.clock.now)

    def test_every_calls_each_period(self) -> None:
        """A periodic subscriber is called once a period."""
        self.timers.every(2, self.note)
        for _ in range(5):
            self.clock.advance(1)
            self.timers.run_due()
        self.assertEqual(self.calls, [2, 4])

    def test_late_wake_calls_once(self) -> None:
        """A long pause does not make up for missed periods."""
        self.timers.every(1, self.note)
        self.clock.advance(100)
        self.timers.run_due()
        self.assertEqual(self.calls, [100])

    def test_cancelled_is_not_called(self) -> None:
        """A cancelled subscription stays silent."""
        subscription = self.timers.after(1, self.note)
        subscription.cancel()
        self.clock.advance(5)
        self.timers.run_due()
        self.assertEqual(self.calls, [])

    def test_rejects_bad_interval(self) -> None:
        """An interval must be positive."""
        for interval in (0, -1):
            with self.subTest(interval), self.assertRaises(ValueError):
                self.timers.every(interval, self.note)

    def test_tells_time_to_next(self) -> None:
        """The service says how long it may sleep."""
        self.timers.after(3, self.note)
        self.assertEqual(self.timers.run_due(), 3)
