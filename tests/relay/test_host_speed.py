"""Tests of hosts' speed between real sidecars and an entry."""

import unittest

from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import SYN
from siskinbank.relay import messages
from siskinbank.sidecar.tracked_flows import Request
from tests.relay.simulated_fleet import ADDRESS, SERVICE, SimulatedFleet

HOSTS = 4
FAST_S = 0.05
SLOW_S = 0.11
MEASURED = 30
FIRST_PORT = 41000
FLOWS = 64


class TestSpeedInPlacement(unittest.TestCase):
    """One host in four is slow."""

    def setUp(self) -> None:
        """Let the sidecars measure requests, and report."""
        self.fleet = SimulatedFleet(HOSTS)
        self.addCleanup(self.fleet.close)
        self.slow = self.fleet.hosts[0]
        for ip in self.fleet.hosts:
            self._measure(ip, SLOW_S if ip == self.slow else FAST_S)
        self.fleet.run(1)

    def test_slow_host_gets_fewer_flows(self) -> None:
        """Guards against reports that do not reach the ranking.

        All hosts are idle, so that a fourth of the flows would go there.
        """
        for number in range(FLOWS):
            client = ('100.64.0.7', FIRST_PORT + number)
            self.fleet.send(Packet(client, ADDRESS, SYN, 7).write())
            self.fleet.run(0.01)
        meters = self.fleet.entry._node.meters  # noqa: SLF001
        slow_flows = meters.value('flows_placed_slow_total')
        self.assertGreater(slow_flows, 0)
        self.assertLess(slow_flows, FLOWS // 6)

    def test_statuses_are_lost(self) -> None:
        """Guards against a slow host that is forgotten on the first loss."""
        self.assertAlmostEqual(self._factor(), 2.2)
        self.fleet.loss = lambda source, target, datagram: (
            source == self.slow and datagram[0] == messages.STATUS
        )
        self.fleet.run(1)
        self.assertAlmostEqual(self._factor(), 2.2)

    def test_sidecar_is_restarted(self) -> None:
        """Guards against values from before the restart."""
        host = self.fleet.sidecars[self.slow]._host  # noqa: SLF001
        host.processing_time.forget_speed()
        self.fleet.run(1)
        self.assertEqual(self._factor(), 1)
        self._measure(self.slow, FAST_S)
        self.fleet.run(1)
        self.assertEqual(self._factor(), 1)

    def test_sidecar_stalls(self) -> None:
        """Guards against a stall of the sidecar that counts as processing."""
        host = self.fleet.sidecars[self.slow]._host  # noqa: SLF001
        request = Request(self.fleet.now, 'a')
        host.in_progress.add(request, self.fleet.now, 1)
        self.fleet.pause(self.slow, 1.5)
        self.fleet.run(2)
        self.assertFalse(request.is_measurable)

    def _measure(self, ip: str, work_s: float) -> None:
        host = self.fleet.sidecars[ip]._host  # noqa: SLF001
        for _ in range(MEASURED):
            host.processing_time.note_speed(work_s, self.fleet.now)

    def _factor(self) -> float:
        hosts = self.fleet.entry._hosts  # noqa: SLF001
        hosts.median_ms(messages.digest(SERVICE), self.fleet.now)
        found = hosts.get(self.slow)
        assert found is not None
        return found.load_factor
