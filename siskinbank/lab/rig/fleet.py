"""Real entry and sidecar processes with stand-ins on loopback."""

import asyncio
import os
import random
import sys
from dataclasses import dataclass, field
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
from siskinbank.platform.settings import SETTINGS_VARIABLE
from siskinbank.platform.store import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    HOSTS_PREFIX,
)

__all__ = ('TARGET', 'Program', 'RelayFleet')

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
_DATA_CENTRES = ('a', 'b')


@dataclass
class Program:
    """One process of the system, which can be restarted.

    Attributes:
        settings: settings that the process reads at its start.
        role: ``entry`` or ``sidecar``.
        folder: folder of its settings file and its log.
        process: the running process, if any.
        start_count: how often it was started.
    """

    settings: ProcessSettings
    role: str
    folder: Path
    process: Popen[bytes] | None = None
    start_count: int = 0

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
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
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
        store: the platform's store.
        entries: the entry processes.
        sidecars: the sidecar processes, one per host.
        hosts: the hosts.
        clients: the client machines.
    """

    folder: Path
    entry_count: int = 2
    host_count: int = 3
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
        for index in range(self.entry_count):
            self._add_entry(index)
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
    ) -> int:
        """Write a new configuration and return its version.

        Args:
            routes: routes of the configuration.
            cold_per_s: ``WarmupPerS`` of each service.
        """
        self._version += 3
        content = encode_configuration(self._version, routes, cold_per_s)
        await self.store.put(CONFIGURATION_KEY, content)
        return self._version

    async def register(self, index: int, **changes: object) -> None:
        """Write a host's document to the store, with some fields changed."""
        host = self.hosts[index]
        document = HostDocument(
            _SERVICE,
            host.address,
            self.data_centre(index),
            **changes,  # type: ignore[arg-type]
        )
        await self.store.put(f'{HOSTS_PREFIX}{host.name}', document.encode())

    async def evacuate(self, data_centre: str) -> None:
        """Take a data centre out of service."""
        await self.store.put(f'{EVACUATIONS_PREFIX}{data_centre}', b'{}')

    def data_centre(self, index: int) -> str:
        """Return the data centre of a host or entry."""
        return _DATA_CENTRES[index % len(_DATA_CENTRES)]

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

    def _add_entry(self, index: int) -> None:
        ip = self._ip(_FIRST_ENTRY_NUMBER + index)
        settings = self._settings(f'entry-{index}', ip, index, None)
        self._start(Program(settings, 'entry', self.folder), self.entries)

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
            (self._ip(_FIRST_ENTRY_NUMBER),),
            (self._ip(_STORE_NUMBER), _STORE_PORT),
            _SERVICE,
            host,
        )

    def _start(self, program: Program, group: list[Program]) -> None:
        program.start()
        group.append(program)

    def _ip(self, number: int) -> str:
        return f'{self._prefix}.{number}'


async def _wait_until_served(client: ClientStandIn) -> None:
    while True:
        try:
            await client.request(TARGET, f'settle-{client.entry}')
        except FlowFailed:
            # Not served yet; the caller limits the time.
            await asyncio.sleep(0.05)
        else:
            return
