"""Takes one data centre out of service and back, then another one."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from siskinbank.config.site import Site
from siskinbank.lab.experiment import (
    Bound,
    ExperimentReport,
    at_least,
    at_most,
)
from siskinbank.lab.limited_upstream import (
    CallerEndpoint,
    LimitedUpstream,
    add_monitored_sidecar,
)
from siskinbank.lab.naive_traffic import NaiveTraffic
from siskinbank.lab.pool import Pool
from siskinbank.lab.traffic import Arrival, SiteShape, Traffic, draw_arrivals

__all__ = ('DataCentreRun', 'measure_data_centre', 'run_outages')

_DATA_CENTRES = 3
_CONNECTIONS = 60
_COLD_CONNECTIONS = 10
_WARM_UP_SECONDS = 6.0
_SEND_INTERVAL_SECONDS = 0.5
_PUBLISH_SPREAD_SECONDS = 2.5
_EVACUATION_SECONDS = 3.0
_FIRST_OUTAGE_AT_SECONDS = 16.0
_OUTAGE_SECONDS = 12.0
_ROUND_SECONDS = 30.0
_ROUNDS = 2
_RUN_SECONDS = _FIRST_OUTAGE_AT_SECONDS + _ROUNDS * _ROUND_SECONDS
#: Share of the mean load from which the hosts count as recovered.
_RECOVERED_SHARE = 0.9
_STEP_SECONDS = 0.5
#: Close to the limit of 60 per host, so that the other data centres cannot
#: take over the flows of one out of service.
_FLOWS_PER_HOST_NEAR_LIMIT = 55


@dataclass(slots=True)
class DataCentreRun:
    """Results of one run.

    Attributes:
        late_packets: number of packets to hosts out of service later than 3
            seconds after the publication.
        broken_flows: number of broken flows of other hosts.
        falsely_refused: number of refused attempts to open a flow while a
            host had capacity.
        refused: number of refused attempts to open a flow.
        abandoned_flows: number of flows dropped by hosts out of service.
        opened: number of opened flows.
        excess: number of packets received while the connection limit of their
            upstream was exceeded.
        burst_excess: number of new connections beyond the limit on new
            connections per second, during the warm-up.
        recovery_seconds: time until the hosts have their share again, by
            round.
    """

    late_packets: int = 0
    broken_flows: int = 0
    falsely_refused: int = 0
    refused: int = 0
    abandoned_flows: int = 0
    opened: int = 0
    excess: int = 0
    burst_excess: int = 0
    recovery_seconds: list[float] = field(default_factory=list)


def measure_data_centre(
    seed: int,
    entries: int,
    hosts: int,
    flows: int,
) -> ExperimentReport:
    """Measure with and without free capacity in the other data centres."""
    results: dict[str, Any] = {}
    naive: dict[str, Any] = {}
    bounds: list[Bound] = []
    for name, flows_per_host in (
        ('room', flows),
        ('no room', _FLOWS_PER_HOST_NEAR_LIMIT),
    ):
        rng = random.Random(seed)
        arrivals = draw_arrivals(rng, flows_per_host * hosts, _RUN_SECONDS)
        run = run_outages(seed, entries, hosts, arrivals)
        results.update(_figures(name, run))
        bounds.extend(_bounds(name, run))
        naive_run = run_naive(seed, hosts, arrivals)
        naive.update(_figures(name, naive_run))
    return ExperimentReport('data-centre', seed, results, naive, bounds)


def _figures(name: str, run: DataCentreRun) -> dict[str, Any]:
    return {
        f'{name}: packets after 3 s': run.late_packets,
        f'{name}: flows broken elsewhere': run.broken_flows,
        f'{name}: flows given up': run.abandoned_flows,
        f'{name}: refused': run.refused,
        f'{name}: refused while there was room': run.falsely_refused,
        f'{name}: moments above a limit': run.excess,
        f'{name}: moments above its worth a second': run.burst_excess,
        f'{name}: seconds to full share': max(run.recovery_seconds, default=0),
        f'{name}: flows opened': run.opened,
    }


def _bounds(name: str, run: DataCentreRun) -> list[Bound]:
    bounds = [
        at_most(f'{name}: packets after 3 s', 0, run.late_packets),
        at_most(f'{name}: flows broken elsewhere', 0, run.broken_flows),
        at_most(f'{name}: refused with room', 0, run.falsely_refused),
        at_most(f'{name}: moments above a limit', 0, run.excess),
        at_most(f'{name}: above its worth a second', 0, run.burst_excess),
        at_least(f'{name}: flows opened', 1, run.opened),
        at_least(f'{name}: flows given up', 1, run.abandoned_flows),
    ]
    bounds.extend(
        at_most(
            f'{name}: seconds to full share, round {number + 1}',
            2 * _WARM_UP_SECONDS,
            seconds,
        )
        for number, seconds in enumerate(run.recovery_seconds)
    )
    return bounds


def run_outages(
    seed: int,
    entries: int,
    hosts: int,
    arrivals: list[Arrival],
) -> DataCentreRun:
    """Take one data centre out of service and back, then another one."""
    pool = Pool(seed)
    for number in range(entries):
        pool.add_entry(f'entry-{number}', number)
    upstreams = [_make_upstream() for _ in range(hosts)]
    for number, upstream in enumerate(upstreams):
        add_monitored_sidecar(pool, number, upstream)
    shape = SiteShape(
        hosts,
        _CONNECTIONS,
        _COLD_CONNECTIONS,
        _WARM_UP_SECONDS,
        _DATA_CENTRES,
    )
    pool.publish(shape.site(1))
    traffic = Traffic(
        pool, arrivals, _SEND_INTERVAL_SECONDS, observes_capacity=True
    )
    run = DataCentreRun()
    order = random.Random(seed).sample(range(_DATA_CENTRES), _ROUNDS)
    for number, centre in enumerate(order):
        start = _FIRST_OUTAGE_AT_SECONDS + number * _ROUND_SECONDS
        affected = upstreams[centre::_DATA_CENTRES]
        traffic.run(start)
        pool.publish(
            shape.site(2 * number + 2, frozenset((centre,))),
            _PUBLISH_SPREAD_SECONDS,
        )
        traffic.run(start + _EVACUATION_SECONDS)
        before = _packet_count(affected)
        for upstream in affected:
            upstream.abandon_flows()
        traffic.run(start + _OUTAGE_SECONDS)
        run.late_packets += _packet_count(affected) - before
        restored_site = shape.site(2 * number + 3)
        run.recovery_seconds.append(
            _restore(pool, traffic, restored_site, upstreams, centre),
        )
    traffic.run(_RUN_SECONDS)
    _add_upstream_counts(run, upstreams)
    abandoned_flows = _abandoned_flows(upstreams)
    run.broken_flows = len(traffic.broken_flows - abandoned_flows)
    run.refused = traffic.refused
    run.falsely_refused = traffic.falsely_refused
    run.opened = traffic.opened
    return run


def run_naive(
    seed: int,
    hosts: int,
    arrivals: Sequence[Arrival],
) -> DataCentreRun:
    """Send the flows by hash modulo the hosts in service."""
    pool = Pool(seed)
    upstreams = [_make_upstream() for _ in range(hosts)]
    traffic = NaiveTraffic(pool, upstreams, arrivals, _SEND_INTERVAL_SECONDS)
    run = DataCentreRun()
    order = random.Random(seed).sample(range(_DATA_CENTRES), _ROUNDS)
    for number, centre in enumerate(order):
        start = _FIRST_OUTAGE_AT_SECONDS + number * _ROUND_SECONDS
        traffic.run(start)
        traffic.hosts_out = frozenset(range(centre, hosts, _DATA_CENTRES))
        for upstream in upstreams[centre::_DATA_CENTRES]:
            upstream.abandon_flows()
        traffic.run(start + _OUTAGE_SECONDS)
        _turn_cold(pool, upstreams[centre::_DATA_CENTRES])
        traffic.hosts_out = frozenset()
    traffic.run(_RUN_SECONDS)
    _add_upstream_counts(run, upstreams)
    run.broken_flows = len(traffic.broken_flows - _abandoned_flows(upstreams))
    run.opened = len(arrivals)
    return run


def _make_upstream() -> LimitedUpstream:
    return LimitedUpstream(
        full_connections=_CONNECTIONS,
        cold_connections=_COLD_CONNECTIONS,
        warm_up_seconds=_WARM_UP_SECONDS,
    )


def _packet_count(upstreams: Sequence[LimitedUpstream]) -> int:
    return sum(len(upstream.arrival_times) for upstream in upstreams)


def _abandoned_flows(
    upstreams: Sequence[LimitedUpstream],
) -> set[CallerEndpoint]:
    return set().union(*(upstream.abandoned_flows for upstream in upstreams))


def _add_upstream_counts(
    run: DataCentreRun, upstreams: Sequence[LimitedUpstream]
) -> None:
    run.excess = sum(upstream.excess for upstream in upstreams)
    run.burst_excess = sum(upstream.burst_excess for upstream in upstreams)
    run.abandoned_flows = len(_abandoned_flows(upstreams))


def _turn_cold(pool: Pool, affected: Sequence[LimitedUpstream]) -> None:
    now = pool.clock.now
    for upstream in affected:
        upstream.turn_cold(now, now)


def _restore(
    pool: Pool,
    traffic: Traffic,
    site: Site,
    upstreams: Sequence[LimitedUpstream],
    centre: int,
) -> float:
    """Put the hosts back in service and return the recovery time."""
    start = pool.clock.now
    affected = upstreams[centre::_DATA_CENTRES]
    _turn_cold(pool, affected)
    pool.publish(site, _PUBLISH_SPREAD_SECONDS)
    while pool.clock.now < start + 2 * _WARM_UP_SECONDS:
        traffic.run(pool.clock.now + _STEP_SECONDS)
        affected_mean = sum(
            len(upstream.open_flows) for upstream in affected
        ) / len(affected)
        total = sum(len(upstream.open_flows) for upstream in upstreams)
        if affected_mean >= total / len(upstreams) * _RECOVERED_SHARE:
            return pool.clock.now - start
    return float('inf')
