"""An in-memory pool of real entries and sidecars on a simulated network."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from siskinbank.choice.primary_hosts import PrimaryHosts
from siskinbank.choice.router import Router
from siskinbank.config.site import Address, Site
from siskinbank.directory.view import FleetView
from siskinbank.entry.context import EntryContext
from siskinbank.entry.links import RequestLinks
from siskinbank.ingress.fou import PacketIngress
from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.timers import TimerService
from siskinbank.lab.network import FakeNetwork
from siskinbank.peers.connect import PeerStreams
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.settings import EntrySettings, SidecarSettings
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.packets import PacketHandler
from siskinbank.wire.keys import KEY_BYTES, Key, KeyRing
from siskinbank.wire.packets import InnerPacket, parse_inner

__all__ = ('UPSTREAM_PORT', 'FakeUpstream', 'Pool', 'PoolEntry', 'PoolSidecar')

_TIMER_TICK_SECONDS = 0.1
_DEFAULT_KEYS = KeyRing([Key(1, bytes(KEY_BYTES))])
#: UDP port of the fake upstreams, at the addresses of their hosts.
UPSTREAM_PORT = 5555


@dataclass(slots=True)
class FakeUpstream:
    """Counts the packets that an upstream receives, by flow.

    Attributes:
        flows: keys of the flows that were opened.
        packets: number of packets by flow key.
        unknown_flows: keys of flows that were not opened here, but of which
            a later packet was received.
        arrival_times: times of all packets.
    """

    flows: set[int] = field(default_factory=set)
    packets: Counter[int] = field(default_factory=Counter)
    unknown_flows: set[int] = field(default_factory=set)
    arrival_times: list[float] = field(default_factory=list)

    def receive(self, packet: InnerPacket, now: float) -> None:
        """Receive one packet."""
        flow = packet.key
        self.packets[flow] += 1
        self.arrival_times.append(now)
        if packet.may_open:
            self.flows.add(flow)
        elif flow not in self.flows:
            self.unknown_flows.add(flow)


@dataclass(slots=True)
class PoolEntry:
    """The packet forwarding of a real entry."""

    process: ProcessContext
    view: FleetView
    ingress: PacketIngress
    alive: bool = True


@dataclass(slots=True)
class PoolSidecar:
    """The packet forwarding of a real sidecar, with a fake upstream."""

    process: ProcessContext
    view: FleetView
    context: SidecarContext
    handler: PacketHandler
    upstream: FakeUpstream
    address: Address
    alive: bool = True


class Pool:
    """Entries and sidecars by name, driven by a virtual clock."""

    def __init__(self, seed: int, keys: KeyRing = _DEFAULT_KEYS) -> None:
        """Create an empty pool whose processes all use ``keys``."""
        self._keys = keys
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        #: The site that was published last; processes may not know it yet.
        self.site: Site | None = None
        self.network = FakeNetwork(self.clock, random.Random(seed + 1))
        self.entries: dict[str, PoolEntry] = {}
        self.sidecars: dict[str, PoolSidecar] = {}

    def add_entry(self, name: str, number: int) -> PoolEntry:
        """Start an entry at an address derived from ``number``."""
        process = self._make_process('entry', name)
        view = FleetView(process.log, self.clock)
        address = (f'10.200.{number >> 8}.{number & 0xFF}', 7100)
        peers = PeerSocket(self._keys, process.metrics)
        peers.attach_transport(self.network.bind(address, peers.receive))
        settings = EntrySettings(
            name, 'a', address, address, '', self._keys, None, ''
        )
        context = EntryContext(
            process,
            settings,
            view,
            Router(view),
            peers,
            RequestLinks(process, PeerStreams(process, self._keys)),
            PrimaryHosts(view),
        )
        entry = PoolEntry(process, view, PacketIngress(context))
        self.entries[name] = entry
        return entry

    def add_sidecar(
        self,
        name: str,
        address: Address,
        upstream: FakeUpstream | None = None,
    ) -> PoolSidecar:
        """Start a sidecar, which replaces one of the same name.

        Args:
            name: name of the sidecar's host in the published site.
            address: address of the sidecar.
            upstream: upstream of the sidecar; a new one by default.
        """
        process = self._make_process('sidecar', name)
        view = FleetView(process.log, self.clock)
        peers = PeerSocket(self._keys, process.metrics)
        peers.attach_transport(self.network.bind(address, peers.receive))
        settings = SidecarSettings(
            name, 'a', address, address, '', self._keys, None, None, None
        )
        context = SidecarContext(
            process,
            settings,
            view,
            peers,
            PeerStreams(process, self._keys),
        )
        fake_upstream = upstream or FakeUpstream()

        def receive(datagram: bytes, _sender: Address) -> None:
            packet = parse_inner(datagram)
            if packet is not None:
                fake_upstream.receive(packet, self.clock.now)

        upstream_address: Address = (address[0], UPSTREAM_PORT)
        self.network.bind(upstream_address, receive)
        transport = _ConnectedTransport(self.network, upstream_address)
        handler = PacketHandler(context, transport)
        sidecar = PoolSidecar(
            process,
            view,
            context,
            handler,
            fake_upstream,
            address,
        )
        self.sidecars[name] = sidecar
        return sidecar

    def publish(self, site: Site, spread: float = 0) -> None:
        """Apply a site at each process at a random time.

        Args:
            site: site to apply.
            spread: maximum delay in seconds; 0 applies it at once.
        """
        self.site = site
        for view in self._views():
            if spread:
                delay = self.rng.uniform(0, spread)
                self.network.after(delay, _make_adopter(view, site))
            else:
                view.adopt(site)

    def kill(self, name: str) -> None:
        """Stop a process without notice."""
        if name in self.sidecars:
            sidecar = self.sidecars[name]
            sidecar.alive = False
            self.network.unbind(sidecar.address)
        else:
            self.entries[name].alive = False

    def spray(self, datagram: bytes) -> PoolEntry:
        """Pass a caller's packet to a random live entry and return that entry."""
        alive = [entry for entry in self.entries.values() if entry.alive]
        entry = self.rng.choice(alive)
        entry.ingress.receive(datagram, ('10.250.0.1', 1))
        return entry

    def run(self, seconds: float) -> None:
        """Advance the virtual clock, delivering packets and running timers."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.network.run(min(_TIMER_TICK_SECONDS, until - self.clock.now))
            for process in self._processes():
                process.timers.run_due()

    def _make_process(self, role: str, name: str) -> ProcessContext:
        timers = TimerService(self.clock, random.Random(name))
        return ProcessContext(role, name, timers)

    def _views(self) -> Iterable[FleetView]:
        for entry in self.entries.values():
            yield entry.view
        for sidecar in self.sidecars.values():
            yield sidecar.view

    def _processes(self) -> Iterable[ProcessContext]:
        for entry in self.entries.values():
            if entry.alive:
                yield entry.process
        for sidecar in self.sidecars.values():
            if sidecar.alive:
                yield sidecar.process


def _make_adopter(view: FleetView, site: Site) -> Callable[[], None]:
    def adopt() -> None:
        view.adopt(site)

    return adopt


class _ConnectedTransport(asyncio.DatagramTransport):
    """A transport that delivers datagrams to one address without delay."""

    def __init__(self, network: FakeNetwork, receiver: Address) -> None:
        super().__init__()
        self._network = network
        self._receiver = receiver

    def sendto(self, data: Any, _addr: Any = None) -> None:
        self._network.deliver(bytes(data), self._receiver)
