"""Open flows over a few events that overlap, in an order by seed.

Each event is one that the platform allows other parties or its operator. None
strings two of them together: the draw does.
"""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from signal import SIGKILL, SIGTERM, Signals

from siskinbank.lab.rig.client import ClientFlow, ClientStandIn, FlowFailed
from siskinbank.lab.rig.drill_checks import DrillChecks
from siskinbank.lab.rig.drill_trace import DrillTrace
from siskinbank.lab.rig.fleet import TARGET, Program, RelayFleet
from siskinbank.lab.rig.router import Router
from siskinbank.lab.rig.writers import StoreWriters
from siskinbank.platform.encoding import HostDocument, RouteDocument
from siskinbank.platform.store import HOSTS_PREFIX

__all__ = ('FlowDrill',)

_Event = Callable[[random.Random], Coroutine[None, None, None]]

# Time between the flows that each client opens, and pauses before the requests on a
# flow, in seconds: the second one outlasts what excuses a reset.
_OPEN_INTERVAL_S = (0.02, 0.06)
_PAUSES_S = (0, 6.2)
# Share of the flows that are opened from the port of one that has just ended, and
# how long after its end, in seconds.
_REUSED_SHARE = 0.5
_REUSE_AFTER_S = (0.02, 1.0)
# Time from the start of the load to the first event, and from the end of the last
# one to the end of the run, in seconds.
_WARM_UP_S = 2.0
_COOL_DOWN_S = 9.0
_EVENTS = (3, 8)
_GAPS_S = (0, 0.2, 0.6, 1.2, 2.5, 4.5)
# An unplanned disruption excuses a reset for this long, in seconds: `ContactMs`.
_CONTACT_S = 4.0
# A record expires after three heartbeats, and is back this soon after an outage.
_EXPIRY_S = 2.3
_RETURN_S = (0.1, 1.9)
_OUTAGE_S = (0.5, 4.5)
_REFUSED_S = (3, 6)
_START_AGAIN_S = (0.3, 1.0)
_HOST_AWAY_S = (0.05, 1.0)
# Until the record of a host that has started again is written.
_HEARTBEAT_S = (0, 0.8)
_DRAIN_S = (0.2, 3)
_MAX_STOP_S = 7.0
_MAX_ENTRIES = 5
_MAX_LOST_HOSTS = 2
# How far a host's time of day may be off its sidecar's, in milliseconds.
_CLOCK_STEPS_MS = (0, 0, 450, -450)
_FOREIGN_BORN_MS = (0, 3000, -5000)
_FOREIGN_KEYS = ('aa', 'zz')
# What a copy of a host's record may have behind it.
_BEHIND_COPIES = (b'', b'\n# copy of 02:00\n', b'{}')
_OTHER_PORT = 9100
_UNREACHABLE_SEEDS = ('127.250.250.250',)
_MS = 1000


class FlowDrill:
    """Load, events and judgement of one fleet.

    The seed determines the events, their order, gaps and parameters; the
    scheduling of the processes stays free.

    Attributes:
        trace: what happened.
        kept: number of flows whose requests were all answered.
        excused: number of open flows that were reset beside an unplanned
            disruption of a process involved.
    """

    def __init__(self, fleet: RelayFleet, seed: int) -> None:
        """Create a drill.

        Args:
            fleet: fleet that serves its clients.
            seed: seed of all random choices.
        """
        self.trace = DrillTrace()
        self.kept = 0
        self.excused = 0
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._router = Router(fleet.entries)
        self._request_count = 0
        # Start of each host's incarnation in milliseconds, by index; hosts that
        # have been lost or released are left out.
        self._born_ms = dict.fromkeys(range(len(fleet.hosts)), _now_ms())
        # Time of the last unplanned disruption, by address; of the store by ''.
        self._disrupted: dict[str, float] = {}

    async def run(self) -> None:
        """Run load and events, and judge the flows that are reset."""
        await self._register_hosts()
        tasks = [asyncio.create_task(self._router.probe_entries())]
        for client in self._fleet.clients:
            client.entry_for = self._router.entry_for
            load = self._open_flows(client, random.Random(self._rng.random()))
            tasks.append(asyncio.create_task(load))
        await asyncio.sleep(_WARM_UP_S)
        await self._run_events()
        await asyncio.sleep(_COOL_DOWN_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        writers = StoreWriters(self._fleet, self.trace)
        # Sidecars of lost hosts do not run.
        DrillChecks(self._fleet, writers, self.trace).check_faults()

    # Load.

    async def _open_flows(
        self, client: ClientStandIn, rng: random.Random
    ) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._use_flow(client, rng))
                await asyncio.sleep(rng.uniform(*_OPEN_INTERVAL_S))

    async def _use_flow(
        self, client: ClientStandIn, rng: random.Random
    ) -> None:
        is_reused = rng.random() < _REUSED_SHARE
        pause_s = rng.uniform(*_REUSE_AFTER_S)
        try:
            port = 0
            if is_reused:
                port = await self._use_port(client)
                await asyncio.sleep(pause_s)
            flow = await client.connect(TARGET, port)
        except FlowFailed:
            # The client was told, or gives up: nothing was open.
            return
        with suppress(FlowFailed):
            for pause_s in _PAUSES_S:
                await asyncio.sleep(pause_s)
                await self._send_request(client, flow)
            self.kept += 1
            client.finish(flow)

    async def _use_port(self, client: ClientStandIn) -> int:
        """Serve one request on a flow and end it; return its port.

        Raises:
            FlowFailed: the flow was reset, or no answer came.
        """
        flow = await client.connect(TARGET)
        await self._send_request(client, flow)
        client.finish(flow)
        return flow.port

    async def _send_request(
        self, client: ClientStandIn, flow: ClientFlow
    ) -> None:
        """Send a request, and judge a reset.

        Raises:
            FlowFailed: the flow was reset, or no answer came.
        """
        self._request_count += 1
        try:
            await client.send_request(flow, f'request-{self._request_count}')
        except FlowFailed:
            if flow.is_reset:
                self._judge_reset((client.ip, flow.port), flow)
            raise

    def _judge_reset(self, source: tuple[str, int], flow: ClientFlow) -> None:
        holders = [
            host
            for host in self._fleet.hosts
            if (source, flow.target) in host.open_flows
        ]
        if not holders:
            return
        ip = holders[0].address[0]
        involved = ('', ip, flow.reset_by)
        last = max(self._disrupted.get(name, 0) for name in involved)
        if time.monotonic() - last < _CONTACT_S:
            self.excused += 1
            return
        self.trace.violate(
            f'{flow.reset_by} reset flow {source[1]}, open at {ip}'
        )

    # Events.

    async def _run_events(self) -> None:
        # Those that stand twice are drawn twice as often.
        events: tuple[_Event, ...] = (
            self._end_entries,
            self._end_entries,
            self._end_sidecar,
            self._write_foreign_record,
            self._write_foreign_record,
            self._copy_record,
            self._lose_host,
            self._lose_host,
            self._release_host,
            self._restart_host,
            self._outage,
            self._refuse_machine,
            self._publish,
            self._add_entry,
        )
        async with asyncio.TaskGroup() as group:
            for _ in range(self._rng.randint(*_EVENTS)):
                rng = random.Random(self._rng.random())
                group.create_task(self._rng.choice(events)(rng))
                await asyncio.sleep(self._rng.choice(_GAPS_S))

    async def _end_entries(self, rng: random.Random) -> None:
        """Kill some entries at once, or restart them in turn by plan."""
        entries = self._fleet.entries
        count = rng.choice((1, len(entries)))
        chosen = rng.sample(entries, count)
        away_s = rng.uniform(*_START_AGAIN_S)
        if rng.choice((True, False)):
            await asyncio.gather(
                *(self._end(entry, SIGKILL, away_s) for entry in chosen)
            )
            return
        for entry in chosen:
            await self._end(entry, SIGTERM, away_s)
            await asyncio.sleep(rng.choice((0, 1, 2)))

    async def _end_sidecar(self, rng: random.Random) -> None:
        index = self._choose_host(rng)
        way = rng.choice((SIGKILL, SIGTERM))
        away_s = rng.uniform(*_START_AGAIN_S)
        await self._end(self._fleet.sidecars[index], way, away_s)

    async def _write_foreign_record(self, rng: random.Random) -> None:
        """Write a record of no configured service at a host's address."""
        ip, port = rng.choice(self._fleet.hosts).address
        born_ms = _now_ms() + rng.choice(_FOREIGN_BORN_MS)
        record = HostDocument(
            'metrics-agent',
            (ip, rng.choice((port, _OTHER_PORT))),
            self._fleet.data_centre(0),
            draining=rng.choice((True, False)),
            born_ms=born_ms,
        )
        key = rng.choice(_FOREIGN_KEYS)
        self.trace.note('foreign record', key=key, ip=ip, born_ms=born_ms)
        await self._fleet.store.put(f'{HOSTS_PREFIX}{key}', record.encode())

    async def _copy_record(self, rng: random.Random) -> None:
        """Copy the record of a host, with text behind it or as it is."""
        index = self._choose_host(rng)
        host = self._fleet.hosts[index]
        record = HostDocument(
            self._fleet.service(index),
            host.address,
            self._fleet.data_centre(index),
            born_ms=self._born_ms[index],
        )
        key = f'{rng.choice(_FOREIGN_KEYS)}-{host.name}'
        self.trace.note('copy of a record', key=key, index=index)
        content = record.encode() + rng.choice(_BEHIND_COPIES)
        await self._fleet.store.put(f'{HOSTS_PREFIX}{key}', content)

    async def _lose_host(self, rng: random.Random) -> None:
        """Let the machine of a host lose power for good."""
        index = self._choose_host(rng)
        if not self._take_away(index):
            return
        self.trace.note('host lost', index=index)
        self._fleet.sidecars[index].kill()
        self._fleet.hosts[index].close()
        await asyncio.sleep(_EXPIRY_S)
        await self._unlist(index)

    async def _release_host(self, rng: random.Random) -> None:
        """Drain a host, then end it and its sidecar."""
        index = self._choose_host(rng)
        born_ms = self._born_ms[index]
        if not self._take_away(index):
            return
        self.trace.note('host released', index=index)
        await self._fleet.register(index, draining=True, born_ms=born_ms)
        await asyncio.sleep(rng.uniform(*_DRAIN_S))
        self._fleet.hosts[index].close()
        await self._unlist(index)
        sidecar = self._fleet.sidecars[index]
        await self._end(sidecar, SIGTERM, 0)

    async def _restart_host(self, rng: random.Random) -> None:
        """Let a host crash and start again under its id."""
        index = self._choose_host(rng)
        host = self._fleet.hosts[index]
        self.trace.note('host crashed', index=index)
        host.close()
        await asyncio.sleep(rng.uniform(*_HOST_AWAY_S))
        if index not in self._born_ms:
            return
        await host.open()
        self._disrupted[host.address[0]] = time.monotonic()
        self._born_ms[index] = _now_ms() + rng.choice(_CLOCK_STEPS_MS)
        await asyncio.sleep(rng.uniform(*_HEARTBEAT_S))
        await self._register_hosts(index)

    async def _outage(self, rng: random.Random) -> None:
        """Let the store refuse all calls; records expire in a long outage."""
        store = self._fleet.store
        duration_s = rng.uniform(*_OUTAGE_S)
        self.trace.note('outage', seconds=f'{duration_s:.1f}')
        store.unavailable = True
        await asyncio.sleep(duration_s)
        if duration_s > _EXPIRY_S:
            for index in self._born_ms:
                await self._unlist(index)
        store.unavailable = False
        self._disrupted[''] = time.monotonic()
        await asyncio.sleep(rng.uniform(*_RETURN_S))
        await self._register_hosts()

    async def _refuse_machine(self, rng: random.Random) -> None:
        """Let the store refuse the machine of one host."""
        index = self._choose_host(rng)
        ip = self._fleet.hosts[index].address[0]
        self.trace.note('machine refused', index=index)
        self._fleet.store.busy = lambda caller: caller == ip
        await asyncio.sleep(_EXPIRY_S)
        await self._unlist(index)
        await asyncio.sleep(rng.uniform(*_REFUSED_S))
        self._fleet.store.busy = lambda caller: False
        await self._register_hosts(index)

    async def _publish(self, rng: random.Random) -> None:
        """Publish a configuration with another route."""
        other = (TARGET[0], TARGET[1] + rng.randint(1, 9))
        routes = [RouteDocument('matcher', route) for route in (TARGET, other)]
        self.trace.note('publish')
        await self._fleet.publish(routes)

    async def _add_entry(self, rng: random.Random) -> None:
        """Add an entry, whose seeds may be stale."""
        if len(self._fleet.entries) < _MAX_ENTRIES:
            seeds = rng.choice((_UNREACHABLE_SEEDS, ()))
            self._fleet.add_entry(seeds)
            self.trace.note('entry added', stale=bool(seeds))

    # What events share.

    def _choose_host(self, rng: random.Random) -> int:
        return rng.choice(list(self._born_ms))

    def _take_away(self, index: int) -> bool:
        """Take a host out of use; return whether enough others are left."""
        lost = len(self._fleet.hosts) - len(self._born_ms)
        if lost >= _MAX_LOST_HOSTS or index not in self._born_ms:
            return False
        self._born_ms.pop(index)
        return True

    async def _register_hosts(self, index: int | None = None) -> None:
        """Write the records of all hosts in use, or of one."""
        indexes = list(self._born_ms) if index is None else [index]
        for known in indexes:
            if known in self._born_ms:
                born_ms = self._born_ms[known]
                await self._fleet.register(known, born_ms=born_ms)

    async def _unlist(self, index: int) -> None:
        key = f'{HOSTS_PREFIX}{self._fleet.hosts[index].name}'
        await self._fleet.store.put(key, None)

    async def _end(self, program: Program, way: Signals, away_s: float) -> None:
        """End a process; start it again unless its host is gone."""
        ip = program.settings.ip
        self.trace.note(way.name, name=program.settings.name)
        program.signal(way)
        if program.process:
            await asyncio.to_thread(program.process.wait, _MAX_STOP_S)
        await asyncio.sleep(away_s)
        in_use = {
            self._fleet.hosts[index].address[0] for index in self._born_ms
        }
        if program in self._fleet.entries or ip in in_use:
            program.start()
        if way == SIGKILL:
            self._disrupted[ip] = time.monotonic()


def _now_ms() -> int:
    return int(time.time() * _MS)
