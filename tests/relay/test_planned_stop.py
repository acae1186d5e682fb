"""Tests of the planned stop of a sidecar."""

from siskinbank.admission import reasons
from siskinbank.relay import messages
from tests.relay.test_reset_on_absence import RESTART_S, FleetCase

# Time in which all messages of the sidecar are lost, duration of the shortest
# planned stop, and time until the sidecar is back, in seconds: longer than the
# time after which a silent host counts as gone.
LOSS_S = 0.08
SHORTEST_STOP_S = 0.15
AWAY_S = 2.5
# Longer than the longest planned stop, in seconds.
LONGEST_STOP_S = 5.6


class TestLeavingHost(FleetCase):
    """Load pattern: a release stops sidecars before their leaving hosts."""

    def setUp(self) -> None:
        """Remove the record of the host, and stop its sidecar."""
        super().setUp()
        self.fleet.unlisted.add(self.host)
        self.fleet.run(2, self.packet)
        self.fleet.sidecars[self.host]._planned_stop.begin()  # noqa: SLF001

    def state(self) -> int:
        """Return the state of the host as the entry knows it."""
        host = self.fleet.entry._hosts.get(self.host)  # noqa: SLF001
        self.assertIsNotNone(host)
        return host.status.state  # type: ignore[union-attr]

    def test_host_refuses_packets(self) -> None:
        """Flows of a host that has ended are reset, not left to time out."""
        self.fleet.run(1, self.packet)
        self.assertEqual(self.state(), reasons.STOPPING)
        self.assertEqual(self.fleet.resets, [])
        index = self.fleet.hosts.index(self.host)
        self.fleet._host_sockets[index].close()  # noqa: SLF001
        self.fleet.run(0.5, self.packet)
        self.assertEqual(self.state(), reasons.ENDED)
        self.assertNotEqual(self.fleet.resets, [])


class TestRestartedSidecar(FleetCase):
    """Load pattern: a power loss in the midst of a release.

    Sidecars come back beside hosts that have ended, and are stopped at once.
    """

    def setUp(self) -> None:
        """Start a sidecar that knows no flows beside a host that has ended."""
        super().setUp()
        fleet = self.fleet
        fleet.unlisted.add(self.host)
        fleet.run(1)
        self.sidecar = fleet.sidecars[self.host]
        self.sidecar._flows.clear()  # noqa: SLF001
        self.sidecar._host._observed_since = fleet.now  # noqa: SLF001
        self.sidecar._node.stop = lambda: fleet.dead.add(self.host)  # noqa: SLF001
        self.forget_flow()

    def test_search_ends(self) -> None:
        """A search would wait for the stopped sidecar; its client gives up."""
        index = self.fleet.hosts.index(self.host)
        self.fleet._host_sockets[index].close()  # noqa: SLF001
        self.sidecar._planned_stop.begin()  # noqa: SLF001
        self.fleet.run(0.3)
        self.fleet.run(0.5, self.packet)
        self.assertEqual(
            [reason for _, reason, _ in self.fleet.resets[:1]],
            ['no-host-holds-it'],
        )
        self.fleet.run(0.5)
        self.assertIn(self.host, self.fleet.dead)

    def test_search_ends_without_record(self) -> None:
        """The record of the host has not arrived yet."""
        self.sidecar._host.record = None  # noqa: SLF001
        self.fleet.loss = lambda source, target, datagram: (
            datagram[0] == messages.RECORD
        )
        self.test_search_ends()

    def test_silent_host(self) -> None:
        """The wait for a host that neither answers nor refuses is bounded."""
        self.sidecar._planned_stop.begin()  # noqa: SLF001
        self.fleet.run(5.4, self.packet)
        self.assertEqual(self.fleet.resets, [])
        self.assertNotIn(self.host, self.fleet.dead)
        self.fleet.run(0.2)
        self.assertIn(self.host, self.fleet.dead)


class TestLongestStay(FleetCase):
    """Load pattern: a rolling restart of sidecars beside leaving hosts.

    A sidecar doesn't know whether its host holds idle flows, stays as long as it
    may, and is started again while the host serves on.
    """

    def test_flow_is_kept(self) -> None:
        """Guards against searches that reset a flow while the sidecar is away."""
        fleet = self.fleet
        fleet.unlisted.add(self.host)
        fleet.run(2)
        sidecar = fleet.sidecars[self.host]
        node = sidecar._node  # noqa: SLF001
        node.stop = lambda: fleet.dead.add(self.host)  # type: ignore[method-assign]
        sidecar._flows.clear()  # noqa: SLF001
        sidecar._host._observed_since = fleet.now  # noqa: SLF001
        self.forget_flow()
        sidecar._planned_stop.begin()  # noqa: SLF001
        fleet.run(LONGEST_STOP_S)
        self.assertIn(self.host, fleet.dead)
        fleet.run(RESTART_S, self.packet)
        sidecar._host.stopping = False  # noqa: SLF001
        fleet.dead.discard(self.host)
        fleet.run(1, self.packet)
        self.assertEqual([reason for _, reason, _ in fleet.resets], [])


class TestLostAnnouncement(FleetCase):
    """Load pattern: a rolling restart of sidecars while datagrams are lost."""

    def test_first_copies_are_lost(self) -> None:
        """A later copy tells the entry to wait for the sidecar's restart."""
        fleet = self.fleet
        fleet.run(2, self.packet)
        ends_at = fleet.now + LOSS_S
        fleet.loss = lambda source, target, datagram: (
            source == self.host and fleet.now < ends_at
        )
        fleet.sidecars[self.host]._planned_stop.begin()  # noqa: SLF001
        fleet.run(SHORTEST_STOP_S, self.packet)
        fleet.pause(self.host, AWAY_S)
        fleet.run(AWAY_S + 0.5, self.packet)
        self.assertEqual(fleet.resets, [])
