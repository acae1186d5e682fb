"""Measures how evenly long and short flows are balanced."""

import random
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from siskinbank.lab.experiment import Bound, ExperimentReport, at_most
from siskinbank.lab.limited_upstream import (
    LimitedUpstream,
    add_monitored_sidecar,
    host_name,
)
from siskinbank.lab.naive_policies import POLICIES, NaivePool
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

_MAX_LOAD_RATIO = 1.10
_MAX_CONTROL_BYTES_PER_SECOND = 28_000
_SETTLE_SECONDS = 25
_MEASURED_SECONDS = 10
_LAG_SECONDS = 10.0
#: Pools up to this size are also measured with a delayed load exchange.
_MAX_HOSTS_WITH_LAG = 10
#: IPv4 and UDP headers of each message.
_HEADER_BYTES = 28


@dataclass(frozen=True, slots=True)
class Balance:
    """Balance of a pool and its cost.

    Attributes:
        worst_ratio: maximum over time of the ratio of the highest load of a
            host to the mean load.
        mean_ratio: mean over time of that ratio.
        hops: extra hops per opened flow.
        control_bytes_per_second: bytes per second of the load exchange, sent
            and received, per host.
        refused: number of refused attempts to open a flow.
    """

    worst_ratio: float
    mean_ratio: float
    hops: float
    control_bytes_per_second: float
    refused: int


def measure_fairness(
    seed: int,
    entries: int,
    hosts: int,
    flows: int,
) -> ExperimentReport:
    """Measure pools of 7 and 100 hosts, or of ``hosts`` if it is not 0."""
    sizes = [hosts] if hosts else [7, 100]
    results: dict[str, Any] = {}
    naive: dict[str, Any] = {}
    bounds: list[Bound] = []
    for size in sizes:
        arrivals = _draw_arrivals(seed, flows * size)
        for lag_seconds in (
            (0,) if size > _MAX_HOSTS_WITH_LAG else (0, _LAG_SECONDS)
        ):
            name = f'{size} hosts, exchange lags {lag_seconds:g} s'
            balance = measure_pool(seed, entries, size, arrivals, lag_seconds)
            results[f'{name}: busiest / mean'] = balance.worst_ratio
            results[f'{name}: busiest / mean, average'] = balance.mean_ratio
            results[f'{name}: extra hops'] = balance.hops
            results[f'{name}: refused'] = balance.refused
            results[f'{name}: bytes a second'] = (
                balance.control_bytes_per_second
            )
            # In both cases the load endpoints of the hosts lag or report zero.
            # With a delayed exchange between sidecars no bound on the ratio is
            # checked.
            if not lag_seconds:
                bounds.append(
                    at_most(name, _MAX_LOAD_RATIO, balance.worst_ratio)
                )
            bounds.append(
                at_most(
                    f'{name}: control bytes a second',
                    _MAX_CONTROL_BYTES_PER_SECOND,
                    balance.control_bytes_per_second,
                ),
            )
        naive.update(_measure_naive(seed, size, arrivals))
    return ExperimentReport('fairness', seed, results, naive, bounds)


def measure_pool(
    seed: int,
    entries: int,
    hosts: int,
    arrivals: list[Arrival],
    lag_seconds: float,
    weights: dict[int, float] | None = None,
) -> Balance:
    """Send the flows through real entries and sidecars.

    The load endpoints of the hosts do not affect the choice of a host.

    Args:
        seed: seed of the pool.
        entries: number of entries.
        hosts: number of hosts.
        arrivals: flows to send.
        lag_seconds: delay of the load reports between sidecars, which the
            receivers treat as current.
        weights: weights of hosts by number, where they differ from 1.
    """
    pool = Pool(seed)
    for number in range(entries):
        pool.add_entry(f'entry-{number}', number)
    for number in range(hosts):
        upstream = LimitedUpstream(reports_zero=bool(number % 2))
        sidecar = add_monitored_sidecar(pool, number, upstream)
        if lag_seconds:
            _delay_exchange(pool, sidecar.handler.load_exchange, lag_seconds)
    shape = SiteShape(hosts)
    pool.publish(shape.site(1, weights=weights))
    byte_count = _count_exchange_bytes(pool)
    traffic = Traffic(pool, arrivals)
    traffic.run(_SETTLE_SECONDS)
    ratios = []
    for second in range(_MEASURED_SECONDS):
        traffic.run(_SETTLE_SECONDS + second)
        ratios.append(_busiest_ratio(_loads(pool, hosts), weights or {}))
    opened = _total(pool, 'flows_opened')
    return Balance(
        max(ratios),
        statistics.mean(ratios),
        _total(pool, 'packets_passed_on') / max(opened, 1),
        2 * byte_count[0] / pool.clock.now / hosts,
        traffic.refused,
    )


def _draw_arrivals(seed: int, flows: int) -> list[Arrival]:
    seconds = _SETTLE_SECONDS + _MEASURED_SECONDS
    return draw_arrivals(random.Random(seed), flows, seconds)


def _delay_exchange(pool: Pool, load_exchange: Any, lag_seconds: float) -> None:
    receive_report = load_exchange.receive_report

    def receive_late(received: PoolLoad) -> None:
        pool.network.after(lag_seconds, lambda: receive_report(received))

    load_exchange.receive_report = receive_late


def _count_exchange_bytes(pool: Pool) -> list[int]:
    byte_count = [0]
    for sidecar in pool.sidecars.values():
        peers = sidecar.context.peers
        _count_sent_bytes(peers, byte_count)
    return byte_count


def _count_sent_bytes(peers: Any, byte_count: list[int]) -> None:
    send = peers.send_message

    def count(sent: Any, receiver: Any) -> None:
        if isinstance(sent, PoolLoad):
            byte_count[0] += len(peers.keys.seal(encode(sent))) + _HEADER_BYTES
        send(sent, receiver)

    peers.send_message = count


def _loads(pool: Pool, hosts: int) -> list[int]:
    loads = []
    for number in range(hosts):
        upstream = pool.sidecars[host_name(number)].upstream
        assert isinstance(upstream, LimitedUpstream)
        loads.append(len(upstream.open_flows))
    return loads


def _busiest_ratio(loads: Sequence[int], weights: dict[int, float]) -> float:
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
    sample_times = [
        float(_SETTLE_SECONDS + second) for second in range(_MEASURED_SECONDS)
    ]
    figures = {}
    for name, policy in POLICIES.items():
        for label, lag_seconds, reports_zero_load in (
            ('reports lag 10 s', _LAG_SECONDS, False),
            ('reports say zero', 0, True),
        ):
            rng = random.Random(seed)
            naive = NaivePool(
                policy, hosts, lag_seconds, reports_zero_load, rng
            )
            load_samples = naive.run(arrivals, sample_times)
            worst_ratio = max(
                _busiest_ratio(loads, {}) for loads in load_samples
            )
            figures[f'{hosts} hosts, {name}, {label}: busiest / mean'] = (
                worst_ratio
            )
    return figures
