"""Entries and sidecars by the commands of the deploy file, on loopback."""

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from signal import SIGKILL

from review.rig.host import Host
from review.rig.record import Record
from review.rig.thin_link import ThinLink
from siskinbank.lab.rig.client import ClientStandIn, FlowFailed
from siskinbank.lab.rig.store import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent.parent
#: Address of the route that the cases use; it stands in packets only.
TARGET = ('127.0.1.1', 8443)
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'svc1'
# Exit statuses, which run.sh translates; 1 is that of a Python program that fails.
_HELD, _BROKEN, _NOT_RUN = 0, 10, 2

_STORE = 200
_FIRST_ENTRY = 1
_FIRST_HOST = 20
_CLIENT = 100
_FIRST_LINK = 150
_LINK_MBPS = 1000.0
_READY_TIMEOUT_S = 20
# Environment variables that the platform hands on.
_PASSED = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')


class NotRun(Exception):
    """The case could not run."""


class Fleet:
    """A small deployment.

    Attributes:
        record: record of the case.
        store: the platform's store.
        hosts: the hosts, each beside a sidecar.
        client: a client machine.
        idle_timeout_ms: `IdleTimeoutMs` of the configuration in force.
        cold_per_s: `WarmupPerS` of the service.
        warmup_s: `WarmupS` of the service.
        extra_routes: number of further routes, which see no traffic.
        link_mbps: rate of the entries' links in Mbit/s.
        sent: when the first packet of each opened flow was sent, by port.
    """

    def __init__(self, folder: Path) -> None:
        """Choose free addresses."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._roles = deploy['roles']
        self._folder = folder
        self._prefix = f'127.{random.randrange(1, 250)}.{random.randrange(250)}'
        self._port = _free_port(f'{self._prefix}.{_STORE}')
        self._processes: list[subprocess.Popen[bytes]] = []
        self._version = 1
        self.record = Record()
        self.store = StoreStandIn()
        self.hosts: list[Host] = []
        self.client = ClientStandIn(
            self.ip(_CLIENT), self._port, self.ip(_FIRST_ENTRY)
        )
        self.idle_timeout_ms = 15000
        self.cold_per_s: float = 0
        self.warmup_s: float = 2
        self.extra_routes = 0
        self.link_mbps: float = _LINK_MBPS
        self.sent: dict[int, float] = {}
        self._links: list[ThinLink] = []
        self._starts: list[tuple[str, str, dict[str, str]]] = []

    def ip(self, number: int) -> str:
        """Return a loopback address of this fleet."""
        return f'{self._prefix}.{number}'

    async def open(
        self, entries: int = 2, zones: tuple[str, ...] = ZONES
    ) -> None:
        """Start store, hosts, sidecars, entries and the client machine.

        Args:
            entries: number of entries, the first in the first zone, and so on.
            zones: zone of each host.
        """
        await self.store.open((self.ip(_STORE), self._port))
        await self.publish()
        for number, zone in enumerate(zones):
            ip = self.ip(_FIRST_HOST + number)
            host = Host(
                self.store,
                self.record,
                f'i-{number}',
                SERVICE,
                zone,
                (ip, self._port + 4),
                (ip, self._port + 3),
                warmup_s=self.warmup_s,
                idle_s=lambda: self.idle_timeout_ms / 1000,
            )
            await host.start()
            self.hosts.append(host)
            self._start('sidecar', f'side-{number}', ip, zone, entries)
        for number in range(entries):
            zone = ZONES[number % len(ZONES)]
            ip = self.ip(_FIRST_ENTRY + number)
            await self._open_link(number)
            self._start('entry', f'frontend-{number}', ip, zone, entries)
        ips = [self.ip(_FIRST_ENTRY + number) for number in range(entries)]
        self.client.entry_for = lambda port: ips[port % len(ips)]
        await self.client.open()
        await self._wait_until_served(entries)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for process in self._processes:
            _kill(process)
        for host in self.hosts:
            host.close()
        for link in self._links:
            link.close()
        self.client.close()
        await self.store.close()
        # Connections are closed in the next turns of the event loop.
        await asyncio.sleep(0.1)

    async def publish(self) -> float:
        """Write a new version of the configuration; return when accepted."""
        self._version += random.randrange(1, 5)
        service = {
            'Name': SERVICE,
            'HealthPath': '/health',
            'MaxConns': 2000,
            'Protocol': 'h1',
            'Tls': False,
            'WarmupS': self.warmup_s,
            'WarmupPerS': self.cold_per_s,
        }
        limits = {
            'HeaderBytes': 16384,
            'BodyBytes': 262144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': self.idle_timeout_ms,
        }
        document = {
            'Version': self._version,
            'Routes': [
                _route(number) for number in range(1 + self.extra_routes)
            ],
            'Services': [service],
            'Limits': limits,
        }
        content = json.dumps(document, separators=(',', ':')).encode()
        await self.store.put('op/config', content)
        return self.record.note(
            'operator',
            'configuration acknowledged',
            version=self._version,
            routes=1 + self.extra_routes,
            bytes=len(content),
        )

    async def request(self, attempt: str) -> tuple[int, str]:
        """Send a request over a flow of its own.

        Returns:
            The client's port, and the answer or why there is none.
        """
        sent = self.record.note('client', 'sent', attempt=attempt)
        try:
            flow = await self.client.connect(TARGET)
        except FlowFailed as error:
            self.record.note('client', 'not opened', attempt=attempt, why=error)
            return 0, f'not opened: {error}'
        self.sent[flow.port] = sent
        try:
            answer = await self.client.send_request(flow, attempt, 900)
        except FlowFailed as error:
            self.record.note('client', 'failed', attempt=attempt, why=error)
            return flow.port, f'failed: {error}'
        self.client.finish(flow)
        self.record.note('client', 'answered', attempt=attempt, port=flow.port)
        return flow.port, answer

    async def kill_all(self, down_s: float) -> float:
        """Kill all processes and start them again; return when."""
        self.record.note('platform', 'killed all processes')
        for process in self._processes:
            _kill(process)
        self._processes.clear()
        await asyncio.sleep(down_s)
        for role, name, environment in self._starts:
            self._run(role, name, environment)
        return self.record.note('platform', 'started all processes')

    def check_processes(self) -> None:
        """Raise `NotRun` if a program has ended by itself."""
        if any(process.poll() is not None for process in self._processes):
            raise NotRun('a program has ended')

    def _start(
        self, role: str, name: str, ip: str, zone: str, entries: int
    ) -> None:
        ports = range(self._port, self._port + 5)
        store = self.ip(_STORE)
        if role == 'entry' and self._links:
            store = self.ip(_FIRST_LINK + len(self._links) - 1)
        listen = {
            'DatagramAddr': f'{ip}:{ports[0]}',
            'ReadyAddr': f'{ip}:{ports[1]}',
        }
        settings: dict[str, object] = {
            'NodeName': name,
            'Role': role,
            'MachineClass': 'side' if role == 'sidecar' else 'frontend',
            'Ip': ip,
            'Zone': zone,
            'Region': 'region',
            'Zones': dict.fromkeys(ZONES, 'region'),
            'Listen': listen,
            'InternalPortRange': [ports[2], ports[2]],
            'Seeds': [
                f'{self.ip(_FIRST_ENTRY + seed)}:{ports[1]}'
                for seed in range(min(3, entries))
            ],
            'Bootstrap': True,
            'Limits': {
                'LinkMbps': self.link_mbps,
                'CpuShare': 0.645,
                'Cores': 1,
            },
            'HeartbeatMs': 770,
            'Hash': 'steady',
            'DeploymentMode': 'agent',
            'platform': {
                'Address': f'{store}:{self._port}',
                'DeploymentMode': 'read',
                'HistoryS': 20,
            },
        }
        if role == 'sidecar':
            listen['outbound'] = f'{ip}:{ports[3]}'
            settings['app'] = f'{ip}:{ports[4]}'
            settings['Service'] = SERVICE
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            variable: os.environ[variable]
            for variable in _PASSED
            if variable in os.environ
        }
        environment['SISKINBANK_SETTINGS'] = str(path)
        self._starts.append((role, name, environment))
        self._run(role, name, environment)

    def _run(self, role: str, name: str, environment: dict[str, str]) -> None:
        deployed = self._roles[role]
        with (self._folder / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(
                deployed['run'].split(' '),
                cwd=ROOT,
                env=environment | deployed.get('env', {}),
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)

    async def _open_link(self, number: int) -> None:
        """Open the link of an entry to the store, if it is a thin one."""
        if self.link_mbps < _LINK_MBPS:
            link = ThinLink((self.ip(_STORE), self._port), self.link_mbps)
            await link.open((self.ip(_FIRST_LINK + number), self._port))
            self._links.append(link)

    async def _wait_until_served(self, entries: int) -> None:
        """Wait until a request was served through each entry."""
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                served = 0
                while served < entries + 1:
                    self.check_processes()
                    _, answer = await self.request('settle')
                    served = served + 1 if answer.startswith('settle') else 0
                    await asyncio.sleep(0.1)
        except TimeoutError:
            raise NotRun('no service') from None


def run_case(
    folder: Path, play: Callable[[Fleet, bool], Coroutine[None, None, bool]]
) -> int:
    """Run a case and return its exit status.

    Args:
        folder: folder of the case, for record.txt.
        play: plays the case on a fleet, with or without the disruption, and
            returns whether the rule was broken.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as temporary:
        status = asyncio.run(_run(folder, Path(temporary), play, trouble))
    outcomes = {_HELD: 'held', _BROKEN: 'broken', _NOT_RUN: 'not run'}
    sys.stdout.write(f'{outcomes[status]}\n')
    return status


async def _run(
    folder: Path,
    temporary: Path,
    play: Callable[[Fleet, bool], Coroutine[None, None, bool]],
    trouble: bool,
) -> int:
    fleet = Fleet(temporary)
    try:
        broken = await play(fleet, trouble)
        fleet.check_processes()
    except (NotRun, OSError) as error:
        fleet.record.note('case', 'not run', why=error)
        return _NOT_RUN
    finally:
        await fleet.close()
        fleet.record.write(folder / 'record.txt')
    return _BROKEN if broken else _HELD


def _route(number: int) -> dict[str, object]:
    """Return the route of the cases, or a further one that sees no traffic."""
    port = TARGET[1] + number
    return {
        'Name': f'r-{number:07}',
        'Host': TARGET[0],
        'Prefix': f'/{port}/',
        'Kind': 'unsafe',
        'TimeoutMs': 2000,
        'TargetLatencyMs': 225,
        'Priority': 1,
        'Service': SERVICE,
        'MaxAttempts': 2,
    }


def _kill(process: subprocess.Popen[bytes]) -> None:
    process.send_signal(SIGKILL)
    process.wait()


def _free_port(ip: str) -> int:
    """Return the first of five ports that are free at an address."""
    for _ in range(100):
        port = random.randrange(20000, 28000)
        try:
            for offset in range(5):
                with socket.socket() as probe:
                    probe.bind((ip, port + offset))
        except OSError:
            continue
        return port
    raise NotRun('no free ports')
