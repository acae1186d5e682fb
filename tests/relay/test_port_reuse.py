"""Clients that open a flow from the address and port of one that has ended.

All tests guard against what is known of the earlier flow being taken for the
later one: its end, numbers, age, host, queue entries and answers (review/13 and
review/14).
"""

import asyncio
import time
import unittest
from signal import SIGTERM
from socket import inet_aton

from siskinbank.admission import reasons
from siskinbank.lab.rig.client import ClientFlow, ClientStandIn
from siskinbank.lab.rig.fleet import TARGET
from siskinbank.platform.encoding import Packet, request_bytes
from siskinbank.platform.packets import ACK, FIN, FLOW_KEY, RST, SYN
from siskinbank.relay import messages
from tests.relay.fleet_case import FleetCase
from tests.relay.simulated_fleet import (
    ADDRESS,
    CLIENT,
    SERVICE,
    SimulatedFleet,
)
from tests.relay.simulated_host import (
    CLIENT_IP,
    CLIENT_NUMBER,
    ENTRY,
    HOST_NUMBER,
    LOW,
    SimulatedHost,
)

PORT = 10
# Initial sequence numbers of the client in its later flow. One counts on from
# the earlier flow, as clients do that derive them from a clock.
NEXT_NUMBERS = (3_000_000_000, CLIENT_NUMBER + 20_000)
NEXT_HOST_NUMBER = 2_000_000_000
# Longer than a sidecar remembers a flow that both ends have closed, in seconds.
FORGOTTEN_S = 10.0
# Time in which records reach the sidecars, in seconds.
RECORDS_S = 2.0
# Time in which a search ends, in seconds.
SEARCH_S = 3.0


class SidecarCase(unittest.TestCase):
    """A sidecar that has seen the begin and the end of a flow."""

    def setUp(self) -> None:
        """Open a flow, serve a request, and let both ends close it."""
        self.host = SimulatedHost()
        self.addCleanup(self.host.close)
        # It has seen all flows that the host may hold.
        self.host.run(70)
        self.key = self.host.send_opening(LOW, PORT)
        self.first = self.host.received[-1]
        self.host.send_packet(LOW, PORT, CLIENT_NUMBER + 1)
        self.host.send_request(LOW, PORT, CLIENT_NUMBER + 1)
        self.host.run(0.2)
        self.close_flow()
        self.host.host_number = NEXT_HOST_NUMBER
        self.host.run(0.3)
        self.host.sent.clear()
        self.host.received.clear()

    def close_flow(self) -> None:
        """Let host and client close the flow."""
        self.host.answer(self.first, FIN | ACK, HOST_NUMBER + 100)
        self.host.send_packet(LOW, PORT, CLIENT_NUMBER + 1000, flags=FIN | ACK)

    def reopen(self, number: int) -> None:
        """Let the client open the later flow."""
        self.host.send_opening(LOW, PORT, number=number)
        self.host.run(0.01)
        self.host.send_packet(LOW, PORT, number + 1)

    def answers(self, sequence: int) -> list[int]:
        """Return the kinds of the answers to a query for a flow of the port."""
        self.host.sent.clear()
        query = messages.pack_flows(messages.FLOW_QUERY, [(self.key, sequence)])
        self.host.handlers[messages.FLOW_QUERY](query, ENTRY)
        return [raw[0] for raw in self.host.sent]

    def received_after(self, number: int) -> list[int]:
        """Return the sequence numbers that reached the host from one on."""
        numbers = [packet.number for packet in self.host.received]
        return [found for found in numbers if number <= found < number + 5000]


class TestOpenFlow(SidecarCase):
    """The later flow is open at the same host."""

    def test_end_of_the_earlier_flow(self) -> None:
        """It does not end the later one, nor its age (review/13)."""
        for number in NEXT_NUMBERS:
            with self.subTest(number=number):
                self.doCleanups()
                self.setUp()
                self.reopen(number)
                self.host.run(FORGOTTEN_S)
                self.assertEqual(self.answers(number + 1), [messages.HELD])

    def test_late_packets_of_the_host(self) -> None:
        """It sends its end again before it answers the first packet."""
        for number in NEXT_NUMBERS:
            with self.subTest(number=number):
                self.doCleanups()
                self.setUp()
                self.host.accepting = False
                self.host.send_opening(LOW, PORT, number=number)
                self.host.answer(self.first, FIN | ACK, HOST_NUMBER + 100)
                self.host.accepting = True
                self.host.send_opening(LOW, PORT, copy=1, number=number)
                self.host.send_packet(LOW, PORT, number + 1)
                self.host.run(FORGOTTEN_S)
                self.assertEqual(self.answers(number + 1), [messages.HELD])

    def test_late_packets_of_a_forgotten_flow(self) -> None:
        """They reach the client, and do not open the later one."""
        self.host.run(FORGOTTEN_S)
        packets: list[Packet] = []
        self.host.on_client_packet = packets.append
        self.host.accepting = False
        number = NEXT_NUMBERS[0]
        self.host.send_opening(LOW, PORT, number=number)
        self.host.answer(self.first, FIN | ACK, HOST_NUMBER + 100)
        self.host.run(0.1)
        self.assertEqual([packet.flags for packet in packets], [FIN | ACK])
        self.assertEqual(self.host.count('flow.reset'), 0)
        self.host.accepting = True
        self.host.send_opening(LOW, PORT, copy=1, number=number)
        self.host.send_packet(LOW, PORT, number + 1)
        self.host.run(FORGOTTEN_S)
        self.assertEqual(self.answers(number + 1), [messages.HELD])

    def test_late_packets_of_the_client(self) -> None:
        """They change nothing of the later flow, refused or not."""
        self.reopen(NEXT_NUMBERS[0])
        for flags, content in ((FIN | ACK, b''), (ACK, request_bytes('old'))):
            number = CLIENT_NUMBER + 1000
            self.host.send_packet(LOW, PORT, number, content, flags)
            late = Packet((CLIENT_IP, PORT), LOW, flags, number, 7, content)
            self.host.bounce(late)
        flow = self.host.sidecar._flows[self.key]  # noqa: SLF001
        self.assertFalse(flow.has_client_ended)
        self.assertIsNone(flow.request)
        self.assertEqual(self.host.resets, [])
        self.host.run(FORGOTTEN_S)
        self.assertEqual(self.answers(NEXT_NUMBERS[0] + 1), [messages.HELD])

    def test_query_for_the_earlier_flow(self) -> None:
        """A denial would reset the port, and so the later flow."""
        self.reopen(NEXT_NUMBERS[0])
        self.assertEqual(self.answers(CLIENT_NUMBER + 1000), [])

    def test_late_first_packet(self) -> None:
        """The host answers for the flow that it holds."""
        self.reopen(NEXT_NUMBERS[0])
        self.host.accepting = False
        self.host.send_opening(LOW, PORT, copy=1)
        held = self.host.received[-1]
        self.host.answer(
            Packet(held.source, held.target, ACK, NEXT_NUMBERS[0]),
            SYN | ACK,
            NEXT_HOST_NUMBER,
        )
        self.assertEqual(self.answers(NEXT_NUMBERS[0] + 1), [messages.HELD])

    def test_request_of_the_earlier_flow(self) -> None:
        """It counts no longer as load, and the next one is measured anew."""
        self.host.send_opening(LOW, PORT + 1)
        self.host.send_packet(LOW, PORT + 1)
        self.host.work_s = lambda _route: 60
        self.host.send_request(LOW, PORT + 1)
        self.assertEqual(self.host.state.busy, 1)
        self.host.host_number += 1
        self.host.send_opening(LOW, PORT + 1, number=NEXT_NUMBERS[0])
        self.assertEqual(self.host.state.busy, 0)
        self.host.send_packet(LOW, PORT + 1, NEXT_NUMBERS[0] + 1)
        self.host.send_request(LOW, PORT + 1, NEXT_NUMBERS[0] + 1)
        self.assertEqual(self.host.state.busy, 1)

    def test_planned_stop(self) -> None:
        """A sidecar waits for the flow while its host leaves."""
        stopped: list[float] = []
        self.reopen(NEXT_NUMBERS[0])
        self.host.send_record(messages.DRAINING)
        self.host.node.stop = lambda: stopped.append(self.host.now)
        began = self.host.now
        self.host.sidecar._begin_stop()  # noqa: SLF001
        self.host.run(6)
        self.assertGreater(stopped[0] - began, 5)

    def test_host_is_gone(self) -> None:
        """The client of the later flow is told, with its numbers."""
        number = NEXT_NUMBERS[0]
        self.reopen(number)
        held = Packet((CLIENT_IP, PORT), LOW, ACK, number)
        self.host.answer(held, ACK, NEXT_HOST_NUMBER + 1)
        self.host.listening = False
        self.host.send_packet(LOW, PORT, number + 1)
        (header, reason), *others = self.host.resets
        self.assertEqual(reason, 'host-gone')
        self.assertEqual(Packet.read(header).number, number + 1)
        self.assertEqual(others, [])

    def test_sidecar_restarts(self) -> None:
        """It learns of the later flow from the host, not from a late packet."""
        number = NEXT_NUMBERS[0]
        self.reopen(number)
        self.host.restart_sidecar()
        self.host.accepting = False
        self.host.send_packet(
            LOW, PORT, CLIENT_NUMBER + 1000, flags=FIN | ACK, searching=True
        )
        held = Packet((CLIENT_IP, PORT), LOW, ACK, number)
        for _ in range(2):
            self.host.answer(held, ACK, NEXT_HOST_NUMBER + 1)
        self.assertEqual(self.answers(number + 1), [messages.HELD])
        self.assertEqual(self.answers(CLIENT_NUMBER + 1000), [])


class TestElsewhere(SidecarCase):
    """The later flow is open at another host."""

    def test_query(self) -> None:
        """The host denies it, and does not claim it for the earlier one."""
        for number in NEXT_NUMBERS:
            with self.subTest(number=number):
                self.assertEqual(self.answers(number + 1), [messages.NOT_HELD])

    def test_packets(self) -> None:
        """They do not reach the host, which would reset them."""
        number = NEXT_NUMBERS[0] + 1
        for searching in (False, True):
            self.host.sent.clear()
            self.host.send_packet(
                LOW, PORT, number, request_bytes('a'), searching=searching
            )
            kinds = [raw[0] for raw in self.host.sent]
            with self.subTest(searching=searching):
                self.assertEqual(kinds, [messages.ABSENT])
        self.assertEqual(self.received_after(number), [])

    def test_sidecar_has_restarted(self) -> None:
        """Its host answers for the earlier flow, which it remembers."""
        number = NEXT_NUMBERS[0] + 1
        for flags, searching in (
            (ACK, False),
            (ACK, True),
            (FIN | ACK, False),
            (FIN | ACK, True),
        ):
            self.host.restart_sidecar()
            self.host.sent.clear()
            packets: list[Packet] = []
            self.host.on_client_packet = packets.append
            content = b'' if flags & FIN else request_bytes('a')
            packet = Packet(
                (CLIENT_IP, PORT), LOW, flags, number, NEXT_HOST_NUMBER, content
            )
            wrap = messages.pack_forward
            if searching:
                wrap = messages.pack_search
            self.host.handlers[wrap(b'')[0]](wrap(packet.write()), ENTRY)
            answered = ACK if flags & FIN else RST
            self.host.answer(self.first, answered, HOST_NUMBER + 101)
            self.host.run(0.1)
            kinds = [
                raw[0]
                for raw in self.host.sent
                if raw[0] in {messages.ABSENT, messages.HELD}
            ]
            with self.subTest(flags=flags, searching=searching):
                self.assertNotIn(messages.HELD, kinds)
                self.assertFalse(any(one.flags & RST for one in packets))
                if not flags & FIN:
                    self.assertEqual(kinds, [messages.ABSENT])

    def test_relayed_packet(self) -> None:
        """The search goes on without this host."""
        packet = Packet(
            (CLIENT_IP, PORT), LOW, ACK, NEXT_NUMBERS[0], 9, b'GET /'
        ).write()
        relayed = messages.pack_relayed(inet_aton(ENTRY), [], packet)
        self.host.handlers[messages.RELAYED](relayed, ENTRY)
        self.assertEqual(
            self.host.sent[-1],
            messages.pack_flows(
                messages.NOT_HELD, [(self.key, NEXT_NUMBERS[0])]
            ),
        )
        self.assertEqual(self.received_after(NEXT_NUMBERS[0]), [])

    def test_earlier_flow_is_open(self) -> None:
        """Its client has vanished without an end; nothing is denied."""
        self.host.send_opening(LOW, PORT + 1)
        self.host.send_packet(LOW, PORT + 1)
        self.key = Packet((CLIENT_IP, PORT + 1), LOW).write()[FLOW_KEY]
        self.assertEqual(self.answers(NEXT_NUMBERS[0]), [])
        self.host.send_packet(LOW, PORT + 1, NEXT_NUMBERS[0])
        self.assertEqual(self.host.sent[-1][0], messages.ABSENT)


class TestAdmission(SidecarCase):
    """The later flow needs a host that accepts it (review/14)."""

    def assert_refused(self, reason: int) -> None:
        """Check that the first packet does not reach the host."""
        refused: list[int] = []
        self.host.on_refused = lambda _key, why: refused.append(why)
        self.host.send_opening(LOW, PORT, number=NEXT_NUMBERS[0])
        self.assertEqual(refused, [reason])
        self.assertEqual(self.received_after(NEXT_NUMBERS[0]), [])

    def test_host_drains(self) -> None:
        """The flow before had ended, or not."""
        self.host.send_record(messages.DRAINING)
        self.assert_refused(reasons.DRAINING)

    def test_data_centre_is_evacuated(self) -> None:
        """Guards against EVAC by a known port."""
        self.host.send_record(messages.EVACUATED)
        self.assert_refused(reasons.EVACUATED)

    def test_first_packet_was_not_answered(self) -> None:
        """The host has not answered an earlier flow's first packet."""
        self.host.accepting = False
        self.host.send_opening(LOW, PORT, number=NEXT_NUMBERS[1])
        self.host.send_record(messages.DRAINING)
        self.assert_refused(reasons.DRAINING)

    def test_packet_was_not_answered(self) -> None:
        """The sidecar has restarted, and got a packet of the earlier flow."""
        self.host.restart_sidecar()
        self.host.send_packet(LOW, PORT, CLIENT_NUMBER + 1000, searching=True)
        self.host.send_record(messages.DRAINING)
        self.assert_refused(reasons.DRAINING)

    def test_copies(self) -> None:
        """A copy of the first packet reaches the host that drains since."""
        number = NEXT_NUMBERS[0]
        self.host.accepting = False
        self.host.send_opening(LOW, PORT, number=number)
        self.host.send_record(messages.DRAINING)
        self.host.send_opening(LOW, PORT, copy=1, number=number)
        self.assertEqual(self.received_after(number), [number, number])

    def test_refusal_of_the_earlier_flow(self) -> None:
        """The host's late refusal does not move the later one."""
        self.host.accepting = False
        self.host.send_opening(LOW, PORT, number=NEXT_NUMBERS[0])
        refused: list[int] = []
        self.host.on_refused = lambda _key, why: refused.append(why)
        self.host.bounce(self.first)
        self.assertEqual(refused, [])
        self.host.bounce(self.host.received[-1])
        self.assertEqual(refused, [reasons.HOST_REFUSED])


class TestQueue(unittest.TestCase):
    """All slots of the host are in use."""

    def setUp(self) -> None:
        """Keep the host busy."""
        self.host = SimulatedHost(1)
        self.addCleanup(self.host.close)
        self.host.work_s = lambda _route: 60
        for port in range(1, 5):
            self.host.send_opening(LOW, port)
            self.host.run(0.35)
        for port in range(1, 3):
            self.host.send_request(LOW, port)
        self.host.run(0.1)

    def test_queued_first_packet(self) -> None:
        """The later one waits as long as others, from its own arrival."""
        self.host.send_opening(LOW, PORT)
        self.assertEqual(len(self.host.queue), 1)
        self.host.run(1.2)
        key = self.host.send_opening(LOW, PORT, number=NEXT_NUMBERS[0])
        self.host.run(0.5)
        queued = self.host.queue.opening(key)
        self.assertIsNotNone(queued)
        self.assertEqual(
            Packet.read(queued.opening.packet).number, NEXT_NUMBERS[0]
        )

    def test_held_request(self) -> None:
        """It leaves the queue, whose counts stay right."""
        self.host.send_request(LOW, 4)
        self.assertEqual(len(self.host.queue), 1)
        self.host.send_opening(LOW, 4, number=NEXT_NUMBERS[0])
        self.assertEqual(len(self.host.queue), 1)
        self.host.queue.clear()
        self.assertEqual(self.host.queue._held_count, 0)  # noqa: SLF001


class EntryCase(unittest.TestCase):
    """An entry that knows a flow at the first host."""

    def setUp(self) -> None:
        """Open the earlier flow through the entry."""
        self.fleet = SimulatedFleet()
        self.addCleanup(self.fleet.close)
        for sidecar in self.fleet.sidecars.values():
            # They have run long enough to answer queries.
            sidecar._host._observed_since = self.fleet.now - 60  # noqa: SLF001
        self.earlier, self.later = self.fleet.hosts[:2]
        self.key = self.packet(0, ACK)[FLOW_KEY]
        self.fleet.evacuated = set(self.fleet.hosts) - {self.earlier}
        self.fleet.run(2)
        self.open(self.earlier, CLIENT_NUMBER, HOST_NUMBER)
        self.fleet.evacuated = set()
        self.fleet.run(2)

    def packet(self, number: int, flags: int, acknowledged: int = 0) -> bytes:
        """Return a packet of the client."""
        return Packet(CLIENT, ADDRESS, flags, number, acknowledged).write()

    def open(self, host: str, number: int, host_number: int) -> None:
        """Open a flow through the entry, which must go to the host."""
        self.fleet.send(self.packet(number, SYN))
        self.fleet.run(0.1)
        self.accept(host, number, host_number)
        self.fleet.run(0.1)
        self.fleet.send(self.packet(number + 1, ACK, host_number + 1))
        self.fleet.run(0.1)

    def accept(self, host: str, number: int, host_number: int) -> None:
        """Let a host accept a flow and go on with it."""
        for flags, sent in ((SYN | ACK, host_number), (ACK, host_number + 1)):
            answer = Packet(ADDRESS, CLIENT, flags, sent, number + 1).write()
            self.fleet.sidecars[host]._check_packet(answer, (host, 1))  # noqa: SLF001

    def close_earlier(self) -> None:
        """Let host and client close the earlier flow."""
        answer = Packet(
            ADDRESS, CLIENT, FIN | ACK, HOST_NUMBER + 2, CLIENT_NUMBER + 1
        ).write()
        sidecar = self.fleet.sidecars[self.earlier]
        sidecar._check_packet(answer, (self.earlier, 1))  # noqa: SLF001
        self.fleet.send(
            self.packet(CLIENT_NUMBER + 1, FIN | ACK, HOST_NUMBER + 3)
        )
        self.fleet.run(0.1)

    def open_elsewhere(self, number: int) -> None:
        """Open the later flow through another entry."""
        sidecar = self.fleet.sidecars[self.later]
        opening = messages.Opening(
            inet_aton('10.0.0.9'), self.packet(number, SYN)
        )
        opening.service = messages.digest(SERVICE)
        sidecar._node.handlers[messages.OPEN](opening.pack(), '10.0.0.9')  # noqa: SLF001
        self.accept(self.later, number, NEXT_HOST_NUMBER)

    def received(self, host: str) -> list[Packet]:
        """Return the packets that a host has received since the last call."""
        index = self.fleet.hosts.index(host)
        host_socket = self.fleet._host_sockets[index]  # noqa: SLF001
        found: list[Packet] = []
        while True:
            try:
                found.append(Packet.read(host_socket.recv(2048)))
            except BlockingIOError:
                return found

    @property
    def cached(self) -> str:
        """The host of the flow as the entry knows it, empty without one."""
        flow = self.fleet.entry._flows.get(self.key)  # noqa: SLF001
        return flow.ip if flow else ''

    @property
    def reset_reasons(self) -> list[str]:
        """The reasons of all resets by the entry."""
        return [why for _, why, _ in self.fleet.resets]


class TestFirstPacket(EntryCase):
    """The first packet of the later flow comes to the same entry."""

    def test_placed_anew(self) -> None:
        """The earlier flow's host accepts no flows any more (review/14)."""
        for is_closed in (True, False):
            with self.subTest(is_closed=is_closed):
                self.doCleanups()
                self.setUp()
                if is_closed:
                    self.close_earlier()
                self.fleet.evacuated = set(self.fleet.hosts) - {self.later}
                self.fleet.run(2)
                self.received(self.earlier)
                self.received(self.later)
                self.fleet.send(self.packet(NEXT_NUMBERS[0], SYN))
                self.fleet.run(0.1)
                self.assertEqual(self.received(self.earlier), [])
                numbers = [one.number for one in self.received(self.later)]
                self.assertEqual(numbers, [NEXT_NUMBERS[0]])

    def test_rejected_at_once(self) -> None:
        """No host accepts it; its client is not connected to any."""
        self.fleet.evacuated = set(self.fleet.hosts)
        self.fleet.run(2)
        self.fleet.send(self.packet(NEXT_NUMBERS[0], SYN))
        self.fleet.run(0.1)
        self.assertEqual(self.reset_reasons, ['no-host'])

    def test_rejected_twice(self) -> None:
        """Two flows in a row; no copy of either is missing."""
        self.fleet.evacuated = set(self.fleet.hosts)
        self.fleet.run(2)
        for number in NEXT_NUMBERS:
            self.fleet.send(self.packet(number, SYN))
            self.fleet.run(0.5)
        self.assertEqual(self.reset_reasons, ['no-host', 'no-host'])

    def test_late_notes(self) -> None:
        """What sidecars say of the earlier flow does not count."""
        self.fleet.evacuated = set(self.fleet.hosts) - {self.later}
        self.fleet.run(2)
        self.fleet.send(self.packet(NEXT_NUMBERS[0], SYN))
        self.fleet.run(0.1)
        entry = self.fleet.entry
        late = self.packet(CLIENT_NUMBER, SYN)
        for kind, reason, handle in (
            (messages.HELD, 1, entry._handle_held),  # noqa: SLF001
            (messages.QUEUED, 0, entry._handle_queued),  # noqa: SLF001
            (messages.REFUSED, reasons.FULL, entry._handle_refused),  # noqa: SLF001
            (messages.ABSENT, 0, entry._handle_absent),  # noqa: SLF001
        ):
            note = messages.pack_flow_note(
                kind, self.key, HOST_NUMBER, reason, CLIENT_NUMBER
            )
            for ip in (self.earlier, self.later):
                handle(note + late, ip)
            flow = entry._flows.get(self.key)  # noqa: SLF001
            with self.subTest(kind=kind):
                assert flow is not None
                self.assertEqual(
                    (flow.ip, flow.confirmed, flow.queueing_host),
                    (self.later, False, ''),
                )
                self.assertEqual(flow.tried, (self.later,))

    def test_late_copy(self) -> None:
        """A copy of the earlier flow's first packet does not open one."""
        self.fleet.evacuated = set(self.fleet.hosts) - {self.later}
        self.fleet.run(2)
        for number in NEXT_NUMBERS:
            self.open(self.later, number, NEXT_HOST_NUMBER)
        self.received(self.later)
        self.fleet.send(self.packet(NEXT_NUMBERS[0], SYN, 1))
        self.fleet.run(0.5)
        self.assertEqual(self.received(self.later), [])
        self.assertEqual(self.cached, self.later)

    def test_search_for_the_earlier_flow(self) -> None:
        """It ends without a reset of the port."""
        entry = self.fleet.entry
        self.fleet.loss = lambda source, target, datagram: (
            datagram[0] in {messages.NOT_HELD, messages.HELD}
        )
        late = self.packet(CLIENT_NUMBER + 500, ACK, HOST_NUMBER + 1)
        entry._search_host(self.key, late)  # noqa: SLF001
        self.fleet.run(0.1)
        self.fleet.loss = lambda source, target, datagram: False
        self.fleet.send(self.packet(NEXT_NUMBERS[0], SYN))
        self.fleet.run(SEARCH_S)
        self.assertEqual(self.reset_reasons, [])


class TestOtherEntry(EntryCase):
    """The later flow was opened through another entry, at another host."""

    def check(self, number: int) -> None:
        """Check that its packets get to its host and no other one."""
        self.received(self.earlier)
        self.received(self.later)
        packet = self.packet(number + 1, ACK, NEXT_HOST_NUMBER + 1)
        self.fleet.run(1, packet, 0.3)
        self.assertEqual(self.reset_reasons, [])
        self.assertEqual(self.received(self.earlier), [])
        self.assertNotEqual(self.received(self.later), [])
        self.assertEqual(self.cached, self.later)

    def test_found(self) -> None:
        """Whether the earlier flow is remembered by its sidecar or not."""
        for number in NEXT_NUMBERS:
            for pause_s in (0.1, FORGOTTEN_S):
                with self.subTest(number=number, pause_s=pause_s):
                    self.doCleanups()
                    self.setUp()
                    self.close_earlier()
                    self.open_elsewhere(number)
                    self.fleet.run(pause_s)
                    self.check(number)

    def test_earlier_flow_is_open(self) -> None:
        """Its client has vanished without an end."""
        self.open_elsewhere(NEXT_NUMBERS[0])
        self.check(NEXT_NUMBERS[0])

    def test_late_packet(self) -> None:
        """A packet of the earlier flow does not reset the port."""
        self.close_earlier()
        self.open_elsewhere(NEXT_NUMBERS[0])
        self.check(NEXT_NUMBERS[0])
        late = self.packet(CLIENT_NUMBER + 1, ACK, HOST_NUMBER + 3)
        self.fleet.run(SEARCH_S, late, 0.4)
        self.assertEqual(self.reset_reasons, [])
        self.check(NEXT_NUMBERS[0])

    def test_packets_beyond(self) -> None:
        """Packets far ahead of an open flow do not disturb it."""
        beyond = self.packet(CLIENT_NUMBER + 100_000, ACK, HOST_NUMBER + 1)
        self.fleet.run(2, beyond, 0.05)
        self.assertEqual(self.reset_reasons, [])
        self.assertEqual(self.cached, self.earlier)
        self.received(self.earlier)
        self.fleet.run(0.1, self.packet(CLIENT_NUMBER + 1, ACK, HOST_NUMBER))
        numbers = {one.number for one in self.received(self.earlier)}
        self.assertEqual(numbers, {CLIENT_NUMBER + 1})
        self.fleet.run(SEARCH_S)
        self.assertEqual(self.reset_reasons, [])

    def test_found_near(self) -> None:
        """The later flow's numbers are close to the earlier one's."""
        number = CLIENT_NUMBER + 100_000
        self.open_elsewhere(number)
        self.received(self.later)
        packet = self.packet(number + 1, ACK, NEXT_HOST_NUMBER + 1)
        self.fleet.run(1, packet, 0.3)
        self.assertNotEqual(self.received(self.later), [])
        self.assertEqual(self.reset_reasons, [])

    def test_host_stops_that_denied_the_earlier_flow(self) -> None:
        """Its answer does not hold for the later one."""
        sidecar = self.fleet.sidecars[self.later]
        self.open_elsewhere(NEXT_NUMBERS[0])
        sidecar._begin_stop()  # noqa: SLF001
        self.fleet.run(0.1)
        tracked = self.fleet.entry._hosts.get(self.later)  # noqa: SLF001
        assert tracked is not None
        tracked.note_not_held(self.key, CLIENT_NUMBER + 1)
        self.assertFalse(tracked.may_hold(self.key, CLIENT_NUMBER + 1))
        self.assertTrue(tracked.may_hold(self.key, NEXT_NUMBERS[0] + 1))

    def test_stopping_host_holds_the_flow_after_all(self) -> None:
        """Its sidecar denied it before its host answered; no search goes on."""
        self.fleet.sidecars[self.earlier]._begin_stop()  # noqa: SLF001
        self.fleet.run(0.1)
        tracked = self.fleet.entry._hosts.get(self.earlier)  # noqa: SLF001
        assert tracked is not None
        tracked.note_not_held(self.key, CLIENT_NUMBER)
        self.assertFalse(tracked.may_hold(self.key, CLIENT_NUMBER))
        note = messages.pack_flow_note(
            messages.HELD, self.key, HOST_NUMBER, 1, CLIENT_NUMBER
        )
        self.fleet.entry._handle_held(note, self.earlier)  # noqa: SLF001
        self.assertTrue(tracked.may_hold(self.key, CLIENT_NUMBER))


class TestHolder(EntryCase):
    """A copy of a first packet comes when its host has lost the flow."""

    def setUp(self) -> None:
        """Let a host accept the first packet; its answer is lost."""
        super().setUp()
        self.fleet.evacuated = set(self.fleet.hosts) - {self.earlier}
        self.fleet.run(2)
        self.first = self.packet(NEXT_NUMBERS[0], SYN)
        self.fleet.send(self.first)
        self.fleet.run(0.1)
        answer = Packet(
            ADDRESS, CLIENT, SYN | ACK, NEXT_HOST_NUMBER, NEXT_NUMBERS[0] + 1
        ).write()
        sidecar = self.fleet.sidecars[self.earlier]
        sidecar._check_packet(answer, (self.earlier, 1))  # noqa: SLF001
        self.fleet.run(0.05)
        self.copy = self.packet(NEXT_NUMBERS[0], SYN, 1)

    def assert_placed(self) -> None:
        """Check that the copy goes to the other host."""
        self.received(self.later)
        self.fleet.send(self.copy)
        self.fleet.run(0.1)
        numbers = [one.number for one in self.received(self.later)]
        self.assertEqual(numbers, [NEXT_NUMBERS[0]])

    def test_host_refuses(self) -> None:
        """Its sidecar has restarted, and it drains."""
        self.fleet.evacuated = set(self.fleet.hosts) - {self.later}
        self.fleet.restart_sidecar(self.earlier)
        self.fleet.run(1.5)
        self.assert_placed()

    def test_host_is_gone(self) -> None:
        """Its machine has lost power."""
        self.fleet.evacuated = set(self.fleet.hosts) - {self.later}
        self.fleet.dead.add(self.earlier)
        self.fleet.unlisted.add(self.earlier)
        self.fleet.run(5)
        self.assert_placed()


class TestRealProcesses(FleetCase):
    """Two entries and three hosts; clients use each port twice."""

    async def prepare(self) -> None:
        """Let the hosts start with their sidecars, which know all flows."""
        await self.start_fleet()
        born_ms = int(time.time() * 1000)
        for index in range(len(self.fleet.hosts)):
            await self.fleet.register(index, born_ms=born_ms)
        await asyncio.sleep(RECORDS_S)

    async def reuse(
        self, client: ClientStandIn, name: str
    ) -> tuple[ClientFlow, str]:
        """Serve and end a flow, then open another one from its port.

        Returns:
            The later flow, and the name of its host.
        """
        earlier = await client.connect(TARGET)
        await client.send_request(earlier, f'{name}-earlier')
        client.finish(earlier)
        await asyncio.sleep(0.2)
        later = await client.connect(TARGET, earlier.port)
        body = await client.send_request(later, f'{name}-later')
        return later, body.split()[-1]

    async def test_planned_stop_of_an_entry(self) -> None:
        """Another entry finds the open flows (review/13)."""
        flows = []
        for number in range(12):
            client = self.fleet.clients[number % 2]
            flow, _ = await self.reuse(client, str(number))
            flows.append((client, flow))
        await asyncio.sleep(FORGOTTEN_S)
        stopped, other = self.fleet.entries
        for client in self.fleet.clients:
            client.entry = other.settings.ip
        stopped.signal(SIGTERM)
        for number, (client, flow) in enumerate(flows):
            body = await client.send_request(flow, f'{number}-last')
            self.assertTrue(body.startswith(f'{number}-last '), body)

    async def test_draining_host(self) -> None:
        """It gets no later flows of its clients' ports (review/14)."""
        client = self.fleet.clients[0]
        flows = [await client.connect(TARGET) for _ in range(12)]
        answers = [
            await client.send_request(flow, f'{flow.port}-a') for flow in flows
        ]
        leaving = answers[0].split()[-1]
        index = [host.name for host in self.fleet.hosts].index(leaving)
        await self.fleet.register(index, draining=True)
        await asyncio.sleep(RECORDS_S)
        host = self.fleet.hosts[index]
        before = len(host.accepted)
        for flow in flows:
            client.finish(flow)
        await asyncio.sleep(0.2)
        for flow in flows:
            later = await client.connect(TARGET, flow.port)
            body = await client.send_request(later, f'{flow.port}-b')
            self.assertNotEqual(body.split()[-1], leaving)
        self.assertEqual(len(host.accepted), before)

    async def test_restarts_of_sidecars(self) -> None:
        """Earlier flows are not known any more when the later ones open."""
        client = self.fleet.clients[0]
        flows = [await client.connect(TARGET) for _ in range(6)]
        for flow in flows:
            await client.send_request(flow, f'{flow.port}-a')
            client.finish(flow)
        for sidecar in self.fleet.sidecars:
            sidecar.kill()
            sidecar.start()
        await self.fleet.wait_until_ready()
        for flow in flows:
            later = await client.connect(TARGET, flow.port)
            await client.send_request(later, f'{flow.port}-b')
            client.entry = self.fleet.entries[1].settings.ip
            body = await client.send_request(later, f'{flow.port}-c')
            self.assertTrue(body.startswith(f'{flow.port}-c '), body)
            client.entry = self.fleet.entries[0].settings.ip


if __name__ == '__main__':
    unittest.main()
