"""Compares ways to find the owner of a flow after the pool has grown.

They are compared by extra hops, delay and lost packets.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from siskinbank.choice.rendezvous import prepare_rendezvous
from siskinbank.config.site import Address, Host, Site
from siskinbank.lab.experiment import ExperimentReport, at_least
from siskinbank.lab.pool import UPSTREAM_PORT, Pool
from siskinbank.lab.sites import (
    SERVICE,
    SERVICE_ADDRESS,
    PoolPlan,
    host_address,
)
from siskinbank.lab.standins.packets import ACK, SYN, Flow, make_packet
from siskinbank.wire.packets import parse_inner

__all__ = ('measure_lookups',)

_HOSTS = 7
_ADDED_HOSTS = 3
_FLOWS = 600
_FIRST_PORT = 2000
_SETTLE_SECONDS = 70
_OPEN_INTERVAL_SECONDS = 0.005
_RETRY_SECONDS = 1.0
_MAX_TRIES = 5
_ONE_WAY_DELAY_SECONDS = 0.001
_QUERY_TIMEOUT_SECONDS = 0.3
_BUCKETS = 4096
_MIN_NEAR_SHARE = 0.95
#: A sealed datagram has the key number and the 12-byte MAC before its body.
_BODY_OFFSET = 13
#: First byte of a body that holds an envelope.
_PACKET_KIND = 1


@dataclass(slots=True)
class LookupStats:
    """Results for the packets of moved flows.

    Attributes:
        hops: extra hops of each packet that reached the owner.
        seconds: delay of each packet that reached the owner.
        lost_packets: number of lost packets.
        never_found: number of flows whose owner was not reached.
    """

    hops: list[int] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)
    lost_packets: int = 0
    never_found: int = 0

    def summary(self) -> dict[str, float]:
        """Return counts, means and the share with at most one extra hop."""
        count = max(len(self.hops), 1)
        near_count = sum(hops <= 1 for hops in self.hops)
        return {
            'found': len(self.hops),
            'mean_hops': sum(self.hops) / count,
            'near_share': near_count / count,
            'mean_seconds': sum(self.seconds) / count,
            'lost_packets': self.lost_packets,
            'never_found': self.never_found,
        }


def measure_lookups(seed: int) -> ExperimentReport:
    """Measure lookups by pointers and by the alternatives to them."""
    results: dict[str, dict[str, float]] = {}
    naive: dict[str, dict[str, float]] = {}
    for with_dead_host in (False, True):
        label = 'one host silent' if with_dead_host else 'all hosts answer'
        run = LookupRun(seed, with_pointers=True)
        run.kill_new_host(with_dead_host)
        naive[f'asking back by rank, {label}'] = (
            run.estimate_queries().summary()
        )
        naive[f'bucket occupancy, {label}'] = run.estimate_buckets().summary()
        results[label] = run.send_packets().summary()
        without_pointers = LookupRun(seed, with_pointers=False)
        without_pointers.kill_new_host(with_dead_host)
        naive[f'by rank only, {label}'] = (
            without_pointers.send_packets().summary()
        )
    return ExperimentReport(
        'lookups',
        seed,
        results,
        naive,
        [
            at_least(
                'share of moved flows found with at most 1 extra hop',
                _MIN_NEAR_SHARE,
                results['all hosts answer']['near_share'],
            ),
        ],
    )


class LookupRun:
    """A pool after hosts were added, with a new entry that cached no flow."""

    def __init__(self, seed: int, *, with_pointers: bool) -> None:
        """Initialize the pool: open flows, add hosts and replace the entry."""
        self._rng = random.Random(seed)
        self._pool = Pool(seed)
        plan = PoolPlan(dict.fromkeys(range(_HOSTS), 'active'))
        for number in range(_HOSTS + _ADDED_HOSTS):
            self._pool.add_sidecar(f'{SERVICE}-{number}', host_address(number))
        self._pool.add_entry('entry-0', 0)
        self._pool.publish(plan.next_site())
        self._pool.run(_SETTLE_SECONDS)
        self._owners = dict(self._open())
        if not with_pointers:
            self._pool.network.may_lose = _is_control
            self._pool.network.loss = 1
        plan.states.update(
            dict.fromkeys(range(_HOSTS + _ADDED_HOSTS), 'active')
        )
        self._site: Site = plan.next_site()
        self._pool.publish(self._site)
        self._pool.run(_SETTLE_SECONDS)
        entry = self._pool.add_entry('entry-0', 1)
        entry.view.adopt(self._site)
        hosts = self._site.services[SERVICE].hosts
        self._rank = prepare_rendezvous(hosts, len(hosts))
        self._dead_host: str | None = None
        self._arrival_times: list[float] = []
        self._hops = 0
        self._pool.network.on_deliver = self._observe

    def kill_new_host(self, with_dead_host: bool) -> None:
        """Kill one of the added hosts, which own no flow, if requested."""
        if with_dead_host:
            self._dead_host = f'{SERVICE}-{_HOSTS}'
            self._pool.kill(self._dead_host)

    def send_packets(self) -> LookupStats:
        """Send one packet of each moved flow, with retries."""
        stats = LookupStats()
        for flow, _number, _owner in self._moved_flows():
            self._send_packet(stats, make_packet(flow, ACK, b'x'))
        return stats

    def estimate_queries(self) -> LookupStats:
        """Estimate the results if an entry queries the hosts in rank order."""
        stats = LookupStats()
        for _flow, number, owner in self._moved_flows():
            ranked = self._rank(number)
            self._estimate_query(stats, ranked, owner)
        return stats

    def estimate_buckets(self) -> LookupStats:
        """Estimate the results if hosts announce their non-empty buckets.

        A bucket holds the flows with the same number modulo 4096.
        """
        buckets: dict[str, set[int]] = {}
        for number, owner in self._owners.values():
            buckets.setdefault(owner, set()).add(number % _BUCKETS)
        stats = LookupStats()
        for _flow, number, owner in self._moved_flows():
            first, *others = self._rank(number)
            bucket = number % _BUCKETS
            candidates = [
                host for host in others if bucket in buckets.get(host.name, ())
            ]
            if first.name == self._dead_host:
                stats.lost_packets += 1
            hops = [host.name for host in candidates].index(owner) + 1
            stats.hops.append(hops)
            delay = _RETRY_SECONDS if first.name == self._dead_host else 0
            stats.seconds.append(delay + (hops + 1) * _ONE_WAY_DELAY_SECONDS)
        return stats

    def _open(self) -> Iterator[tuple[Flow, tuple[int, str]]]:
        for port in range(_FIRST_PORT, _FIRST_PORT + _FLOWS):
            flow = Flow('10.9.0.1', port, *SERVICE_ADDRESS)
            raw = make_packet(flow, SYN)
            self._pool.spray(raw)
            self._pool.run(_OPEN_INTERVAL_SECONDS)
            packet = parse_inner(raw)
            assert packet is not None
            for name, sidecar in self._pool.sidecars.items():
                if sidecar.handler.flows.get(packet.flow):
                    yield flow, (packet.key, name)

    def _moved_flows(self) -> Iterator[tuple[Flow, int, str]]:
        """Yield the flows whose owner is no longer their primary host."""
        for flow, (number, owner) in self._owners.items():
            if self._rank(number)[0].name != owner:
                yield flow, number, owner

    def _send_packet(self, stats: LookupStats, raw: bytes) -> None:
        start = self._pool.clock.now
        self._arrival_times.clear()
        for _ in range(_MAX_TRIES):
            self._hops = 0
            self._pool.spray(raw)
            self._pool.run(_RETRY_SECONDS)
            if self._arrival_times:
                stats.hops.append(self._hops)
                stats.seconds.append(self._arrival_times[0] - start)
                return
            stats.lost_packets += 1
        stats.never_found += 1

    def _estimate_query(
        self,
        stats: LookupStats,
        ranked: list[Host],
        owner: str,
    ) -> None:
        seconds = _ONE_WAY_DELAY_SECONDS
        for hops, host in enumerate(ranked):
            if host.name == owner:
                stats.hops.append(2 * hops)
                stats.seconds.append(seconds)
                return
            is_dead = host.name == self._dead_host
            seconds += (
                _QUERY_TIMEOUT_SECONDS
                if is_dead
                else 2 * _ONE_WAY_DELAY_SECONDS
            )

    def _observe(self, datagram: bytes, receiver: Address) -> None:
        if receiver[1] == UPSTREAM_PORT:
            self._arrival_times.append(self._pool.clock.now)
        elif datagram[_BODY_OFFSET] == _PACKET_KIND:
            self._hops = max(self._hops, datagram[_BODY_OFFSET + 2] >> 4)


def _is_control(datagram: bytes) -> bool:
    """Return whether a datagram is a control message, as pointers are."""
    return datagram[_BODY_OFFSET] != _PACKET_KIND
