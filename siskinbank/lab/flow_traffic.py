"""Sends long-lived flows through an in-memory pool and tracks delivery."""

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

#: A flow is broken after this many consecutive lost packets.
_BROKEN_AFTER_LOSSES = 3
_UDP_SHARE = 0.2
_SYN_RETRANSMIT_SHARE = 0.3
_MAX_SYN_RETRANSMIT_SECONDS = 3.0
_SEQUENCE_BYTES = 8
#: A sealed datagram has the key number and the 12-byte MAC before its body.
_BODY_OFFSET = 13
#: First byte of a body that holds an envelope.
_PACKET_KIND = 1
#: The upper four bits of this byte of an envelope are the hop count.
_HOPS_OFFSET = _BODY_OFFSET + 2
_HOPS_SHIFT = 4
_FLOWS_PER_ADDRESS = 10_000
_FIRST_PORT = 2000


@dataclass(slots=True)
class LongFlow:
    """One flow, which its caller keeps open until the end of the run.

    Attributes:
        endpoints: addresses and ports of caller and service.
        number: 64-bit number of the flow, as entries and sidecars compute it.
        udp: whether it is a UDP flow.
        owner: host that accepted the flow.
        naive_hosts: hosts that the naive balancers chose for the first
            packet, by balancer.
        pending_sequence: sequence number of the packet whose delivery is not
            checked yet.
        consecutive_losses: number of packets lost since the last delivery.
        failure: why the flow broke.
    """

    endpoints: Flow
    number: int
    udp: bool
    owner: str | None = None
    naive_hosts: dict[str, str] = field(default_factory=dict)
    pending_sequence: int | None = None
    consecutive_losses: int = 0
    failure: str | None = None


class FlowTraffic:
    """Sends packets of all flows and records where they are delivered.

    Attributes:
        flows: all flows that were opened.
        naive_broken: numbers of the flows that would have broken with a naive
            balancer, by balancer.
        hops: number of delivered packets by extra hops, without the first
            packet of each flow.
        moved_hops: the same for flows whose owner is not their primary host.
        packets: number of packets sent.
        lost_packets: number of packets that were not delivered, without those
            of killed hosts.
        two_owners: numbers of the flows that reached two hosts.
        dead_hosts: hosts that were killed.
    """

    def __init__(self, pool: Pool, rng: random.Random) -> None:
        """Initialize without flows and observe the network of ``pool``."""
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
        self.lost_packets = 0
        self.two_owners: set[int] = set()
        self.dead_hosts: set[str] = set()
        self._sequence = 0
        self._host_numbers = {
            host_address(number)[0]: number for number in range(999)
        }
        self._delivered_to: dict[int, str] = {}
        self._hops_by_sequence: dict[int, int] = {}
        self._owners: dict[int, int] = {}
        self._primary_cache: dict[tuple[int, int], str] = {}
        self._ranks: dict[int, Rank] = {}
        pool.network.on_deliver = self._observe
        pool.network.may_lose = _is_control

    def open(self, count: int) -> None:
        """Open flows; retransmit some first packets to a random entry."""
        for _ in range(count):
            flow = self._new_flow()
            self.flows.append(flow)
            self._send(flow, first=True)
            if self._rng.random() < _SYN_RETRANSMIT_SHARE:
                self._retransmit_later(flow)

    def step(self, site: Site) -> None:
        """Check the last packet of each flow and send the next one."""
        for flow in self.flows:
            if flow.failure is None:
                self._check_delivery(flow, site)
        for flow in self.flows:
            if flow.failure is None:
                self._send(flow, first=flow.owner is None)

    def finish(self, site: Site) -> None:
        """Check the delivery of the last packet of each flow."""
        for flow in self.flows:
            if flow.failure is None:
                self._check_delivery(flow, site)

    def broken_flows(self) -> list[LongFlow]:
        """Return the broken flows whose owner was not killed."""
        return [
            flow
            for flow in self.flows
            if flow.failure and flow.owner not in self.dead_hosts
        ]

    def _new_flow(self) -> LongFlow:
        count = len(self.flows)
        address = f'10.9.0.{count // _FLOWS_PER_ADDRESS}'
        port = _FIRST_PORT + count % _FLOWS_PER_ADDRESS
        endpoints = Flow(address, port, *SERVICE_ADDRESS)
        udp = self._rng.random() < _UDP_SHARE
        packet = parse_inner(
            make_udp(endpoints) if udp else make_packet(endpoints, SYN)
        )
        assert packet is not None
        return LongFlow(endpoints, packet.key, udp)

    def _retransmit_later(self, flow: LongFlow) -> None:
        delay = self._rng.uniform(0, _MAX_SYN_RETRANSMIT_SECONDS)
        raw = self._make_packet(flow, first=True, sequence=0)

        def send() -> None:
            self._pool.spray(raw)

        self._pool.network.after(delay, send)

    def _send(self, flow: LongFlow, *, first: bool) -> None:
        self._sequence += 1
        flow.pending_sequence = self._sequence
        self.packets += 1
        raw = self._make_packet(flow, first=first, sequence=self._sequence)
        entry = self._pool.spray(raw)
        self._record_naive_choices(flow, entry)

    def _make_packet(
        self, flow: LongFlow, *, first: bool, sequence: int
    ) -> bytes:
        payload = sequence.to_bytes(_SEQUENCE_BYTES, 'big')
        if flow.udp:
            return make_udp(flow.endpoints, payload)
        return make_packet(flow.endpoints, SYN if first else ACK, payload)

    def _record_naive_choices(self, flow: LongFlow, entry: PoolEntry) -> None:
        site = entry.view.site
        if site is None:
            return
        hosts = _hosts_in_service(site)
        choices = {
            'modulo': hosts[flow.number % len(hosts)].name,
            'rendezvous': self._primary_host(site, flow.number),
        }
        for name, chosen in choices.items():
            if flow.naive_hosts.setdefault(name, chosen) != chosen:
                self.naive_broken[name].add(flow.number)

    def _observe(self, datagram: bytes, receiver: tuple[str, int]) -> None:
        if receiver[1] == UPSTREAM_PORT:
            self._record_delivery(datagram, receiver[0])
        elif datagram[_BODY_OFFSET] == _PACKET_KIND:
            sequence = _sequence_of(datagram)
            hops = datagram[_HOPS_OFFSET] >> _HOPS_SHIFT
            self._hops_by_sequence[sequence] = max(
                hops, self._hops_by_sequence.get(sequence, 0)
            )

    def _record_delivery(self, raw: bytes, address: str) -> None:
        host = self._host_numbers[address]
        sequence = _sequence_of(raw)
        packet = parse_inner(raw)
        assert packet is not None
        self._delivered_to[sequence] = f'{SERVICE}-{host}'
        if self._owners.setdefault(packet.key, host) != host:
            self.two_owners.add(packet.key)

    def _check_delivery(self, flow: LongFlow, site: Site) -> None:
        if flow.pending_sequence is None:
            return
        arrived = self._delivered_to.pop(flow.pending_sequence, None)
        hops = self._hops_by_sequence.pop(flow.pending_sequence, 0)
        flow.pending_sequence = None
        if arrived is None:
            self._record_loss(flow)
            return
        flow.consecutive_losses = 0
        opened = flow.owner is None
        flow.owner = flow.owner or arrived
        if arrived != flow.owner:
            flow.failure = f'delivered to {arrived}, not {flow.owner}'
        if opened:
            return
        self.hops[hops] += 1
        if self._primary_host(site, flow.number) != flow.owner:
            self.moved_hops[hops] += 1

    def _record_loss(self, flow: LongFlow) -> None:
        if flow.owner in self.dead_hosts:
            flow.failure = 'its host is dead'
            return
        self.lost_packets += 1
        flow.consecutive_losses += 1
        if (
            flow.owner is not None
            and flow.consecutive_losses >= _BROKEN_AFTER_LOSSES
        ):
            flow.failure = 'lost'

    def _primary_host(self, site: Site, number: int) -> str:
        key = (site.generation, number)
        if key not in self._primary_cache:
            rank = self._ranks.get(site.generation)
            if rank is None:
                rank = prepare_rendezvous(_hosts_in_service(site), 1)
                self._ranks[site.generation] = rank
            self._primary_cache[key] = rank(number)[0].name
        return self._primary_cache[key]


def _hosts_in_service(site: Site) -> list[Host]:
    hosts = site.services[SERVICE].hosts
    return [host for host in hosts if not site.is_out(host)]


def _is_control(datagram: bytes) -> bool:
    return datagram[_BODY_OFFSET] != _PACKET_KIND


def _sequence_of(raw: bytes) -> int:
    return int.from_bytes(raw[-_SEQUENCE_BYTES:], 'big')
