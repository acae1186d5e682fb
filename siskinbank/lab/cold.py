"""What cold upstreams get, when all start at once and when one turns cold."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from siskinbank.lab.bearing import BearingUpstream, add_bearing
from siskinbank.lab.experiment import (
    Bound,
    ExperimentReport,
    at_least,
    at_most,
)
from siskinbank.lab.naive_traffic import NaiveTraffic
from siskinbank.lab.pool import Pool
from siskinbank.lab.traffic import Arrival, SiteShape, Traffic, draw_arrivals

__all__ = ('ColdRun', 'measure_cold', 'run_cold')

_CONNECTIONS = 200
_COLD = 20
_WARM_UP_SECONDS = 8.0
_RUN_SECONDS = 50
_TURNS_COLD_AT = 24.0
_SIGN_SECONDS = 1.0
_BEAT_SECONDS = 1.0
#: The share of its part from which a host counts as back.
_FULL_SHARE = 0.9
_STEP_SECONDS = 1.0
_ENTRIES = (3, 400)


@dataclass(frozen=True, slots=True)
class ColdRun:
    """What the upstreams of one run got."""

    excess: int
    burst_excess: int
    collapsed: int
    share_seconds: float
    lost: int
    opened: int


def measure_cold(
    seed: int,
    entries: int,
    hosts: int,
    flows: int,
) -> ExperimentReport:
    """Measure with 3 and with 400 entries, or with ``entries`` if not 0."""
    ours: dict[str, Any] = {}
    naive: dict[str, Any] = {}
    bounds: list[Bound] = []
    arrivals = draw_arrivals(random.Random(seed), flows * hosts, _RUN_SECONDS)
    for count in (entries,) if entries else _ENTRIES:
        name = f'{count} entries'
        run = run_cold(seed, count, hosts, arrivals)
        ours[f'{name}: moments above the cold limit'] = run.excess
        ours[f'{name}: moments above its worth a second'] = run.burst_excess
        ours[f'{name}: collapses after the injected one'] = run.collapsed
        ours[f'{name}: seconds to full share'] = run.share_seconds
        ours[f'{name}: flows lost besides the injected collapse'] = run.lost
        ours[f'{name}: flows opened'] = run.opened
        bounds.extend(_bounds(name, run))
    plain = run_naive(arrivals, hosts)
    naive['moments above the cold limit'] = plain.excess
    naive['moments above its worth a second'] = plain.burst_excess
    naive['collapses after the injected one'] = plain.collapsed
    return ExperimentReport('cold', seed, ours, naive, bounds)


def _bounds(name: str, run: ColdRun) -> list[Bound]:
    return [
        at_most(f'{name}: moments above the cold limit', 0, run.excess),
        at_most(
            f'{name}: moments above its worth a second',
            0,
            run.burst_excess,
        ),
        at_most(f'{name}: further collapses', 0, run.collapsed),
        at_most(
            f'{name}: seconds to full share',
            2 * _WARM_UP_SECONDS,
            run.share_seconds,
        ),
        at_most(f'{name}: flows lost besides', 0, run.lost),
        at_least(f'{name}: flows opened', 1, run.opened),
    ]


def run_cold(
    seed: int,
    entries: int,
    hosts: int,
    arrivals: list[Arrival],
) -> ColdRun:
    """Start all at once; then one host turns cold, and another collapses."""
    pool = Pool(seed)
    for number in range(entries):
        pool.add_entry(f'entry-{number}', number)
    upstreams = _upstreams(hosts)
    for position, beside in enumerate(upstreams):
        add_bearing(pool, position, beside)
    shape = SiteShape(hosts, _CONNECTIONS, _COLD, _WARM_UP_SECONDS)
    pool.publish(shape.site(1), spread=2)
    traffic = Traffic(pool, arrivals, _BEAT_SECONDS)
    traffic.run(_TURNS_COLD_AT)
    rng = random.Random(seed)
    cold, fallen = rng.sample(range(hosts), 2)
    now = pool.clock.now
    upstreams[cold].turn_cold(now, now + _SIGN_SECONDS)
    traffic.run(now + rng.uniform(0, 1))
    upstreams[fallen].collapse(pool.clock.now)
    back = _wait_for_share(traffic, pool, upstreams, cold)
    return ColdRun(
        sum(upstream.excess for upstream in upstreams),
        sum(upstream.burst_excess for upstream in upstreams),
        sum(upstream.collapsed for upstream in upstreams) - 1,
        back - now,
        len(traffic.lost_flows - upstreams[fallen].given_up),
        traffic.opened,
    )


def _upstreams(hosts: int) -> list[BearingUpstream]:
    return [_upstream(number) for number in range(hosts)]


def _upstream(number: int) -> BearingUpstream:
    return BearingUpstream(
        full=_CONNECTIONS,
        cold=_COLD,
        warm_up=_WARM_UP_SECONDS,
        collapses=True,
        report_lag=10 if number % 3 == 0 else 0,
        says_zero=number % 3 == 1,
        report_is_silent=number % 3 == 2,
    )


def _wait_for_share(
    traffic: Traffic,
    pool: Pool,
    upstreams: Sequence[BearingUpstream],
    cold: int,
) -> float:
    """Return when the host that turned cold has its share again."""
    back = float('inf')
    while pool.clock.now < _RUN_SECONDS:
        traffic.run(pool.clock.now + _STEP_SECONDS)
        now = pool.clock.now
        served = [upstream.served(now) for upstream in upstreams]
        mean = sum(served) / len(served)
        if served[cold] < mean * _FULL_SHARE:
            back = float('inf')
        elif back > now:
            back = now
    return back


def run_naive(arrivals: Sequence[Arrival], hosts: int) -> ColdRun:
    """Send the flows by hash modulo live hosts, with no sidecar in between.

    A host that collapsed counts as live until it is missed.
    """
    pool = Pool(0)
    upstreams = _upstreams(hosts)
    traffic = NaiveTraffic(pool, upstreams, arrivals, _BEAT_SECONDS)
    traffic.run(_TURNS_COLD_AT)
    now = pool.clock.now
    upstreams[0].turn_cold(now, now + _SIGN_SECONDS)
    upstreams[1].collapse(now)
    traffic.run(_RUN_SECONDS)
    return ColdRun(
        sum(upstream.excess for upstream in upstreams),
        sum(upstream.burst_excess for upstream in upstreams),
        sum(upstream.collapsed for upstream in upstreams) - 1,
        0,
        0,
        0,
    )
