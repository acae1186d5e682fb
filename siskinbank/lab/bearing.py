"""An upstream that bears only so much, and what it got above that."""

from collections import deque
from dataclasses import dataclass, field

from siskinbank.admission.judge import Health, LoadReport
from siskinbank.lab.pool import FakeUpstream
from siskinbank.wire.packets import InnerPacket

__all__ = ('BearingUpstream', 'OpenFlow', 'has_flow')

#: A flow as its upstream knows it: the caller's address and port.
OpenFlow = tuple[bytes, int]

_SECOND = 1.0
_ANSWER_SECONDS = 0.004
_COLD_ANSWER_SECONDS = 0.2
#: Above this share of what it bears the upstream collapses.
_COLLAPSE_SHARE = 1.5
_COLLAPSE_SECONDS = 5.0


@dataclass(slots=True)
class BearingUpstream(FakeUpstream):
    """Counts the moments in which it gets more than it bears.

    It bears ``cold`` connections after a start and ``full`` ones after the
    warm-up; while it is cold, also no more new ones a second. ``cold_since``
    is the last time it turned cold, ``judged_from`` the time from which an
    excess counts. What came before that is not held against the sidecar.
    """

    full: int = 2000
    cold: int = 100
    warm_up: float = 30
    collapses: bool = False
    open: dict[OpenFlow, float] = field(default_factory=dict)
    cold_since: float = 0
    judged_from: float = 0
    incarnation: int = 1
    report_is_silent: bool = False
    report_lag: float = 0
    excess: int = 0
    burst_excess: int = 0
    collapsed: int = 0
    down_until: float = 0
    lost: int = 0
    opened: list[float] = field(default_factory=list)
    _recent: deque[float] = field(default_factory=deque)

    def bears(self, now: float) -> int:
        """Return the connections that it bears now."""
        elapsed = now - self.cold_since
        if elapsed >= self.warm_up:
            return self.full
        return self.cold + int((self.full - self.cold) * elapsed / self.warm_up)

    def turn_cold(self, now: float, judged_from: float) -> None:
        """Turn cold without warning, with all flows open."""
        self.cold_since = now
        self.judged_from = judged_from
        self.incarnation += 1

    def is_up(self, now: float) -> bool:
        """Whether it answers."""
        return now >= self.down_until

    def answer_seconds(self, now: float) -> float:
        """Return the time of an answer; it is slower while cold."""
        is_cold = now - self.cold_since < self.warm_up / 2
        return _COLD_ANSWER_SECONDS if is_cold else _ANSWER_SECONDS

    def report(self, now: float) -> LoadReport:
        """Return what its endpoint says, silent or late where it is told so."""
        if self.report_is_silent or not self.is_up(now):
            return LoadReport(Health.silent)
        if now - self.cold_since < self.report_lag:
            return LoadReport(Health.good, str(self.incarnation - 1))
        return LoadReport(Health.good, str(self.incarnation))

    def receive(self, packet: InnerPacket, now: float) -> None:
        """Take one packet; count it where it is too much."""
        if not self.is_up(now):
            self.lost += 1
            return
        FakeUpstream.receive(self, packet, now)
        flow = (packet.source, packet.source_port)
        if packet.closing or packet.last:
            self.open.pop(flow, None)
            return
        is_new = flow not in self.open
        self.open[flow] = now
        if packet.may_open and is_new:
            self.opened.append(now)
            self._judge_burst(now)
        self._judge(now)

    def served(self, now: float) -> int:
        """Return the flows that sent something since they are judged."""
        if not self.judged_from:
            return len(self.open)
        return sum(seen >= self.judged_from for seen in self.open.values())

    def _judge(self, now: float) -> None:
        if now < self.judged_from:
            return
        served = self.served(now)
        if served > self.bears(now):
            self.excess += 1
        if self.collapses and served > self.bears(now) * _COLLAPSE_SHARE:
            self.collapse(now)

    def collapse(self, now: float) -> None:
        """Answer nothing for a while, then start again from cold."""
        self.collapsed += 1
        self.open.clear()
        self.flows.clear()
        self.down_until = now + _COLLAPSE_SECONDS
        self.turn_cold(self.down_until, self.down_until)

    def _judge_burst(self, now: float) -> None:
        recent = self._recent
        recent.append(now)
        while recent and recent[0] <= now - _SECOND:
            recent.popleft()
        if self.bears(now) < self.full and len(recent) > self.bears(now):
            self.burst_excess += 1


def has_flow(upstream: FakeUpstream, flow: OpenFlow) -> bool:
    """Whether an upstream has a flow open."""
    return isinstance(upstream, BearingUpstream) and flow in upstream.open
