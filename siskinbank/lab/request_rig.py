"""The complete request path in one process.

Entries, links, sidecars and upstreams communicate over loopback. Their time is
that of the event loop; the clock of entries and sidecars can be moved forward.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
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
from siskinbank.peers.connect import PeerStreams
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.settings import EntrySettings, SidecarSettings
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.requests import RequestServer
from siskinbank.sidecar.streams import start_streams
from siskinbank.wire.keys import KEY_BYTES, Key, KeyRing

__all__ = ('RequestRig', 'RigEntry', 'RigHost')

SERVICE = 'matcher'
_KEY_RING = KeyRing([Key(1, bytes(KEY_BYTES))])
#: Ports of the link, the sidecar and the upstream.
_PORTS_PER_HOST = 3

#: Rig numbers wrap around at this value, as a rig's addresses have 16 bits for
#: its number. Fewer rigs than this run at the same time.
_MAX_RIGS = 60_000
_rig_numbers = itertools.count()

StreamsOfProcess = Callable[[ProcessContext], PeerStreams]


def _open_plain_streams(process: ProcessContext) -> PeerStreams:
    return PlainStreams(process, _KEY_RING)


@dataclass(slots=True)
class RigEntry:
    """An entry with only its request path.

    Attributes:
        process: process context of the entry.
        view: the entry's view of the fleet.
        address: loopback address of the entry.
        handle: handle of its ``http`` ingress.
        url: base URL for callers.
    """

    process: ProcessContext
    view: FleetView
    address: str
    handle: IngressHandle
    url: str


@dataclass(slots=True)
class RigHost:
    """A host with its faulty link, sidecar and upstream.

    Attributes:
        name: name of the host.
        link: link between the entries and the sidecar.
        link_address: address that the link listens on; the host's address in
            the configuration.
        sidecar_address: address that the sidecar binds.
        upstream: stand-in for the upstream.
        upstream_address: address that the upstream binds.
        process: process context of the sidecar; None while it is stopped.
        view: the sidecar's view of the fleet; None while it is stopped.
        state: state in the next configuration; a host that is ``absent`` is
            left out.
    """

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
    """Entries and hosts of one service, created by ``start``.

    Attributes:
        rng: source of randomness for links and upstreams.
        slots: requests that each upstream runs at the same time.
        clock_offset: seconds by which the clock of entries and sidecars is
            ahead of the event loop's.
        streams: creates the streams of an entry or a sidecar. The links
            forward unencrypted streams only.
        port: port of the ``http`` ingress at all entries.
        number: number of the rig, part of its loopback addresses.
        generation: generation of the latest configuration.
        entries: entries in the order of their start.
        hosts: hosts by name.
    """

    rng: random.Random
    slots: int = 3
    clock_offset: float = 0
    streams: StreamsOfProcess = _open_plain_streams
    port: int = 0
    number: int = 0
    generation: int = 0
    entries: list[RigEntry] = field(default_factory=list)
    hosts: dict[str, RigHost] = field(default_factory=dict)

    def clock(self) -> float:
        """Return the time of all entries and sidecars in seconds."""
        return asyncio.get_running_loop().time() + self.clock_offset

    async def start(
        self,
        entries: int,
        hosts: int,
        faults: LinkFaults | None = None,
    ) -> None:
        """Start all entries, links, sidecars and upstreams.

        Args:
            entries: number of entries.
            hosts: number of hosts.
            faults: faults of all links; none by default.

        Raises:
            OSError: an address could not be bound.
        """
        self.number = next(_rig_numbers) % _MAX_RIGS
        address = _address(0, self.number)
        self.port, *ports = free_ports(1 + hosts * _PORTS_PER_HOST, address)
        for number in range(hosts):
            port_index = number * _PORTS_PER_HOST
            await self._add_host(
                f'{SERVICE}-{number + 1}',
                ports[port_index : port_index + _PORTS_PER_HOST],
                faults or LinkFaults(),
            )
        self.generation = 1
        for name in self.hosts:
            await self.start_sidecar(name)
        for number in range(entries):
            await self._add_entry(number)
        self.publish(new_generation=False)

    async def stop(self) -> None:
        """Stop all entries, links, sidecars and upstreams."""
        for entry in self.entries:
            await entry.process.close()
        for host in self.hosts.values():
            await host.link.close()
            await self.kill_sidecar(host.name)
            await host.upstream.stop()

    def publish(self, *, new_generation: bool = True) -> None:
        """Apply the current host states to all entries and sidecars.

        Args:
            new_generation: whether to publish them as a new generation.
        """
        self.generation += int(new_generation)
        site = self.site()
        for view in self.views():
            view.adopt(site)

    def publish_to(self, *recipients: RigEntry | RigHost) -> None:
        """Apply the current host states as a new generation at some processes.

        Args:
            recipients: entries, and hosts whose sidecars get the generation;
                a stopped sidecar is skipped.
        """
        self.generation += 1
        site = self.site()
        for recipient in recipients:
            if recipient.view is not None:
                recipient.view.adopt(site)

    def views(self) -> list[FleetView]:
        """Return the fleet views of all entries and running sidecars."""
        views = [entry.view for entry in self.entries]
        views.extend(host.view for host in self.hosts.values() if host.view)
        return views

    def site(self) -> Site:
        """Return the site with the current host states."""
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
        """Start a sidecar as a new incarnation."""
        host = self.hosts[name]
        process, view = self._create_process('sidecar', name)
        settings = SidecarSettings(
            name,
            'a',
            host.sidecar_address,
            host.sidecar_address,
            '',
            _KEY_RING,
            None,
            host.upstream_address,
            'http://{0}:{1}'.format(*host.upstream_address),
        )
        peers = PeerSocket(_KEY_RING, process.metrics)
        context = SidecarContext(
            process,
            settings,
            view,
            peers,
            self.streams(process),
        )
        await start_streams(context, RequestServer(context))
        view.adopt(self.site())
        host.process = process
        host.view = view

    async def kill_sidecar(self, name: str) -> None:
        """Stop a sidecar without draining; its state is lost."""
        host = self.hosts[name]
        if host.process is not None:
            await host.process.close()
        host.process = None
        host.view = None

    async def drain_sidecar(self, name: str) -> None:
        """Drain a sidecar and stop it."""
        process = self.hosts[name].process
        assert process is not None
        process.stopping.set()
        await process.drain()
        await self.kill_sidecar(name)

    async def drain_entry(self, number: int) -> None:
        """Drain an entry.

        Args:
            number: index in ``entries``.
        """
        entry = self.entries[number]
        entry.process.stopping.set()
        await entry.handle.drain()

    def urls(self, count: int | None = None) -> Sequence[str]:
        """Return the base URLs of the first ``count`` entries, or of all."""
        return [entry.url for entry in self.entries[:count]]

    async def _add_host(
        self,
        name: str,
        ports: Sequence[int],
        faults: LinkFaults,
    ) -> None:
        link_address, sidecar_address, upstream_address = (
            (_address(0, self.number), port) for port in ports
        )
        link = FaultyLink(sidecar_address, faults, self.rng)
        await link.start(link_address)
        upstream = RequestUpstream(name, self.slots, self.rng)
        await upstream.start(upstream_address)
        self.hosts[name] = RigHost(
            name,
            link,
            link_address,
            sidecar_address,
            upstream,
            upstream_address,
        )

    async def _add_entry(self, number: int) -> None:
        address = _address(number + 1, self.number)
        process, view = self._create_process('entry', f'entry-{number + 1}')
        bind = (address, self.port)
        settings = EntrySettings(
            process.name,
            'a',
            bind,
            bind,
            '',
            _KEY_RING,
            None,
            address,
        )
        context = EntryContext(
            process,
            settings,
            view,
            Router(view),
            PeerSocket(_KEY_RING, process.metrics),
            RequestLinks(process, self.streams(process)),
            PrimaryHosts(view),
        )
        handle = await start_http(context, '0.0.0.0', self.port)
        url = f'http://{address}:{self.port}'
        self.entries.append(RigEntry(process, view, address, handle, url))

    def _create_process(
        self,
        role: str,
        name: str,
    ) -> tuple[ProcessContext, Any]:
        timers = TimerService(self.clock)
        process = ProcessContext(role, name, timers)
        process.start_task(timers.run())
        return process, FleetView(process.log, self.clock)


def _address(index: int, rig_number: int) -> str:
    """Return a loopback address of a rig.

    Args:
        index: 0 for the address of all hosts, which differ by their ports, or
            the number of an entry plus 1.
        rig_number: number of the rig.
    """
    return f'127.{index + 1}.{rig_number >> 8}.{rig_number & 0xFF}'


def _host_document(host: RigHost) -> dict[str, Any]:
    return {
        'data_centre': 'a',
        'address': host.link_address[0],
        'port': host.link_address[1],
        'state': host.state,
    }


async def wait_until(check: Any, seconds: float = 5) -> None:
    """Poll ``check`` until it returns true.

    Args:
        check: function without arguments.
        seconds: time limit.

    Raises:
        TimeoutError: ``check`` did not return true within ``seconds``.
    """
    async with asyncio.timeout(seconds):
        while not check():
            await asyncio.sleep(0.01)
