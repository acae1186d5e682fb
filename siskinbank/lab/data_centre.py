"""A data centre goes out of service and comes back, twice."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from siskinbank.config.site import Site
from siskinbank.lab.bearing import BearingUpstream, OpenFlow, add_bearing
from siskinbank.lab.experiment import (
    Bound,
    ExperimentReport,
    at_least,
    at_most,
)
from siskinbank.lab.naive_traffic import NaiveTraffic
from siskinbank.lab.pool import Pool
from siskinbank.lab.traffic import Arrival, SiteShape, Traffic, draw_arrivals

__all__ = ('CentreRun', 'measure_data_centre', 'run_centres')

_CENTRES = 3
_CONNECTIONS = 60
_COLD = 10
_WARM_UP_SECONDS = 6.0
_BEAT_SECONDS = 0.5
_SPREAD_SECONDS = 2.5
_SILENCE_SECONDS = 3.0
_FIRST_OUT_AT = 16.0
_OUT_SECONDS = 12.0
_ROUND_SECONDS = 30.0
_ROUNDS = 2
_RUN_SECONDS = _FIRST_OUT_AT + _ROUNDS * _ROUND_SECONDS
_FULL_SHARE = 0.9
_STEP_SECONDS = 0.5
_FULL_FLOWS = 55


@dataclass(slots=True)
class CentreRun:
    """What one run saw."""

    late_packets: int = 0
    broken: int = 0
    falsely_refused: int = 0
    refused: int = 0
    given_up: int = 0
    opened: int = 0
    excess: int = 0
    burst_excess: int = 0
    share_seconds: list[float] = field(default_factory=list)


def measure_data_centre(
    seed: int,
    entries: int,
    hosts: int,
    flows: int,
) -> ExperimentReport:
    """Measure with room in the other data centres, and without."""
    ours: dict[str, Any] = {}
    naive: dict[str, Any] = {}
    bounds: list[Bound] = []
    for name, load in (('room', flows), ('no room', _FULL_FLOWS)):
        rng = random.Random(seed)
        arrivals = draw_arrivals(rng, load * hosts, _RUN_SECONDS)
        run = run_centres(seed, entries, hosts, arrivals)
        ours.update(_figures(name, run))
        bounds.extend(_bounds(name, run))
        plain = run_naive(seed, hosts, arrivals)
        naive.update(_figures(name, plain))
    return ExperimentReport('data-centre', seed, ours, naive, bounds)


def _figures(name: str, run: CentreRun) -> dict[str, Any]:
    return {
        f'{name}: packets after 3 s': run.late_packets,
        f'{name}: flows broken elsewhere': run.broken,
        f'{name}: flows given up': run.given_up,
        f'{name}: refused': run.refused,
        f'{name}: refused while there was room': run.falsely_refused,
        f'{name}: moments above a limit': run.excess,
        f'{name}: moments above its worth a second': run.burst_excess,
        f'{name}: seconds to full share': max(run.share_seconds, default=0),
        f'{name}: flows opened': run.opened,
    }


def _bounds(name: str, run: CentreRun) -> list[Bound]:
    bounds = [
        at_most(f'{name}: packets after 3 s', 0, run.late_packets),
        at_most(f'{name}: flows broken elsewhere', 0, run.broken),
        at_most(f'{name}: refused with room', 0, run.falsely_refused),
        at_most(f'{name}: moments above a limit', 0, run.excess),
        at_most(f'{name}: above its worth a second', 0, run.burst_excess),
        at_least(f'{name}: flows opened', 1, run.opened),
        at_least(f'{name}: flows given up', 1, run.given_up),
    ]
    bounds.extend(
        at_most(
            f'{name}: seconds to full share, round {number + 1}',
            2 * _WARM_UP_SECONDS,
            seconds,
        )
        for number, seconds in enumerate(run.share_seconds)
    )
    return bounds


def run_centres(
    seed: int,
    entries: int,
    hosts: int,
    arrivals: list[Arrival],
) -> CentreRun:
    """Take one data centre out and back, then another one."""
    pool = Pool(seed)
    for number in range(entries):
        pool.add_entry(f'entry-{number}', number)
    upstreams = [_upstream() for _ in range(hosts)]
    for number, upstream in enumerate(upstreams):
        add_bearing(pool, number, upstream)
    shape = SiteShape(
        hosts,
        _CONNECTIONS,
        _COLD,
        _WARM_UP_SECONDS,
        _CENTRES,
    )
    pool.publish(shape.site(1))
    traffic = Traffic(pool, arrivals, _BEAT_SECONDS)
    run = CentreRun()
    order = random.Random(seed).sample(range(_CENTRES), _ROUNDS)
    for number, centre in enumerate(order):
        start = _FIRST_OUT_AT + number * _ROUND_SECONDS
        inside = upstreams[centre::_CENTRES]
        traffic.run(start)
        pool.publish(
            shape.site(2 * number + 2, frozenset((centre,))),
            _SPREAD_SECONDS,
        )
        traffic.run(start + _SILENCE_SECONDS)
        before = _packets(inside)
        for upstream in inside:
            upstream.give_up()
        traffic.run(start + _OUT_SECONDS)
        run.late_packets += _packets(inside) - before
        back = shape.site(2 * number + 3)
        run.share_seconds.append(
            _bring_back(pool, traffic, back, upstreams, centre),
        )
    traffic.run(_RUN_SECONDS)
    _fill(run, upstreams)
    given_up = _given_up(upstreams)
    run.broken = len(traffic.lost_flows - given_up)
    run.refused = traffic.refused
    run.falsely_refused = traffic.falsely_refused
    run.opened = traffic.opened
    return run


def run_naive(
    seed: int,
    hosts: int,
    arrivals: Sequence[Arrival],
) -> CentreRun:
    """Send the flows by hash modulo the hosts in service."""
    pool = Pool(seed)
    upstreams = [_upstream() for _ in range(hosts)]
    traffic = NaiveTraffic(pool, upstreams, arrivals, _BEAT_SECONDS)
    run = CentreRun()
    order = random.Random(seed).sample(range(_CENTRES), _ROUNDS)
    for number, centre in enumerate(order):
        start = _FIRST_OUT_AT + number * _ROUND_SECONDS
        traffic.run(start)
        traffic.out = frozenset(range(centre, hosts, _CENTRES))
        for upstream in upstreams[centre::_CENTRES]:
            upstream.give_up()
        traffic.run(start + _OUT_SECONDS)
        _turn_cold(pool, upstreams[centre::_CENTRES])
        traffic.out = frozenset()
    traffic.run(_RUN_SECONDS)
    _fill(run, upstreams)
    run.broken = len(traffic.broken_flows - _given_up(upstreams))
    run.opened = len(arrivals)
    return run


def _upstream() -> BearingUpstream:
    return BearingUpstream(
        full=_CONNECTIONS,
        cold=_COLD,
        warm_up=_WARM_UP_SECONDS,
    )


def _packets(upstreams: Sequence[BearingUpstream]) -> int:
    return sum(len(upstream.arrivals) for upstream in upstreams)


def _given_up(upstreams: Sequence[BearingUpstream]) -> set[OpenFlow]:
    return set().union(*(upstream.given_up for upstream in upstreams))


def _fill(run: CentreRun, upstreams: Sequence[BearingUpstream]) -> None:
    run.excess = sum(upstream.excess for upstream in upstreams)
    run.burst_excess = sum(upstream.burst_excess for upstream in upstreams)
    run.given_up = len(_given_up(upstreams))


def _turn_cold(pool: Pool, inside: Sequence[BearingUpstream]) -> None:
    now = pool.clock.now
    for upstream in inside:
        upstream.turn_cold(now, now)


def _bring_back(
    pool: Pool,
    traffic: Traffic,
    site: Site,
    upstreams: Sequence[BearingUpstream],
    centre: int,
) -> float:
    """Return the seconds until the hosts have their share again."""
    start = pool.clock.now
    inside = upstreams[centre::_CENTRES]
    _turn_cold(pool, inside)
    pool.publish(site, _SPREAD_SECONDS)
    while pool.clock.now < start + 2 * _WARM_UP_SECONDS:
        traffic.run(pool.clock.now + _STEP_SECONDS)
        share = sum(len(upstream.open) for upstream in inside) / len(inside)
        everyone = sum(len(upstream.open) for upstream in upstreams)
        if share >= everyone / len(upstreams) * _FULL_SHARE:
            return pool.clock.now - start
    return float('inf')
