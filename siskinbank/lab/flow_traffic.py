"""Long-lived flows through a pool in memory, and what became of each."""

import random
from collections import Counter
from dataclasses import dataclass, field

from siskinbank.choice.registry import Rank
from siskinbank.choice.rendezvous import prepare_rendezvous
from siskinbank.config.site import Host, Site
from siskinbank.lab.pool import UPSTREAM_PORT, Pool, PoolEntry
from siskinbank.lab.sites import SERVICE, SERVICE_ADDRESS, host_address
from siskinbank.lab.standins.packets import (
    ACK,
    SYN,
    Flow,
    make_packet,
    make_udp,
)
from siskinbank.wire.packets import parse_inner

__all__ = ('FlowTraffic', 'LongFlow')

#: So many packets in a row without delivery break a flow.
_LOST_IN_A_ROW = 3
_UDP_SHARE = 0.2
_SYN_COPY_SHARE = 0.3
_SYN_COPY_SECONDS = 3.0
_SEQUENCE_BYTES = 8
_BODY_OFFSET = 13
_PACKET_KIND = 1
_HOPS_OFFSET = _BODY_OFFSET + 2
_HOPS_SHIFT = 4
_FLOWS_AN_ADDRESS = 10_000
_FIRST_PORT = 2000


@dataclass(slots=True)
class LongFlow:
    """One flow, which its caller keeps open to the end.

    ``owner`` is the host that took it; ``naive`` are the hosts that the naive
    balancers chose for its first packet.
    """

    ends: Flow
    number: int
    udp: bool
    owner: str | None = None
    naive: dict[str, str] = field(default_factory=dict)
    waiting: int | None = None
    lost_in_a_row: int = 0
    broken: str | None = None


class FlowTraffic:
    """Sends packets of all flows and watches where they arrive."""

    def __init__(self, pool: Pool, rng: random.Random) -> None:
        """Send through ``pool`` and watch its network."""
        self._pool = pool
        self._rng = rng
        self.flows: list[LongFlow] = []
        self.naive_broken: dict[str, set[int]] = {
            'modulo': set(),
            'rendezvous': set(),
        }
        self.hops: Counter[int] = Counter()
        self.moved_hops: Counter[int] = Counter()
        self.packets = 0
        self.lost = 0
        self.two_owners: set[int] = set()
        self.dead: set[str] = set()
        self._sequence = 0
        self._hosts = {host_address(number)[0]: number for number in range(999)}
        self._arrived: dict[int, str] = {}
        self._hops_of: dict[int, int] = {}
        self._owners: dict[int, int] = {}
        self._firsts: dict[tuple[int, int], str] = {}
        self._ranks: dict[int, Rank] = {}
        pool.network.watch = self._watch
        pool.network.may_lose = _is_control

    def open(self, count: int) -> None:
        """Open flows; some first packets come again through other entries."""
        for _ in range(count):
            flow = self._new_flow()
            self.flows.append(flow)
            self._send(flow, first=True)
            if self._rng.random() < _SYN_COPY_SHARE:
                self._send_copy_later(flow)

    def step(self, site: Site) -> None:
        """Judge the last packet of each flow and send the next one."""
        for flow in self.flows:
            if flow.broken is None:
                self._judge(flow, site)
        for flow in self.flows:
            if flow.broken is None:
                self._send(flow, first=flow.owner is None)

    def finish(self, site: Site) -> None:
        """Judge the last packets."""
        for flow in self.flows:
            if flow.broken is None:
                self._judge(flow, site)

    def broken(self) -> list[LongFlow]:
        """Return the flows that broke though their host lives."""
        return [
            flow
            for flow in self.flows
            if flow.broken and flow.owner not in self.dead
        ]

    def _new_flow(self) -> LongFlow:
        count = len(self.flows)
        address = f'10.9.0.{count // _FLOWS_AN_ADDRESS}'
        port = _FIRST_PORT + count % _FLOWS_AN_ADDRESS
        ends = Flow(address, port, *SERVICE_ADDRESS)
        udp = self._rng.random() < _UDP_SHARE
        packet = parse_inner(make_udp(ends) if udp else make_packet(ends, SYN))
        assert packet is not None
        return LongFlow(ends, packet.key, udp)

    def _send_copy_later(self, flow: LongFlow) -> None:
        delay = self._rng.uniform(0, _SYN_COPY_SECONDS)
        raw = self._packet(flow, first=True, sequence=0)

        def send() -> None:
            self._pool.spray(raw)

        self._pool.network.after(delay, send)

    def _send(self, flow: LongFlow, *, first: bool) -> None:
        self._sequence += 1
        flow.waiting = self._sequence
        self.packets += 1
        raw = self._packet(flow, first=first, sequence=self._sequence)
        entry = self._pool.spray(raw)
        self._send_naively(flow, entry)

    def _packet(self, flow: LongFlow, *, first: bool, sequence: int) -> bytes:
        payload = sequence.to_bytes(_SEQUENCE_BYTES, 'big')
        if flow.udp:
            return make_udp(flow.ends, payload)
        return make_packet(flow.ends, SYN if first else ACK, payload)

    def _send_naively(self, flow: LongFlow, entry: PoolEntry) -> None:
        site = entry.view.site
        if site is None:
            return
        hosts = _present(site)
        choices = {
            'modulo': hosts[flow.number % len(hosts)].name,
            'rendezvous': self._first(site, flow.number),
        }
        for name, chosen in choices.items():
            if flow.naive.setdefault(name, chosen) != chosen:
                self.naive_broken[name].add(flow.number)

    def _watch(self, datagram: bytes, receiver: tuple[str, int]) -> None:
        if receiver[1] == UPSTREAM_PORT:
            self._note_arrival(datagram, receiver[0])
        elif datagram[_BODY_OFFSET] == _PACKET_KIND:
            sequence = _sequence_of(datagram)
            hops = datagram[_HOPS_OFFSET] >> _HOPS_SHIFT
            self._hops_of[sequence] = max(hops, self._hops_of.get(sequence, 0))

    def _note_arrival(self, raw: bytes, address: str) -> None:
        host = self._hosts[address]
        sequence = _sequence_of(raw)
        packet = parse_inner(raw)
        assert packet is not None
        self._arrived[sequence] = f'{SERVICE}-{host}'
        if self._owners.setdefault(packet.key, host) != host:
            self.two_owners.add(packet.key)

    def _judge(self, flow: LongFlow, site: Site) -> None:
        if flow.waiting is None:
            return
        arrived = self._arrived.pop(flow.waiting, None)
        hops = self._hops_of.pop(flow.waiting, 0)
        flow.waiting = None
        if arrived is None:
            self._judge_lost(flow)
            return
        flow.lost_in_a_row = 0
        opened = flow.owner is None
        flow.owner = flow.owner or arrived
        if arrived != flow.owner:
            flow.broken = f'delivered to {arrived}, not {flow.owner}'
        if opened:
            return
        self.hops[hops] += 1
        if self._first(site, flow.number) != flow.owner:
            self.moved_hops[hops] += 1

    def _judge_lost(self, flow: LongFlow) -> None:
        if flow.owner in self.dead:
            flow.broken = 'its host is dead'
            return
        self.lost += 1
        flow.lost_in_a_row += 1
        if flow.owner is not None and flow.lost_in_a_row >= _LOST_IN_A_ROW:
            flow.broken = 'lost'

    def _first(self, site: Site, number: int) -> str:
        key = (site.generation, number)
        if key not in self._firsts:
            rank = self._ranks.get(site.generation)
            if rank is None:
                rank = prepare_rendezvous(_present(site), 1)
                self._ranks[site.generation] = rank
            self._firsts[key] = rank(number)[0].name
        return self._firsts[key]


def _present(site: Site) -> list[Host]:
    hosts = site.services[SERVICE].hosts
    return [host for host in hosts if not site.is_out(host)]


def _is_control(datagram: bytes) -> bool:
    return datagram[_BODY_OFFSET] != _PACKET_KIND


def _sequence_of(raw: bytes) -> int:
    return int.from_bytes(raw[-_SEQUENCE_BYTES:], 'big')
