"""Checks of an overload drill, as functions of what was observed.

All times are in seconds on one monotonic clock.
"""

from dataclasses import dataclass, field

from siskinbank.lab.invariants import InvariantTally

__all__ = (
    'READY',
    'UNREADY',
    'Absence',
    'OverloadEvidence',
    'RequestReport',
    'check_overload',
)

#: Status of an entry in rotation, and of one that is not.
READY = 200
UNREADY = 503

# Time after an entry's death or return in which fewer than half of the live
# ones may be in rotation (docs/design/entry-rotation.md: 3.4 s), and of a probe.
_MAX_RETURN_S = 4.0
# Time for a request to reach its sidecar on a busy machine.
_IN_TRANSIT_S = 0.25
# A process has read what waited in its sockets when it runs for this long.
_READ_S = 0.05
# Requests with a target latency of 3 s can be in time for longer than this.
_IN_TIME_S = 2.0
# A sidecar that was paused reads what waits in its sockets, and one that has
# restarted learns the priority of a route with the route's next first packet.
_RECOVERY_S = 3.0
# Packets that an entry receives so long before or after an absence may be lost.
_ENTRY_MARGIN_S = 0.5
# Flows of a dead host are reset within 2 s of a packet, or later on a busy
# machine.
_MAX_RESET_S = 2.5
# Flows of a split route that are judged together: by weight a tenth goes to the
# idle service, half of 20 with a probability of 7e-6.
_SPLIT_GROUP = 20
# Time in which demand fills the slots, at first or after an entry's death.
_FILLING_S = 2.5


@dataclass(slots=True)
class RequestReport:
    """One request of a client.

    Attributes:
        name: its id.
        route: name of its route.
        opened: time when its flow was opened.
        sent: time when it was sent first.
        ended: time of the answer, the reset or the end of the client's wait.
        outcome: ``whole``, ``wrong``, ``reset`` or ``unanswered``.
        host: host that answered, or else that of the flow's last answer.
        flow_host: host of the flow's last answer, empty at first.
        copies: time and entry of each copy.
        held: whether a live host held the open flow when it was reset.
    """

    name: str
    route: str
    opened: float
    sent: float
    ended: float = 0
    outcome: str = 'unanswered'
    host: str = ''
    flow_host: str = ''
    copies: list[tuple[float, str]] = field(default_factory=list)
    held: bool = False


@dataclass(slots=True)
class Absence:
    """Time in which a process or host did not run as usual."""

    name: str
    start: float
    end: float = float('inf')


@dataclass(slots=True)
class OverloadEvidence:
    """Observations of one drill.

    Attributes:
        entries: names of the entries by address.
        idle_host: host of the nearly idle service.
        loaded_at: time when demand began to exceed the slots.
        requests: the requests that have ended.
        arrivals: time of the first arrival of each request, by host.
        samples: times of probes, with the status of each entry, 0 without one.
        absences: absences of processes and hosts.
    """

    entries: dict[str, str]
    idle_host: str
    loaded_at: float = 0
    requests: list[RequestReport] = field(default_factory=list)
    arrivals: dict[str, dict[str, float]] = field(default_factory=dict)
    samples: list[tuple[float, list[int]]] = field(default_factory=list)
    absences: list[Absence] = field(default_factory=list)

    def is_absent(self, name: str, start: float, end: float) -> bool:
        """Return whether a process was absent in a time."""
        return any(
            one.name == name and one.start <= end and start <= one.end
            for one in self.absences
        )

    def forwarded_at(self, report: RequestReport, since: float) -> float:
        """Return when a copy was sent to an entry that ran, or infinity."""
        margin = _ENTRY_MARGIN_S
        times = (
            at
            for at, ip in report.copies
            if at >= since
            and not self.is_absent(self.entries[ip], at - margin, at + margin)
        )
        return min(times, default=float('inf'))


def check_overload(evidence: OverloadEvidence) -> list[InvariantTally]:
    """Return one tally for each invariant."""
    return [
        _check_rotation(evidence),
        _check_flows(evidence),
        _check_order(evidence),
        _check_split(evidence),
        _check_ended_hosts(evidence),
    ]


def _check_rotation(evidence: OverloadEvidence) -> InvariantTally:
    tally = InvariantTally('half of the live entries stay in rotation')
    names = evidence.entries.values()
    absences = [one for one in evidence.absences if one.name in names]
    for at, statuses in evidence.samples:
        # A probe takes less than a second.
        excused = any(
            at - _MAX_RETURN_S <= change <= at + 1
            for one in absences
            for change in (one.start, one.end)
        )
        live = [
            status
            for name, status in zip(names, statuses, strict=True)
            if not evidence.is_absent(name, at, at)
        ]
        out = live.count(UNREADY)
        if not excused and (out or len(live) < len(names)):
            tally.check(holds=out * 2 <= len(live), example=(at, statuses))
    return tally


def _check_flows(evidence: OverloadEvidence) -> InvariantTally:
    tally = InvariantTally('an open flow stays at its host, which alone resets')
    for report in evidence.requests:
        moved = report.flow_host not in {'', report.host}
        holds = not (moved or report.held or report.outcome == 'wrong')
        tally.check(holds=holds, example=report)
    return tally


def _check_order(evidence: OverloadEvidence) -> InvariantTally:
    """Check what arrives at a host while a request on an open flow waits."""
    tally = InvariantTally('no request overtakes one of higher priority')
    for report in evidence.requests:
        arrivals = evidence.arrivals.get(report.flow_host, {})
        sidecar = report.flow_host.replace('i-', 'side-')
        since = evidence.forwarded_at(report, report.sent) + _IN_TRANSIT_S
        arrived = arrivals.get(report.name, report.ended)
        until = min(arrived, report.sent + _IN_TIME_S)
        if report.route != 'high' or evidence.is_absent(
            sidecar, report.sent - _RECOVERY_S, until
        ):
            continue
        # Requests go to the host without a slot when their client closes.
        others = [
            arrivals[other.name]
            for other in evidence.requests
            if other.route == 'low'
            and other.sent < report.ended
            and since < arrivals.get(other.name, 0) < other.ended
        ]
        if others:
            # The sidecar ran then, and has read the request soon after.
            ran_at = min(at for at in arrivals.values() if at > since)
            overtaking = [at for at in others if ran_at + _READ_S < at < until]
            tally.check(holds=not overtaking, example=report)
    return tally


def _check_split(evidence: OverloadEvidence) -> InvariantTally:
    tally = InvariantTally('a split route uses the idle service')
    changes = [evidence.loaded_at]
    entries = evidence.entries.values()
    changes.extend(
        one.start for one in evidence.absences if one.name in entries
    )
    hosts = [
        one.host
        for one in evidence.requests
        if one.route == 'split'
        and one.host
        and not any(0 < one.opened - at < _FILLING_S for at in changes)
    ]
    for end in range(_SPLIT_GROUP, len(hosts) + 1, _SPLIT_GROUP):
        group = hosts[end - _SPLIT_GROUP : end]
        is_most = group.count(evidence.idle_host) * 2 >= _SPLIT_GROUP
        tally.check(holds=is_most, example=group)
    return tally


def _check_ended_hosts(evidence: OverloadEvidence) -> InvariantTally:
    tally = InvariantTally('flows of an ended host are reset in time')
    for end in evidence.absences:
        for report in evidence.requests:
            is_lost = (
                report.flow_host == end.name
                and report.opened < end.start < report.ended
                and report.sent < end.end
                and report.outcome != 'whole'
            )
            waited_s = report.ended - evidence.forwarded_at(report, end.start)
            in_time = waited_s <= _MAX_RESET_S
            # Without a reset, the client may have given up before the limit.
            if is_lost and (report.outcome == 'reset' or not in_time):
                tally.check(holds=in_time, example=report)
    return tally
