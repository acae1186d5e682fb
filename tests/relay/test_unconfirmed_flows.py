"""Flows of which an entry knows only where it sent a copy of the first packet.

All tests guard against resets of open flows: another copy went to another entry,
which placed it at another host, and the client is connected to that one.
"""

import unittest
from collections.abc import Callable
from socket import inet_aton

from siskinbank.admission import reasons
from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import ACK, FLOW_KEY, SYN
from siskinbank.relay import messages
from tests.relay.simulated_fleet import (
    ADDRESS,
    CLIENT,
    SERVICE,
    SimulatedFleet,
)
from tests.relay.simulated_host import CLIENT_IP, ENTRY, LOW, SimulatedHost

# Initial sequence numbers of the host that was tried first and of the one that
# holds the flow.
TRIED_NUMBER = 1_000_000
HOLDER_NUMBER = 2_000_000_000
# Time in which any host without an answer counts as gone, in seconds.
GONE_S = 4.0


class UnconfirmedFlowCase(unittest.TestCase):
    """A flow that is open at the second host; the entry tried the first."""

    def setUp(self) -> None:
        """Open the flow through another entry."""
        self.fleet = SimulatedFleet()
        self.addCleanup(self.fleet.close)
        self.tried, self.holder = self.fleet.hosts[:2]
        for sidecar in self.fleet.sidecars.values():
            # They have run long enough to answer queries.
            sidecar._host._observed_since = self.fleet.now - 60  # noqa: SLF001
        self.first = Packet(CLIENT, ADDRESS, SYN, 6).write()
        self.packet = Packet(CLIENT, ADDRESS, ACK, 7, HOLDER_NUMBER + 1).write()
        self.key = self.packet[FLOW_KEY]
        flows = self.fleet.entry._flows  # noqa: SLF001
        self.flow = flows.add(self.key, self.tried, self.fleet.now)

    def accept(self, host: str, number: int) -> None:
        """Let a host accept a copy of the first packet."""
        answer = Packet(ADDRESS, CLIENT, SYN | ACK, number, 7).write()
        self.fleet.sidecars[host]._check_packet(answer, (host, 1))  # noqa: SLF001

    def hear_held(self, host: str, number: int) -> None:
        """Let the entry hear that a host holds the flow half open."""
        note = messages.pack_flow_note(messages.HELD, self.key, number, 0)
        self.fleet.entry._handle_held(note, host)  # noqa: SLF001

    def end_host(self) -> None:
        """Let the sidecar of the tried host say that its host has ended."""
        status = messages.Status(messages.digest(SERVICE), 0)
        status.state = reasons.ENDED
        status.interval_ms = 400
        self.fleet.entry._handle_status(status.pack(), self.tried)  # noqa: SLF001
        self.fleet.dead.add(self.tried)

    def lose_power(self) -> None:
        """Let the machine of the tried host lose power."""
        self.fleet.dead.add(self.tried)

    def lose_power_unlisted(self) -> None:
        """The same, and the store has no record of the host any more."""
        self.fleet.dead.add(self.tried)
        self.fleet.unlisted.add(self.tried)

    @property
    def ways_to_be_gone(self) -> tuple[Callable[[], None], ...]:
        """All ways in which the tried host can be gone."""
        return self.end_host, self.lose_power, self.lose_power_unlisted

    def assert_found(self) -> None:
        """Check that the flow was found where it is open, without a reset."""
        self.assertEqual([why for _, why, _ in self.fleet.resets], [])
        flow = self.fleet.entry._flows.get(self.key)  # noqa: SLF001
        self.assertEqual(flow and flow.ip, self.holder)


class TestTriedHostIsGone(UnconfirmedFlowCase):
    """The host that the entry tried is gone when the client goes on."""

    def check_each_way(self, pause_s: float, is_half_open: bool) -> None:
        """Check all ways to be gone.

        Args:
            pause_s: time until the client's next packet, in seconds.
            is_half_open: whether the tried host has accepted a copy before.
        """
        for number in range(len(self.ways_to_be_gone)):
            with self.subTest(way=number):
                self.doCleanups()
                self.setUp()
                if is_half_open:
                    self.hear_held(self.tried, TRIED_NUMBER)
                self.accept(self.holder, HOLDER_NUMBER)
                self.ways_to_be_gone[number]()
                self.fleet.run(pause_s)
                self.fleet.run(GONE_S, self.packet, 0.2)
                self.assert_found()

    def test_before_the_next_packet(self) -> None:
        """The client has paused."""
        self.check_each_way(GONE_S, is_half_open=False)

    def test_after_the_next_packet(self) -> None:
        """The packet waits while the host is probed."""
        self.check_each_way(0.01, is_half_open=False)

    def test_held_half_open(self) -> None:
        """It accepted a copy, whose answer the client did not choose."""
        self.check_each_way(GONE_S, is_half_open=True)
        self.check_each_way(0.01, is_half_open=True)

    def test_flow_was_open_there(self) -> None:
        """Load pattern: a host dies with its flows; their clients are told."""
        self.hear_held(self.tried, HOLDER_NUMBER)
        self.fleet.run(0.5, self.packet)
        self.lose_power()
        self.fleet.run(GONE_S, self.packet, 0.2)
        reasons_given = [why for _, why, _ in self.fleet.resets]
        self.assertIn('host-gone', reasons_given)


class TestTriedHostRuns(UnconfirmedFlowCase):
    """The host that the entry tried runs."""

    def test_held_half_open_by_both(self) -> None:
        """The number that the client acknowledges tells them apart."""
        self.accept(self.tried, TRIED_NUMBER)
        self.hear_held(self.tried, TRIED_NUMBER)
        self.accept(self.holder, HOLDER_NUMBER)
        self.fleet.run(1, self.packet)
        self.assert_found()

    def test_late_refusal(self) -> None:
        """Its refusal comes after the client has connected."""
        self.accept(self.holder, HOLDER_NUMBER)
        entry = self.fleet.entry
        entry._check_packet(self.first, CLIENT)  # noqa: SLF001
        self.fleet.loss = lambda source, target, datagram: True
        entry._check_packet(self.packet, CLIENT)  # noqa: SLF001
        refusal = messages.pack_flow_note(
            messages.REFUSED, self.key, 0, reasons.BUSY
        )
        entry._handle_refused(refusal + self.first, self.tried)  # noqa: SLF001
        entry._rejection.reject(self.first, 'no-host')  # noqa: SLF001
        self.fleet.loss = lambda source, target, datagram: False
        self.fleet.run(2, self.packet)
        self.assertEqual([why for _, why, _ in self.fleet.resets], [])


class TestTriedHostHasCrashed(unittest.TestCase):
    """Nothing listens on the port of the host; its sidecar runs."""

    def setUp(self) -> None:
        """Start a sidecar beside a host that has crashed."""
        self.host = SimulatedHost()
        self.addCleanup(self.host.close)
        self.host.run(1)
        self.host.listening = False
        self.host.sent.clear()

    def test_packet_of_an_unknown_flow(self) -> None:
        """The entry is told, and can search for the flow elsewhere."""
        self.host.send_packet(LOW, 10, searching=True)
        self.assertIn(messages.ABSENT, {raw[0] for raw in self.host.sent})

    def test_relayed_packet(self) -> None:
        """The search does not wait for this host any more."""
        packet = Packet((CLIENT_IP, 10), LOW, ACK, 7, 9).write()
        relayed = messages.pack_relayed(inet_aton(ENTRY), [], packet)
        self.host.handlers[messages.RELAYED](relayed, ENTRY)
        self.assertIn(messages.NOT_HELD, {raw[0] for raw in self.host.sent})


class TestSearchForFirstPacket(UnconfirmedFlowCase):
    """A copy is searched for when the client connects."""

    def test_host_accepts_after_its_answer(self) -> None:
        """It said before that it lacks the flow."""
        entry = self.fleet.entry
        entry._flows.drop(self.key)  # noqa: SLF001
        # It does not answer, so that the search goes on for a while.
        self.lose_power_unlisted()
        entry._searcher.search(self.key, self.first)  # noqa: SLF001
        self.fleet.run(0.1)
        self.accept(self.holder, HOLDER_NUMBER)
        self.fleet.run(GONE_S, self.packet, 0.2)
        self.assert_found()


if __name__ == '__main__':
    unittest.main()
