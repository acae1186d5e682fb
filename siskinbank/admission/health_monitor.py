"""Passive health checking of an upstream, backed by its own load reports."""

import enum
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from siskinbank.kernel.clock import Clock

__all__ = ('Health', 'HealthMonitor', 'LoadReport', 'Verdict')

#: Failures in a row after which the upstream counts as unreachable.
_UNREACHABLE_FAILURES = 3
#: Seconds over which answers are evaluated.
_WINDOW_SECONDS = 1.0
#: Fewest answers in that time for which the share of failures is evaluated.
_MIN_ANSWERS = 3
#: Shares of failures that are a sign of trouble or of a cold upstream.
_TROUBLE_FAILED_SHARE = 0.2
_COLD_FAILED_SHARE = 0.5
#: Answers slower than usual by these factors are a sign of trouble or of a
#: cold upstream.
_TROUBLE_SLOW_FACTOR = 3.0
_COLD_SLOW_FACTOR = 6.0
#: Seconds beyond that by which an answer must be slower to be a sign: shorter
#: delays occur on any busy machine.
_NOISE_SECONDS = 0.02
#: Slow answers in a row that are a sign.
_MIN_SLOW_ANSWERS = 2
#: Weight of the newest answer in the usual response time.
_USUAL_TIME_WEIGHT = 0.02
#: Seconds by which a reported uptime may decrease without counting as a
#: restart.
_UPTIME_SLACK_SECONDS = 1.0
#: Claims of load reports (a restart or trouble) that are acted upon while the
#: answers contradict them.
_MAX_UNCONFIRMED_CLAIMS = 3
#: Seconds by which a report may lag behind what the answers show.
_REPORT_LAG_SECONDS = 15.0


class Verdict(enum.StrEnum):
    """A conclusion about an upstream; the values are reasons in the metrics.

    ``back``: an unreachable upstream answers again; ``distrusted``: claims of
    its load reports are ignored.
    """

    trouble = 'trouble'
    cold = 'cold'
    unreachable = 'unreachable'
    back = 'back'
    distrusted = 'report-distrusted'


class Health(enum.StrEnum):
    """Result of a request to a health endpoint."""

    good = 'good'
    cold = 'cold'
    bad = 'bad'
    silent = 'silent'


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream reports about itself.

    ``incarnation`` changes with each start, ``uptime`` is in seconds; both are
    None when the upstream does not report them.
    """

    health: Health = Health.good
    incarnation: str | None = None
    uptime: float | None = None


class HealthMonitor:
    """Turns answers, failures and reports of an upstream into verdicts.

    A report can only lower the limit. What raises the limit is time and good
    answers, so an endpoint whose reports are wrong, late or missing does not
    get the upstream more load than it can handle. A claim of a report (that the
    upstream is cold or in trouble) which the answers contradict is acted upon
    a few times and then ignored until the answers confirm it.
    """

    def __init__(
        self,
        clock: Clock,
        on_verdict: Callable[[Verdict], None],
        claim_window_seconds: float,
    ) -> None:
        """Create a monitor that has seen no answers yet.

        Args:
            clock: the time in seconds.
            on_verdict: called with each verdict.
            claim_window_seconds: twice the warm-up; the time after which
                claims that no answer confirmed are acted upon again.
        """
        self._clock = clock
        self._on_verdict = on_verdict
        self._claim_window_seconds = claim_window_seconds
        self._answers: deque[tuple[float, bool]] = deque()
        self._failures = 0
        self._slow_in_a_row = 0
        self._usual_seconds: float | None = None
        self._unreachable = False
        self._report: LoadReport | None = None
        self._claims: deque[float] = deque()
        self._reports_distrusted = False
        self._cold_at = float('-inf')
        self._warm_at = float('-inf')

    @property
    def unreachable(self) -> bool:
        """Whether the upstream does not answer at all."""
        return self._unreachable

    def note_cold(self) -> None:
        """Note that the upstream counts as cold, whatever its report says."""
        self._cold_at = self._clock()
        self._warm_at = self._cold_at + self._claim_window_seconds / 2

    def note_answer(self, seconds: float, *, good: bool = True) -> None:
        """Note an answer to a probe or request and the time it took."""
        self._failures = 0
        self._record_answer(good)
        if self._unreachable:
            self._unreachable = False
            self._clear_answers()
            self.note_cold()
            self._on_verdict(Verdict.back)
            return
        self._check_failures()
        self._check_response_time(seconds)

    def note_result(self, *, good: bool) -> None:
        """Note how a request ended.

        The duration is not evaluated, as it depends on what was requested.
        """
        self._record_answer(good)
        if not self._unreachable:
            self._check_failures()

    def note_failure(self) -> None:
        """Note a refused or reset connection, or one that timed out."""
        self._failures += 1
        self._record_answer(good=False)
        if self._unreachable:
            return
        if self._failures >= _UNREACHABLE_FAILURES:
            self._unreachable = True
            self._on_verdict(Verdict.unreachable)
        else:
            self._on_verdict(Verdict.trouble)

    def note_report(self, report: LoadReport) -> None:
        """Note a load report of the upstream."""
        previous = self._report
        if report.health is not Health.silent:
            self._report = report
        if previous is not None and self._reports_restart(previous, report):
            self._handle_claim(Verdict.cold)
        elif report.health is Health.cold:
            self._handle_cold_report(previous)
        elif report.health is not Health.good:
            self._handle_claim(Verdict.trouble)

    def _handle_cold_report(self, previous: LoadReport | None) -> None:
        if previous is None or previous.health is not Health.cold:
            self._handle_claim(Verdict.cold)

    def _reports_restart(
        self, previous: LoadReport, report: LoadReport
    ) -> bool:
        if report.health is Health.silent:
            return False
        if None not in {previous.incarnation, report.incarnation}:
            if previous.incarnation != report.incarnation:
                return True
        if previous.uptime is None or report.uptime is None:
            return False
        # A lagging endpoint repeats old values; after a restart the uptime
        # starts at zero.
        return report.uptime + _UPTIME_SLACK_SECONDS < previous.uptime

    def _handle_claim(self, verdict: Verdict) -> None:
        now = self._clock()
        if (
            verdict is Verdict.cold
            and now - self._cold_at < _REPORT_LAG_SECONDS
        ):
            # Most likely a late report of what the answers showed before.
            self._cold_at = float('-inf')
            return
        claims = self._claims
        while claims and now - claims[0] > self._claim_window_seconds:
            claims.popleft()
        claims.append(now)
        if len(claims) > _MAX_UNCONFIRMED_CLAIMS and self._answers_are_good():
            claims.popleft()
            if not self._reports_distrusted:
                self._reports_distrusted = True
                self._on_verdict(Verdict.distrusted)
            return
        self._reports_distrusted = False
        self._on_verdict(verdict)

    def _answers_are_good(self) -> bool:
        self._drop_old_answers()
        return bool(self._answers) and all(good for _at, good in self._answers)

    def _check_failures(self) -> None:
        self._drop_old_answers()
        count = len(self._answers)
        failed = sum(not good for _at, good in self._answers)
        if count < _MIN_ANSWERS:
            return
        if failed >= count * _COLD_FAILED_SHARE:
            self.note_cold()
            self._on_verdict(Verdict.cold)
            self._answers.clear()
        elif failed >= count * _TROUBLE_FAILED_SHARE:
            self._on_verdict(Verdict.trouble)

    def _check_response_time(self, seconds: float) -> None:
        if self._clock() < self._warm_at:
            # Slow answers are expected of a cold upstream, whose limit is low
            # already.
            return
        usual = self._usual_seconds
        if usual is None:
            self._usual_seconds = seconds
            return
        if seconds <= usual * _TROUBLE_SLOW_FACTOR + _NOISE_SECONDS:
            self._slow_in_a_row = 0
            self._usual_seconds = usual + (seconds - usual) * _USUAL_TIME_WEIGHT
            return
        # Slow answers raise the usual time too, but gradually, so that a
        # lasting change is not treated as trouble for ever.
        self._usual_seconds = usual + usual * _USUAL_TIME_WEIGHT
        self._slow_in_a_row += 1
        if self._slow_in_a_row < _MIN_SLOW_ANSWERS:
            return
        if seconds <= usual * _COLD_SLOW_FACTOR + _NOISE_SECONDS:
            self._on_verdict(Verdict.trouble)
        elif self._slow_in_a_row == _MIN_SLOW_ANSWERS:
            self.note_cold()
            self._on_verdict(Verdict.cold)
        else:
            self._on_verdict(Verdict.trouble)

    def _record_answer(self, good: bool) -> None:
        self._answers.append((self._clock(), good))

    def _drop_old_answers(self) -> None:
        oldest = self._clock() - _WINDOW_SECONDS
        while self._answers and self._answers[0][0] < oldest:
            self._answers.popleft()

    def _clear_answers(self) -> None:
        self._answers.clear()
        self._slow_in_a_row = 0
