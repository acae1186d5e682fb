"""Real entries and sidecars as processes, among stand-ins, on loopback."""

import asyncio
import os
import random
import sys
from dataclasses import dataclass, field
from pathlib import Path
from signal import SIGKILL, Signals
from subprocess import STDOUT, Popen

from siskinbank.lab.rig.client import ClientStandIn, Refused
from siskinbank.lab.rig.host import HostStandIn
from siskinbank.lab.rig.store import StoreStandIn
from siskinbank.platform.encoding import (
    HostEntry,
    ProcessSettings,
    RouteEntry,
    encode_configuration,
)
from siskinbank.platform.settings import SETTINGS_VARIABLE
from siskinbank.platform.store import CONFIGURATION_KEY, EVACUATIONS, HOSTS

__all__ = ('TARGET', 'Fleet', 'Program')

#: The one route of a new fleet.
TARGET = ('198.18.0.1', 443)
_SERVICE = 'matcher'
_STORE_PORT = 8169
_HOST_PORT = 8165
_FIRST_ENTRY = 1
_FIRST_HOST = 20
_FIRST_CLIENT = 100
_STORE = 200
_DATA_CENTRES = ('a', 'b')


@dataclass
class Program:
    """One process of the system, which can be started again.

    Attributes:
        settings: what it is told.
        role: ``entry`` or ``sidecar``.
        folder: where its settings and its log lie.
    """

    settings: ProcessSettings
    role: str
    folder: Path
    process: Popen[bytes] | None = None

    @property
    def log(self) -> str:
        """All that it has written."""
        return (self.folder / f'{self.settings.name}.log').read_text()

    def start(self) -> None:
        """Start the process."""
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
        """Send the process a signal."""
        if self.process:
            self.process.send_signal(number)

    def end(self) -> int | None:
        """Kill the process; return the code if it had ended by itself."""
        if self.process is None:
            return None
        code = self.process.poll()
        if code is None:
            self.process.send_signal(SIGKILL)
            self.process.wait()
        self.process = None
        return code


@dataclass
class Fleet:
    """A small site.

    Attributes:
        folder: where settings and logs go.
        store: the platform's store.
        entries: the entry processes.
        sidecars: the sidecar processes, one a host.
        hosts: the hosts.
        clients: machines of clients.
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

    async def open(self) -> None:
        """Start everything."""
        self._prefix = f'127.{random.randrange(1, 250)}.{random.randrange(250)}'
        self._port = random.randrange(20000, 28000)
        await self.store.open((self._ip(_STORE), _STORE_PORT))
        await self.publish([RouteEntry(_SERVICE, TARGET)])
        for index in range(self.host_count):
            await self._add_host(index)
        for index in range(self.entry_count):
            self._add_entry(index)
        for index in range(self.entry_count):
            ip = self._ip(_FIRST_CLIENT + index)
            entry = self.entries[index].settings.ip
            client = ClientStandIn(ip, self._port, entry)
            await client.open()
            self.clients.append(client)

    async def close(self) -> None:
        """End everything that was started."""
        for program in (*self.entries, *self.sidecars):
            program.end()
        for host in self.hosts:
            host.close()
        for client in self.clients:
            client.close()
        await self.store.close()

    async def publish(
        self,
        routes: list[RouteEntry],
        cold_per_s: float = 0,
    ) -> int:
        """Write a new configuration; return its version."""
        self._version += 3
        content = encode_configuration(self._version, routes, cold_per_s)
        await self.store.put(CONFIGURATION_KEY, content)
        return self._version

    async def register(self, index: int, **changes: object) -> None:
        """Write the entry of a host, with some fields of its own."""
        host = self.hosts[index]
        entry = HostEntry(
            _SERVICE,
            host.address,
            self.data_centre(index),
            **changes,  # type: ignore[arg-type]
        )
        await self.store.put(f'{HOSTS}{host.name}', entry.encode())

    async def take_out(self, data_centre: str) -> None:
        """Take a data centre out."""
        await self.store.put(f'{EVACUATIONS}{data_centre}', b'{}')

    def data_centre(self, index: int) -> str:
        """Return the data centre of a host or entry."""
        return _DATA_CENTRES[index % len(_DATA_CENTRES)]

    async def settle(self, seconds: float = 10) -> None:
        """Wait until each client can open a flow through its entry.

        Raises:
            TimeoutError: the fleet serves nobody within the time.
        """
        async with asyncio.timeout(seconds):
            for client in self.clients:
                await _serve_once(client)

    async def _add_host(self, index: int) -> None:
        ip = self._ip(_FIRST_HOST + index)
        address = (ip, _HOST_PORT)
        host = HostStandIn(f'i-{index}', address, (ip, self._port + 3))
        await host.open()
        self.hosts.append(host)
        await self.register(index)
        settings = self._settings(f'side-{index}', ip, index, address)
        self._start(Program(settings, 'sidecar', self.folder), self.sidecars)

    def _add_entry(self, index: int) -> None:
        ip = self._ip(_FIRST_ENTRY + index)
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
            (self._ip(_FIRST_ENTRY),),
            (self._ip(_STORE), _STORE_PORT),
            _SERVICE,
            host,
        )

    def _start(self, program: Program, group: list[Program]) -> None:
        program.start()
        group.append(program)

    def _ip(self, number: int) -> str:
        return f'{self._prefix}.{number}'


async def _serve_once(client: ClientStandIn) -> None:
    while True:
        try:
            await client.request(TARGET, f'settle-{client.entry}')
        except Refused:
            # Not yet; the caller bounds the time.
            await asyncio.sleep(0.05)
        else:
            return
