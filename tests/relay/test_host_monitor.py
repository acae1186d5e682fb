"""Tests of the probes that an entry sends to silent sidecars."""

import time
import unittest
from typing import Any

from siskinbank.admission import reasons
from siskinbank.relay import messages
from tests.relay.test_flow_searcher import (
    HOSTS,
    STEP_S,
    Environment,
    flow_key,
    packet_of,
)

HOST = '10.0.0.1'
# CPU time in seconds to tell whether all dead hosts are gone.
MAX_DECISION_S = 0.002


class TestProbedHosts(unittest.TestCase):
    """Which sidecars are probed, and when."""

    def setUp(self) -> None:
        """Create an entry whose hosts send status updates every 0.4 s."""
        self.env = Environment()
        self.update(400)

    def update(self, interval_ms: int) -> None:
        """Let all hosts send a status update."""
        status = messages.Status(1, 1)
        status.interval_ms = interval_ms
        for host in self.env.hosts.all():
            self.env.hosts.update_status(host.ip, status, self.env.loop.now)

    def probed(self, seconds: float) -> list[str]:
        """Return the hosts that got a hello within some seconds."""
        self.env.sent.clear()
        self.env.run(seconds)
        return [
            ip
            for ip, datagram in self.env.sent
            if datagram[0] == messages.HELLO
        ]

    def test_host_whose_longer_interval_was_lost(self) -> None:
        """Its sidecar is probed within a second and states it again."""
        self.assertEqual(self.probed(0.5), [])
        self.assertIn(HOST, self.probed(0.6))

    def test_longer_interval(self) -> None:
        """No probe before one and a half announced intervals."""
        self.update(1200)
        self.assertEqual(self.probed(1.7), [])
        self.assertIn(HOST, self.probed(0.6))

    def test_reads_of_the_socket(self) -> None:
        """The socket of peers is read ahead only while a sidecar is probed."""
        reads = 0

        def receive_pending() -> bool:
            nonlocal reads
            reads += 1
            return True

        node: Any = self.env.monitor._node  # noqa: SLF001
        node.receive_pending = receive_pending
        self.env.run(0.5)
        self.assertEqual(reads, 0)
        self.env.run(1)
        self.assertGreater(reads, 0)

    def test_missing_host(self) -> None:
        """A host in the store that has sent nothing is probed, too."""
        self.env.hosts._by_ip.pop(HOST)  # noqa: SLF001
        self.assertIn(HOST, self.probed(1.1))


class TestPresentHosts(unittest.TestCase):
    """Searches and the check for isolation use the same hosts."""

    def test_ended_host(self) -> None:
        """A host that ended is neither asked nor counted as silent."""
        env = Environment()
        status = messages.Status(1, 1)
        status.state = reasons.ENDED
        env.hosts.update_status(HOST, status, env.loop.now)
        present = {host.ip for host in env.monitor.present_hosts()}
        self.assertEqual(len(present), HOSTS - 1)
        self.assertNotIn(HOST, present)
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        self.assertEqual({ip for ip, _ in env.sent}, present)


class TestCost(unittest.TestCase):
    """CPU time after the loss of a third of the hosts."""

    def test_decision_of_a_search(self) -> None:
        """It must not iterate over all hosts for each dead one."""
        env = Environment()
        dead = env.hosts.all()[: HOSTS // 3]
        alive = env.hosts.all()[HOSTS // 3 :]
        end = env.loop.now + 2
        while env.loop.now < end:
            env.loop.now += STEP_S
            for other in alive:
                env.hosts.note_message(other.ip, env.loop.now)
            env.run_timers()
        monitor = env.searcher._monitor  # noqa: SLF001
        key = flow_key(1)
        before = time.process_time()
        gone = [monitor.loss_reason(host.ip, key) for host in dead]
        taken_s = time.process_time() - before
        self.assertEqual(set(gone), {'unanswered'})
        self.assertLess(taken_s, MAX_DECISION_S)
