"""Tests of the judge: signs, lies, lags and hangs."""

import unittest

from siskinbank.admission.judge import (
    Health,
    LoadReport,
    UpstreamJudge,
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


class TestJudge(unittest.TestCase):
    """What is concluded from what is seen."""

    def setUp(self) -> None:
        """Make a judge that has seen good answers for a while."""
        self.clock = FakeClock()
        self.verdicts: list[Verdict] = []
        self.judge = UpstreamJudge(self.clock, self.verdicts.append, 60)
        for _ in range(20):
            self.step(report(1))

    def step(self, said: LoadReport, seconds: float = 0.005) -> None:
        """Let time pass, and one answer and one report come."""
        self.clock.advance(STEP_SECONDS)
        self.judge.note_answer(seconds)
        self.judge.note_report(said)

    def test_signs(self) -> None:
        """Each sign is seen within a second of its first show."""
        cases = {
            'incarnation': [(report(2), 0.005)],
            'uptime': [(report(1, 500), 0.005), (report(1, 1), 0.005)],
            'slow answers': [(report(1), 0.4), (report(1), 0.4)],
            'own word': [(LoadReport(Health.cold), 0.005)],
        }
        for name, seen in cases.items():
            with self.subTest(name):
                self.setUp()
                for said, seconds in seen:
                    self.step(said, seconds)
                self.assertEqual(self.verdicts, [Verdict.cold])

    def test_failures(self) -> None:
        """Failed connections block; the first answer starts from cold."""
        for _ in range(3):
            self.judge.note_failure()
        self.judge.note_report(report(1))
        self.judge.note_answer(0.005)
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
            self.judge.note_answer(0.005, good=False)
        self.assertIn(Verdict.cold, self.verdicts)

    def test_failed_requests(self) -> None:
        """Failing requests are a sign, beside probes that go well."""
        for bad, wanted in ((2, Verdict.trouble), (20, Verdict.cold)):
            with self.subTest(bad):
                self.setUp()
                for number in range(bad + 4):
                    self.judge.note_result(good=number >= bad)
                self.assertIn(wanted, self.verdicts)

    def test_failed_requests_bring_nothing_back(self) -> None:
        """A failed request does not make a dead upstream reachable."""
        for _ in range(3):
            self.judge.note_failure()
        self.judge.note_result(good=False)
        self.assertTrue(self.judge.unreachable)
        self.assertNotIn(Verdict.back, self.verdicts)

    def test_lies_do_not_fool_for_long(self) -> None:
        """What good answers contradict is believed three times at most."""
        for name, said in (
            ('hangs', [SILENT]),
            ('says bad', [BAD]),
            ('flaps', [report(2), report(1)]),
        ):
            with self.subTest(name):
                self.setUp()
                for number in range(STEPS):
                    self.step(said[number % len(said)])
                acted = [
                    verdict
                    for verdict in self.verdicts
                    if verdict is not Verdict.distrusted
                ]
                self.assertLessEqual(len(acted), 3)
                self.assertEqual(self.verdicts.count(Verdict.distrusted), 1)

    def test_late_word_is_heard_once(self) -> None:
        """A report that lags does not start a warm-up a second time."""
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
