"""An open flow must not be reset because its host is absent from what is known.

Each load pattern leaves an entry or a sidecar with a state that lacks a host or
a flow while the host serves.
"""

import unittest

from siskinbank.admission import reasons
from siskinbank.platform.packets import FLOW_KEY
from siskinbank.relay import messages
from siskinbank.relay.entry import Entry
from siskinbank.tracking.own_host import OwnHost
from siskinbank.tracking.store_position import StorePosition
from tests.relay.simulated_fleet import SERVICE, SimulatedFleet

# Time in which a sidecar that is stopped in a planned restart is back, seconds.
RESTART_S = 1.5
# Time from the death of a host to the reset of its flows, in seconds.
MAX_DETECTION_S = 2.0


class FleetCase(unittest.TestCase):
    """A fleet with an open flow at its first host."""

    def setUp(self) -> None:
        """Create the fleet and the flow."""
        self.fleet = SimulatedFleet()
        self.addCleanup(self.fleet.close)
        self.host = self.fleet.hosts[0]
        self.packet = self.fleet.open_flow(self.host)
        for sidecar in self.fleet.sidecars.values():
            # They have run long enough to answer queries.
            sidecar._host._observed_since = self.fleet.now - 60  # noqa: SLF001

    def forget_flow(self) -> None:
        """Let the next packet reach the entry as one that has not seen it."""
        self.fleet.entry._flows.drop(self.packet[FLOW_KEY])  # noqa: SLF001

    def restart_entry(self) -> None:
        """Replace the entry by one that knows nothing."""
        fleet = self.fleet
        fleet.entry._client_socket.close()  # noqa: SLF001
        node = fleet._make_node(fleet.entry_ip, 'entry')  # noqa: SLF001
        fleet.entry = Entry(node)
        fleet.publish()
        fleet._confirm_listing()  # noqa: SLF001
        fleet.entry._gossip._add_listed_sidecars()  # noqa: SLF001


class TestHostsUnknownToEntry(FleetCase):
    """Searches by an entry that doesn't know the host of a flow."""

    def test_entry_restarts_while_record_is_missing(self) -> None:
        """Load pattern: a rolling restart during a release.

        A leaving host serves on after its record is gone. No list of addresses
        names it to the entry; its sidecar still sends status updates there.
        """
        self.fleet.unlisted.add(self.host)
        self.fleet.run(2)
        self.restart_entry()
        self.fleet.run(3, self.packet)
        self.assertEqual(self.fleet.resets, [])

    def test_entry_restarts_and_is_told_of_the_host(self) -> None:
        """A list of addresses that names the host arrives at once."""
        self.fleet.unlisted.add(self.host)
        self.fleet.run(2)
        self.restart_entry()
        gossip = self.fleet.entry._gossip  # noqa: SLF001
        gossip.add_sidecars([bytes(map(int, self.host.split('.')))])
        self.fleet.run(3, self.packet)
        self.assertEqual(self.fleet.resets, [])

    def test_entry_restarts_after_outage_of_store(self) -> None:
        """The listing lacks a host whose record expired during the outage."""
        self.fleet.unlisted.add(self.host)
        self.fleet.run(2)
        self.restart_entry()
        follower = self.fleet.entry._follower  # noqa: SLF001
        follower.listing.confirmed_at = self.fleet.now
        confirm = self.fleet._confirm_listing  # noqa: SLF001

        def confirm_unreliably() -> None:
            confirm()
            follower.absence_is_reliable = bool

        self.fleet._confirm_listing = confirm_unreliably  # type: ignore[method-assign]  # noqa: SLF001
        self.fleet.run(3, self.packet)
        self.assertEqual(self.fleet.resets, [])

    def test_first_updates_of_new_host_are_lost(self) -> None:
        """A new host serves a flow; the listing is from before its start."""
        fleet = self.fleet
        fleet.unlisted.add(self.host)
        fleet.entry._hosts._by_ip.pop(self.host)  # noqa: SLF001
        self.forget_flow()
        ends_at = fleet.now + 0.4
        fleet.loss = lambda source, target, datagram: (
            source == self.host
            and datagram[0] == messages.STATUS
            and fleet.now < ends_at
        )
        fleet.run(2, self.packet)
        self.assertEqual(fleet.resets, [])

    def test_new_host_whose_sidecar_pauses(self) -> None:
        """An entry waits as long for a new host as for a known one."""
        self.fleet.entry._hosts._by_ip.pop(self.host)  # noqa: SLF001
        self.fleet.pause(self.host, 0.7)
        self.fleet.run(2, self.packet)
        self.assertEqual(self.fleet.resets, [])


class TestSilentUnregisteredHost(FleetCase):
    """Hosts that serve on after their records are gone."""

    def test_sidecar_restarts(self) -> None:
        """Load pattern: a rolling restart of sidecars during a release."""
        self.fleet.unlisted.add(self.host)
        self.fleet.run(2, self.packet)
        self.fleet.sidecars[self.host]._planned_stop.begin()  # noqa: SLF001
        self.fleet.run(0.1)
        self.fleet.pause(self.host, RESTART_S)
        self.fleet.run(RESTART_S + 0.5, self.packet)
        self.assertEqual(self.fleet.resets, [])

    def test_entry_is_cut_off(self) -> None:
        """For one second no message reaches the entry."""
        self.fleet.unlisted.add(self.host)
        self.fleet.run(2, self.packet)
        self.fleet.loss = lambda source, target, datagram: True
        self.fleet.run(1.2, self.packet)
        self.assertEqual(self.fleet.resets, [])


class TestPlannedStop(FleetCase):
    """A sidecar is restarted beside a host that runs."""

    def test_announcement_is_lost(self) -> None:
        """One datagram is lost: the status update that announces the stop."""
        self.fleet.run(2, self.packet)
        self.fleet.loss = lambda source, target, datagram: source == self.host
        self.fleet.sidecars[self.host]._planned_stop.begin()  # noqa: SLF001
        self.fleet.pause(self.host, RESTART_S)
        self.fleet.loss = lambda source, target, datagram: False
        self.fleet.run(RESTART_S + 0.5, self.packet)
        self.assertEqual(self.fleet.resets, [])


class TestIsolation(FleetCase):
    """An entry that no sidecar reaches resets no flow of a listed host."""

    def cut_off(self) -> None:
        """Open a flow at each host and cut the entry off."""
        packets = [
            self.fleet.open_flow(host, ('100.64.0.8', 40100 + number))
            for number, host in enumerate(self.fleet.hosts)
        ]
        self.fleet.run(1)
        self.fleet.loss = lambda source, target, datagram: True
        for _ in range(250):
            for packet in packets:
                self.fleet.send(packet)
            self.fleet.run(0.01)
        self.assertEqual(
            [(round(at, 2), why) for at, why, _ in self.fleet.resets], []
        )

    def test_same_intervals(self) -> None:
        """Hosts become silent one after the other."""
        self.cut_off()

    def test_longer_intervals(self) -> None:
        """Most hosts announced a longer interval than those in use."""
        fleet = self.fleet
        fleet.run(1)
        for host in fleet.hosts[1:]:
            fleet.entry._hosts.get(host).status.interval_ms = 2000  # type: ignore[union-attr]  # noqa: SLF001
        fleet.loss = lambda source, target, datagram: True
        fleet.run(2.5, self.packet, 0.01)
        self.assertEqual([why for _, why, _ in fleet.resets], [])


class TestStoppedHost(FleetCase):
    """A host that ended and has been started again, with its sidecar."""

    def test_new_host_at_the_address(self) -> None:
        """The entry still has the last status of the sidecar before.

        The new host holds a flow that another entry placed.
        """
        fleet = self.fleet
        status = messages.Status(messages.digest(SERVICE), 0)
        status.state = reasons.ENDED
        status.interval_ms = 400
        fleet.entry._handle_status(status.pack(), self.host)  # noqa: SLF001
        fleet.dead.add(self.host)
        fleet.run(3)
        reporter = fleet.sidecars[self.host]._reporter  # noqa: SLF001
        reporter._entries.clear()  # noqa: SLF001
        fleet.dead.discard(self.host)
        self.forget_flow()
        fleet.run(2, self.packet, 0.01)
        self.assertEqual(fleet.resets, [])


class TestDeadHostWithLongInterval(FleetCase):
    """Detection on an entry that the sidecar doesn't count as using its host."""

    def detection_s(self, unlisted: bool, interval_ms: int) -> float:
        """Return the time from the death of the host to the reset."""
        fleet = self.fleet
        self.forget_flow()
        fleet.run(1)
        if unlisted:
            fleet.unlisted.add(self.host)
        host = fleet.entry._hosts.get(self.host)  # noqa: SLF001
        assert host is not None
        host.status.interval_ms = interval_ms
        fleet.dead.add(self.host)
        died_at = fleet.now
        fleet.run(20, self.packet, 0.2)
        self.assertNotEqual(fleet.resets, [])
        return fleet.resets[0][0] - died_at

    def test_unlisted(self) -> None:
        """40 entries in other data centres: an update each 2 s."""
        self.assertLess(self.detection_s(True, 2000), MAX_DETECTION_S)

    def test_unlisted_at_410_entries(self) -> None:
        """410 entries: an update each 20.8 s."""
        self.assertLess(self.detection_s(True, 20800), MAX_DETECTION_S)

    def test_listed_at_410_entries(self) -> None:
        """The store still lists a host that never returns."""
        self.assertLess(self.detection_s(False, 20800), MAX_DETECTION_S)


class TestAnswersOfSidecar(FleetCase):
    """A sidecar says NOT_HELD only if its host doesn't hold a flow."""

    def record(self, born_ms: int, revision: int) -> messages.Record:
        """Return a record of the first host."""
        record = messages.Record()
        record.service = messages.digest(SERVICE)
        record.flags = messages.OPERATOR_READ | messages.REGISTERED
        record.born_ms = born_ms
        record.position = StorePosition(1, revision)
        record.operator_position = StorePosition(1, 1)
        return record

    def test_record_of_new_incarnation_comes_after_its_flows(self) -> None:
        """A host restarts beside its sidecar while the store is slow."""
        fleet = self.fleet
        sidecar = fleet.sidecars[self.host]
        started_ms = sidecar._host._started_ms  # noqa: SLF001
        sidecar._handle_record(  # noqa: SLF001
            self.record(started_ms, 10**6).pack(), '127.7.1.1'
        )
        fleet.run(1)
        sidecar._handle_host_unreachable()  # noqa: SLF001
        fleet.resets.clear()
        fleet.run(2)
        self.packet = fleet.open_flow(self.host, ('100.64.0.9', 40200))
        self.forget_flow()
        fleet.run(0.5)
        sidecar._handle_record(  # noqa: SLF001
            self.record(started_ms + 3000, 10**6 + 1).pack(), '127.7.1.1'
        )
        fleet.run(0.5, self.packet)
        self.assertEqual(fleet.resets, [])

    def test_clock_was_set_back_before_sidecar_restarted(self) -> None:
        """The host seems to be younger than its new sidecar."""
        started_ms = 1_000_000
        host = OwnHost(messages.digest(SERVICE), 100.0, started_ms)
        host.apply_record(self.record(started_ms + 30_000, 5), 100.5)
        self.assertFalse(host.has_observed_all_flows(101.0))


class TestAnswerToProbe(FleetCase):
    """A sidecar answers a probe with the interval that it keeps."""

    def test_entry_that_uses_the_host(self) -> None:
        """40 entries; the one with an open flow is updated every 0.4 s."""
        fleet = self.fleet
        fleet.run(1, self.packet)
        reporter = fleet.sidecars[self.host]._reporter  # noqa: SLF001
        for number in range(40):
            reporter.note_entry(f'127.7.3.{number}')
        reporter._handle_hello(  # noqa: SLF001
            messages.pack_hello(0, messages.digest('b')), fleet.entry_ip
        )
        fleet.run(0.02)
        host = fleet.entry._hosts.get(self.host)  # noqa: SLF001
        assert host is not None
        self.assertEqual(host.interval_s, 0.4)
