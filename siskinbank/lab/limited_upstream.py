"""A fake upstream with a connection limit, monitored by its sidecar."""

from collections import deque
from dataclasses import dataclass, field

from siskinbank.admission.health_monitor import Health, LoadReport
from siskinbank.config.site import Address
from siskinbank.lab.pool import FakeUpstream, Pool, PoolSidecar
from siskinbank.wire.packets import InnerPacket

__all__ = (
    'CallerEndpoint',
    'LimitedUpstream',
    'add_monitored_sidecar',
    'has_flow',
    'host_name',
    'monitored_sidecar_address',
)

#: The caller's packed IPv4 address and port, by which an upstream tells its
#: flows apart.
CallerEndpoint = tuple[bytes, int]

_RATE_WINDOW_SECONDS = 1.0
_HEALTH_CHECK_SECONDS = 0.3
_HOSTS_PER_SUBNET = 250
_RESPONSE_SECONDS = 0.004
_COLD_RESPONSE_SECONDS = 0.2
#: The upstream collapses above this multiple of its connection limit.
_COLLAPSE_FACTOR = 1.5
_COLLAPSE_SECONDS = 5.0


@dataclass(slots=True)
class LimitedUpstream(FakeUpstream):
    """A fake upstream that counts how often its connection limit is exceeded.

    The limit rises from ``cold_connections`` after a start to
    ``full_connections`` after the warm-up. During the warm-up the same limit
    also applies to the number of new connections per second.

    Attributes:
        full_connections: connection limit after the warm-up.
        cold_connections: connection limit right after a start.
        warm_up_seconds: duration of the warm-up.
        can_collapse: whether it collapses under overload.
        open_flows: time of the last packet of each open flow.
        cold_since: time when it last turned cold.
        counted_from: time from which an excess is counted; the sidecar cannot
            prevent an earlier one.
        incarnation: number of the current run.
        report_unavailable: whether its load endpoint never answers.
        report_lag_seconds: time after a restart during which the load
            endpoint still reports the previous incarnation.
        reports_zero: whether the load endpoint always reports no load.
        excess: number of packets received while its connection limit was
            exceeded.
        burst_excess: number of new connections beyond the limit on new
            connections per second, during the warm-up.
        collapse_count: number of collapses.
        down_until: time until which it does not answer.
        abandoned_flows: flows that it dropped.
        open_times: times of new connections.
    """

    full_connections: int = 2000
    cold_connections: int = 100
    warm_up_seconds: float = 30
    can_collapse: bool = False
    open_flows: dict[CallerEndpoint, float] = field(default_factory=dict)
    cold_since: float = 0
    counted_from: float = 0
    incarnation: int = 1
    report_unavailable: bool = False
    report_lag_seconds: float = 10
    reports_zero: bool = False
    excess: int = 0
    burst_excess: int = 0
    collapse_count: int = 0
    down_until: float = 0
    abandoned_flows: set[CallerEndpoint] = field(default_factory=set)
    open_times: list[float] = field(default_factory=list)
    _recent_opens: deque[float] = field(default_factory=deque)

    def connection_limit(self, now: float) -> int:
        """Return the current connection limit."""
        elapsed = now - self.cold_since
        if elapsed >= self.warm_up_seconds:
            return self.full_connections
        return self.cold_connections + int(
            (self.full_connections - self.cold_connections)
            * elapsed
            / self.warm_up_seconds
        )

    def turn_cold(self, now: float, counted_from: float) -> None:
        """Turn cold without notice; all flows stay open."""
        self.cold_since = now
        self.counted_from = counted_from
        self.incarnation += 1

    def is_up(self, now: float) -> bool:
        """Return whether it answers."""
        return now >= self.down_until

    def response_seconds(self, now: float) -> float:
        """Return the response time in seconds.

        It is longer during the first half of the warm-up, except in the first
        incarnation.
        """
        is_cold = now - self.cold_since < self.warm_up_seconds / 2 and (
            self.incarnation > 1
        )
        return _COLD_RESPONSE_SECONDS if is_cold else _RESPONSE_SECONDS

    def report(self, now: float) -> LoadReport:
        """Return the answer of its load endpoint, if any; it may be outdated."""
        if self.report_unavailable or not self.is_up(now):
            return LoadReport(Health.silent)
        if self.reports_zero:
            return LoadReport(Health.good, '0', 0)
        is_late = now - self.cold_since < self.report_lag_seconds
        if is_late and self.incarnation > 1:
            return LoadReport(Health.good, str(self.incarnation - 1))
        return LoadReport(Health.good, str(self.incarnation))

    def receive(self, packet: InnerPacket, now: float) -> None:
        """Receive one packet and count it if it exceeds a limit."""
        if not self.is_up(now):
            return
        FakeUpstream.receive(self, packet, now)
        flow = (packet.source, packet.source_port)
        if packet.closing or packet.is_reset:
            self.open_flows.pop(flow, None)
            return
        is_new = flow not in self.open_flows
        if is_new and not packet.may_open:
            # A real upstream answers a packet of an unknown flow with a reset.
            return
        self.open_flows[flow] = now
        if packet.may_open and is_new:
            self.open_times.append(now)
            self._check_open_rate(now)
        self._check_limit(now)

    def count_active_flows(self, now: float) -> int:
        """Return the number of flows with a packet since ``counted_from``."""
        if not self.counted_from:
            return len(self.open_flows)
        return sum(
            last_seen >= self.counted_from
            for last_seen in self.open_flows.values()
        )

    def collapse(self, now: float) -> None:
        """Drop all flows, stop answering for 5 seconds and restart cold."""
        self.collapse_count += 1
        self.abandon_flows()
        self.down_until = now + _COLLAPSE_SECONDS
        self.turn_cold(self.down_until, self.down_until)

    def abandon_flows(self) -> None:
        """Drop all flows and record them as abandoned."""
        self.abandoned_flows.update(self.open_flows)
        self.open_flows.clear()
        self.flows.clear()

    def _check_limit(self, now: float) -> None:
        if now < self.counted_from:
            return
        active_count = self.count_active_flows(now)
        if active_count > self.connection_limit(now):
            self.excess += 1
        if (
            self.can_collapse
            and active_count > self.connection_limit(now) * _COLLAPSE_FACTOR
        ):
            self.collapse(now)

    def _check_open_rate(self, now: float) -> None:
        recent_opens = self._recent_opens
        recent_opens.append(now)
        while recent_opens and recent_opens[0] <= now - _RATE_WINDOW_SECONDS:
            recent_opens.popleft()
        if self.connection_limit(now) < self.full_connections and len(
            recent_opens
        ) > self.connection_limit(now):
            self.burst_excess += 1


def add_monitored_sidecar(
    pool: Pool,
    number: int,
    upstream: LimitedUpstream,
) -> PoolSidecar:
    """Start a sidecar with regular health checks of ``upstream``."""
    sidecar = pool.add_sidecar(
        host_name(number),
        monitored_sidecar_address(number),
        upstream,
    )

    def check_health() -> None:
        admission = sidecar.context.admission
        if admission is None:
            return
        now = pool.clock.now
        if upstream.is_up(now):
            admission.health_monitor.note_answer(upstream.response_seconds(now))
        else:
            admission.health_monitor.note_failure()
        admission.health_monitor.note_report(upstream.report(now))

    sidecar.process.timers.every(
        _HEALTH_CHECK_SECONDS, check_health, jitter=0.1
    )
    return sidecar


def has_flow(upstream: FakeUpstream, flow: CallerEndpoint) -> bool:
    """Return whether ``upstream`` has ``flow`` open."""
    return isinstance(upstream, LimitedUpstream) and flow in upstream.open_flows


def host_name(number: int) -> str:
    """Return the name of a host."""
    return f'matcher-{number}'


def monitored_sidecar_address(number: int) -> Address:
    """Return the address of the sidecar of a host."""
    subnet, low = divmod(number, _HOSTS_PER_SUBNET)
    return f'10.0.{subnet}.{low + 1}', 7100
