"""Tests of searches for the hosts of flows."""

import unittest

from siskinbank.entry.flow_searches import FlowSearch
from siskinbank.platform.encoding import Packet

PACKET = Packet(('100.64.0.7', 9), ('198.18.0.1', 443)).write()
HOSTS = {'10.0.0.1': 99.0, '10.0.0.2': 99.0}


class TestSearch(unittest.TestCase):
    """Load pattern: hundreds of searches while dozens of hosts are dead."""

    def test_a_dead_host_is_asked_once(self) -> None:
        """A dead host is asked again only after a message from its sidecar."""
        search = FlowSearch(100, PACKET)
        self.assertEqual(search.hosts_to_ask(HOSTS, 100), list(HOSTS))
        search.absent.add('10.0.0.1')
        self.assertEqual(search.hosts_to_ask(HOSTS, 100.4), [])
        restarted = {**HOSTS, '10.0.0.2': 100.2}
        self.assertEqual(search.hosts_to_ask(restarted, 100.4), ['10.0.0.2'])

    def test_last_answer(self) -> None:
        """Only the last outstanding answer ends the search."""
        search = FlowSearch(100, PACKET)
        search.hosts_to_ask(HOSTS, 100)
        self.assertFalse(search.add_absent('10.0.0.1'))
        self.assertTrue(search.add_absent('10.0.0.2'))
