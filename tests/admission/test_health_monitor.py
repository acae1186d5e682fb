"""Tests of the health monitor with failures and wrong or late reports."""

import unittest

from siskinbank.admission.health_monitor import (
    Health,
    HealthMonitor,
    LoadReport,
    Verdict,
)
from siskinbank.kernel.clock import FakeClock

STEP_SECONDS = 0.3
SILENT = LoadReport(Health.silent)
BAD = LoadReport(Health.bad)
STEPS = 100


def report(incarnation: int, uptime: float | None = None) -> LoadReport:
    """Return a good report."""
    return LoadReport(Health.good, str(incarnation), uptime)


class TestHealthMonitor(unittest.TestCase):
    """Verdicts from answers and reports."""

    def setUp(self) -> None:
        """Create a monitor that has seen good answers for a while."""
        self.clock = FakeClock()
        self.verdicts: list[Verdict] = []
        self.health_monitor = HealthMonitor(
            self.clock, self.verdicts.append, 60
        )
        for _ in range(20):
            self.step(report(1))

    def step(self, reported: LoadReport, seconds: float = 0.005) -> None:
        """Advance the clock and note one answer and one report."""
        self.clock.advance(STEP_SECONDS)
        self.health_monitor.note_answer(seconds)
        self.health_monitor.note_report(reported)

    def test_signs(self) -> None:
        """Each sign is detected within a second of its first occurrence."""
        cases = {
            'incarnation': [(report(2), 0.005)],
            'uptime': [(report(1, 500), 0.005), (report(1, 1), 0.005)],
            'slow answers': [(report(1), 0.4), (report(1), 0.4)],
            'cold report': [(LoadReport(Health.cold), 0.005)],
        }
        for name, seen in cases.items():
            with self.subTest(name):
                self.setUp()
                for reported, seconds in seen:
                    self.step(reported, seconds)
                self.assertEqual(self.verdicts, [Verdict.cold])

    def test_failures(self) -> None:
        """Failed connections block; the first answer starts from cold."""
        for _ in range(3):
            self.health_monitor.note_failure()
        self.health_monitor.note_report(report(1))
        self.health_monitor.note_answer(0.005)
        self.assertEqual(
            self.verdicts,
            [
                Verdict.trouble,
                Verdict.trouble,
                Verdict.unreachable,
                Verdict.back,
            ],
        )

    def test_bad_answers(self) -> None:
        """Server errors count, whatever the report says."""
        for _ in range(10):
            self.health_monitor.note_answer(0.005, good=False)
        self.assertIn(Verdict.cold, self.verdicts)

    def test_failed_requests(self) -> None:
        """Failing requests are a sign, even if probes succeed."""
        for bad, wanted in ((2, Verdict.trouble), (20, Verdict.cold)):
            with self.subTest(bad):
                self.setUp()
                for number in range(bad + 4):
                    self.health_monitor.note_result(good=number >= bad)
                self.assertIn(wanted, self.verdicts)

    def test_failed_requests_do_not_restore_reachability(self) -> None:
        """A failed request does not make a dead upstream reachable."""
        for _ in range(3):
            self.health_monitor.note_failure()
        self.health_monitor.note_result(good=False)
        self.assertTrue(self.health_monitor.unreachable)
        self.assertNotIn(Verdict.back, self.verdicts)

    def test_contradicted_reports_are_ignored(self) -> None:
        """Claims that good answers contradict count three times at most."""
        for name, reported in (
            ('hangs', [SILENT]),
            ('reports bad', [BAD]),
            ('flaps', [report(2), report(1)]),
        ):
            with self.subTest(name):
                self.setUp()
                for number in range(STEPS):
                    self.step(reported[number % len(reported)])
                acted = [
                    verdict
                    for verdict in self.verdicts
                    if verdict is not Verdict.distrusted
                ]
                self.assertLessEqual(len(acted), 3)
                self.assertEqual(self.verdicts.count(Verdict.distrusted), 1)

    def test_late_report_is_ignored(self) -> None:
        """A report that lags does not start a second warm-up."""
        self.step(report(1), 0.4)
        self.step(report(1), 0.4)
        for _ in range(10):
            self.step(report(1))
        self.step(report(2))
        self.assertEqual(self.verdicts, [Verdict.cold])

    def test_turns_cold_twice(self) -> None:
        """A second restart right after the first one counts too."""
        self.step(report(2))
        self.step(report(3))
        self.assertEqual(self.verdicts, [Verdict.cold, Verdict.cold])
