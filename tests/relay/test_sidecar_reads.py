"""Tests of sidecars that read the store themselves, on a model of the store."""

import unittest
from functools import partial

from siskinbank.platform.encoding import (
    HostDocument,
    RouteDocument,
    encode_configuration,
)
from siskinbank.platform.store import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    HOSTS_PREFIX,
)
from siskinbank.relay import messages
from siskinbank.relay.http import Response
from siskinbank.relay.sidecar import Sidecar
from tests.relay.simulated_fleet import (
    ADDRESS,
    SERVICE,
    STEP_S,
    SimulatedFleet,
)
from tests.relay.test_store_eras import ModelClient, ModelStore

# Limits of the platform, in seconds: until an evacuation is in force, and the
# time without a disruption after which it counts.
EVACUATION_S = 5.0
CONTACT_S = 4.0
DATA_CENTRE = 'a'
EVACUATION_KEY = f'{EVACUATIONS_PREFIX}{DATA_CENTRE}'
# Reads of the store by a sidecar on its own: a listing and a read of the
# operator keys every two seconds.
MAX_CALLS_PER_S = 1.0


class TestReadsWithoutEntries(unittest.TestCase):
    """Load pattern: a partition keeps the reader's records from a sidecar.

    Guards against operator keys that such a sidecar reads only once.
    """

    def setUp(self) -> None:
        """Connect the sidecar of the first host to a store of its own."""
        self.fleet = SimulatedFleet()
        self.addCleanup(self.fleet.close)
        self.host = self.fleet.hosts[0]
        self.store = ModelStore()
        self.store.put(
            CONFIGURATION_KEY,
            encode_configuration(1, [RouteDocument(SERVICE, ADDRESS)]),
        )
        self.register()
        self.is_store_away = False
        self.calls = 0
        self.cut = {messages.RECORD}
        self.fleet.loss = lambda source, target, datagram: (
            target == self.host and datagram[0] in self.cut
        )
        self.connect()

    def register(self, **fields: object) -> None:
        """Write the record of the host."""
        document = HostDocument(
            SERVICE,
            (self.host, 31003),
            DATA_CENTRE,
            **fields,  # type: ignore[arg-type]
        )
        self.store.put(f'{HOSTS_PREFIX}i-0', document.encode())

    def connect(self) -> None:
        """Replace the connections of the sidecar to the store."""
        follower = self.sidecar._follower  # noqa: SLF001
        self.clients = [ModelClient(self.store), ModelClient(self.store)]
        for connection, client in zip(
            (follower._hosts_connection, follower._operator_connection),  # noqa: SLF001
            self.clients,
            strict=True,
        ):
            connection.client = client  # type: ignore[assignment]
        answer = partial(ModelStore.answer, self.store)
        self.store.answer = partial(self.answer, answer)  # type: ignore[method-assign]

    def answer(self, answer: partial[Response], path: str) -> Response:
        """Answer a call unless the store is away."""
        self.calls += 1
        return Response() if self.is_store_away else answer(path)

    @property
    def sidecar(self) -> Sidecar:
        """The sidecar under test."""
        return self.fleet.sidecars[self.host]

    @property
    def flags(self) -> int:
        """The flags of the record that the sidecar goes by."""
        record = self.sidecar._host.record  # noqa: SLF001
        return record.flags if record else 0

    def run_fleet(self, seconds: float) -> None:
        """Let time pass, in which the store answers."""
        for _ in range(int(seconds / STEP_S)):
            self.fleet.run(STEP_S)
            for client in self.clients:
                client.step()

    def restart(self) -> None:
        """Replace the sidecar by a process that knows nothing."""
        self.fleet.restart_sidecar(self.host)
        self.connect()

    def assert_follows_operator(self) -> None:
        """Check that an evacuation is set and taken back in time, twice."""
        for content, expected in 2 * ((b'{}', messages.EVACUATED), (None, 0)):
            self.store.put(EVACUATION_KEY, content)
            self.run_fleet(EVACUATION_S)
            with self.subTest(revision=self.store.revision):
                self.assertEqual(self.flags & messages.EVACUATED, expected)

    def test_evacuations_in_a_partition(self) -> None:
        """Each one is in force in time, however long the partition lasts."""
        self.run_fleet(6)
        self.assert_follows_operator()

    def test_evacuation_in_a_second_partition(self) -> None:
        """The sidecar has read the store in an earlier partition."""
        self.run_fleet(6)
        self.cut = set()
        self.run_fleet(2)
        # Revisions of the store, which the records also state, go on.
        self.store.revision += 1000
        self.cut = {messages.RECORD}
        self.assert_follows_operator()

    def test_after_a_restart(self) -> None:
        """A sidecar that restarts in the partition follows in time."""
        self.run_fleet(6)
        self.store.put(EVACUATION_KEY, b'{}')
        self.restart()
        self.run_fleet(CONTACT_S)
        self.assertTrue(self.flags & messages.EVACUATED)
        self.store.put(EVACUATION_KEY, None)
        self.run_fleet(EVACUATION_S)
        self.assert_follows_operator()

    def test_after_an_outage_of_the_store(self) -> None:
        """The first change after it is in force in time."""
        self.run_fleet(6)
        self.is_store_away = True
        self.run_fleet(7)
        self.is_store_away = False
        self.run_fleet(CONTACT_S)
        self.assert_follows_operator()

    def test_calls_are_few(self) -> None:
        """Also while the store is away."""
        for is_away in (False, True):
            self.is_store_away = is_away
            self.run_fleet(6)
            self.calls = 0
            self.run_fleet(20)
            with self.subTest(away=is_away):
                self.assertLessEqual(self.calls, 20 * MAX_CALLS_PER_S + 2)

    def test_no_reads_while_an_entry_reads(self) -> None:
        """Records of fresh reads keep the sidecar from reading."""
        self.cut = set()
        self.run_fleet(20)
        self.assertEqual(self.calls, 0)

    def test_stale_operator_keys_of_an_entry(self) -> None:
        """Load pattern: the reader lists the hosts but not the keys.

        Its records keep coming, without an evacuation.
        """
        self.cut = set()
        self.fleet.operator_read_at = self.fleet.now
        self.run_fleet(6)
        self.store.revision += 1000
        self.assert_follows_operator()
