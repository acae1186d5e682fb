"""How evenly a pool is loaded, with long and short flows."""

import random
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from siskinbank.lab.bearing import BearingUpstream, add_bearing, host_name
from siskinbank.lab.experiment import Bound, ExperimentReport, at_most
from siskinbank.lab.policies import POLICIES, NaivePool
from siskinbank.lab.pool import Pool
from siskinbank.lab.traffic import (
    Arrival,
    SiteShape,
    Traffic,
    draw_arrivals,
)
from siskinbank.wire.loads import PoolLoad
from siskinbank.wire.messages import encode

__all__ = ('Balance', 'measure_fairness', 'measure_pool')

_TARGET = 1.10
_CONTROL_BYTES_A_SECOND = 28_000
_SETTLE_SECONDS = 25
_MEASURED_SECONDS = 10
_LAG_SECONDS = 10.0
#: Pools up to this size are measured with a late exchange too.
_SMALL = 10
#: Octets of IP and UDP headers around each message.
_HEADER_BYTES = 28


@dataclass(frozen=True, slots=True)
class Balance:
    """The busiest host's load over the mean, and what it cost."""

    worst: float
    mean: float
    hops: float
    octets_a_second: float
    refused: int


def measure_fairness(
    seed: int,
    entries: int,
    hosts: int,
    flows: int,
) -> ExperimentReport:
    """Measure pools of 7 and 100 hosts, or of ``hosts`` if that is not 0."""
    sizes = [hosts] if hosts else [7, 100]
    ours: dict[str, Any] = {}
    naive: dict[str, Any] = {}
    bounds: list[Bound] = []
    for size in sizes:
        arrivals = _arrivals(seed, flows * size)
        for lag in (0,) if size > _SMALL else (0, _LAG_SECONDS):
            name = f'{size} hosts, exchange lags {lag:g} s'
            balance = measure_pool(seed, entries, size, arrivals, lag)
            ours[f'{name}: busiest / mean'] = balance.worst
            ours[f'{name}: busiest / mean, average'] = balance.mean
            ours[f'{name}: extra hops'] = balance.hops
            ours[f'{name}: refused'] = balance.refused
            ours[f'{name}: bytes a second'] = balance.octets_a_second
            # What the hosts report lags or says zero in either case; that the
            # exchange between the sidecars lags too is shown without a bound.
            if not lag:
                bounds.append(at_most(name, _TARGET, balance.worst))
            bounds.append(
                at_most(
                    f'{name}: control bytes a second',
                    _CONTROL_BYTES_A_SECOND,
                    balance.octets_a_second,
                ),
            )
        naive.update(_measure_naive(seed, size, arrivals))
    return ExperimentReport('fairness', seed, ours, naive, bounds)


def measure_pool(
    seed: int,
    entries: int,
    hosts: int,
    arrivals: list[Arrival],
    lag: float,
    weights: dict[int, float] | None = None,
) -> Balance:
    """Send the flows through real entries and sidecars.

    What the hosts' own load endpoints say plays no part in the choice. ``lag``
    delays what the sidecars tell each other, which claims to be fresh.
    """
    pool = Pool(seed)
    for number in range(entries):
        pool.add_entry(f'entry-{number}', number)
    for number in range(hosts):
        upstream = BearingUpstream(says_zero=bool(number % 2))
        sidecar = add_bearing(pool, number, upstream)
        if lag:
            _delay(pool, sidecar.handler.exchange, lag)
    shape = SiteShape(hosts)
    pool.publish(shape.site(1, weights=weights))
    octets = _count_exchange(pool)
    traffic = Traffic(pool, arrivals)
    traffic.run(_SETTLE_SECONDS)
    ratios = []
    for second in range(_MEASURED_SECONDS):
        traffic.run(_SETTLE_SECONDS + second)
        ratios.append(_busiest(_loads(pool, hosts), weights or {}))
    opened = _total(pool, 'flows_opened')
    return Balance(
        max(ratios),
        statistics.mean(ratios),
        _total(pool, 'packets_passed_on') / max(opened, 1),
        2 * octets[0] / pool.clock.now / hosts,
        traffic.refused,
    )


def _arrivals(seed: int, flows: int) -> list[Arrival]:
    seconds = _SETTLE_SECONDS + _MEASURED_SECONDS
    return draw_arrivals(random.Random(seed), flows, seconds)


def _delay(pool: Pool, exchange: Any, lag: float) -> None:
    receive_report = exchange.receive_report

    def learn_late(received: PoolLoad) -> None:
        pool.network.after(lag, lambda: receive_report(received))

    exchange.receive_report = learn_late


def _count_exchange(pool: Pool) -> list[int]:
    octets = [0]
    for sidecar in pool.sidecars.values():
        peers = sidecar.context.peers
        _count_sent(peers, octets)
    return octets


def _count_sent(peers: Any, octets: list[int]) -> None:
    send = peers.send_message

    def count(sent: Any, receiver: Any) -> None:
        if isinstance(sent, PoolLoad):
            octets[0] += len(peers.keys.seal(encode(sent))) + _HEADER_BYTES
        send(sent, receiver)

    peers.send_message = count


def _loads(pool: Pool, hosts: int) -> list[int]:
    loads = []
    for number in range(hosts):
        upstream = pool.sidecars[host_name(number)].upstream
        assert isinstance(upstream, BearingUpstream)
        loads.append(len(upstream.open))
    return loads


def _busiest(loads: Sequence[int], weights: dict[int, float]) -> float:
    total = sum(weights.get(number, 1) for number in range(len(loads)))
    mean = sum(loads) / total
    return max(
        load / weights.get(number, 1) / mean
        for number, load in enumerate(loads)
    )


def _total(pool: Pool, family: str) -> int:
    return sum(
        sidecar.process.metrics.total(family)
        for sidecar in pool.sidecars.values()
    )


def _measure_naive(
    seed: int,
    hosts: int,
    arrivals: Sequence[Arrival],
) -> dict[str, Any]:
    samples = [
        float(_SETTLE_SECONDS + second) for second in range(_MEASURED_SECONDS)
    ]
    figures = {}
    for name, pick in POLICIES.items():
        for says, lag, zero in (
            ('reports lag 10 s', _LAG_SECONDS, False),
            ('reports say zero', 0, True),
        ):
            rng = random.Random(seed)
            naive = NaivePool(pick, hosts, lag, zero, rng)
            taken = naive.run(arrivals, samples)
            worst = max(_busiest(loads, {}) for loads in taken)
            figures[f'{hosts} hosts, {name}, {says}: busiest / mean'] = worst
    return figures
