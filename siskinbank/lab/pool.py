"""A pool in memory: the real entries and sidecars over a fake network."""

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

_TICK_SECONDS = 0.1
_KEYS = KeyRing([Key(1, bytes(KEY_BYTES))])
#: Where the fake upstreams receive, at their hosts' own addresses.
UPSTREAM_PORT = 5555


@dataclass(slots=True)
class FakeUpstream:
    """Counts what an upstream gets, flow by flow.

    ``broken`` holds flows of which a packet came that the upstream has no
    state for.
    """

    flows: set[int] = field(default_factory=set)
    packets: Counter[int] = field(default_factory=Counter)
    broken: set[int] = field(default_factory=set)
    arrivals: list[float] = field(default_factory=list)

    def receive(self, packet: InnerPacket, now: float) -> None:
        """Take one packet."""
        flow = packet.key
        self.packets[flow] += 1
        self.arrivals.append(now)
        if packet.may_open:
            self.flows.add(flow)
        elif flow not in self.flows:
            self.broken.add(flow)


@dataclass(slots=True)
class PoolEntry:
    """A real entry's packet side."""

    process: ProcessContext
    view: FleetView
    ingress: PacketIngress
    alive: bool = True


@dataclass(slots=True)
class PoolSidecar:
    """A real sidecar's packet side beside a fake upstream."""

    process: ProcessContext
    view: FleetView
    context: SidecarContext
    handler: PacketHandler
    upstream: FakeUpstream
    address: Address
    alive: bool = True


class Pool:
    """Entries and sidecars by name, in virtual time."""

    def __init__(self, seed: int, keys: KeyRing = _KEYS) -> None:
        """Start empty; all processes share ``keys``."""
        self._keys = keys
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.network = FakeNetwork(self.clock, random.Random(seed + 1))
        self.entries: dict[str, PoolEntry] = {}
        self.sidecars: dict[str, PoolSidecar] = {}

    def add_entry(self, name: str, number: int) -> PoolEntry:
        """Start an entry at an address made of ``number``."""
        process = self._process('entry', name)
        view = FleetView(process.log, self.clock)
        address = (f'10.200.{number >> 8}.{number & 0xFF}', 7100)
        peers = PeerSocket(self._keys, process.metrics)
        peers.use(self.network.bind(address, peers.receive))
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
        """Start a sidecar beside an upstream, a fresh one by default.

        It replaces one of its name, which must be a host's name in the site
        that is published.
        """
        process = self._process('sidecar', name)
        view = FleetView(process.log, self.clock)
        peers = PeerSocket(self._keys, process.metrics)
        peers.use(self.network.bind(address, peers.receive))
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
        beside = upstream or FakeUpstream()

        def receive(datagram: bytes, _sender: Address) -> None:
            packet = parse_inner(datagram)
            if packet is not None:
                beside.receive(packet, self.clock.now)

        inner: Address = (address[0], UPSTREAM_PORT)
        self.network.bind(inner, receive)
        transport = _Connected(self.network, inner)
        handler = PacketHandler(context, transport)
        sidecar = PoolSidecar(
            process,
            view,
            context,
            handler,
            beside,
            address,
        )
        self.sidecars[name] = sidecar
        return sidecar

    def publish(self, site: Site, spread: float = 0) -> None:
        """Put a site in force at each process within ``spread`` seconds."""
        for view in self._views():
            if spread:
                delay = self.rng.uniform(0, spread)
                self.network.after(delay, _adopter(view, site))
            else:
                view.adopt(site)

    def kill(self, name: str) -> None:
        """End a process without warning."""
        if name in self.sidecars:
            sidecar = self.sidecars[name]
            sidecar.alive = False
            self.network.unbind(sidecar.address)
        else:
            self.entries[name].alive = False

    def spray(self, datagram: bytes) -> PoolEntry:
        """Hand a caller's packet to any entry; return which one got it."""
        alive = [entry for entry in self.entries.values() if entry.alive]
        entry = self.rng.choice(alive)
        entry.ingress.receive(datagram, ('10.250.0.1', 1))
        return entry

    def run(self, seconds: float) -> None:
        """Let virtual time pass, timers included."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.network.run(min(_TICK_SECONDS, until - self.clock.now))
            for process in self._processes():
                process.timers.run_due()

    def _process(self, role: str, name: str) -> ProcessContext:
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


def _adopter(view: FleetView, site: Site) -> Callable[[], None]:
    def adopt() -> None:
        view.adopt(site)

    return adopt


class _Connected(asyncio.DatagramTransport):
    """A transport whose datagrams all go to one address at once."""

    def __init__(self, network: FakeNetwork, receiver: Address) -> None:
        super().__init__()
        self._network = network
        self._receiver = receiver

    def sendto(self, data: Any, _addr: Any = None) -> None:
        self._network.deliver(bytes(data), self._receiver)
