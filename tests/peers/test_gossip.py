"""Tests of member statuses in the gossip between processes."""

import random
import unittest

from siskinbank.directory.member_status import MemberState, MemberStatus
from siskinbank.kernel.clock import FakeClock
from siskinbank.lab.network import FakeNetwork
from siskinbank.lab.virtual_node import VirtualNode
from siskinbank.peers.gossip import Identity


class TestRefutation(unittest.TestCase):
    """Load pattern: a process was restarted, and peers still call it silent."""

    def test_status_about_oneself_is_refuted(self) -> None:
        """The refutation is sent, and not the status that it refutes."""
        rng = random.Random(1)
        clock = FakeClock()
        identity = Identity('entry-1', 'entry', 'a', ('10.0.0.1', 7), 5)
        node = VirtualNode(identity, FakeNetwork(clock, rng), clock, rng)
        silent = MemberStatus(5, MemberState.silent, 'entry-1')
        node.gossip._merge_status(silent)  # noqa: SLF001
        queued = node.gossip._updates.next_statuses()  # noqa: SLF001
        self.assertEqual(queued, [[6, MemberState.alive, 'entry-1']])
        self.assertIsNone(node.gossip.statuses.get('entry-1'))
