"""Tests of weighted rendezvous hashing."""

import unittest
from collections import Counter

from siskinbank.choice.rendezvous import prepare_rendezvous
from siskinbank.config.site import Host

FLOWS = range(20_000)


def _hosts(*weights: float) -> list[Host]:
    return [
        Host(f'host-{number}', 'a', ('10.0.0.1', number), weight)
        for number, weight in enumerate(weights)
    ]


class TestRendezvous(unittest.TestCase):
    """Distribution of flows and the effect of removed hosts."""

    def test_shares_follow_weights(self) -> None:
        """Each host's share is near its weight's."""
        rank = prepare_rendezvous(_hosts(1, 1, 2), 1)
        shares = Counter(rank(flow)[0].name for flow in FLOWS)
        for name, wanted in (('host-0', 0.25), ('host-2', 0.5)):
            with self.subTest(name):
                self.assertAlmostEqual(
                    shares[name] / len(FLOWS), wanted, delta=0.02
                )

    def test_removal_moves_only_its_flows(self) -> None:
        """Flows of the other hosts stay where they are."""
        hosts = _hosts(1, 1, 1, 1)
        before = prepare_rendezvous(hosts, 2)
        after = prepare_rendezvous(hosts[1:], 2)
        for flow in FLOWS[:2000]:
            first, second = before(flow)
            expected = second if first is hosts[0] else first
            self.assertIs(after(flow)[0], expected)

    def test_no_hosts(self) -> None:
        """An empty pool has no ranking."""
        self.assertEqual(prepare_rendezvous([], 3)(1), [])
