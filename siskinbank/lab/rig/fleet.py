"""Real entry and sidecar processes with stand-ins on loopback."""

import asyncio
import os
import random
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path
from signal import SIGKILL, Signals
from subprocess import STDOUT, Popen

from siskinbank.lab.rig.client import ClientStandIn, FlowFailed
from siskinbank.lab.rig.host import HostStandIn
from siskinbank.lab.rig.store import StoreStandIn
from siskinbank.platform.encoding import (
    HostDocument,
    ProcessSettings,
    RouteDocument,
    encode_configuration,
)
from siskinbank.platform.settings import READY_PATH, SETTINGS_VARIABLE
from siskinbank.platform.store import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    HOSTS_PREFIX,
)

__all__ = ('TARGET', 'Program', 'RelayFleet', 'readiness')

#: Address of the only route of a new fleet.
TARGET = ('198.18.0.1', 443)
_SERVICE = 'matcher'
_STORE_PORT = 8169
_HOST_PORT = 8165
# Last bytes of loopback addresses.
_FIRST_ENTRY_NUMBER = 1
_FIRST_HOST_NUMBER = 20
_FIRST_CLIENT_NUMBER = 100
_STORE_NUMBER = 200


@dataclass
class Program:
    """One process of the system, which can be restarted.

    Attributes:
        settings: settings that the process reads at its start.
        role: ``entry`` or ``sidecar``.
        folder: folder of its settings file and its log.
        process: the running process, if any.
        start_count: how often it was started.
        environment: variables in addition to those of this process.
    """

    settings: ProcessSettings
    role: str
    folder: Path
    process: Popen[bytes] | None = None
    start_count: int = 0
    environment: dict[str, str] = field(default_factory=dict)

    @property
    def is_running(self) -> bool:
        """Whether the process of the last start has logged its start."""
        return self.log.count(' process.start ') >= self.start_count

    @property
    def log(self) -> str:
        """The output of all its runs."""
        return (self.folder / f'{self.settings.name}.log').read_text()

    def start(self) -> None:
        """Start the process."""
        self.start_count += 1
        name = self.settings.name
        path = self.folder / f'{name}.json'
        path.write_bytes(self.settings.encode())
        with (self.folder / f'{name}.log').open('ab') as stream:
            self.process = Popen(
                [sys.executable, '-m', 'siskinbank.relay.main', self.role],
                env=os.environ
                | self.environment
                | {SETTINGS_VARIABLE: str(path)},
                stdout=stream,
                stderr=STDOUT,
            )

    def signal(self, number: Signals) -> None:
        """Send a signal to the process."""
        if self.process:
            self.process.send_signal(number)

    def kill(self) -> int | None:
        """Kill the process.

        Returns:
            The exit code if the process had ended before, else None.
        """
        if self.process is None:
            return None
        code = self.process.poll()
        if code is None:
            self.process.send_signal(SIGKILL)
            self.process.wait()
        self.process = None
        return code


@dataclass
class RelayFleet:
    """A small site of real processes and stand-ins.

    Attributes:
        folder: folder for settings and logs.
        entry_count: number of entries.
        host_count: number of hosts.
        data_centres: the data centres, taken in turn.
        links_mbps: rates of the entries' links, empty if unknown; with rates,
            all processes contact all entries first.
        services: service of each host, empty if all have the same one.
        environment: variables of the processes.
        store: the platform's store.
        entries: the entry processes.
        sidecars: the sidecar processes, one per host.
        hosts: the hosts.
        clients: the client machines.
    """

    folder: Path
    entry_count: int = 2
    host_count: int = 3
    data_centres: tuple[str, ...] = ('a', 'b')
    links_mbps: tuple[int, ...] = ()
    services: tuple[str, ...] = ()
    environment: dict[str, str] = field(default_factory=dict)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    entries: list[Program] = field(default_factory=list)
    sidecars: list[Program] = field(default_factory=list)
    hosts: list[HostStandIn] = field(default_factory=list)
    clients: list[ClientStandIn] = field(default_factory=list)
    _prefix: str = ''
    _port: int = 0
    _version: int = 1

    @property
    def version(self) -> int:
        """Version of the newest configuration."""
        return self._version

    async def open(self) -> None:
        """Start the store, hosts, sidecars, entries and clients."""
        self._prefix = f'127.{random.randrange(1, 250)}.{random.randrange(250)}'
        self._port = random.randrange(20000, 28000)
        await self.store.open((self._ip(_STORE_NUMBER), _STORE_PORT))
        await self.publish([RouteDocument(_SERVICE, TARGET)])
        for index in range(self.host_count):
            await self._add_host(index)
        for _ in range(self.entry_count):
            self.add_entry()
        for index in range(self.entry_count):
            ip = self._ip(_FIRST_CLIENT_NUMBER + index)
            entry = self.entries[index].settings.ip
            client = ClientStandIn(ip, self._port, entry)
            await client.open()
            self.clients.append(client)

    async def close(self) -> None:
        """Kill the processes and close the stand-ins."""
        for program in (*self.entries, *self.sidecars):
            program.kill()
        for host in self.hosts:
            host.close()
        for client in self.clients:
            client.close()
        await self.store.close()

    async def publish(
        self,
        routes: list[RouteDocument],
        cold_per_s: float = 0,
        idle_timeout_s: float = 15,
    ) -> int:
        """Write a new configuration and return its version.

        Args:
            routes: routes of the configuration.
            cold_per_s: ``WarmupPerS`` of each service.
            idle_timeout_s: ``IdleTimeoutMs`` in seconds.
        """
        self._version += 3
        content = encode_configuration(
            self._version, routes, cold_per_s, idle_timeout_s
        )
        await self.store.put(CONFIGURATION_KEY, content)
        return self._version

    async def register(self, index: int, **changes: object) -> None:
        """Write a host's document to the store, with some fields changed."""
        host = self.hosts[index]
        document = HostDocument(
            self.service(index),
            host.address,
            self.data_centre(index),
            **changes,  # type: ignore[arg-type]
        )
        await self.store.put(f'{HOSTS_PREFIX}{host.name}', document.encode())

    async def evacuate(self, data_centre: str) -> None:
        """Take a data centre out of service."""
        await self.store.put(f'{EVACUATIONS_PREFIX}{data_centre}', b'{}')

    def add_entry(self, seeds: tuple[str, ...] = ()) -> None:
        """Start another entry.

        Args:
            seeds: its seeds, empty for those of the other processes.
        """
        index = len(self.entries)
        ip = self._ip(_FIRST_ENTRY_NUMBER + index)
        settings = self._settings(f'entry-{index}', ip, index, None)
        if self.links_mbps:
            settings = replace(settings, link_mbps=self.links_mbps[index])
        if seeds:
            settings = replace(settings, seeds=seeds)
        self._start(Program(settings, 'entry', self.folder), self.entries)

    def data_centre(self, index: int) -> str:
        """Return the data centre of a host or entry."""
        return self.data_centres[index % len(self.data_centres)]

    def service(self, index: int) -> str:
        """Return the service of a host."""
        return self.services[index] if self.services else _SERVICE

    async def wait_until_ready(self, seconds: float = 10) -> None:
        """Wait until all run and each client is served through its entry.

        Raises:
            TimeoutError: that is not so within ``seconds``.
        """
        async with asyncio.timeout(seconds):
            for program in (*self.entries, *self.sidecars):
                while program.process and not program.is_running:
                    await asyncio.sleep(0.05)
            for client in self.clients:
                await _wait_until_served(client)

    async def _add_host(self, index: int) -> None:
        ip = self._ip(_FIRST_HOST_NUMBER + index)
        address = (ip, _HOST_PORT)
        host = HostStandIn(f'i-{index}', address, (ip, self._port + 3))
        await host.open()
        self.hosts.append(host)
        await self.register(index)
        settings = self._settings(f'side-{index}', ip, index, address)
        self._start(Program(settings, 'sidecar', self.folder), self.sidecars)

    def _settings(
        self,
        name: str,
        ip: str,
        index: int,
        host: tuple[str, int] | None,
    ) -> ProcessSettings:
        return ProcessSettings(
            name,
            ip,
            self.data_centre(index),
            (self._port, self._port + 1, self._port + 2, self._port + 3),
            tuple(
                self._ip(_FIRST_ENTRY_NUMBER + seed)
                for seed in range(len(self.links_mbps) or 1)
            ),
            (self._ip(_STORE_NUMBER), _STORE_PORT),
            self.service(index) if host else _SERVICE,
            host,
        )

    def _start(self, program: Program, group: list[Program]) -> None:
        program.environment = self.environment
        program.start()
        group.append(program)

    def _ip(self, number: int) -> str:
        return f'{self._prefix}.{number}'


async def readiness(settings: ProcessSettings, timeout_s: float = 3) -> int:
    """Return the status of a process's readiness probe, 0 without an answer."""
    request = f'GET {READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n'
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                settings.ip, settings.ports[1]
            )
            writer.write(request.encode())
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        # The process has ended, is starting or does not run at present.
        return 0
    return int(line.split()[1]) if line else 0


async def _wait_until_served(client: ClientStandIn) -> None:
    while True:
        try:
            await client.request(TARGET, f'settle-{client.entry}')
        except FlowFailed:
            # Not served yet; the caller limits the time.
            await asyncio.sleep(0.05)
        else:
            return
