"""Tests of searches for the hosts of flows."""

import unittest

from siskinbank.entry.flow_searches import FlowSearch, may_still_answer

HOSTS = {'10.0.0.1': 99.0, '10.0.0.2': 99.0}


class TestSearch(unittest.TestCase):
    """Load pattern: hundreds of searches while dozens of hosts are dead."""

    def test_a_dead_host_is_asked_once(self) -> None:
        """A dead host is asked again only after a message from its sidecar."""
        search = FlowSearch(100, b'packet')
        self.assertEqual(search.hosts_to_ask(HOSTS, 100), list(HOSTS))
        search.absent.add('10.0.0.1')
        self.assertEqual(search.hosts_to_ask(HOSTS, 100.4), [])
        restarted = {**HOSTS, '10.0.0.2': 100.2}
        self.assertEqual(search.hosts_to_ask(restarted, 100.4), ['10.0.0.2'])

    def test_last_answer(self) -> None:
        """Only the last outstanding answer ends the search."""
        search = FlowSearch(100, b'packet')
        search.hosts_to_ask(HOSTS, 100)
        self.assertFalse(search.add_absent('10.0.0.1'))
        self.assertTrue(search.add_absent('10.0.0.2'))

    def test_wait_for_silent_host(self) -> None:
        """The wait is shorter if a request may run again."""
        for silent_s, idempotent, waits in (
            (0.5, True, True),
            (1.4, True, False),
            (1.4, False, True),
            (3.1, False, False),
        ):
            found = may_still_answer(silent_s, idempotent, 0.4, stopping=False)
            self.assertEqual(found, waits, (silent_s, idempotent))

    def test_long_status_interval(self) -> None:
        """Load pattern: a hundred entries with a status update every 1.2 s."""
        self.assertTrue(may_still_answer(2.5, True, 1.2, stopping=False))
        self.assertFalse(may_still_answer(5, True, 1.2, stopping=False))

    def test_planned_stop(self) -> None:
        """Load pattern: a release stops sidecars before their hosts.

        Such a host may serve its flows until they are idle for 15 s.
        """
        self.assertTrue(may_still_answer(14.9, True, 0.4, stopping=True))
        self.assertFalse(may_still_answer(15.1, True, 0.4, stopping=True))
