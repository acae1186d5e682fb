"""Requests on open flows while packets pass only one way between data centres."""

import unittest

from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import ACK
from siskinbank.relay import messages
from siskinbank.relay.detours import forward_detour
from tests.relay.simulated_fleet import ADDRESS, CLIENT, SimulatedFleet

# A client sends a request again after this time, in seconds.
RETRANSMISSION_S = 0.2
# Time in which each sidecar has sent status updates, in seconds.
STATUSES_S = 1.0
REQUEST = b'GET / HTTP/1.1\r\n\r\n'
PACKET_BYTES = 2048


class TestOneWay(unittest.TestCase):
    """The entry hears a host that it cannot reach."""

    def setUp(self) -> None:
        """Open a flow at a host of another data centre; name a third one."""
        self.fleet = SimulatedFleet()
        self.addCleanup(self.fleet.close)
        self.host, *self.relays = self.fleet.hosts[:3]
        self.placed: dict[str, int] = {}
        self.fleet.open_flow(self.host)
        self.place(self.host, 'b')
        for relay in self.relays:
            self.place(relay, 'c')
        # Status updates that are under way still name the one of before.
        self.fleet.run(STATUSES_S)
        for host, digest in self.placed.items():
            tracked = self.fleet.entry._hosts.get(host)  # noqa: SLF001
            self.assertEqual(tracked and tracked.status.data_centre, digest)
        self.fleet.loss = self.is_lost
        self.requests = 0

    def place(self, host: str, data_centre: str) -> None:
        """Let the sidecar of a host state another data centre."""
        sidecar = self.fleet.sidecars[host]
        digest = messages.digest(data_centre)
        sidecar._reporter._data_centre = digest  # noqa: SLF001
        self.placed[host] = digest

    def is_lost(self, source: str, target: str, datagram: bytes) -> bool:
        """Return whether a datagram goes from the entry to the host."""
        return source == self.fleet.entry_ip and target == self.host

    def send_request(self, sequence: int = 7) -> int:
        """Send a request twice; return how many copies reach the host."""
        packet = Packet(
            CLIENT, ADDRESS, ACK, sequence, 9, content=REQUEST
        ).write()
        for _ in range(2):
            self.fleet.send(packet)
            self.fleet.run(RETRANSMISSION_S)
        return self.received(packet)

    def received(self, packet: bytes) -> int:
        """Return how many copies of a packet the host has received."""
        index = self.fleet.hosts.index(self.host)
        host_socket = self.fleet._host_sockets[index]  # noqa: SLF001
        count = 0
        while True:
            try:
                count += host_socket.recv(PACKET_BYTES) == packet
            except BlockingIOError:
                return count

    def test_request_arrives(self) -> None:
        """Without a copy on another path the request misses its deadline."""
        self.assertEqual(self.send_request(), 1)
        self.assertEqual(self.fleet.resets, [])
        self.assertIn((self.fleet.entry_ip, 'flow.detoured'), self.fleet.events)

    def test_relay_is_cut_off_as_well(self) -> None:
        """The copy of the next retransmission takes another relay."""
        packet = Packet(CLIENT, ADDRESS, ACK, 7, 9, content=REQUEST).write()
        dead = self.relays[0]
        self.fleet.loss = lambda source, target, datagram: (
            dead in {source, target} or self.is_lost(source, target, datagram)
        )
        for _ in range(3):
            self.fleet.send(packet)
            self.fleet.run(RETRANSMISSION_S)
        self.assertEqual(self.received(packet), 1)

    def test_path_works(self) -> None:
        """A packet that is sent once takes the direct path alone."""
        self.fleet.loss = lambda source, target, datagram: False
        packet = Packet(CLIENT, ADDRESS, ACK, 7, 9, content=REQUEST).write()
        self.fleet.send(packet)
        self.fleet.run(RETRANSMISSION_S)
        self.assertEqual(self.received(packet), 1)
        self.assertNotIn(
            (self.fleet.entry_ip, 'flow.detoured'), self.fleet.events
        )

    def test_packets_out_of_order(self) -> None:
        """Guards against copies of uploads whose packets overtake each other."""
        self.fleet.loss = lambda source, target, datagram: False
        for sequence in (1000, 3400, 2200, 4600, 5800):
            self.fleet.send(
                Packet(CLIENT, ADDRESS, ACK, sequence, 9, REQUEST).write()
            )
        self.fleet.run(0.1)
        self.assertNotIn(
            (self.fleet.entry_ip, 'flow.detoured'), self.fleet.events
        )

    def test_backlogged_link(self) -> None:
        """Guards against copies that a full link would carry as well."""
        node = self.fleet._nodes[self.fleet.entry_ip]  # noqa: SLF001
        node.settings.link_kbps = 1
        self.fleet.run(0.5)
        self.send_request()
        self.assertNotIn(
            (self.fleet.entry_ip, 'flow.detoured'), self.fleet.events
        )

    def test_truncated_message(self) -> None:
        """A sidecar passes nothing on that holds no whole packet."""
        sidecar = self.fleet.sidecars[self.relays[0]]
        raw = bytes((messages.DETOUR,)) + bytes(20)
        with self.assertRaises(messages.DatagramError):
            forward_detour(sidecar._node, raw)  # noqa: SLF001
