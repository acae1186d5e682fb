"""Searches for lost flows after a power loss of all machines.

Load pattern: all processes start at once and hosts have lost their flows. Some
hosts never return, of which the store lists one.
"""

import unittest
from dataclasses import replace

from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import BOUNCED
from siskinbank.relay.entry import Entry
from tests.relay.simulated_fleet import SimulatedFleet

# Time from the restart to the first reset, in seconds: that in which the flows of
# a dead host are reset.
MAX_FIRST_RESET_S = 2.0
# The same from the first packet of a later search: a client must know before its
# first retransmission.
MAX_LATER_RESET_S = 0.2
# Time after the restart at which later searches begin, in seconds.
LATER_S = 2.5
PACKET_BYTES = 2048


class TestPowerLoss(unittest.TestCase):
    """Hosts that never return don't delay searches beyond their probes."""

    def setUp(self) -> None:
        """Open a flow at each host that returns, then restart everything."""
        self.fleet = SimulatedFleet(9)
        self.addCleanup(self.fleet.close)
        listed, *unlisted = self.fleet.hosts[:3]
        self.returning = self.fleet.hosts[3:]
        self.packets = [
            self.fleet.open_flow(host, ('100.64.0.9', 41000 + number))
            for number, host in enumerate(self.returning)
        ]
        self.fleet.run(1)
        self.fleet.dead.update((listed, *unlisted))
        self.fleet.unlisted.update(unlisted)
        self.restart_all()
        self.restarted_at = self.fleet.now

    def restart_all(self) -> None:
        """Replace entry and sidecars by processes that know nothing."""
        fleet = self.fleet
        fleet._in_flight.clear()  # noqa: SLF001
        fleet.entry._client_socket.close()  # noqa: SLF001
        fleet.entry = Entry(fleet._make_node(fleet.entry_ip, 'entry'))  # noqa: SLF001
        fleet.publish()
        fleet._confirm_listing()  # noqa: SLF001
        for host in self.returning:
            fleet.restart_sidecar(host)
        fleet.entry._gossip._add_listed_sidecars()  # noqa: SLF001

    def refuse_packets(self) -> None:
        """Let the hosts bounce what they have received: they hold no flow."""
        for host in self.returning:
            index = self.fleet.hosts.index(host)
            host_socket = self.fleet._host_sockets[index]  # noqa: SLF001
            while True:
                try:
                    packet = Packet.read(host_socket.recv(PACKET_BYTES))
                except BlockingIOError:
                    break
                refused = replace(packet, flags=packet.flags | BOUNCED).pack()
                self.fleet.sidecars[host]._check_packet(refused, (host, 1))  # noqa: SLF001

    def first_reset_s(self, packet: bytes, limit_s: float) -> float:
        """Return the time from now until the flow of a packet is reset."""
        began_at = self.fleet.now
        self.fleet.resets.clear()
        while not self.fleet.resets and self.fleet.now - began_at < limit_s:
            step = round((self.fleet.now - began_at) * 100)
            if step % 10 == 0:
                self.fleet.send(packet)
            self.fleet.run(0.005)
            self.refuse_packets()
        self.assertNotEqual(self.fleet.resets, [])
        at, reason, _ = self.fleet.resets[0]
        self.assertEqual(reason, 'no-host-holds-it')
        return at - began_at

    def test_search_that_begins_at_the_restart(self) -> None:
        """It waits for the listed host only as long as probes need."""
        taken_s = self.first_reset_s(self.packets[0], 5)
        self.assertLess(taken_s, MAX_FIRST_RESET_S)

    def test_search_that_begins_later(self) -> None:
        """It ends with the answers of the hosts that returned."""
        self.fleet.run(LATER_S)
        for packet in self.packets:
            taken_s = self.first_reset_s(packet, 5)
            with self.subTest(packet=packet):
                self.assertLess(taken_s, MAX_LATER_RESET_S)
