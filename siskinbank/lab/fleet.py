"""A small fleet of processes on loopback, with stand-ins."""

import asyncio
import copy
import json
import secrets
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

import aiohttp

from siskinbank.config.check import check_content
from siskinbank.config.sections import split_sections
from siskinbank.kernel.findings import Findings, Place
from siskinbank.lab.instances import EntryPorts, HostPorts, live_list
from siskinbank.lab.ports import free_ports
from siskinbank.lab.processes import ProcessGroup
from siskinbank.util import hex_digest

__all__ = ('Fleet', 'FleetPlan', 'HostPorts')

_LOOPBACK = '127.0.0.1'
_START_TIMEOUT_SECONDS = 20
_POLL_INTERVAL_SECONDS = 0.1
_KEY_BYTES = 32


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """The size and limits of a fleet.

    Attributes:
        site: name of the site.
        data_centres: names of the data centres.
        entries: number of entries.
        services: number of hosts of each service.
        slots: requests that each host processes at the same time.
        connections: connections that each host accepts.
        warm_up_seconds: warm-up time of a host.
        cold_slots: the same right after its start; ``slots`` if None.
    """

    site: str
    data_centres: tuple[str, ...]
    entries: int
    services: dict[str, int]
    slots: int = 3
    connections: int = 2000
    warm_up_seconds: float = 2
    cold_slots: int | None = None


@dataclass(slots=True)
class Fleet:
    """The running processes and what the platform publishes.

    Attributes:
        plan: size and limits of the fleet.
        processes: the running processes by name.
        hosts: ports of each host by name.
        entries: address and ports of each entry by name.
        services: port of each ingress, by service.
        document: the configuration to publish.
        instances: the live list to publish.
        generation: generation of the published configuration.
        platform_port: port of the platform.
        fabric_port: port at which the fabric receives packets.
        callers_port: port at which callers receive answers to packets.
        log_level: log level of the entries and sidecars.
        key: key that the entries and sidecars share.
    """

    plan: FleetPlan
    processes: ProcessGroup = field(default_factory=ProcessGroup)
    hosts: dict[str, HostPorts] = field(default_factory=dict)
    entries: dict[str, EntryPorts] = field(default_factory=dict)
    services: dict[str, dict[str, int]] = field(default_factory=dict)
    document: dict[str, Any] = field(default_factory=dict)
    instances: list[dict[str, Any]] = field(default_factory=list)
    generation: int = 0
    platform_port: int = 0
    fabric_port: int = 0
    callers_port: int = 0
    log_level: str = 'WARNING'
    key: str = field(
        default_factory=lambda: f'1:{secrets.token_hex(_KEY_BYTES)}',
    )

    @property
    def platform_url(self) -> str:
        """The platform's URL."""
        return f'http://{_LOOPBACK}:{self.platform_port}'

    async def start(self) -> None:
        """Start all processes and wait until they serve.

        Raises:
            TimeoutError: a process did not start in time.
        """
        await self._start_platform()
        await self._start_fabric()
        for name in self.hosts:
            await self.start_upstream(name)
            await self.start_sidecar(name)
        for name in self.entries:
            await self.start_entry(name)
        async with asyncio.TaskGroup() as group:
            for port in self.admin_ports().values():
                group.create_task(self.wait_generation(port))

    async def start_without_hosts(self) -> None:
        """Start the platform and the entries only.

        Raises:
            TimeoutError: a process did not start in time.
        """
        await self._start_platform()
        for name, entry in self.entries.items():
            await self.start_entry(name)
            await self.wait_generation(entry.admin)

    def admin_ports(self) -> dict[str, int]:
        """Return the admin port of each entry and sidecar."""
        ports = {name: entry.admin for name, entry in self.entries.items()}
        ports.update({name: host.admin for name, host in self.hosts.items()})
        return ports

    async def publish(self, earlier: dict[str, Any] | None = None) -> None:
        """Publish the document as the next generation, or an earlier one again.

        Args:
            earlier: result of ``published`` to publish instead, with its
                generation, as a platform with stale data does.
        """
        if earlier is None:
            self.generation += 1
        await self._put('configuration', earlier or self.published())

    def published(self) -> dict[str, Any]:
        """Return the manifest and sections of the document.

        Raises:
            ValueError: the document has findings.
        """
        findings = Findings()
        model = check_content(
            copy.deepcopy(self.document),
            lambda path: Place('fleet', 1, str(path)),
            findings,
        )
        if model is None:
            raise ValueError('; '.join(str(finding) for finding in findings))
        sections = split_sections(model)
        return {
            'manifest': {
                'generation': self.generation,
                'sections': {
                    name: hex_digest(raw) for name, raw in sections.items()
                },
            },
            'sections': {name: raw.decode() for name, raw in sections.items()},
        }

    async def publish_instances(self) -> None:
        """Publish the live list."""
        await self._put('instances', self.instances)

    async def set_platform_down(self, *, down: bool) -> None:
        """Make the platform answer with errors, or serve again."""
        await self._put('down', down)

    async def drain_host(self, name: str, state: str = 'draining') -> None:
        """Publish a host's state: ``draining``, or ``active`` again."""
        service = self.hosts[name].service
        host = self.document['services'][service]['hosts'][name]
        host['state'] = state
        await self.publish()

    async def set_instance_state(self, name: str, state: str) -> None:
        """Publish an instance as ``live`` or ``leaving`` in the live list."""
        listed = live_list(self.hosts, self.entries)
        item = next(item for item in listed if item['name'] == name)
        others = [known for known in self.instances if known['name'] != name]
        self.instances = [*others, {**item, 'state': state}]
        await self.publish_instances()

    async def set_data_centre_state(self, name: str, state: str) -> None:
        """Publish a data centre as ``in`` or ``out`` of service."""
        self.document['data_centres'][name]['state'] = state
        await self.publish()

    async def remove_instance(self, name: str) -> None:
        """Remove an instance from the live list."""
        self.instances = [
            instance for instance in self.instances if instance['name'] != name
        ]
        await self.publish_instances()

    async def start_entry(self, name: str) -> None:
        """Start one entry."""
        entry = self.entries[name]
        await self.processes.start(
            name,
            [
                'entry',
                *self._common_arguments(
                    name, entry.data_centre, entry.bind, entry.admin
                ),
                '--fou',
                self._endpoint(entry.fou),
                '--listen',
                entry.address,
            ],
        )

    async def start_sidecar(self, name: str) -> None:
        """Start one sidecar."""
        host = self.hosts[name]
        await self.processes.start(
            name,
            [
                'sidecar',
                *self._common_arguments(
                    name, host.data_centre, host.sidecar, host.admin
                ),
                '--upstream-packets',
                self._endpoint(host.packets),
                '--upstream-tcp',
                self._endpoint(host.tcp),
                '--upstream-http',
                f'http://{self._endpoint(host.http)}',
                '--upstream-health',
                f'http://{self._endpoint(host.http)}/health',
            ],
        )

    async def start_upstream(self, name: str) -> None:
        """Start one upstream."""
        host = self.hosts[name]
        await self.processes.start(
            f'upstream-{name}',
            [
                'lab',
                'upstream',
                '--name',
                name,
                '--packets',
                self._endpoint(host.packets),
                '--tcp',
                self._endpoint(host.tcp),
                '--http',
                self._endpoint(host.http),
                '--callers',
                self._endpoint(self.callers_port),
                '--slots',
                str(self.plan.slots),
                '--cold-slots',
                str(self.plan.cold_slots or self.plan.slots),
                '--warm-up',
                str(self.plan.warm_up_seconds),
            ],
        )

    async def start_callers(
        self,
        seconds: float,
        seed: int = 1,
        resent: float = 0,
        burst: int = 0,
    ) -> None:
        """Start the callers.

        Their report is the output of the process ``callers``.

        Args:
            seconds: time during which they open flows and send requests.
            seed: seed of their random choices.
            resent: share of the non-idempotent requests that are sent twice.
            burst: number of requests sent at once every two seconds.
        """
        arguments = [
            f'--bind={self._endpoint(self.callers_port)}',
            f'--fabric={self._endpoint(self.fabric_port)}',
            f'--seconds={seconds}',
            f'--seed={seed}',
            f'--resent={resent}',
            f'--burst={burst}',
            *_ingress_arguments(self),
        ]
        command = ['lab', 'callers', *arguments]
        await self.processes.start('callers', command, capture=True)

    async def get(self, url: str) -> Any:
        """Return the JSON document at ``url``.

        Raises:
            OSError: there was no answer.
        """
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                return await answer.json()

    async def stats(self, name: str) -> dict[str, Any]:
        """Return the statistics of an upstream."""
        port = self.hosts[name].http
        stats: dict[str, Any] = await self.get(
            f'http://{self._endpoint(port)}/stats',
        )
        return stats

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status document of an entry or sidecar."""
        port = self.admin_ports()[name]
        status: dict[str, Any] = await self.get(
            f'http://{self._endpoint(port)}/status',
        )
        return status

    async def wait_upstream(self, name: str) -> None:
        """Wait until an upstream serves.

        Raises:
            TimeoutError: it did not serve in time.
        """
        url = f'http://{self._endpoint(self.hosts[name].http)}/stats'
        await self._wait_for(url)

    async def wait_generation(self, port: int, min_generation: int = 0) -> None:
        """Wait until a process has a generation in force.

        Args:
            port: admin port of the process.
            min_generation: lowest generation to wait for; 0 for the newest.

        Raises:
            TimeoutError: the generation was not in force in time.
        """
        url = f'http://{self._endpoint(port)}/status'
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while True:
                try:
                    status = await self.get(url)
                except (OSError, aiohttp.ClientError):
                    status = {'generation': 0}
                if status['generation'] >= (min_generation or self.generation):
                    return
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def stop(self) -> None:
        """Stop all processes."""
        await self.processes.stop()

    def _common_arguments(
        self,
        name: str,
        data_centre: str,
        bind: int,
        admin: int,
    ) -> list[str]:
        return [
            '--name',
            name,
            '--data-centre',
            data_centre,
            '--bind',
            self._endpoint(bind),
            '--admin',
            self._endpoint(admin),
            '--platform',
            self.platform_url,
            '--keys',
            self.key,
            '--log-level',
            self.log_level,
        ]

    def _endpoint(self, port: int) -> str:
        """Return the loopback address with a port."""
        return f'{_LOOPBACK}:{port}'

    async def _start_platform(self) -> None:
        self._plan_instances()
        await self.processes.start(
            'platform',
            ['lab', 'platform', '--bind', self._endpoint(self.platform_port)],
        )
        await self._wait_for(f'{self.platform_url}/v1/manifest')
        await self.publish()
        await self.publish_instances()

    async def _start_fabric(self) -> None:
        targets = [
            f'{name}={self._endpoint(entry.fou)}'
            for name, entry in self.entries.items()
        ]
        await self.processes.start(
            'fabric',
            [
                'lab',
                'fabric',
                '--bind',
                self._endpoint(self.fabric_port),
                '--platform',
                self.platform_url,
                *targets,
            ],
        )

    async def _put(self, resource: str, content: Any) -> None:
        url = f'{self.platform_url}/admin/{resource}'
        async with aiohttp.ClientSession() as session:
            async with session.put(url, data=json.dumps(content)) as answer:
                answer.raise_for_status()

    async def _wait_for(self, url: str) -> None:
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while True:
                try:
                    await self.get(url)
                except (OSError, aiohttp.ClientError):
                    await asyncio.sleep(_POLL_INTERVAL_SECONDS)
                else:
                    return

    def _plan_instances(self) -> None:
        """Assign ports; create the first document and the live list."""
        plan = self.plan
        hosts = sum(plan.services.values())
        ports_per_host = 5
        ports_per_entry = 3
        ports_per_service = 3
        count = hosts * ports_per_host + plan.entries * ports_per_entry + 3
        ports = iter(free_ports(count + len(plan.services) * ports_per_service))
        self.platform_port, self.fabric_port, self.callers_port = islice(
            ports,
            ports_per_service,
        )
        centres = plan.data_centres
        for number in range(plan.entries):
            self.entries[f'entry-{number + 1}'] = EntryPorts(
                centres[number % len(centres)],
                f'127.0.0.{number + 2}',
                *islice(ports, ports_per_entry),
            )
        services: dict[str, Any] = {}
        for number, (service, size) in enumerate(plan.services.items()):
            kinds = ('fou', 'tcp', 'http')
            self.services[service] = dict(zip(kinds, ports, strict=False))
            for position in range(size):
                self.hosts[f'{service}-{position + 1}'] = HostPorts(
                    service,
                    centres[position % len(centres)],
                    *islice(ports, ports_per_host),
                )
            services[service] = self._service(service, number)
        self.document = {
            'site': plan.site,
            'data_centres': {name: {'state': 'in'} for name in centres},
            'services': services,
        }
        self.instances = live_list(self.hosts, self.entries)

    def _service(self, service: str, number: int) -> dict[str, Any]:
        plan = self.plan
        ports = self.services[service]
        return {
            'ingress': {
                'fou': {
                    'address': f'10.77.0.{number + 1}',
                    'port': ports['fou'],
                },
                'tcp': {'port': ports['tcp']},
                'http': {'port': ports['http']},
            },
            'connections': plan.connections,
            'slots': plan.slots,
            'cold': {
                'connections': plan.connections,
                'slots': plan.cold_slots or plan.slots,
                'warm_up_seconds': plan.warm_up_seconds,
            },
            'hosts': {
                name: {
                    'data_centre': host.data_centre,
                    'address': _LOOPBACK,
                    'port': host.sidecar,
                }
                for name, host in self.hosts.items()
                if host.service == service
            },
        }


def _ingress_arguments(fleet: Fleet) -> list[str]:
    arguments = [
        f'--sprayed=10.77.0.{number}:{ports["fou"]}'
        for number, ports in enumerate(fleet.services.values(), start=1)
    ]
    for entry in fleet.entries.values():
        for ports in fleet.services.values():
            endpoint = f'{entry.address}:{ports["tcp"]}'
            arguments.append(f'--tcp={endpoint}')
            url = f'http://{entry.address}:{ports["http"]}'
            arguments.append(f'--http={url}')
    return arguments
