"""Ways to find the owner of a moved flow, by hops, delay and lost packets."""

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
_ADDED = 3
_FLOWS = 600
_FIRST_PORT = 2000
_SETTLE_SECONDS = 70
_PACE_SECONDS = 0.005
_RETRY_SECONDS = 1.0
_TRIES = 5
_ONE_WAY_SECONDS = 0.001
_ASK_TIMEOUT_SECONDS = 0.3
_BUCKETS = 4096
_NEAR_SHARE = 0.95
_BODY_OFFSET = 13
_PACKET_KIND = 1


@dataclass(slots=True)
class Lookups:
    """How the packets of moved flows fared."""

    hops: list[int] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)
    lost_packets: int = 0
    never_found: int = 0

    def summary(self) -> dict[str, float]:
        """Return means, and the share with at most one extra hop."""
        count = max(len(self.hops), 1)
        near = sum(hops <= 1 for hops in self.hops)
        return {
            'found': len(self.hops),
            'mean_hops': sum(self.hops) / count,
            'near_share': near / count,
            'mean_seconds': sum(self.seconds) / count,
            'lost_packets': self.lost_packets,
            'never_found': self.never_found,
        }


def measure_lookups(seed: int) -> ExperimentReport:
    """Find moved flows by pointers, and in the ways weighed against them."""
    ours: dict[str, dict[str, float]] = {}
    naive: dict[str, dict[str, float]] = {}
    for silent in (False, True):
        label = 'one host silent' if silent else 'all hosts answer'
        run = LookupRun(seed, with_pointers=True)
        run.silence(silent)
        naive[f'asking back by rank, {label}'] = run.ask_back().summary()
        naive[f'bucket occupancy, {label}'] = run.by_buckets().summary()
        ours[label] = run.pass_on().summary()
        bare = LookupRun(seed, with_pointers=False)
        bare.silence(silent)
        naive[f'by rank only, {label}'] = bare.pass_on().summary()
    return ExperimentReport(
        'lookups',
        seed,
        ours,
        naive,
        [
            at_least(
                'share of moved flows found with at most 1 extra hop',
                _NEAR_SHARE,
                ours['all hosts answer']['near_share'],
            ),
        ],
    )


class LookupRun:
    """A pool that has grown, whose entries remember nothing."""

    def __init__(self, seed: int, *, with_pointers: bool) -> None:
        """Open flows, add hosts, and replace the entries."""
        self._rng = random.Random(seed)
        self._pool = Pool(seed)
        plan = PoolPlan(dict.fromkeys(range(_HOSTS), 'active'))
        for number in range(_HOSTS + _ADDED):
            self._pool.add_sidecar(f'{SERVICE}-{number}', host_address(number))
        self._pool.add_entry('entry-0', 0)
        self._pool.publish(plan.next_site())
        self._pool.run(_SETTLE_SECONDS)
        self._owners = dict(self._open())
        if not with_pointers:
            self._pool.network.may_lose = _tells_of_flows
            self._pool.network.loss = 1
        plan.states.update(dict.fromkeys(range(_HOSTS + _ADDED), 'active'))
        self._site: Site = plan.next_site()
        self._pool.publish(self._site)
        self._pool.run(_SETTLE_SECONDS)
        entry = self._pool.add_entry('entry-0', 1)
        entry.view.adopt(self._site)
        hosts = self._site.services[SERVICE].hosts
        self._rank = prepare_rendezvous(hosts, len(hosts))
        self._silent: str | None = None
        self._arrivals: list[float] = []
        self._hops = 0
        self._pool.network.watch = self._watch

    def silence(self, silent: bool) -> None:
        """Kill one of the new hosts, which owns no flow."""
        if silent:
            self._silent = f'{SERVICE}-{_HOSTS}'
            self._pool.kill(self._silent)

    def pass_on(self) -> Lookups:
        """Send one packet of each moved flow, again while it is lost."""
        found = Lookups()
        for flow, _number, _owner in self._moved():
            self._pass_on_one(found, make_packet(flow, ACK, b'x'))
        return found

    def ask_back(self) -> Lookups:
        """Work out the same for an entry that asks one host after another."""
        found = Lookups()
        for _flow, number, owner in self._moved():
            ranked = self._rank(number)
            self._ask_in_order(found, ranked, owner)
        return found

    def by_buckets(self) -> Lookups:
        """Work out the same for hosts that exchange the buckets they own."""
        buckets: dict[str, set[int]] = {}
        for number, owner in self._owners.values():
            buckets.setdefault(owner, set()).add(number % _BUCKETS)
        found = Lookups()
        for _flow, number, owner in self._moved():
            first, *others = self._rank(number)
            bucket = number % _BUCKETS
            likely = [
                host for host in others if bucket in buckets.get(host.name, ())
            ]
            if first.name == self._silent:
                found.lost_packets += 1
            hops = [host.name for host in likely].index(owner) + 1
            found.hops.append(hops)
            delay = _RETRY_SECONDS if first.name == self._silent else 0
            found.seconds.append(delay + (hops + 1) * _ONE_WAY_SECONDS)
        return found

    def _open(self) -> Iterator[tuple[Flow, tuple[int, str]]]:
        for port in range(_FIRST_PORT, _FIRST_PORT + _FLOWS):
            flow = Flow('10.9.0.1', port, *SERVICE_ADDRESS)
            raw = make_packet(flow, SYN)
            self._pool.spray(raw)
            self._pool.run(_PACE_SECONDS)
            packet = parse_inner(raw)
            assert packet is not None
            for name, sidecar in self._pool.sidecars.items():
                if sidecar.handler.flows.get(packet.flow):
                    yield flow, (packet.key, name)

    def _moved(self) -> Iterator[tuple[Flow, int, str]]:
        """Yield the flows whose owner does not rank first any more."""
        for flow, (number, owner) in self._owners.items():
            if self._rank(number)[0].name != owner:
                yield flow, number, owner

    def _pass_on_one(self, found: Lookups, raw: bytes) -> None:
        start = self._pool.clock.now
        self._arrivals.clear()
        for _ in range(_TRIES):
            self._hops = 0
            self._pool.spray(raw)
            self._pool.run(_RETRY_SECONDS)
            if self._arrivals:
                found.hops.append(self._hops)
                found.seconds.append(self._arrivals[0] - start)
                return
            found.lost_packets += 1
        found.never_found += 1

    def _ask_in_order(
        self,
        found: Lookups,
        ranked: list[Host],
        owner: str,
    ) -> None:
        seconds = _ONE_WAY_SECONDS
        for hops, host in enumerate(ranked):
            if host.name == owner:
                found.hops.append(2 * hops)
                found.seconds.append(seconds)
                return
            silent = host.name == self._silent
            seconds += _ASK_TIMEOUT_SECONDS if silent else 2 * _ONE_WAY_SECONDS

    def _watch(self, datagram: bytes, receiver: Address) -> None:
        if receiver[1] == UPSTREAM_PORT:
            self._arrivals.append(self._pool.clock.now)
        elif datagram[_BODY_OFFSET] == _PACKET_KIND:
            self._hops = max(self._hops, datagram[_BODY_OFFSET + 2] >> 4)


def _tells_of_flows(datagram: bytes) -> bool:
    """Whether a datagram is control, so that no pointer arrives."""
    return datagram[_BODY_OFFSET] != _PACKET_KIND
