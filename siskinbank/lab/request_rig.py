"""The real request path in one process: entries, links, sidecars, upstreams.

All parts talk over loopback, in real time; the clock of the processes can be
moved forward.
"""

import asyncio
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from siskinbank.choice.primary_hosts import PrimaryHosts
from siskinbank.choice.router import Router
from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import Manifest, make_site
from siskinbank.config.site import Address, Site
from siskinbank.directory.view import FleetView
from siskinbank.entry.context import EntryContext
from siskinbank.entry.links import RequestLinks
from siskinbank.ingress.http import start_http
from siskinbank.ingress.registry import IngressHandle
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.timers import TimerService
from siskinbank.lab.faulty_link import FaultyLink, LinkFaults
from siskinbank.lab.plain_streams import PlainStreams
from siskinbank.lab.ports import free_ports
from siskinbank.lab.request_upstream import RequestUpstream
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.settings import EntrySettings, SidecarSettings
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.requests import RequestServer
from siskinbank.sidecar.streams import start_streams
from siskinbank.wire.keys import KEY_BYTES, Key, KeyRing

__all__ = ('RequestRig', 'RigEntry', 'RigHost')

SERVICE = 'matcher'
_KEYS = KeyRing([Key(1, bytes(KEY_BYTES))])
_PORTS_A_HOST = 3


#: More rigs than this never run at a time.
_MAX_RIGS = 60_000
_numbers = itertools.count()


@dataclass(slots=True)
class RigEntry:
    """A real entry's request side."""

    process: ProcessContext
    view: FleetView
    address: str
    handle: IngressHandle
    url: str


@dataclass(slots=True)
class RigHost:
    """A host: faulty link, real sidecar, and its upstream."""

    name: str
    link: FaultyLink
    link_address: Address
    sidecar_address: Address
    upstream: RequestUpstream
    upstream_address: Address
    process: ProcessContext | None = None
    view: FleetView | None = None
    state: str = 'active'


@dataclass(slots=True)
class RequestRig:
    """Entries and hosts of one service; made with ``start``."""

    rng: random.Random
    slots: int = 3
    skew: float = 0
    port: int = 0
    number: int = 0
    generation: int = 0
    entries: list[RigEntry] = field(default_factory=list)
    hosts: dict[str, RigHost] = field(default_factory=dict)

    def clock(self) -> float:
        """Return the clock of all processes in seconds."""
        return asyncio.get_running_loop().time() + self.skew

    async def start(
        self,
        entries: int,
        hosts: int,
        faults: LinkFaults | None = None,
    ) -> None:
        """Start all parts.

        Raises:
            OSError: an address could not be bound.
        """
        self.number = next(_numbers) % _MAX_RIGS
        address = _address(0, self.number)
        self.port, *ports = free_ports(1 + hosts * _PORTS_A_HOST, address)
        for number in range(hosts):
            first = number * _PORTS_A_HOST
            await self._add_host(
                f'{SERVICE}-{number + 1}',
                ports[first : first + _PORTS_A_HOST],
                faults or LinkFaults(),
            )
        self.generation = 1
        for name in self.hosts:
            await self.start_sidecar(name)
        for number in range(entries):
            await self._add_entry(number)
        self.publish(bump=False)

    async def stop(self) -> None:
        """Stop all parts."""
        for entry in self.entries:
            await entry.process.close()
        for host in self.hosts.values():
            await host.link.close()
            await self.kill_sidecar(host.name)
            await host.upstream.stop()

    def publish(self, *, bump: bool = True) -> None:
        """Put the states of the hosts in force everywhere."""
        self.generation += int(bump)
        site = self.site()
        for view in self.views():
            view.adopt(site)

    def publish_to(self, *parts: RigEntry | RigHost) -> None:
        """Put the states of the hosts in force at some parts only."""
        self.generation += 1
        site = self.site()
        for part in parts:
            if part.view is not None:
                part.view.adopt(site)

    def views(self) -> list[FleetView]:
        """Return what all processes believe."""
        views = [entry.view for entry in self.entries]
        views.extend(host.view for host in self.hosts.values() if host.view)
        return views

    def site(self) -> Site:
        """Return the site as the hosts' states are now."""
        document = {
            'site': 'lab',
            'data_centres': {'a': {}},
            'services': {
                SERVICE: {
                    'ingress': {'http': {'port': self.port}},
                    'slots': self.slots,
                    'cold': {
                        'connections': 2000,
                        'slots': self.slots,
                        'warm_up_seconds': 0,
                    },
                    'hosts': {
                        name: _host_document(host)
                        for name, host in self.hosts.items()
                        if host.state != 'absent'
                    },
                },
            },
        }
        model = DocumentModel.model_validate(document)
        return make_site(model, Manifest(self.generation, {}))

    async def start_sidecar(self, name: str) -> None:
        """Start a sidecar, with a new incarnation."""
        host = self.hosts[name]
        process, view = self._process('sidecar', name)
        settings = SidecarSettings(
            name,
            'a',
            host.sidecar_address,
            host.sidecar_address,
            '',
            _KEYS,
            None,
            None,
            'http://{0}:{1}'.format(*host.upstream_address),
        )
        peers = PeerSocket(_KEYS, process.metrics)
        context = SidecarContext(
            process,
            settings,
            view,
            peers,
            PlainStreams(process, _KEYS),
        )
        await start_streams(context, RequestServer(context))
        view.adopt(self.site())
        host.process = process
        host.view = view

    async def kill_sidecar(self, name: str) -> None:
        """End a sidecar at once; what it remembers is lost."""
        host = self.hosts[name]
        if host.process is not None:
            await host.process.close()
        host.process = None
        host.view = None

    async def drain_sidecar(self, name: str) -> None:
        """Stop a sidecar as planned."""
        process = self.hosts[name].process
        assert process is not None
        process.stopping.set()
        await process.drain()
        await self.kill_sidecar(name)

    async def drain_entry(self, number: int) -> None:
        """Stop an entry as planned."""
        entry = self.entries[number]
        entry.process.stopping.set()
        await entry.handle.drain()

    def urls(self, count: int | None = None) -> Sequence[str]:
        """Return the base URLs of the entries."""
        return [entry.url for entry in self.entries[:count]]

    async def _add_host(
        self,
        name: str,
        ports: Sequence[int],
        faults: LinkFaults,
    ) -> None:
        link_address, sidecar, upstream = (
            (_address(0, self.number), port) for port in ports
        )
        link = FaultyLink(sidecar, faults, self.rng)
        await link.start(link_address)
        stand_in = RequestUpstream(name, self.slots, self.rng)
        await stand_in.start(upstream)
        self.hosts[name] = RigHost(
            name,
            link,
            link_address,
            sidecar,
            stand_in,
            upstream,
        )

    async def _add_entry(self, number: int) -> None:
        address = _address(number + 1, self.number)
        process, view = self._process('entry', f'entry-{number + 1}')
        bind = (address, self.port)
        settings = EntrySettings(
            process.name,
            'a',
            bind,
            bind,
            '',
            _KEYS,
            None,
            address,
        )
        context = EntryContext(
            process,
            settings,
            view,
            Router(view),
            PeerSocket(_KEYS, process.metrics),
            RequestLinks(process, PlainStreams(process, _KEYS)),
            PrimaryHosts(view),
        )
        handle = await start_http(context, '0.0.0.0', self.port)
        url = f'http://{address}:{self.port}'
        self.entries.append(RigEntry(process, view, address, handle, url))

    def _process(self, role: str, name: str) -> tuple[ProcessContext, Any]:
        timers = TimerService(self.clock)
        process = ProcessContext(role, name, timers)
        process.start_task(timers.run())
        return process, FleetView(process.log, self.clock)


def _address(part: int, rig: int) -> str:
    """Return a loopback address of one rig's own; 0 is for its hosts."""
    return f'127.{part + 1}.{rig >> 8}.{rig & 0xFF}'


def _host_document(host: RigHost) -> dict[str, Any]:
    return {
        'data_centre': 'a',
        'address': host.link_address[0],
        'port': host.link_address[1],
        'state': host.state,
    }


async def wait_until(check: Any, seconds: float = 5) -> None:
    """Wait until ``check`` returns true.

    Raises:
        TimeoutError: it did not in time.
    """
    async with asyncio.timeout(seconds):
        while not check():
            await asyncio.sleep(0.01)
