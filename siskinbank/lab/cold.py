"""Measures the load on cold upstreams.

All upstreams start at once; later one turns cold and another collapses.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from siskinbank.lab.experiment import (
    Bound,
    ExperimentReport,
    at_least,
    at_most,
)
from siskinbank.lab.limited_upstream import (
    LimitedUpstream,
    add_monitored_sidecar,
)
from siskinbank.lab.naive_traffic import NaiveTraffic
from siskinbank.lab.pool import Pool
from siskinbank.lab.traffic import Arrival, SiteShape, Traffic, draw_arrivals

__all__ = ('ColdRun', 'measure_cold', 'run_cold')

_CONNECTIONS = 200
_COLD_CONNECTIONS = 20
_WARM_UP_SECONDS = 8.0
_RUN_SECONDS = 50
_COLD_AT_SECONDS = 24.0
#: Time that a sidecar has to detect that its upstream turned cold.
_DETECTION_SECONDS = 1.0
_SEND_INTERVAL_SECONDS = 1.0
#: Share of the mean load from which a host counts as recovered.
_RECOVERED_SHARE = 0.9
_STEP_SECONDS = 1.0
_ENTRY_COUNTS = (3, 400)


@dataclass(frozen=True, slots=True)
class ColdRun:
    """Results of one run.

    Attributes:
        excess: number of packets received while the connection limit of their
            upstream was exceeded.
        burst_excess: number of new connections beyond the limit on new
            connections per second, during the warm-up.
        collapse_count: number of collapses besides the injected one.
        recovery_seconds: time until the cold host has its share again.
        broken_flows: number of flows broken besides the injected collapse.
        opened: number of opened flows.
    """

    excess: int
    burst_excess: int
    collapse_count: int
    recovery_seconds: float
    broken_flows: int
    opened: int


def measure_cold(
    seed: int,
    entries: int,
    hosts: int,
    flows: int,
) -> ExperimentReport:
    """Measure with 3 and 400 entries, or with ``entries`` if it is not 0."""
    results: dict[str, Any] = {}
    naive: dict[str, Any] = {}
    bounds: list[Bound] = []
    arrivals = draw_arrivals(random.Random(seed), flows * hosts, _RUN_SECONDS)
    for count in (entries,) if entries else _ENTRY_COUNTS:
        name = f'{count} entries'
        run = run_cold(seed, count, hosts, arrivals)
        results[f'{name}: moments above the cold limit'] = run.excess
        results[f'{name}: moments above its worth a second'] = run.burst_excess
        results[f'{name}: collapses after the injected one'] = (
            run.collapse_count
        )
        results[f'{name}: seconds to full share'] = run.recovery_seconds
        results[f'{name}: flows lost besides the injected collapse'] = (
            run.broken_flows
        )
        results[f'{name}: flows opened'] = run.opened
        bounds.extend(_bounds(name, run))
    naive_run = run_naive(arrivals, hosts)
    naive['moments above the cold limit'] = naive_run.excess
    naive['moments above its worth a second'] = naive_run.burst_excess
    naive['collapses after the injected one'] = naive_run.collapse_count
    return ExperimentReport('cold', seed, results, naive, bounds)


def _bounds(name: str, run: ColdRun) -> list[Bound]:
    return [
        at_most(f'{name}: moments above the cold limit', 0, run.excess),
        at_most(
            f'{name}: moments above its worth a second',
            0,
            run.burst_excess,
        ),
        at_most(f'{name}: further collapses', 0, run.collapse_count),
        at_most(
            f'{name}: seconds to full share',
            2 * _WARM_UP_SECONDS,
            run.recovery_seconds,
        ),
        at_most(f'{name}: flows lost besides', 0, run.broken_flows),
        at_least(f'{name}: flows opened', 1, run.opened),
    ]


def run_cold(
    seed: int,
    entries: int,
    hosts: int,
    arrivals: list[Arrival],
) -> ColdRun:
    """Start all hosts at once; later one turns cold and one collapses."""
    pool = Pool(seed)
    for number in range(entries):
        pool.add_entry(f'entry-{number}', number)
    upstreams = _make_upstreams(hosts)
    for position, fake_upstream in enumerate(upstreams):
        add_monitored_sidecar(pool, position, fake_upstream)
    shape = SiteShape(hosts, _CONNECTIONS, _COLD_CONNECTIONS, _WARM_UP_SECONDS)
    pool.publish(shape.site(1), spread=2)
    traffic = Traffic(pool, arrivals, _SEND_INTERVAL_SECONDS)
    traffic.run(_COLD_AT_SECONDS)
    rng = random.Random(seed)
    cold_host, collapsing_host = rng.sample(range(hosts), 2)
    now = pool.clock.now
    upstreams[cold_host].turn_cold(now, now + _DETECTION_SECONDS)
    traffic.run(now + rng.uniform(0, 1))
    upstreams[collapsing_host].collapse(pool.clock.now)
    recovered_at = _wait_for_recovery(traffic, pool, upstreams, cold_host)
    return ColdRun(
        sum(upstream.excess for upstream in upstreams),
        sum(upstream.burst_excess for upstream in upstreams),
        sum(upstream.collapse_count for upstream in upstreams) - 1,
        recovered_at - now,
        len(traffic.broken_flows - upstreams[collapsing_host].abandoned_flows),
        traffic.opened,
    )


def _make_upstreams(hosts: int) -> list[LimitedUpstream]:
    return [_make_upstream(number) for number in range(hosts)]


def _make_upstream(number: int) -> LimitedUpstream:
    return LimitedUpstream(
        full_connections=_CONNECTIONS,
        cold_connections=_COLD_CONNECTIONS,
        warm_up_seconds=_WARM_UP_SECONDS,
        can_collapse=True,
        report_lag_seconds=10 if number % 3 == 0 else 0,
        reports_zero=number % 3 == 1,
        report_unavailable=number % 3 == 2,
    )


def _wait_for_recovery(
    traffic: Traffic,
    pool: Pool,
    upstreams: Sequence[LimitedUpstream],
    cold_host: int,
) -> float:
    """Return the time when the cold host has its share of load again."""
    recovered_at = float('inf')
    while pool.clock.now < _RUN_SECONDS:
        traffic.run(pool.clock.now + _STEP_SECONDS)
        now = pool.clock.now
        flow_counts = [
            upstream.count_active_flows(now) for upstream in upstreams
        ]
        mean = sum(flow_counts) / len(flow_counts)
        if flow_counts[cold_host] < mean * _RECOVERED_SHARE:
            recovered_at = float('inf')
        elif recovered_at > now:
            recovered_at = now
    return recovered_at


def run_naive(arrivals: Sequence[Arrival], hosts: int) -> ColdRun:
    """Send the flows by hash modulo the live hosts, without sidecars."""
    pool = Pool(0)
    upstreams = _make_upstreams(hosts)
    traffic = NaiveTraffic(pool, upstreams, arrivals, _SEND_INTERVAL_SECONDS)
    traffic.run(_COLD_AT_SECONDS)
    now = pool.clock.now
    upstreams[0].turn_cold(now, now + _DETECTION_SECONDS)
    upstreams[1].collapse(now)
    traffic.run(_RUN_SECONDS)
    return ColdRun(
        sum(upstream.excess for upstream in upstreams),
        sum(upstream.burst_excess for upstream in upstreams),
        sum(upstream.collapse_count for upstream in upstreams) - 1,
        0,
        0,
        0,
    )
