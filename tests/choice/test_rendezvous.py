"""Tests of weighted rendezvous hashing."""

import itertools
import math
import random
import time
import unittest
from collections import Counter
from collections.abc import Sequence

from siskinbank.choice.registry import Rank
from siskinbank.choice.rendezvous import prepare_rendezvous
from siskinbank.config.site import Host

FLOWS = range(20_000)
_RANGE = float(2**64 - 1) + 2
#: Weights of the hosts of several pools, some of them all equal.
_WEIGHTS: tuple[Sequence[float], ...] = (
    (1,),
    (2, 2),
    (1, 0.5, 3),
    (1,) * 100,
    range(1, 101),
)


def _hosts(*weights: float) -> list[Host]:
    return [
        Host(f'host-{number}', 'a', ('10.0.0.1', number), weight)
        for number, weight in enumerate(weights)
    ]


def _score(host: Host, flow: int) -> float:
    """Return a host's score, one step of the formula after the other."""
    mixed = flow ^ host.seed
    for _ in range(2):
        mixed = _xor_shift(mixed) * 0xD6E8FEB86659FD93 % 2**64
    return -host.weight / math.log((_xor_shift(mixed) + 1) / _RANGE)


def _xor_shift(mixed: int) -> int:
    return mixed ^ mixed >> 32


def _random_flows(count: int) -> list[int]:
    rng = random.Random(1)
    return [rng.getrandbits(64) for _ in range(count)]


def _rank_by_formula(hosts: Sequence[Host], flow: int) -> list[Host]:
    return sorted(hosts, key=lambda host: _score(host, flow), reverse=True)


def _cost(rank: Rank, flows: Sequence[int]) -> float:
    """Return the least processor time of several rounds, in seconds."""
    costs = []
    for _ in range(5):
        start = time.process_time()
        for flow in flows:
            rank(flow)
        costs.append(time.process_time() - start)
    return min(costs)


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

    def test_order_is_that_of_the_formula(self) -> None:
        """Processes of different releases disagree on the owner of a flow."""
        flows = [0, 2**64 - 1, *_random_flows(300)]
        for weights in _WEIGHTS:
            hosts = _hosts(*weights)
            rank = prepare_rendezvous(hosts, 6)
            with self.subTest(weights):
                for flow in flows:
                    expected = _rank_by_formula(hosts, flow)[:6]
                    self.assertEqual(rank(flow), expected)

    def test_cost_of_large_pool(self) -> None:
        """A ranking computes the hash of each host in a step of its own.

        Load pattern: first packets of new flows to a pool of 100 hosts.
        """
        hosts = _hosts(*itertools.repeat(1, 100))
        flows = _random_flows(200)
        by_formula = _cost(lambda flow: _rank_by_formula(hosts, flow), flows)
        cost = _cost(prepare_rendezvous(hosts, 6), flows)
        self.assertLess(cost, by_formula / 3)

    def test_no_hosts(self) -> None:
        """An empty pool has no ranking."""
        self.assertEqual(prepare_rendezvous([], 3)(1), [])
