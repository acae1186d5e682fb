"""Judge a soak run against each promise, and count its chances to fail."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from siskinbank.lab.disturbances import Disturbance, Disturbances, Fault
from siskinbank.lab.fleet import Fleet

__all__ = (
    'Evidence',
    'Promise',
    'PromiseTally',
    'judge',
)

_GRACE_SECONDS = 3
_BUCKETS_A_SECOND = 10
_MOMENT_SECONDS = 0.5
_ANSWER_SECONDS = 5
_MAX_EXAMPLES = 5


@dataclass(slots=True)
class PromiseTally:
    """How often a promise could have failed, and how often it did."""

    promise: str
    chances: int = 0
    violations: int = 0
    examples: list[str] = field(default_factory=list)

    def check(self, *, holds: bool, example: Any = '') -> None:
        """Count one chance."""
        self.chances += 1
        if holds:
            return
        self.violations += 1
        if len(self.examples) < _MAX_EXAMPLES:
            self.examples.append(json.dumps(example, default=str))

    def line(self) -> str:
        """Return the promise's line of the report."""
        verdict = 'VIOLATED' if self.violations else 'held'
        return (
            f'{verdict}: {self.promise}: {self.chances} chances, '
            f'{self.violations} violations'
        )


class Promise:
    """The names of the promises, in the order of the report."""

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
    """All that was seen in one run.

    ``upstreams`` holds each upstream's last word, one for each life of it.
    """

    fleet: Fleet
    disturbances: Disturbances
    flows: list[dict[str, Any]] = field(default_factory=list)
    requests: list[dict[str, Any]] = field(default_factory=list)
    upstreams: list[dict[str, Any]] = field(default_factory=list)
    exit_codes: list[int | None] = field(default_factory=list)
    in_force: PromiseTally = field(
        default_factory=lambda: PromiseTally(Promise.in_force),
    )
    reverts: PromiseTally = field(
        default_factory=lambda: PromiseTally(Promise.reverts),
    )


def judge(evidence: Evidence) -> list[PromiseTally]:
    """Return one tally for each promise."""
    return [
        _judge_flows(evidence),
        _judge_services(evidence),
        _judge_cold(evidence),
        _judge_out(evidence),
        *_judge_requests(evidence),
        _judge_leaving(evidence),
        _judge_graceful(evidence),
        evidence.in_force,
        evidence.reverts,
    ]


def _judge_flows(evidence: Evidence) -> PromiseTally:
    tally = PromiseTally(Promise.flows)
    for flow in evidence.flows:
        if flow['result'] == 'refused':
            continue
        whole = flow['result'] == 'whole'
        tally.check(
            holds=whole or _flow_is_excused(evidence, flow),
            example=flow,
        )
    return tally


def _flow_is_excused(evidence: Evidence, flow: dict[str, Any]) -> bool:
    """Whether the flow ended with its host, data centre or entry.

    A flow without an answer yet does not know its host; then any loss of a
    host or data centre at that time is taken for its own.
    """
    faults = evidence.disturbances
    host = evidence.fleet.hosts.get(flow['host'])
    start = flow['opened_at'] - _MOMENT_SECONDS
    span = (start, flow['ended_at'])
    centre = host.data_centre if host else None
    named = flow['host'] or None
    if any(
        entry.start >= start and entry.overlaps(*span)
        for entry in faults.of(Fault.host_killed)
        if named in {None, entry.name}
    ):
        return True
    if faults.touched((Fault.centre_out,), centre, *span):
        return True
    if flow['ingress'] != 'tcp':
        return False
    return any(
        entry.start >= start and entry.overlaps(*span)
        for entry in faults.of(Fault.entry_killed)
        if _is_at(evidence.fleet, flow['entry'], entry.name)
    )


def _is_at(fleet: Fleet, place: str, name: str) -> bool:
    """Whether a caller's ``IP:PORT`` or URL is at an entry."""
    number = place.removeprefix('http://').partition(':')[0]
    return fleet.entries[name].address == number


def _judge_services(evidence: Evidence) -> PromiseTally:
    tally = PromiseTally(Promise.service)
    for seen in evidence.upstreams:
        host = evidence.fleet.hosts[seen['name']]
        port = evidence.fleet.services[host.service]['fou']
        wrong = [
            target
            for target in seen['targets']
            if not target.endswith(f':{port}')
        ]
        tally.chances += sum(seen['arrivals'].values())
        for target in wrong:
            tally.check(holds=False, example=(seen['name'], target))
    return tally


def _judge_cold(evidence: Evidence) -> PromiseTally:
    tally = PromiseTally(Promise.cold)
    for seen in evidence.upstreams:
        tally.check(
            holds=not seen['over_limit'],
            example=(seen['name'], seen['over_limit']),
        )
    return tally


def _judge_out(evidence: Evidence) -> PromiseTally:
    tally = PromiseTally(Promise.out)
    for entry in evidence.disturbances.of(Fault.centre_out):
        for seen in evidence.upstreams:
            host = evidence.fleet.hosts[seen['name']]
            if host.data_centre != entry.name:
                continue
            late = _between(evidence, seen['arrivals'], entry)
            tally.check(holds=not late, example=(seen['name'], late))
    return tally


def _judge_leaving(evidence: Evidence) -> PromiseTally:
    tally = PromiseTally(Promise.leaving)
    faults = evidence.disturbances
    for entry in faults.of(Fault.host_drained, Fault.host_leaving):
        for seen in evidence.upstreams:
            if seen['name'] != entry.name:
                continue
            late = _between(evidence, seen['starts'], entry)
            example = (seen['name'], entry.fault, late)
            tally.check(holds=not late, example=example)
    return tally


def _between(
    evidence: Evidence,
    buckets: dict[str, int],
    entry: Disturbance,
) -> int:
    """Count what came between the grace after a change and its end.

    Nobody can learn of a change while the platform is down; the grace then
    starts when it is back.
    """
    start = entry.start
    for down in evidence.disturbances.of(
        Fault.platform_down,
        Fault.platform_stale,
    ):
        if down.overlaps(start, start + _GRACE_SECONDS):
            start = max(start, down.end)
    first = (start + _GRACE_SECONDS) * _BUCKETS_A_SECOND
    last = entry.end * _BUCKETS_A_SECOND - 1
    return sum(
        count
        for bucket, count in buckets.items()
        if first <= int(bucket) < last
    )


def _runs(evidence: Evidence) -> Counter[str]:
    runs: Counter[str] = Counter()
    for seen in evidence.upstreams:
        runs.update(seen['runs'])
    return runs


def _judge_requests(evidence: Evidence) -> Iterable[PromiseTally]:
    whole = PromiseTally(Promise.whole)
    not_run = PromiseTally(Promise.not_run)
    once = PromiseTally(Promise.once)
    runs = _runs(evidence)
    for request in evidence.requests:
        ran = runs[request['key']]
        example = {**request, 'runs': ran}
        outcome = request['outcome']
        if outcome in {'whole', 'crossed'}:
            whole.check(holds=outcome == 'whole', example=example)
        if outcome == 'not-run' and not request['doubted']:
            not_run.check(holds=not ran, example=example)
        if not request['idempotent']:
            once.check(holds=ran <= 1, example=example)
    return whole, not_run, once


#: What may cut a request without anybody having planned it.
_UNPLANNED = (
    Fault.entry_killed,
    Fault.host_killed,
    Fault.entry_paused,
    Fault.sidecar_paused,
)


def _judge_graceful(evidence: Evidence) -> PromiseTally:
    tally = PromiseTally(Promise.graceful)
    faults = evidence.disturbances
    for code in evidence.exit_codes:
        tally.check(holds=code == 0, example=('exit code', code))
    for request in evidence.requests:
        span = (request['started_at'], request['ended_at'] or float('inf'))
        asked = request['lost_at'] or request['entry']
        stops = [
            entry
            for entry in faults.of(Fault.entry_stopped)
            if entry.overlaps(*span)
            and (not asked or _is_at(evidence.fleet, asked, entry.name))
        ]
        if not stops:
            continue
        unknown = request['outcome'] == 'unknown' and not request['doubted']
        cut = unknown or request['lost_at']
        excused = faults.touched(
            _UNPLANNED,
            None,
            span[0] - _ANSWER_SECONDS,
            span[1],
        )
        tally.check(holds=not cut or excused, example=request)
    return tally
