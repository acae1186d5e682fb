"""Tests of the check whether a host still runs."""

import unittest

from siskinbank.relay.listener_check import check_listener
from siskinbank.relay.loop import Loop

# No connection can be opened to this address, which is no refusal by a host.
BROADCAST = ('255.255.255.255', 9)


class TestListenerCheck(unittest.TestCase):
    """Load pattern: a leaving host still serves flows."""

    def test_other_errors_than_refusal(self) -> None:
        """Only a refusal shows that nothing listens."""
        results: list[bool] = []
        check_listener(Loop(), BROADCAST, results.append, 0.1)
        self.assertEqual(results, [True])
