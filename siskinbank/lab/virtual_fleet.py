"""A fleet in virtual time with its platform and readers."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import Manifest, split_sections
from siskinbank.config.site import Address
from siskinbank.directory.backoff import Backoff
from siskinbank.directory.listing import ListReader
from siskinbank.directory.live import Instance, InstanceState, Role
from siskinbank.directory.roster import Roster, record_of
from siskinbank.kernel.clock import FakeClock
from siskinbank.lab.network import FakeNetwork
from siskinbank.lab.virtual_node import VirtualNode
from siskinbank.peers.gossip import Identity
from siskinbank.peers.readers import (
    READ_INTERVAL_SECONDS,
    READERS_PER_DATA_CENTRE,
    read_interval,
    reader_rank,
)
from siskinbank.util import hex_digest

__all__ = ('CENTRES', 'VirtualFleet', 'VirtualPlatform')

CENTRES = ('north-a', 'north-b', 'south-a', 'south-b')
_REGION_OF_CENTRE = {name: name.split('-')[0] for name in CENTRES}
_ENTRY_SHARE = 410 / 3610
_HOSTS_PER_SERVICE = 9
_PORT = 7100
_WATCH_TIMEOUT_SECONDS = 30
_READ_CHECK_INTERVAL_SECONDS = 0.5
_CALL_LATENCY_SECONDS = 0.005
_GOSSIP_INTERVAL_SECONDS = 1.0


class VirtualPlatform:
    """The platform: serves what is published and counts calls.

    Attributes:
        manifest: manifest that is served.
        sections: sections by digest.
        instances: the live list.
        down: whether calls fail.
        reachable_region: the only region that reaches the platform; empty if
            all regions do.
        conflicting: region whose replica serves another manifest, and that
            manifest; None if all replicas serve the same one.
        calls: number of calls in each second.
        watchers: readers that wait for a change.
    """

    def __init__(self, clock: FakeClock) -> None:
        """Initialize a platform with nothing published."""
        self._clock = clock
        self.manifest = Manifest(0, {})
        self.sections: dict[bytes, bytes] = {}
        self.instances: list[Instance] = []
        self.down = False
        self.reachable_region = ''
        self.conflicting: tuple[str, Manifest] | None = None
        self._previous = self.manifest
        self._latest = self.manifest
        self.calls: Counter[int] = Counter()
        self.watchers: list['VirtualReader'] = []

    def call(self, centre: str = '') -> bool:
        """Count one call and return whether it is answered."""
        self.calls[int(self._clock.now)] += 1
        return not self.down and self.reaches(centre)

    def reaches(self, centre: str) -> bool:
        """Return whether a data centre reaches the platform."""
        region = self.reachable_region
        return not region or not centre or _REGION_OF_CENTRE[centre] == region

    def serve_previous(self) -> None:
        """Serve the document before the latest one, as a stale replica does."""
        self._latest, self.manifest = self.manifest, self._previous

    def serve_latest(self) -> None:
        """Serve the latest document again."""
        self.manifest = self._latest

    def mean_call_rate(self, start: float, end: float) -> float:
        """Return the mean calls per second from ``start`` to ``end``."""
        seconds = range(int(start), int(end))
        total = sum(self.calls[second] for second in seconds)
        return total / max(len(seconds), 1)

    def add(self, sections: Iterable[bytes]) -> None:
        """Store sections by digest."""
        for raw in sections:
            self.sections[bytes.fromhex(hex_digest(raw))] = raw

    def manifest_for(self, centre: str) -> Manifest:
        """Return what the replica of a data centre's region serves."""
        if (
            self.conflicting is not None
            and _REGION_OF_CENTRE[centre] == self.conflicting[0]
        ):
            return self.conflicting[1]
        return self.manifest

    def publish(self, manifest: Manifest, sections: Iterable[bytes]) -> None:
        """Publish a document and answer the open watches."""
        self._previous, self.manifest = self.manifest, manifest
        self.add(sections)
        watchers, self.watchers = self.watchers, []
        for reader in watchers:
            reader.on_change()


class VirtualReader:
    """Reads the platform for one process, at the times of a real process.

    The rank and the interval are computed by the functions of
    ``siskinbank.peers.readers``.
    """

    def __init__(self, node: VirtualNode, platform: VirtualPlatform) -> None:
        """Initialize a reader of ``platform`` for ``node``."""
        self.node = node
        self._platform = platform
        self._lists = ListReader(lambda: node.timers.now)
        self._watching = False
        self._list_due: float = 0
        self._backoff = Backoff(node.rng)
        self._retry_at: float = 0
        self._next_read: float = 0
        node.timers.every(
            _READ_CHECK_INTERVAL_SECONDS, self.read_if_due, jitter=0.2
        )

    def read_if_due(self) -> None:
        """Read the platform if a read is due for the process's rank."""
        gossip = self.node.gossip
        identity = gossip.identity
        now = gossip.now
        if not gossip.joined or now < self._retry_at:
            return
        rank = reader_rank(
            gossip.roster,
            identity.data_centre,
            identity.name,
            gossip.statuses,
        )
        interval = read_interval(
            rank,
            gossip.read_age,
            len(gossip.roster),
            self.node.rng,
        )
        if interval is None:
            self._next_read = 0
            return
        if rank is not None and rank < READERS_PER_DATA_CENTRE:
            self._read_list(_LIST_READ_INTERVAL_SECONDS)
            self._watch()
        elif not self._next_read:
            self._next_read = now + interval
        elif now >= self._next_read:
            self._next_read = now + interval
            self._read_list(0)
            self._read_manifest()

    def on_change(self) -> None:
        """Read the manifest after a watch was answered."""
        self._watching = False
        self.node.timers.after(_CALL_LATENCY_SECONDS, self._process_manifest)

    def _call(self) -> bool:
        """Make a call; back off after each failure."""
        if self._platform.call(self.node.identity.data_centre):
            self._backoff.reset()
            return True
        self._retry_at = self.node.gossip.now + self._backoff.next()
        return False

    def _watch(self) -> None:
        if self._watching or not self._call():
            return
        centre = self.node.identity.data_centre
        manifest = self._platform.manifest_for(centre)
        if manifest.key != self.node.gossip.store.in_force:
            self.node.timers.after(
                _CALL_LATENCY_SECONDS, self._process_manifest
            )
        self._watching = True
        self._platform.watchers.append(self)
        self.node.timers.after(_WATCH_TIMEOUT_SECONDS, self._end_watch)

    def _end_watch(self) -> None:
        if self in self._platform.watchers:
            self._platform.watchers.remove(self)
        self._watching = False

    def _read_manifest(self) -> None:
        if self._call():
            self._process_manifest()

    def _process_manifest(self) -> None:
        platform = self._platform
        gossip = self.node.gossip
        centre = self.node.identity.data_centre
        if platform.down or not platform.reaches(centre):
            return
        gossip.note_read()
        manifest = platform.manifest_for(centre)
        if not gossip.store.wants(manifest.key):
            return
        gossip.store.put_raw(manifest.raw)
        for digest in gossip.store.missing(manifest.key):
            if platform.call():
                gossip.store.put_raw(platform.sections[digest])
        gossip.offer(manifest.key)

    def _read_list(self, interval: float) -> None:
        gossip = self.node.gossip
        if gossip.now < self._list_due:
            return
        spread = self.node.rng.uniform(0.8, 1.2)
        self._list_due = gossip.now + interval * spread
        if not self._call():
            return
        gossip.note_read()
        records = self._lists.read(self._platform.instances, gossip.roster)
        gossip.take_records(records)


_LIST_READ_INTERVAL_SECONDS = READ_INTERVAL_SECONDS * READERS_PER_DATA_CENTRE


class VirtualFleet:
    """Nodes in virtual time, their platform and the published document.

    Attributes:
        nodes: the running nodes by name.
        stopped_nodes: the nodes that were killed or replaced by a restart.
        generation: number of the published generation.
        instances: all planned instances.
        document: the document to publish.
        data_centre_of: data centre of each node's address.
    """

    def __init__(self, size: int, seed: int) -> None:
        """Initialize ``size`` instances in four data centres of two regions."""
        self.rng = random.Random(seed)
        self.clock = FakeClock(now=1000)
        self.network = FakeNetwork(self.clock, random.Random(seed + 1))
        self.platform = VirtualPlatform(self.clock)
        self.nodes: dict[str, VirtualNode] = {}
        self.stopped_nodes: list[VirtualNode] = []
        self.generation = 0
        self._incarnation = 1
        entries = max(round(size * _ENTRY_SHARE), 1)
        self.instances = [
            _instance(number, number < entries) for number in range(size)
        ]
        self.document = _document(self.instances)
        self.data_centre_of = {
            instance.address: instance.data_centre
            for instance in self.instances
        }

    @property
    def running_nodes(self) -> list[VirtualNode]:
        """The running nodes."""
        return list(self.nodes.values())

    def start(self) -> None:
        """Start all nodes with generation 1 in force and the same roster."""
        self.publish()
        self.platform.instances = list(self.instances)
        roster, _newer = Roster().merged(
            record_of(instance, 1) for instance in self.instances
        )
        first: VirtualNode | None = None
        for instance in self.instances:
            node = self._create_node(instance)
            node.gossip.roster = roster
            if first is None:
                self._load_document(node)
                first = node
            else:
                node.gossip.store.copy_from(first.gossip.store)
            node.start()
        self.network.run(_GOSSIP_INTERVAL_SECONDS * 3)

    def publish(self, service_index: int = 0) -> None:
        """Publish the next generation with one service changed.

        Args:
            service_index: index of the service that is changed.
        """
        self.generation += 1
        self.platform.publish(*self._render(service_index, self.generation))

    def publish_conflict(self) -> None:
        """Publish two documents with one generation, one in each region."""
        self.generation += 1
        south, sections = self._render(0, -1)
        self.platform.add(sections)
        self.platform.conflicting = ('south', south)
        self.platform.publish(*self._render(0, 1))

    def run(self, seconds: float) -> None:
        """Run for ``seconds`` of virtual time."""
        self.network.run(seconds)

    def kill(self, name: str) -> VirtualNode:
        """Stop a process without announcing that it leaves."""
        node = self.nodes.pop(name)
        node.kill()
        self.stopped_nodes.append(node)
        return node

    def restart(self, name: str) -> VirtualNode:
        """Restart a process, which then knows the platform's list only."""
        self.kill(name)
        return self.start_node(name)

    def start_node(self, name: str) -> VirtualNode:
        """Start a stopped process, which knows the platform's list only."""
        instance = next(one for one in self.instances if one.name == name)
        node = self._create_node(instance)
        node.start()
        listed = [record_of(one, 0) for one in self.platform.instances]
        wait = self.rng.uniform(0.2, 1.5)

        def read_list() -> None:
            if not len(node.gossip.roster) and self.platform.call():
                node.gossip.take_records(
                    [replace(record, version=1) for record in listed],
                )

        node.timers.after(wait, read_list)
        return node

    def set_listed_state(self, name: str, state: InstanceState) -> None:
        """Set an instance's state in the platform's list."""
        self.platform.instances = [
            replace(one, state=state) if one.name == name else one
            for one in self.platform.instances
        ]

    def partition_regions(self) -> None:
        """Cut the network between the regions."""
        regions = {
            address: _REGION_OF_CENTRE[centre]
            for address, centre in self.data_centre_of.items()
        }

        def cut(sender: Address, receiver: Address) -> bool:
            return regions[sender] != regions[receiver]

        self.network.cut = cut

    def remove_partitions(self) -> None:
        """Remove all network partitions."""
        self.network.cut = lambda _sender, _receiver: False
        self.platform.reachable_region = ''

    def _render(
        self,
        service_index: int,
        added_connections: int,
    ) -> tuple[Manifest, list[bytes]]:
        """Change one service's limit and return manifest and sections.

        Args:
            service_index: index of the service that is changed.
            added_connections: connections of its limit beyond 2000.
        """
        services: dict[str, Any] = self.document['services']
        names = sorted(services)
        service = services[names[service_index % len(names)]]
        service['connections'] = 2000 + added_connections
        model = DocumentModel.model_validate(self.document)
        sections = split_sections(model)
        digests = {name: hex_digest(raw) for name, raw in sections.items()}
        return Manifest(self.generation, digests), list(sections.values())

    def _create_node(self, instance: Instance) -> VirtualNode:
        self._incarnation += 1
        identity = Identity(
            instance.name,
            instance.role.value,
            instance.data_centre,
            instance.address,
            self._incarnation,
        )
        rng = random.Random(self.rng.random())
        node = VirtualNode(identity, self.network, self.clock, rng)
        self.nodes[instance.name] = node
        VirtualReader(node, self.platform)
        return node

    def _load_document(self, node: VirtualNode) -> None:
        store = node.gossip.store
        store.put_raw(self.platform.manifest.raw)
        for raw in self.platform.sections.values():
            store.put_raw(raw)
        node.gossip.offer(self.platform.manifest.key)


def _instance(number: int, is_entry: bool) -> Instance:
    role = Role.entry if is_entry else Role.sidecar
    address = f'10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}'
    return Instance(
        f'{role.value}-{number}',
        role,
        CENTRES[number % len(CENTRES)],
        (address, _PORT),
    )


def _document(instances: list[Instance]) -> dict[str, Any]:
    hosts = [one for one in instances if one.role is Role.sidecar]
    services: dict[str, object] = {}
    for first in range(0, len(hosts), _HOSTS_PER_SERVICE):
        number = first // _HOSTS_PER_SERVICE
        pool = hosts[first : first + _HOSTS_PER_SERVICE]
        services[f'service-{number:03d}'] = _service(number, pool)
    return {
        'site': 'lab',
        'data_centres': {
            name: {'region': region}
            for name, region in _REGION_OF_CENTRE.items()
        },
        'services': services,
    }


def _service(number: int, pool: list[Instance]) -> dict[str, object]:
    return {
        'ingress': {
            'fou': {
                'address': f'10.77.{number >> 8}.{number & 255}',
                'port': 443,
            },
        },
        'cold': {'connections': 100, 'slots': 1, 'warm_up_seconds': 30},
        'hosts': {
            one.name: {
                'data_centre': one.data_centre,
                'address': one.address[0],
                'port': one.address[1],
            }
            for one in pool
        },
    }
