"""An upstream that bears only so much, and what it got above that."""

from collections import deque
from dataclasses import dataclass, field

from siskinbank.admission.health_monitor import Health, LoadReport
from siskinbank.config.site import Address
from siskinbank.lab.pool import FakeUpstream, Pool, PoolSidecar
from siskinbank.wire.packets import InnerPacket

__all__ = (
    'BearingUpstream',
    'OpenFlow',
    'add_bearing',
    'has_flow',
    'host_address',
    'host_name',
)

#: A flow as its upstream knows it: the caller's address and port.
OpenFlow = tuple[bytes, int]

_SECOND = 1.0
_WATCH_SECONDS = 0.3
_HOSTS_A_BLOCK = 250
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
    report_lag: float = 10
    says_zero: bool = False
    excess: int = 0
    burst_excess: int = 0
    collapsed: int = 0
    down_until: float = 0
    given_up: set[OpenFlow] = field(default_factory=set)
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
        is_cold = now - self.cold_since < self.warm_up / 2 and (
            self.incarnation > 1
        )
        return _COLD_ANSWER_SECONDS if is_cold else _ANSWER_SECONDS

    def report(self, now: float) -> LoadReport:
        """Return what its endpoint says, silent or late where it is told so."""
        if self.report_is_silent or not self.is_up(now):
            return LoadReport(Health.silent)
        if self.says_zero:
            return LoadReport(Health.good, '0', 0)
        lags = now - self.cold_since < self.report_lag
        if lags and self.incarnation > 1:
            return LoadReport(Health.good, str(self.incarnation - 1))
        return LoadReport(Health.good, str(self.incarnation))

    def receive(self, packet: InnerPacket, now: float) -> None:
        """Take one packet; count it where it is too much."""
        if not self.is_up(now):
            return
        FakeUpstream.receive(self, packet, now)
        flow = (packet.source, packet.source_port)
        if packet.closing or packet.last:
            self.open.pop(flow, None)
            return
        is_new = flow not in self.open
        if is_new and not packet.may_open:
            # It answers with a reset: nothing is open for this packet.
            return
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

    def collapse(self, now: float) -> None:
        """Answer nothing for a while, then start again from cold."""
        self.collapsed += 1
        self.give_up()
        self.down_until = now + _COLLAPSE_SECONDS
        self.turn_cold(self.down_until, self.down_until)

    def give_up(self) -> None:
        """Forget all flows; their callers notice."""
        self.given_up.update(self.open)
        self.open.clear()
        self.flows.clear()

    def _judge(self, now: float) -> None:
        if now < self.judged_from:
            return
        served = self.served(now)
        if served > self.bears(now):
            self.excess += 1
        if self.collapses and served > self.bears(now) * _COLLAPSE_SHARE:
            self.collapse(now)

    def _judge_burst(self, now: float) -> None:
        recent = self._recent
        recent.append(now)
        while recent and recent[0] <= now - _SECOND:
            recent.popleft()
        if self.bears(now) < self.full and len(recent) > self.bears(now):
            self.burst_excess += 1


def add_bearing(
    pool: Pool,
    number: int,
    upstream: BearingUpstream,
) -> PoolSidecar:
    """Start a sidecar that watches an upstream, and return it."""
    sidecar = pool.add_sidecar(
        host_name(number),
        host_address(number),
        upstream,
    )

    def watch() -> None:
        admission = sidecar.context.admission
        if admission is None:
            return
        now = pool.clock.now
        if upstream.is_up(now):
            admission.health_monitor.note_answer(upstream.answer_seconds(now))
        else:
            admission.health_monitor.note_failure()
        admission.health_monitor.note_report(upstream.report(now))

    sidecar.process.timers.every(_WATCH_SECONDS, watch, jitter=0.1)
    return sidecar


def has_flow(upstream: FakeUpstream, flow: OpenFlow) -> bool:
    """Whether an upstream has a flow open."""
    return isinstance(upstream, BearingUpstream) and flow in upstream.open


def host_name(number: int) -> str:
    """Return a host's name."""
    return f'matcher-{number}'


def host_address(number: int) -> Address:
    """Return the address of a host's sidecar."""
    block, low = divmod(number, _HOSTS_A_BLOCK)
    return f'10.0.{block}.{low + 1}', 7100
