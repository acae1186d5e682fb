"""Check the evidence of a soak run against each invariant."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from siskinbank.lab.disturbances import Disturbance, Disturbances, Fault
from siskinbank.lab.fleet import Fleet

__all__ = (
    'Evidence',
    'Invariant',
    'InvariantTally',
    'check_invariants',
)

#: Time after a change in which work may still reach a host.
_GRACE_SECONDS = 3
#: Resolution of the counts in the upstreams' statistics.
_BUCKETS_PER_SECOND = 10
#: A fault that begins up to this long before a flow may still break it.
_START_MARGIN_SECONDS = 0.5
#: Time after an unplanned fault in which a request may still be interrupted.
_FAULT_EFFECT_SECONDS = 5
_MAX_EXAMPLES = 5


@dataclass(slots=True)
class InvariantTally:
    """Result of the checks of one invariant.

    Attributes:
        invariant: text of the invariant.
        check_count: number of checks.
        violations: number of checks that failed.
        examples: the first failures, as JSON.
    """

    invariant: str
    check_count: int = 0
    violations: int = 0
    examples: list[str] = field(default_factory=list)

    def check(self, *, holds: bool, example: Any = '') -> None:
        """Count one check, with an example for a violation."""
        self.check_count += 1
        if holds:
            return
        self.violations += 1
        if len(self.examples) < _MAX_EXAMPLES:
            self.examples.append(json.dumps(example, default=str))

    def line(self) -> str:
        """Return the invariant's line of the report."""
        verdict = 'VIOLATED' if self.violations else 'held'
        return (
            f'{verdict}: {self.invariant}: {self.check_count} chances, '
            f'{self.violations} violations'
        )


class Invariant:
    """Texts of the invariants, in the order of the report."""

    flows = 'an established flow survives any planned change'
    service = 'a packet for one service never reaches another'
    cold = 'a cold upstream gets no more than it can bear'
    out = 'a data centre that is out gets no more packets'
    whole = 'a caller gets the whole answer to their own request'
    not_run = 'a refusal that says "not run" is true'
    once = 'a non-idempotent request runs at most once'
    leaving = 'an upstream that is leaving gets no new work'
    graceful = 'a planned stop cuts no request'
    in_force = 'an accepted configuration is in force within seconds'
    reverts = 'an accepted configuration never reverts'


@dataclass(slots=True)
class Evidence:
    """Observations of one run.

    Attributes:
        fleet: the fleet that ran.
        disturbances: injected faults and planned changes.
        flows: reports of the callers' flows.
        requests: reports of the callers' requests.
        upstreams: final statistics of each incarnation of each upstream.
        exit_codes: exit codes of the entries that were stopped as planned.
        in_force: checks that publications came into force in time.
        reverts: checks that no process returned to an older generation.
    """

    fleet: Fleet
    disturbances: Disturbances
    flows: list[dict[str, Any]] = field(default_factory=list)
    requests: list[dict[str, Any]] = field(default_factory=list)
    upstreams: list[dict[str, Any]] = field(default_factory=list)
    exit_codes: list[int | None] = field(default_factory=list)
    in_force: InvariantTally = field(
        default_factory=lambda: InvariantTally(Invariant.in_force),
    )
    reverts: InvariantTally = field(
        default_factory=lambda: InvariantTally(Invariant.reverts),
    )


def check_invariants(evidence: Evidence) -> list[InvariantTally]:
    """Return one tally for each invariant."""
    return [
        _check_flows(evidence),
        _check_services(evidence),
        _check_cold_limits(evidence),
        _check_data_centres_out(evidence),
        *_check_requests(evidence),
        _check_leaving_hosts(evidence),
        _check_planned_stops(evidence),
        evidence.in_force,
        evidence.reverts,
    ]


def _check_flows(evidence: Evidence) -> InvariantTally:
    tally = InvariantTally(Invariant.flows)
    for flow in evidence.flows:
        if flow['result'] == 'refused':
            continue
        whole = flow['result'] == 'whole'
        tally.check(
            holds=whole or _is_loss_expected(evidence, flow),
            example=flow,
        )
    return tally


def _is_loss_expected(evidence: Evidence, flow: dict[str, Any]) -> bool:
    """Return whether the flow ended with its host, data centre or entry.

    The host of a flow without an answer is unknown; any loss of a host or
    data centre during such a flow then counts as its cause.
    """
    faults = evidence.disturbances
    host = evidence.fleet.hosts.get(flow['host'])
    start = flow['opened_at'] - _START_MARGIN_SECONDS
    span = (start, flow['ended_at'])
    data_centre = host.data_centre if host else None
    host_name = flow['host'] or None
    if any(
        disturbance.start >= start and disturbance.overlaps(*span)
        for disturbance in faults.of_kind(Fault.host_killed)
        if host_name in {None, disturbance.name}
    ):
        return True
    if faults.affected((Fault.data_centre_out,), data_centre, *span):
        return True
    if flow['ingress'] != 'tcp':
        return False
    return any(
        disturbance.start >= start and disturbance.overlaps(*span)
        for disturbance in faults.of_kind(Fault.entry_killed)
        if _is_entry_endpoint(evidence.fleet, flow['entry'], disturbance.name)
    )


def _is_entry_endpoint(fleet: Fleet, endpoint: str, name: str) -> bool:
    """Return whether an ``IP:PORT`` or URL belongs to an entry."""
    address = endpoint.removeprefix('http://').partition(':')[0]
    return fleet.entries[name].address == address


def _check_services(evidence: Evidence) -> InvariantTally:
    tally = InvariantTally(Invariant.service)
    for stats in evidence.upstreams:
        host = evidence.fleet.hosts[stats['name']]
        port = evidence.fleet.services[host.service]['fou']
        wrong_targets = [
            target
            for target in stats['targets']
            if not target.endswith(f':{port}')
        ]
        tally.check_count += sum(stats['arrivals'].values())
        for target in wrong_targets:
            tally.check(holds=False, example=(stats['name'], target))
    return tally


def _check_cold_limits(evidence: Evidence) -> InvariantTally:
    tally = InvariantTally(Invariant.cold)
    for stats in evidence.upstreams:
        tally.check(
            holds=not stats['over_limit'],
            example=(stats['name'], stats['over_limit']),
        )
    return tally


def _check_data_centres_out(evidence: Evidence) -> InvariantTally:
    tally = InvariantTally(Invariant.out)
    for disturbance in evidence.disturbances.of_kind(Fault.data_centre_out):
        for stats in evidence.upstreams:
            host = evidence.fleet.hosts[stats['name']]
            if host.data_centre != disturbance.name:
                continue
            late_count = _count_after_grace(
                evidence, stats['arrivals'], disturbance
            )
            tally.check(
                holds=not late_count, example=(stats['name'], late_count)
            )
    return tally


def _check_leaving_hosts(evidence: Evidence) -> InvariantTally:
    tally = InvariantTally(Invariant.leaving)
    faults = evidence.disturbances
    for disturbance in faults.of_kind(Fault.host_drained, Fault.host_leaving):
        for stats in evidence.upstreams:
            if stats['name'] != disturbance.name:
                continue
            late_count = _count_after_grace(
                evidence, stats['starts'], disturbance
            )
            example = (stats['name'], disturbance.fault, late_count)
            tally.check(holds=not late_count, example=example)
    return tally


def _count_after_grace(
    evidence: Evidence,
    buckets: dict[str, int],
    disturbance: Disturbance,
) -> int:
    """Count arrivals or starts during a change, without its grace period.

    No process can learn of a change while the platform is down or stale; the
    grace period then starts when the platform has recovered.

    Args:
        evidence: observations of the run.
        buckets: counts by tenth of a second since 1970.
        disturbance: the planned change.
    """
    start = disturbance.start
    for outage in evidence.disturbances.of_kind(
        Fault.platform_down,
        Fault.platform_stale,
    ):
        if outage.overlaps(start, start + _GRACE_SECONDS):
            start = max(start, outage.end)
    first_bucket = (start + _GRACE_SECONDS) * _BUCKETS_PER_SECOND
    last_bucket = disturbance.end * _BUCKETS_PER_SECOND - 1
    return sum(
        count
        for bucket, count in buckets.items()
        if first_bucket <= int(bucket) < last_bucket
    )


def _count_runs(evidence: Evidence) -> Counter[str]:
    runs: Counter[str] = Counter()
    for stats in evidence.upstreams:
        runs.update(stats['runs'])
    return runs


def _check_requests(evidence: Evidence) -> Iterable[InvariantTally]:
    whole = InvariantTally(Invariant.whole)
    not_run = InvariantTally(Invariant.not_run)
    once = InvariantTally(Invariant.once)
    runs = _count_runs(evidence)
    for request in evidence.requests:
        run_count = runs[request['key']]
        example = {**request, 'runs': run_count}
        outcome = request['outcome']
        if outcome in {'whole', 'crossed'}:
            whole.check(holds=outcome == 'whole', example=example)
        if outcome == 'not-run' and not request['doubted']:
            not_run.check(holds=not run_count, example=example)
        if not request['idempotent']:
            once.check(holds=run_count <= 1, example=example)
    return whole, not_run, once


#: Faults that may interrupt a request and are not planned changes.
_UNPLANNED_FAULTS = (
    Fault.entry_killed,
    Fault.host_killed,
    Fault.entry_paused,
    Fault.sidecar_paused,
)


def _check_planned_stops(evidence: Evidence) -> InvariantTally:
    tally = InvariantTally(Invariant.graceful)
    faults = evidence.disturbances
    for code in evidence.exit_codes:
        tally.check(holds=code == 0, example=('exit code', code))
    for request in evidence.requests:
        span = (request['started_at'], request['ended_at'] or float('inf'))
        entry_endpoint = request['lost_at'] or request['entry']
        stops = [
            disturbance
            for disturbance in faults.of_kind(Fault.entry_stopped)
            if disturbance.overlaps(*span)
            and (
                not entry_endpoint
                or _is_entry_endpoint(
                    evidence.fleet, entry_endpoint, disturbance.name
                )
            )
        ]
        if not stops:
            continue
        unknown = request['outcome'] == 'unknown' and not request['doubted']
        cut = unknown or request['lost_at']
        excused = faults.affected(
            _UNPLANNED_FAULTS,
            None,
            span[0] - _FAULT_EFFECT_SECONDS,
            span[1],
        )
        tally.check(holds=not cut or excused, example=request)
    return tally
