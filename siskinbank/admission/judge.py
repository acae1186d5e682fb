"""Judge an upstream by its answers first and by its own word second."""

import enum
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from siskinbank.kernel.clock import Clock

__all__ = ('Health', 'LoadReport', 'UpstreamJudge', 'Verdict')

#: Failures in a row after which the upstream counts as unreachable.
_UNREACHABLE_FAILURES = 3
#: Seconds over which answers are judged.
_WINDOW_SECONDS = 1.0
_MIN_ANSWERS = 3
_TROUBLE_FAILED = 0.2
_COLD_FAILED = 0.5
#: Answers this many times slower than usual are a sign.
_TROUBLE_SLOWER = 3.0
_COLD_SLOWER = 6.0
#: Seconds below which slower answers are no sign: a busy machine's noise.
_NOISE_SECONDS = 0.02
_SLOW_ANSWERS = 2
_USUAL_WEIGHT = 0.02
#: Seconds by which an uptime may fall behind before it counts as a restart.
_UPTIME_SLACK_SECONDS = 1.0
#: Restarts that a report may claim without any other sign.
_MAX_CLAIMS = 3
#: Seconds by which a report may lag behind what the answers show.
_LATE_SECONDS = 15.0


class Verdict(enum.StrEnum):
    """What was concluded of an upstream; the counter's reasons."""

    trouble = 'trouble'
    cold = 'cold'
    unreachable = 'unreachable'
    back = 'back'
    distrusted = 'report-distrusted'


class Health(enum.StrEnum):
    """What a health endpoint says."""

    good = 'good'
    cold = 'cold'
    bad = 'bad'
    silent = 'silent'


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream says of itself.

    ``incarnation`` changes with each start, ``uptime`` is in seconds; both are
    None when the upstream does not say.
    """

    health: Health = Health.good
    incarnation: str | None = None
    uptime: float | None = None


class UpstreamJudge:
    """Turns what is seen of an upstream into verdicts.

    A report can only make the sidecar careful. What raises the limit is time
    and good answers, so an endpoint that lies, lags or hangs does not get the
    upstream more than it can bear. A claim that answers do not bear out is
    believed a few times and then passed over until the answers do.
    """

    def __init__(
        self,
        clock: Clock,
        conclude: Callable[[Verdict], None],
        believe_seconds: float,
    ) -> None:
        """Call ``conclude`` with each verdict.

        Args:
            clock: the time in seconds.
            conclude: is told each verdict.
            believe_seconds: twice the warm-up; the time after which claims
                that no answer bore out are believed again.
        """
        self._clock = clock
        self._conclude = conclude
        self._believe_seconds = believe_seconds
        self._answers: deque[tuple[float, bool]] = deque()
        self._failures = 0
        self._slow = 0
        self._usual: float | None = None
        self._unreachable = False
        self._report: LoadReport | None = None
        self._claims: deque[float] = deque()
        self._distrusting = False
        self._cold_at = float('-inf')
        self._warm_at = float('-inf')

    @property
    def unreachable(self) -> bool:
        """Whether the upstream answers nothing."""
        return self._unreachable

    def note_cold(self) -> None:
        """Note that the upstream counts as cold, whatever its report says."""
        self._cold_at = self._clock()
        self._warm_at = self._cold_at + self._believe_seconds / 2

    def note_answer(self, seconds: float, *, good: bool = True) -> None:
        """Note an answer to a probe or request and the time it took."""
        self._failures = 0
        self._add(good)
        if self._unreachable:
            self._unreachable = False
            self._forget_answers()
            self.note_cold()
            self._conclude(Verdict.back)
            return
        self._judge_failed()
        self._judge_time(seconds)

    def note_result(self, *, good: bool) -> None:
        """Note how a request ended.

        Its time says little, as that depends on what was asked for.
        """
        self._add(good)
        if not self._unreachable:
            self._judge_failed()

    def note_failure(self) -> None:
        """Note a refused or reset connection, or one that timed out."""
        self._failures += 1
        self._add(good=False)
        if self._unreachable:
            return
        if self._failures >= _UNREACHABLE_FAILURES:
            self._unreachable = True
            self._conclude(Verdict.unreachable)
        else:
            self._conclude(Verdict.trouble)

    def note_report(self, report: LoadReport) -> None:
        """Note what the upstream says of itself."""
        known = self._report
        if report.health is not Health.silent:
            self._report = report
        if known is not None and self._says_restarted(known, report):
            self._hear_claim(Verdict.cold)
        elif report.health is Health.cold:
            self._hear_cold(known)
        elif report.health is not Health.good:
            self._hear_claim(Verdict.trouble)

    def _hear_cold(self, known: LoadReport | None) -> None:
        if known is None or known.health is not Health.cold:
            self._hear_claim(Verdict.cold)

    def _says_restarted(self, known: LoadReport, report: LoadReport) -> bool:
        if report.health is Health.silent:
            return False
        if None not in {known.incarnation, report.incarnation}:
            if known.incarnation != report.incarnation:
                return True
        if known.uptime is None or report.uptime is None:
            return False
        # An endpoint that lags repeats itself; a restart counts from zero.
        return report.uptime + _UPTIME_SLACK_SECONDS < known.uptime

    def _hear_claim(self, verdict: Verdict) -> None:
        now = self._clock()
        if verdict is Verdict.cold and now - self._cold_at < _LATE_SECONDS:
            # Most likely the late word of what the answers showed before.
            self._cold_at = float('-inf')
            return
        claims = self._claims
        while claims and now - claims[0] > self._believe_seconds:
            claims.popleft()
        claims.append(now)
        if len(claims) > _MAX_CLAIMS and self._answers_are_good():
            claims.popleft()
            if not self._distrusting:
                self._distrusting = True
                self._conclude(Verdict.distrusted)
            return
        self._distrusting = False
        self._conclude(verdict)

    def _answers_are_good(self) -> bool:
        self._drop_old()
        return bool(self._answers) and all(good for _at, good in self._answers)

    def _judge_failed(self) -> None:
        self._drop_old()
        count = len(self._answers)
        failed = sum(not good for _at, good in self._answers)
        if count < _MIN_ANSWERS:
            return
        if failed >= count * _COLD_FAILED:
            self.note_cold()
            self._conclude(Verdict.cold)
            self._answers.clear()
        elif failed >= count * _TROUBLE_FAILED:
            self._conclude(Verdict.trouble)

    def _judge_time(self, seconds: float) -> None:
        if self._clock() < self._warm_at:
            # It is slow because it is cold, and gets little for that already.
            return
        usual = self._usual
        if usual is None:
            self._usual = seconds
            return
        if seconds <= usual * _TROUBLE_SLOWER + _NOISE_SECONDS:
            self._slow = 0
            self._usual = usual + (seconds - usual) * _USUAL_WEIGHT
            return
        # The usual time also follows slow answers, but much later, so that a
        # lasting change is not taken for trouble for ever.
        self._usual = usual + usual * _USUAL_WEIGHT
        self._slow += 1
        if self._slow < _SLOW_ANSWERS:
            return
        if seconds <= usual * _COLD_SLOWER + _NOISE_SECONDS:
            self._conclude(Verdict.trouble)
        elif self._slow == _SLOW_ANSWERS:
            self.note_cold()
            self._conclude(Verdict.cold)
        else:
            self._conclude(Verdict.trouble)

    def _add(self, good: bool) -> None:
        self._answers.append((self._clock(), good))

    def _drop_old(self) -> None:
        oldest = self._clock() - _WINDOW_SECONDS
        while self._answers and self._answers[0][0] < oldest:
            self._answers.popleft()

    def _forget_answers(self) -> None:
        self._answers.clear()
        self._slow = 0
