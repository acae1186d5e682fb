"""End-to-end tests: real processes and platform stand-ins on loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from signal import SIGHUP, SIGTERM

from siskinbank.lab.rig.client import ClientStandIn, FlowFailed
from siskinbank.lab.rig.fleet import TARGET, readiness
from siskinbank.platform.encoding import (
    Packet,
    ProcessSettings,
    RouteDocument,
)
from siskinbank.platform.packets import ACK, BOUNCED, SYN
from siskinbank.platform.store import HOSTS_PREFIX
from tests.relay.fleet_case import FleetCase

# Limit of the platform from a change by operator or host to its effect, in
# seconds.
_MAX_APPLY_S = 3


class TestFleet(FleetCase):
    """Two entries and three hosts, each with its sidecar."""

    def count_runs(self, name: str) -> int:
        """Return how often a request ran, over all hosts."""
        return sum(host.runs.count(name) for host in self.fleet.hosts)

    async def eventually(
        self,
        check: Callable[[], Awaitable[bool]],
        seconds: float = _MAX_APPLY_S,
    ) -> None:
        """Wait until the check succeeds; fail after a timeout."""
        async with asyncio.timeout(seconds):
            while not await check():
                await asyncio.sleep(0.05)

    async def test_each_request_runs_once_unaltered(self) -> None:
        """Without faults, through each entry."""
        for number in range(30):
            client = self.fleet.clients[number % 2]
            body = await client.request(TARGET, f'calm-{number}')
            self.assertTrue(body.startswith(f'calm-{number} '), body)
            self.assertEqual(self.count_runs(f'calm-{number}'), 1)
        hosts, clients = self.fleet.hosts, self.fleet.clients
        self.assertEqual([host.corrupt for host in hosts], [0, 0, 0])
        self.assertEqual([client.corrupt for client in clients], [0, 0])

    async def test_flow_survives_entry_failure(self) -> None:
        """After an entry failure another entry finds the host of a flow."""
        client = self.fleet.clients[0]
        flow = await client.connect(TARGET)
        before = await client.send_request(flow, 'before')
        self.fleet.entries[0].kill()
        client.entry = self.fleet.entries[1].settings.ip
        after = await client.send_request(flow, 'after')
        self.assertEqual(before.split()[1], after.split()[1])

    async def test_slow_entry_leaves_rotation(self) -> None:
        """It returns when the fast one is killed, and serves throughout."""
        slow, fast = self.fleet.entries
        for program, link_mbps in ((slow, 5), (fast, 100)):
            program.kill()
            program.settings = replace(
                program.settings, data_centre='a', link_mbps=link_mbps
            )
            program.start()
        await self.eventually(lambda: _has_status(slow.settings, 200), 10)
        await self.eventually(lambda: _has_status(slow.settings, 503), 10)
        self.assertTrue(await _has_status(fast.settings, 200))
        body = await self.fleet.clients[0].request(TARGET, 'while out')
        self.assertTrue(body.startswith('while out '), body)
        fast.kill()
        await self.eventually(lambda: _has_status(slow.settings, 200), 5)
        # Lines leave every quarter second.
        await asyncio.sleep(0.5)
        self.assertIn(' R241 rotation.joined ', slow.log)

    async def test_link_at_its_limit(self) -> None:
        """Guards against an entry that does not see its own backlog.

        New flows are rejected during a burst of full packets, the open flow is
        never reset, and new flows are served again afterwards.
        """
        entry = self.fleet.entries[0]
        entry.kill()
        entry.settings = replace(entry.settings, link_mbps=1)
        entry.start()
        await self.eventually(lambda: _has_status(entry.settings, 200), 10)
        client = self.fleet.clients[0]
        flow = await client.connect(TARGET)
        await client.send_request(flow, 'before')
        address = (client.ip, flow.port)
        beyond = (flow.number + 100_000) % (1 << 32)
        full = Packet(
            address, TARGET, ACK, beyond, flow.acknowledged, bytes(1200)
        ).write()

        async def is_rejected() -> bool:
            for _ in range(200):
                client.send_raw(full)
            await _serves(client, TARGET)
            return 'reason=link-full' in entry.log

        await self.eventually(is_rejected, 20)
        await self.eventually(lambda: _serves(client, TARGET), 10)
        after = await client.send_request(flow, 'after')
        self.assertTrue(after.startswith('after '), after)
        name = f':{flow.port}-'
        resets = [
            line
            for line in entry.log.splitlines()
            if 'flow.reset' in line and name in line
        ]
        self.assertEqual(resets, [])

    async def test_flow_survives_restart_of_all_processes(self) -> None:
        """Entries and sidecars are killed at once; the hosts keep the flow."""
        client = self.fleet.clients[0]
        flow = await client.connect(TARGET)
        before = await client.send_request(flow, 'before')
        programs = [*self.fleet.entries, *self.fleet.sidecars]
        for program in programs:
            program.kill()
        for program in programs:
            program.start()
        await self.fleet.wait_until_ready()
        after = await client.send_request(flow, 'after')
        self.assertEqual(before.split()[1], after.split()[1])

    async def test_flow_of_restarted_host_is_reset(self) -> None:
        """The host has lost the flow, which is reset before its deadline."""
        client = self.fleet.clients[0]
        flow = await client.connect(TARGET)
        body = await client.send_request(flow, 'before')
        host = next(
            host for host in self.fleet.hosts if host.name == body.split()[1]
        )
        host.close()
        await asyncio.sleep(0.05)
        await host.open()
        with self.assertRaisesRegex(FlowFailed, 'reset'):
            await client.send_request(flow, 'after')

    async def test_flow_of_failed_machine_is_reset(self) -> None:
        """Long before the host's record expires; also by a restarted entry."""
        client = self.fleet.clients[0]
        for restarted in (False, True):
            await self.fleet.wait_until_ready()
            flow = await client.connect(TARGET)
            body = await client.send_request(flow, 'before')
            index = int(body.split()[1].removeprefix('i-'))
            self.fleet.hosts[index].close()
            self.fleet.sidecars[index].kill()
            if restarted:
                self.fleet.entries[0].kill()
                self.fleet.entries[0].start()
            with self.assertRaisesRegex(FlowFailed, 'reset'):
                await client.send_request(flow, 'after')
            await self.fleet.hosts[index].open()
            self.fleet.sidecars[index].start()

    async def test_draining_host_gets_no_new_flows(self) -> None:
        """Within the limit after its record changes; open flows continue."""
        client = self.fleet.clients[0]
        flow = await client.connect(TARGET)
        first = await client.send_request(flow, 'first')
        index = int(first.split()[1].removeprefix('i-'))
        await self.fleet.register(index, draining=True)
        await asyncio.sleep(_MAX_APPLY_S)
        accepted = len(self.fleet.hosts[index].accepted)
        for number in range(20):
            await self.fleet.clients[number % 2].request(TARGET, f'd-{number}')
        self.assertEqual(len(self.fleet.hosts[index].accepted), accepted)
        self.assertEqual(
            await client.send_request(flow, 'last'), f'last i-{index}'
        )

    async def test_evacuated_data_centre_gets_no_new_flows(self) -> None:
        """Data centre a is evacuated; it has hosts 0 and 2."""
        await self.fleet.evacuate('a')
        await asyncio.sleep(_MAX_APPLY_S)
        before = [len(host.accepted) for host in self.fleet.hosts]
        for number in range(20):
            await self.fleet.clients[number % 2].request(TARGET, f'o-{number}')
        after = [len(host.accepted) for host in self.fleet.hosts]
        self.assertEqual((after[0], after[2]), (before[0], before[2]))

    async def test_invalid_store_record_hides_no_other(self) -> None:
        """Other clients have written invalid records beside those of hosts."""
        corrupt = (b'\xff\x00', b'[]', b'{"Service": 7}', b'{"Service": "x"}')
        for number, content in enumerate(corrupt):
            await self.fleet.store.put(f'{HOSTS_PREFIX}0-{number}', content)
        await self.fleet.register(2, draining=True)
        await asyncio.sleep(_MAX_APPLY_S)
        accepted = len(self.fleet.hosts[2].accepted)
        for number in range(10):
            await self.fleet.clients[0].request(TARGET, f'b-{number}')
        self.assertEqual(len(self.fleet.hosts[2].accepted), accepted)

    async def test_change_after_compaction_is_in_force(self) -> None:
        """The watch gets status 410, and all keys are listed again."""
        new = (TARGET[0], 8443)
        await asyncio.sleep(0.2)
        self.fleet.store.compact()
        await self.fleet.publish(
            [RouteDocument('matcher', TARGET), RouteDocument('matcher', new)],
        )
        self.fleet.store.compact()
        await self.eventually(lambda: _serves(self.fleet.clients[1], new))

    async def test_removed_route_stays_refused(self) -> None:
        """At both entries; none returns to the older configuration."""
        other = (TARGET[0], 8443)
        await self.fleet.publish([RouteDocument('matcher', other)])
        await asyncio.sleep(_MAX_APPLY_S)
        for client in self.fleet.clients:
            self.assertFalse(await _serves(client, TARGET))
            self.assertTrue(await _serves(client, other))
        await asyncio.sleep(0.5)
        resets = [
            line
            for line in self.fleet.entries[0].log.splitlines()
            if 'reason=no-route' in line
        ]
        self.assertRegex(resets[-1], r' version=\d+$')

    async def test_serves_while_store_does_not_answer(self) -> None:
        """An entry that starts meanwhile gets its state from peers."""
        self.fleet.store.silent = True
        await asyncio.sleep(_MAX_APPLY_S)
        entry = self.fleet.entries[1]
        entry.kill()
        entry.start()
        await self.eventually(
            lambda: _serves(self.fleet.clients[1], TARGET),
            10,
        )
        self.assertTrue(await _serves(self.fleet.clients[0], TARGET))
        self.assertIn('store.lost', self.fleet.entries[0].log)

    async def test_entry_refused_by_store_gets_route_from_peers(
        self,
    ) -> None:
        """A new route takes effect there within the limit for changes."""
        refused = self.fleet.entries[0].settings.ip
        self.fleet.store.busy = refused.__eq__
        new = (TARGET[0], 8080)
        await self.fleet.publish(
            [RouteDocument('matcher', TARGET), RouteDocument('matcher', new)],
        )
        await self.eventually(lambda: _serves(self.fleet.clients[0], new))

    async def test_store_returns_from_an_older_copy(self) -> None:
        """A route is published again, at a revision given out before."""
        new = (TARGET[0], 8443)
        copy = self.fleet.store.copy()
        for _ in range(5):
            await self.fleet.register(0)
        await asyncio.sleep(1)
        await self.fleet.store.restore(copy)
        await self.fleet.publish(
            [RouteDocument('matcher', TARGET), RouteDocument('matcher', new)],
        )

        async def is_applied() -> bool:
            served = [await _serves(one, new) for one in self.fleet.clients]
            logs = [entry.log for entry in self.fleet.entries]
            return all(served) and 'store.era era=2 before=1' in ''.join(logs)

        await self.eventually(is_applied)

    async def test_evacuation_in_the_new_era(self) -> None:
        """Its revision is lower than that of the records before."""
        copy = self.fleet.store.copy()
        for _ in range(9):
            await self.fleet.register(1)
        await asyncio.sleep(1)
        await self.fleet.store.restore(copy)
        await self.fleet.evacuate('a')
        await asyncio.sleep(_MAX_APPLY_S)
        before = [len(host.accepted) for host in self.fleet.hosts]
        for number in range(20):
            await self.fleet.clients[number % 2].request(TARGET, f'e-{number}')
        after = [len(host.accepted) for host in self.fleet.hosts]
        self.assertEqual((after[0], after[2]), (before[0], before[2]))

    async def test_malformed_packets_are_dropped(self) -> None:
        """Packets are too short, have wrong lengths or invalid flags."""
        client = self.fleet.clients[0]
        good = Packet(('127.0.0.9', 9), TARGET, SYN).write()
        bad = [b'', b'x', good[:30], good + b'more', bytes(31), bytes(2000)]
        flags = (SYN | ACK, BOUNCED, 0x48)
        bad.extend(
            Packet(('127.0.0.9', 9), TARGET, flag).write() for flag in flags
        )
        for datagram in bad:
            client.send_raw(datagram)
        self.assertTrue(await _serves(client, TARGET))

    async def test_planned_stop_cuts_no_request(self) -> None:
        """Sidecars get SIGTERM while a host processes a request."""
        for host in self.fleet.hosts:
            host.processing_s = 0.5
        client = self.fleet.clients[0]
        flow = await client.connect(TARGET)
        request_task = asyncio.create_task(client.send_request(flow, 'long'))
        await asyncio.sleep(0.2)
        for sidecar in self.fleet.sidecars:
            sidecar.signal(SIGTERM)
        self.assertTrue((await request_task).startswith('long '))
        codes = [
            await asyncio.to_thread(_wait, stopped.process)
            for stopped in self.fleet.sidecars
        ]
        self.assertEqual(codes, [0, 0, 0])

    async def test_flows_of_leaving_host_survive_sidecar_stop(self) -> None:
        """Load pattern: a release stops a sidecar before its draining host.

        The sidecar serves the open flow until the host ends, also if the host
        refuses health checks first.
        """
        client = self.fleet.clients[0]
        flow = await client.connect(TARGET)
        body = await client.send_request(flow, 'before')
        index = int(body.split()[1].removeprefix('i-'))
        await self.fleet.register(index, draining=True)
        self.fleet.hosts[index].close_listener()
        await asyncio.sleep(_MAX_APPLY_S)
        sidecar = self.fleet.sidecars[index]
        sidecar.signal(SIGTERM)
        await asyncio.sleep(2)
        after = await client.send_request(flow, 'after')
        self.assertEqual(after, f'after i-{index}')
        self.fleet.hosts[index].close()
        code = await asyncio.to_thread(_wait, sidecar.process)
        self.assertEqual(code, 0)

    async def test_sighup_keeps_processes_serving(self) -> None:
        """All processes reload their settings and go on serving."""
        for program in (*self.fleet.entries, *self.fleet.sidecars):
            program.signal(SIGHUP)
        await asyncio.sleep(0.3)
        for client in self.fleet.clients:
            self.assertTrue(await _serves(client, TARGET))
        for running in (*self.fleet.entries, *self.fleet.sidecars):
            self.assertIsNotNone(running.process)
            self.assertIsNone(running.process and running.process.poll())


async def _serves(client: ClientStandIn, target: tuple[str, int]) -> bool:
    try:
        await client.request(target, 'probe')
    except FlowFailed:
        return False
    return True


def _wait(process: object) -> int:
    return process.wait(6)  # type: ignore[attr-defined, no-any-return]


async def _has_status(settings: ProcessSettings, status: int) -> bool:
    """Return whether the readiness probe of a process gets a status."""
    return await readiness(settings) == status
