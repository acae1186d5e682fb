"""Tests of the timer service."""

import unittest

from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.timers import TimerService


class TestTimerService(unittest.TestCase):
    """Tests of subscriptions on a fake clock."""

    def setUp(self) -> None:
        """Create a service on a fake clock."""
        self.clock = FakeClock()
        self.timers = TimerService(self.clock)
        self.calls: list[float] = []

    def record_call(self) -> None:
        """Record the time of a call."""
        self.calls.append(self.clock.now)

    def test_every_calls_each_period(self) -> None:
        """A periodic callback is called once per period."""
        self.timers.every(2, self.record_call)
        for _ in range(5):
            self.clock.advance(1)
            self.timers.run_due()
        self.assertEqual(self.calls, [2, 4])

    def test_late_run_calls_once(self) -> None:
        """After a long pause a periodic callback is called only once."""
        self.timers.every(1, self.record_call)
        self.clock.advance(100)
        self.timers.run_due()
        self.assertEqual(self.calls, [100])

    def test_cancelled_is_not_called(self) -> None:
        """The callback of a cancelled subscription is not called."""
        subscription = self.timers.after(1, self.record_call)
        subscription.cancel()
        self.clock.advance(5)
        self.timers.run_due()
        self.assertEqual(self.calls, [])

    def test_failing_callback(self) -> None:
        """An error of a callback is reported; all callbacks go on."""
        errors: list[Exception] = []
        self.timers.on_error = errors.append
        self.timers.every(1, self._fail)
        self.timers.every(1, self.record_call)
        for _ in range(3):
            self.clock.advance(1)
            self.timers.run_due()
        self.assertEqual(self.calls, [1, 2, 3])
        self.assertEqual(len(errors), 3)

    def test_rejects_bad_interval(self) -> None:
        """The interval must be positive."""
        for interval in (0, -1):
            with self.subTest(interval), self.assertRaises(ValueError):
                self.timers.every(interval, self.record_call)

    def test_run_due_returns_delay(self) -> None:
        """``run_due`` returns the seconds until the next callback."""
        self.timers.after(3, self.record_call)
        self.assertEqual(self.timers.run_due(), 3)

    def _fail(self) -> None:
        raise KeyError('x')
