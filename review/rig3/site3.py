"""A small site for the cases: the built programs beside stand-ins on loopback.

The programs run by the commands of ``deploy/system.toml``, with settings as the
platform writes them. Store, routers and packets are the project's stand-ins;
hosts and clients are those of ``ends``.
"""

import asyncio
import json
import os
import random
import shutil
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from signal import SIGKILL, SIGTERM
from zlib import crc32

from ends import Client, Host

from siskinbank.lab.rig.store import StoreStandIn

__all__ = ('Case', 'NotRun', 'Site', 'TROUBLE', 'main')

ROOT = Path(__file__).resolve().parents[2]

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
READY_S = 15
HEARTBEAT_S = 0.77
# The interpreter itself ends with 1 when it can't run a script.
BROKEN = 10
HISTORY_S = 20
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'ContactMs': 4000,
    'AckMs': 5000,
    'SyncS': 4,
    'DrainMs': 3000,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigApplyMs': 3000,
    'DowngradeSlackMs': 250,
    'MaxStretchMs': 12000,
    'ColdOver': 1.5,
    'ColdSlack': 5,
    'EvacuateMs': 5000,
    'RecoverS': 12,
    'FlowSlackMs': 2000,
    'FlowLifetimeS': 60,
}


class Store(StoreStandIn):
    """The project's stand-in, which forgets its history after ``HistoryS``.

    Attributes:
        watches: time, caller, status and bytes of each answer to a watch.
    """

    def __init__(self):
        super().__init__()
        self.watches = []
        self._callers = {}
        self._written = []

    async def put(self, key, content):
        """Write or remove an item, and forget what is too old."""
        now = time.monotonic()
        await super().put(key, content)
        self._written.append((now, self._revision))
        while self._written[0][0] < now - HISTORY_S:
            self._oldest_revision = self._written.pop(0)[1]
        self._history = [
            item
            for item in self._history
            if item.revision > self._oldest_revision
        ]

    async def _answer(self, path, writer):
        task = asyncio.current_task()
        self._callers[task] = writer.get_extra_info('peername')[0]
        return await super()._answer(path, writer)

    async def _watch(self, call):
        status, body = await super()._watch(call)
        caller = self._callers[asyncio.current_task()]
        self.watches.append((time.monotonic(), caller, status, len(body)))
        return status, body


class NotRun(Exception):
    """The case could not run."""


class Program:
    """One process of the system."""

    def __init__(self, site, name, role, ip, zone, extra=None):
        self.site = site
        self.name = name
        self.role = role
        self.ip = ip
        self.process = None
        entry = role == 'entry'
        listen = {
            'DatagramAddr': f'{ip}:{site.port}',
            'ReadyAddr': f'{ip}:{site.port + 1}',
        }
        if entry:
            listen['ControlAddr'] = f'{ip}:{site.port + 4}'
        else:
            listen['outbound'] = f'{ip}:{site.port + 3}'
        self.settings = {
            'NodeName': name,
            'Role': role,
            'MachineClass': 'frontend' if entry else 'side',
            'Serves': ['frontend', 'control_plane'] if entry else ['side'],
            'Ip': ip,
            'Zone': zone,
            'Region': 'r',
            'Zones': dict.fromkeys(site.zones, 'r'),
            'Listen': listen,
            'InternalPortRange': [site.port + 2, site.port + 2],
            'Seeds': [f'{seed}:{site.port + 4}' for seed in site.seeds],
            'Bootstrap': True,
            'InTolerance': False,
            'Limits': {
                'CpuShare': 0.537 if entry else 0.645,
                'Cores': 2 if entry else 1,
                'MemoryMb': 300 if entry else 168,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
            },
            'DataDir': None,
            'Discovery': 'platform',
            'Entry': 'announcement',
            'HeartbeatMs': int(HEARTBEAT_S * 1000),
            'FaultTolerance': {'Machines': 2, 'Zones': 1, 'Regions': 0},
            'Bounds': site.bounds,
            'Hash': 'steady',
            'DeploymentMode': 'agent',
            'platform': {
                'Address': f'{site.store_ip}:{site.port + 5}',
                'DeploymentMode': 'read',
                'ReadsPerS': 2000,
                'HistoryS': HISTORY_S,
                'ValueBytes': 1048576,
            },
        } | (extra or {})

    def start(self):
        """Start the process by the command of the deploy file."""
        path = self.site.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        role = self.site.roles[self.role]
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in {'PATH', 'HOME', 'LANG'}
        }
        environment |= role.get('env', {})
        environment['SISKINBANK_SETTINGS'] = str(path)
        with (self.site.folder / f'{self.name}.log').open('ab') as stream:
            self.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=stream,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def ended(self, seconds):
        """Wait until the process has ended."""
        async with asyncio.timeout(seconds):
            while self.process.poll() is None:
                await asyncio.sleep(0.01)

    def kill(self):
        """Kill the process if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(SIGKILL)
            self.process.wait()

    async def is_ready(self):
        """Return whether the readiness check succeeds."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.site.port + 1
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200' in line

    def log(self):
        """Return what the process has printed."""
        return (self.site.folder / f'{self.name}.log').read_text()


class Site:
    """Entries, hosts with sidecars, a store, routers and clients."""

    def __init__(self, record, zones=('gr-north-a', 'gr-north-b'), bounds=BOUNDS):
        self.record = record
        self.zones = zones
        self.bounds = bounds
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        self.roles = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )['roles']
        self.prefix = f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
        self.port = random.randrange(20000, 28000, 10)
        self.store_ip = f'{self.prefix}.200'
        self.seeds = [f'{self.prefix}.{1 + index}' for index in range(2)]
        self.store = Store()
        self.entries = []
        self.hosts = []
        self.clients = []
        self.version = 1
        self.failures = {}
        self.tasks = []

    # Store.

    async def put(self, key, document):
        """Write a document, or bytes, as they are; None removes the item."""
        if document is not None and not isinstance(document, bytes):
            document = json.dumps(document).encode()
        await self.store.put(key, document)
        return time.monotonic()

    async def configure(self, routes, idle_ms=15000):
        """Write a configuration with routes as (address, service, kind)."""
        self.version += 3
        services = sorted({service for _, service, _ in routes})
        # Written like the examples of the pages, without spaces.
        document = self._configuration(routes, services, idle_ms)
        content = json.dumps(document, separators=(',', ':')).encode()
        return await self.put('op/config', content)

    def _configuration(self, routes, services, idle_ms):
        return {
            'Version': self.version,
            'Routes': [
                {
                    'Name': f'r-{index}',
                    'Host': address[0],
                    'Prefix': f'/{address[1]}/',
                    'Kind': kind,
                    'TimeoutMs': 2000,
                    'TargetLatencyMs': 225,
                    'Priority': 1,
                    'Service': service,
                    'MaxAttempts': 2,
                }
                for index, (address, service, kind) in enumerate(routes)
            ],
            'Services': [
                {
                    'Name': service,
                    'HealthPath': '/health',
                    'MaxConns': 2000,
                    'Protocol': 'h1',
                    'Tls': False,
                    'WarmupS': 2.0,
                    'WarmupPerS': 0.0,
                }
                for service in services
            ],
            'Limits': {'IdleTimeoutMs': idle_ms},
        }

    async def register(self, host):
        """Write the entry of a host."""
        host.sequence += 1
        return await self.put(f'servers/{host.name}', host.document())

    async def _beat(self):
        while True:
            for host in self.hosts:
                if host.is_running:
                    await self.register(host)
            await asyncio.sleep(HEARTBEAT_S)

    # Routers.

    async def _probe(self):
        while True:
            for entry, ready in zip(
                self.entries,
                await asyncio.gather(*(e.is_ready() for e in self.entries)),
                strict=True,
            ):
                count = self.failures.get(entry.ip, 2)
                self.failures[entry.ip] = 0 if ready else count + 1
            await asyncio.sleep(0.5)

    def entry_for(self, port):
        """Return the entry that the routers choose for a client's port."""
        ready = [e.ip for e in self.entries if self.failures.get(e.ip, 2) < 2]
        ready = ready or [e.ip for e in self.entries]
        return max(ready, key=lambda ip: crc32(f'{ip}:{port}'.encode()))

    # Start and end.

    async def open(self, services, entries=2, routes=()):
        """Start everything; wait until each client is served."""
        await self.store.open((self.store_ip, self.port + 5))
        await self.configure(routes)
        for index, service in enumerate(services):
            await self.add_host(index, service)
        for index in range(entries):
            zone = self.zones[index % len(self.zones)]
            entry = Program(
                self, f'entry-{index}', 'entry', f'{self.prefix}.{1 + index}', zone
            )
            entry.start()
            self.entries.append(entry)
        self.tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._probe()),
        ]
        client = Client(self, f'{self.prefix}.100')
        await client.open()
        self.clients.append(client)
        deadline = time.monotonic() + READY_S
        while not all(self.failures.get(e.ip, 2) == 0 for e in self.entries):
            if time.monotonic() > deadline:
                raise NotRun('the entries did not become ready')
            await asyncio.sleep(0.1)

    async def add_host(self, index, service):
        """Start a host and its sidecar."""
        ip = f'{self.prefix}.{20 + index}'
        zone = self.zones[index % len(self.zones)]
        host = Host(self, f'i-{index}', ip, zone, service)
        await host.open()
        await self.register(host)
        self.hosts.append(host)
        host.sidecar = Program(
            self,
            f'side-{index}',
            'sidecar',
            ip,
            zone,
            {'app': f'{ip}:{self.port + 6}', 'Service': service},
        )
        host.sidecar.start()
        return host

    async def close(self):
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        for program in (*self.entries, *(h.sidecar for h in self.hosts)):
            program.kill()
        for host in self.hosts:
            host.crash()
        for client in self.clients:
            client.close()
        await self.store.close()
        if os.environ.get('KEEP'):
            print(f'logs are in {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def decisions(self, *words):
        """Return the log lines of all programs that hold one of the words."""
        return [
            f'{program.name}: {line}'
            for program in (*self.entries, *(h.sidecar for h in self.hosts))
            for line in program.log().splitlines()
            if any(word in line for word in words)
        ]


class Case:
    """Collects the record of one run."""

    def __init__(self):
        self.lines = []
        self.started = time.monotonic()

    def note(self, text):
        """Add a line with the time since the start."""
        line = f'{time.monotonic() - self.started:8.3f} {text}'
        self.lines.append(line)
        print(line)


def main(run, folder):
    """Run a case; return BROKEN if it broke the rule, 0 if not, 2 if not run.

    Args:
        run: coroutine function that returns whether the rule held.
        folder: folder of the case, for its record.
    """
    case = Case()
    case.note(f'trouble={int(TROUBLE)}')

    async def limited():
        # A run that is stopped ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(
            SIGTERM, asyncio.current_task().cancel
        )
        async with asyncio.timeout(110):
            return await run(case)

    try:
        status = 0 if asyncio.run(limited()) else BROKEN
    except (Exception, asyncio.CancelledError) as error:
        case.note(f'not run: {type(error).__name__} {error}')
        status = 2
    case.note(f'exit status {1 if status == BROKEN else status}')
    (Path(folder) / 'record.txt').write_text('\n'.join(case.lines) + '\n')
    return status
