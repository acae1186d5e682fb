"""Tests of the rejection of first packets by an entry among real sidecars."""

import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.admission import reasons
from siskinbank.admission.pending_queue import QueuedOpening
from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import FLOW_KEY, SYN
from siskinbank.relay import messages
from siskinbank.relay.link_shedding import REJECT
from siskinbank.sidecar.tracked_flows import UnansweredPacket
from tests.relay.simulated_fleet import ADDRESS, CLIENT, SimulatedFleet

NO_HOST = 'no-host'
NOT_HELD = 'no-host-holds-it'
# Time from a first packet to the end of a search that all sidecars answer, in
# seconds: half of the time to the client's next copy.
MAX_SEARCH_S = 0.2
GIVE_UP_S = 1.4
OTHER_ENTRY = b'\x7f\0\0\x02'
FLOWS = 1000


def first_packet(copy: int) -> bytes:
    """Return a copy of the first packet of a flow."""
    return Packet(CLIENT, ADDRESS, SYN, 6, copy).write()


KEY = first_packet(0)[FLOW_KEY]


class RejectionCase(unittest.TestCase):
    """A fleet whose hosts accept no new flows."""

    def setUp(self) -> None:
        """Create the fleet and evacuate its hosts."""
        self.fleet = SimulatedFleet()
        self.addCleanup(self.fleet.close)
        for sidecar in self.fleet.sidecars.values():
            # They have run long enough to answer queries.
            sidecar._host._observed_since = self.fleet.now - 60  # noqa: SLF001
        self.fleet.evacuated.update(self.fleet.hosts)
        self.fleet.run(2)
        self.fleet.events.clear()

    def receive(self, *copies: int) -> None:
        """Let copies of a first packet reach the entry in one turn."""
        for copy in copies:
            self.fleet.send(first_packet(copy))

    def reset_reasons(self) -> list[str]:
        """Return the reasons of the resets by the entry."""
        return [reason for _, reason, _ in self.fleet.resets]

    def count(self, event: str) -> int:
        """Return how often the entry has logged an event."""
        return self.fleet.events.count((self.fleet.entry_ip, event))

    def open_elsewhere(self, host: str) -> None:
        """Open the flow at a host through another entry."""
        self.fleet.open_flow(host)
        self.fleet.entry._flows.drop(KEY)  # noqa: SLF001


class TestFreshCopies(RejectionCase):
    """First packets that are rejected at once."""

    def test_first_copy(self) -> None:
        """It is rejected in the turn in which it is read."""
        self.receive(0)
        self.fleet.run(0.02)
        self.assertEqual(self.reset_reasons(), [NO_HOST])
        self.assertEqual(self.count('flow.search'), 0)

    def test_spike(self) -> None:
        """Load pattern: 2,000 refusals a second cause no search."""
        for port in range(20000, 20000 + FLOWS):
            client = (CLIENT[0], port)
            self.fleet.send(Packet(client, ADDRESS, SYN).write())
            if port % 20 == 0:
                self.fleet.run(0.01)
        self.fleet.run(0.02)
        self.assertEqual(self.reset_reasons().count(NO_HOST), FLOWS)
        self.assertEqual(self.count('flow.search'), 0)


class TestPausedEntry(RejectionCase):
    """An entry reads copies that waited while it was paused."""

    def setUp(self) -> None:
        """Pause the entry; the client connects through another one."""
        super().setUp()
        self.open_elsewhere(self.fleet.hosts[0])
        self.fleet.pause(self.fleet.entry_ip, 0.5)

    def check(self) -> None:
        """Check that the copy that waited is dropped."""
        self.receive(0)
        self.fleet.run(0.7)
        self.assertEqual(self.reset_reasons(), [])
        self.assertEqual(self.count('flow.withheld'), 1)
        self.assertEqual(self.count('flow.search'), 0)

    def test_no_host(self) -> None:
        """No host accepts the flow."""
        self.check()

    def test_no_route(self) -> None:
        """The route is gone; flows that are open stay so."""
        self.fleet.entry._follower.configuration.routes = {}  # noqa: SLF001
        self.check()

    def test_link_full(self) -> None:
        """The entry's link is backlogged."""
        shedding: Any = SimpleNamespace(
            decide=lambda packet: REJECT, backlog_ms=200, is_backlogged=True
        )
        self.fleet.entry._shedding = shedding  # noqa: SLF001
        self.check()

    def test_refused_by_sidecar(self) -> None:
        """The refusal waited behind the pause."""
        self.fleet.run(0.6)
        flow = self.fleet.entry._flows.add(  # noqa: SLF001
            KEY, self.fleet.hosts[1], self.fleet.now
        )
        flow.tried = tuple(self.fleet.hosts[1:5])
        packet = first_packet(0)
        self.fleet.entry._rejection.note_first_packet(packet)  # noqa: SLF001
        note = messages.pack_flow_note(messages.REFUSED, KEY, 0, reasons.BUSY)
        self.fleet.pause(self.fleet.entry_ip, 0.5)
        self.fleet._send(  # noqa: SLF001
            self.fleet.hosts[1], self.fleet.entry_ip, note + packet
        )
        self.fleet.run(0.7)
        self.assertEqual(self.reset_reasons(), [])
        self.assertEqual(self.count('flow.withheld'), 1)


class TestEarlierCopyElsewhere(RejectionCase):
    """An entry receives a later copy only, as a router moved the flow."""

    def test_flow_is_open(self) -> None:
        """The sidecars are queried, and the host answers the client again."""
        self.open_elsewhere(self.fleet.hosts[0])
        self.receive(1)
        self.fleet.run(GIVE_UP_S)
        self.assertEqual(self.reset_reasons(), [])
        flow = self.fleet.entry._flows.get(KEY)  # noqa: SLF001
        self.assertEqual(flow and flow.ip, self.fleet.hosts[0])

    def test_flow_is_not_open(self) -> None:
        """The flow is reset soon, so that the client can retry."""
        self.receive(1)
        self.fleet.run(MAX_SEARCH_S)
        self.assertEqual(self.reset_reasons(), [NOT_HELD])

    def test_sidecar_is_silent(self) -> None:
        """The flow is not reset, as its sidecar may not have been heard."""
        self.open_elsewhere(self.fleet.hosts[0])
        self.fleet.pause(self.fleet.hosts[0], GIVE_UP_S)
        self.receive(2)
        self.fleet.run(GIVE_UP_S)
        self.assertEqual(self.reset_reasons(), [])

    def test_next_copy_is_due_at_end_of_search(self) -> None:
        """That copy may have opened the flow at a host that had answered."""
        self.fleet.pause(self.fleet.hosts[0], 0.5)
        self.receive(1)
        self.fleet.run(GIVE_UP_S)
        self.assertEqual(self.reset_reasons(), [])
        self.assertEqual(self.count('flow.withheld'), 2)

    def test_copy_waits_at_sidecar(self) -> None:
        """The sidecar may open the flow any time, so it does not deny it."""
        sidecar = self.fleet.sidecars[self.fleet.hosts[0]]
        opening = messages.Opening(OTHER_ENTRY, first_packet(0))
        now = self.fleet.now
        queued = QueuedOpening(KEY, opening, now, now, 0.1)
        sidecar._admission.queue.enqueue(queued)  # noqa: SLF001
        self.receive(1)
        self.fleet.run(MAX_SEARCH_S)
        self.assertEqual(self.reset_reasons(), [])

    def test_copy_waits_at_host(self) -> None:
        """The host may answer any time."""
        sidecar = self.fleet.sidecars[self.fleet.hosts[0]]
        unanswered = UnansweredPacket('', self.fleet.now, first_packet(0))
        sidecar._unanswered[KEY] = unanswered  # noqa: SLF001
        self.receive(1)
        self.fleet.run(MAX_SEARCH_S)
        self.assertEqual(self.reset_reasons(), [])

    def test_placed_during_search(self) -> None:
        """The search ends: a host may accept the copy that is placed."""
        self.fleet.pause(self.fleet.hosts[0], 0.15)
        self.receive(1)
        self.fleet.run(0.05)
        entry = self.fleet.entry
        for host in entry._hosts.all():  # noqa: SLF001
            host.status.state = reasons.NONE
            host.status.trusted = True
            host.status.slots = 9
        self.fleet.loss = lambda source, target, datagram: (
            datagram[0] in {messages.STATUS, messages.REFUSED}
        )
        self.receive(2)
        self.fleet.run(0.4)
        self.assertEqual(self.count('flow.placed'), 1)
        self.assertEqual(self.reset_reasons(), [])

    def test_data_joins_search(self) -> None:
        """A client that sends data is connected: its data reach the host."""
        host = self.fleet.hosts[0]
        packet = self.fleet.open_flow(host)
        self.fleet.entry._flows.drop(KEY)  # noqa: SLF001
        self.receive(1)
        self.fleet.send(packet)
        forwarded = []

        def note(source: str, target: str, datagram: bytes) -> bool:
            if datagram[0] == messages.FORWARD:
                forwarded.append((target, datagram[1:]))
            return False

        self.fleet.loss = note
        self.fleet.run(MAX_SEARCH_S)
        self.assertEqual(forwarded, [(host, packet)])
