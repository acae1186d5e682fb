"""Tests of the last packets of flows whose hosts are probed."""

import unittest

from siskinbank.entry.suspect_flows import SuspectFlows

SILENT = '10.0.0.1'
HEARD = '10.0.0.2'
FLOWS = 5000
MAX_PACKETS = 4096


class TestSuspectFlows(unittest.TestCase):
    """Which flows are reset without a further packet."""

    def setUp(self) -> None:
        """Add a flow at a silent host."""
        self.flows = SuspectFlows()
        self.flows.add(b'1', SILENT, b'first')

    def taken(self, probed: str, reason: str) -> list[tuple[str, bytes, str]]:
        """Return the flows to reset while one host is probed."""
        return self.flows.take_decided(probed.__eq__, lambda _ip, _key: reason)

    def test_host_becomes_gone(self) -> None:
        """The flow is reset once, with its last packet."""
        self.assertEqual(self.taken(SILENT, ''), [])
        self.flows.add(b'1', SILENT, b'second')
        self.assertEqual(
            self.taken(SILENT, 'unanswered'),
            [(SILENT, b'second', 'unanswered')],
        )
        self.assertEqual(self.taken(SILENT, 'unanswered'), [])

    def test_host_is_heard(self) -> None:
        """Its flow is not reset when it becomes silent again later."""
        self.assertEqual(self.taken(HEARD, 'unanswered'), [])
        self.assertEqual(self.taken(SILENT, 'unanswered'), [])

    def test_one_decision_for_each_host_and_route(self) -> None:
        """An isolated entry checks thousands of flows every 0.1 s."""
        decided: list[tuple[str, bytes]] = []
        for route in range(2):
            for client in range(50):
                key = bytes((1, 1, 1, client, 2, 2, 2, route, 0, 0, 1, 187))
                self.flows.add(key, SILENT, key)
        self.flows.take_decided(
            SILENT.__eq__, lambda ip, key: decided.append((ip, key)) or ''
        )
        # The two routes, and that of the flow of all tests.
        self.assertEqual(len(decided), 3)

    def test_many_flows(self) -> None:
        """Memory is bounded when a host with many flows is silent."""
        for number in range(FLOWS):
            self.flows.add(number.to_bytes(2, 'big'), SILENT, b'')
        taken = self.taken(SILENT, 'unanswered')
        self.assertEqual(len(taken), MAX_PACKETS)
