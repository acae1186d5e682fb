"""Records that another client of the store writes at a host's address.

All tests guard against open flows that are reset as a process takes a complete
record of a service that nobody has configured for one of the host: an entry
before it has the configuration, or a sidecar that is told so.
"""

import asyncio
import json
import time
import unittest
from signal import SIGTERM

from siskinbank.admission import reasons
from siskinbank.lab.rig.client import ClientFlow, ClientStandIn
from siskinbank.lab.rig.fleet import TARGET, Program
from siskinbank.platform.encoding import HostDocument
from siskinbank.platform.store import CONFIGURATION_KEY, HOSTS_PREFIX
from siskinbank.relay import messages
from siskinbank.relay.records import record_for
from siskinbank.tracking.store_position import StorePosition
from tests.relay.fleet_case import FleetCase
from tests.relay.simulated_host import (
    ENTRY,
    FIRST_NUMBER,
    LOW,
    SimulatedHost,
)
from tests.relay.test_store_eras import Schedule

HOST_IP = '10.0.0.1'
# A service that no configuration names.
SERVICE = 'metrics-agent'
FLOWS = 12
# Time in which listings are read and sent several times, in seconds.
LISTINGS_S = 2.0
# Duration of an outage of the store, and time in which hosts that serve on are
# registered again after it, in seconds.
OUTAGE_S = 2.6
RETURN_S = 1.0
# Longer than the platform takes to start a killed process again, in seconds.
RESTART_S = 0.3
_MS = 1000


def foreign_record(ip: str) -> bytes:
    """Return a complete record, younger than that of any host."""
    born_ms = int(time.time() * _MS)
    return HostDocument(SERVICE, (ip, 9100), 'a', born_ms=born_ms).encode()


class TestFollower(unittest.TestCase):
    """A process that reads the hosts before the configuration."""

    def setUp(self) -> None:
        """Put a foreign record at the address of a host."""
        self.schedule = Schedule(1)
        self.store = self.schedule.store
        self.follower = self.schedule.follower
        self.store.put(f'{HOSTS_PREFIX}zz', foreign_record(HOST_IP))
        self.configuration = self.store.items[CONFIGURATION_KEY].content or b''

    def advance(self, steps: int = 40) -> None:
        """Let time pass."""
        for _ in range(steps):
            self.schedule.advance()

    def test_no_configuration_yet(self) -> None:
        """Nothing is said of any host until the services are known."""
        self.store.put(CONFIGURATION_KEY, None)
        self.advance()
        self.assertEqual(self.follower.hosts, {})
        self.assertFalse(self.follower.listing.known)
        self.assertIsNone(record_for(self.follower, HOST_IP, 0))
        self.store.put(CONFIGURATION_KEY, self.configuration)
        self.advance()
        self.assertEqual(self.follower.hosts[HOST_IP].service, 'a')

    def test_configuration_of_a_peer(self) -> None:
        """The listing that was read before is used at once."""
        self.store.put(CONFIGURATION_KEY, None)
        self.advance()
        self.follower.apply_configuration(self.configuration, 'peer')
        self.follower.update_hosts()
        self.assertEqual(self.follower.hosts[HOST_IP].service, 'a')

    def test_record_of_the_host_is_missing(self) -> None:
        """Load pattern: it expired in an outage of the store."""
        self.store.put(f'{HOSTS_PREFIX}i-1', None)
        self.advance()
        self.assertNotIn(HOST_IP, self.follower.hosts)
        self.assertNotIn(bytes((10, 0, 0, 1)), self.follower.listing.addresses)

    def test_service_is_added(self) -> None:
        """A record that was listed counts once its service is configured."""
        self.advance()
        document = json.loads(self.configuration)
        document['Version'] += 1
        document['Services'].append({'Name': SERVICE})
        content = json.dumps(document).encode()
        self.follower.apply_configuration(content, 'peer')
        self.follower.update_hosts()
        self.assertEqual(self.follower.hosts[HOST_IP].service, SERVICE)


class TestSidecar(unittest.TestCase):
    """A sidecar that is sent a record of another service."""

    def setUp(self) -> None:
        """Open a flow at a host whose sidecar has seen all of its flows."""
        self.host = SimulatedHost()
        self.addCleanup(self.host.close)
        self.host.run(30)
        self.key = self.host.send_opening(LOW, 10)
        self.host.send_packet(LOW, 10)
        self.host.run(0.1)

    def answers(self) -> set[int]:
        """Return the kinds of the answers to a query for the flow."""
        self.host.sent.clear()
        query = messages.pack_flows(
            messages.FLOW_QUERY, [(self.key, FIRST_NUMBER)]
        )
        self.host.handlers[messages.FLOW_QUERY](query, ENTRY)
        return {raw[0] for raw in self.host.sent}

    def send_foreign_record(self) -> None:
        """Send a record of something that was started later."""
        now_ms = int(time.time() * _MS) + 60_000
        service = messages.digest(SERVICE)
        self.host.send_record(service=service, born_ms=now_ms)

    def test_flows_are_kept(self) -> None:
        """It is no restart of the host, nor is the host's next record."""
        self.send_foreign_record()
        self.assertEqual(self.answers(), {messages.HELD})
        self.assertEqual(
            self.host.state.state(self.host.now), reasons.OTHER_SERVICE
        )
        self.host.send_record()
        self.assertEqual(self.answers(), {messages.HELD})
        self.assertEqual(self.host.state.state(self.host.now), reasons.NONE)

    def test_flows_from_before_are_not_denied(self) -> None:
        """A sidecar that was restarted does not take its host for younger."""
        self.host.restart_sidecar()
        self.host.run(0.1)
        born_ms = self.host.state._started_ms + 10  # noqa: SLF001
        service = messages.digest(SERVICE)
        self.host.send_record(service=service, born_ms=born_ms)
        self.assertEqual(self.answers(), {messages.HELD_UNKNOWN})

    def test_host_decides_after_a_restart(self) -> None:
        """Flows of before are not denied: the time of day may have jumped."""
        self.host.state._started_ms = 0  # noqa: SLF001
        self.host.send_record(born_ms=30_050)
        self.assertEqual(self.answers(), {messages.HELD_UNKNOWN})
        self.host.send_request(LOW, 10)
        self.host.run(0.2)
        self.assertEqual(self.answers(), {messages.HELD})

    def test_record_of_the_host_returns(self) -> None:
        """A host that was missing in the store has not been restarted."""
        self.host.state._started_ms = 0  # noqa: SLF001
        missing = messages.Record()
        missing.flags = messages.OPERATOR_READ
        missing.position = StorePosition(1, 100)
        missing.operator_position = StorePosition(1, 1)
        self.host.sidecar._apply_record(missing, 'test')  # noqa: SLF001
        self.assertTrue(self.host.state.is_leaving)
        self.host.send_record(position=StorePosition(1, 101))
        self.assertEqual(self.answers(), {messages.HELD})
        self.assertGreater(
            self.host.now - self.host.state._observed_since,  # noqa: SLF001
            30,
        )


class TestRealProcesses(FleetCase):
    """Two entries and three hosts, one of them beside a foreign record."""

    async def prepare(self) -> None:
        """Open flows, then write the record."""
        await self.start_fleet()
        self.born_ms = int(time.time() * _MS)
        await self.register_hosts()
        await asyncio.sleep(LISTINGS_S)
        self.flows: list[tuple[ClientStandIn, ClientFlow]] = []
        for number in range(FLOWS):
            client = self.fleet.clients[number % len(self.fleet.clients)]
            flow = await client.connect(TARGET)
            await client.send_request(flow, f'before-{number}')
            self.flows.append((client, flow))
        ip = self.fleet.hosts[0].address[0]
        record = foreign_record(ip)
        await self.fleet.store.put(f'{HOSTS_PREFIX}zz', record)
        await asyncio.sleep(LISTINGS_S)

    async def register_hosts(self) -> None:
        """Write the hosts' own records."""
        for index in range(len(self.fleet.hosts)):
            await self.fleet.register(index, born_ms=self.born_ms)

    async def assert_flows_kept(self) -> None:
        """Check that all flows are served."""
        await self.fleet.wait_until_ready()
        await asyncio.sleep(LISTINGS_S)
        for number, (client, flow) in enumerate(self.flows):
            answer = await client.send_request(flow, f'after-{number}')
            self.assertTrue(answer.startswith(f'after-{number} '), answer)

    async def test_all_entries_are_killed(self) -> None:
        """They list the hosts before any of them has the configuration."""
        for entry in self.fleet.entries:
            entry.kill()
        await asyncio.sleep(RESTART_S)
        for entry in self.fleet.entries:
            entry.start()
        await self.assert_flows_kept()

    async def test_planned_restarts(self) -> None:
        """Sidecars and entries are stopped and started in turn."""
        for program in (*self.fleet.sidecars, *self.fleet.entries):
            await self.restart(program)
            await self.fleet.wait_until_ready()
        await self.assert_flows_kept()

    async def test_store_is_away(self) -> None:
        """The hosts' records expire; the foreign one is there at its return.

        An entry is restarted by plan before the hosts are registered again.
        """
        self.fleet.store.unavailable = True
        for host in self.fleet.hosts:
            await self.fleet.store.put(f'{HOSTS_PREFIX}{host.name}', None)
        await asyncio.sleep(OUTAGE_S)
        self.fleet.store.unavailable = False
        await asyncio.sleep(RETURN_S)
        await self.restart(self.fleet.entries[0])
        await self.register_hosts()
        await self.assert_flows_kept()

    async def restart(self, program: Program) -> None:
        """Stop a process by plan and start it again."""
        process = program.process
        program.signal(SIGTERM)
        async with asyncio.timeout(7):
            while process and process.poll() is None:
                await asyncio.sleep(0.05)
        program.start()


if __name__ == '__main__':
    unittest.main()
