"""Tests of the order of candidates."""

import random
import unittest

from siskinbank.beliefs.hosts import HostBelief, HostBeliefs
from siskinbank.choice.placement import MOST_CANDIDATES, candidates, order
from siskinbank.relay.messages import Status

SERVICE = 7
HERE = 1


def belief(number: int, now: float = 100, **status: int) -> HostBelief:
    """Return a host with some fields of its status changed."""
    word = Status(SERVICE, HERE)
    word.trusted = True
    for name, amount in status.items():
        setattr(word, name, amount)
    return HostBelief(f'10.0.0.{number}', word, now)


class TestOrder(unittest.TestCase):
    """The best first."""

    def test_less_load_comes_first(self) -> None:
        """Requests count more than flows, own placements at once."""
        hosts = [belief(1, busy=3), belief(2, flows=10), belief(3)]
        found = [host.ip[-1] for host in order(hosts, 0, HERE, 100)]
        self.assertEqual(found, ['3', '2', '1'])
        hosts[2].pending = 5
        found = [host.ip[-1] for host in order(hosts, 0, HERE, 100)]
        self.assertEqual(found, ['2', '1', '3'])

    def test_the_own_data_centre_comes_first_at_equal_load(self) -> None:
        """But not before a host with much less to do."""
        away = belief(1, data_centre=2)
        for busy, first in ((0, '2'), (1, '1')):
            hosts = [away, belief(2, busy=busy)]
            self.assertEqual(order(hosts, 0, HERE, 100)[0].ip[-1], first)

    def test_unknown_hosts_are_no_worse_than_busy_ones(self) -> None:
        """Load pattern: a cut made entries of a data centre lapse."""
        unknown = belief(1, trusted=False)
        for busy, first in ((0, '2'), (2, '1')):
            hosts = [unknown, belief(2, busy=busy)]
            self.assertEqual(order(hosts, 0, HERE, 100)[0].ip[-1], first)

    def test_hosts_that_take_nothing_are_left_out(self) -> None:
        """Silent ones come in only when there is nobody else."""
        silent = belief(1, now=90)
        hosts = [silent, belief(2, state=2), belief(3)]
        self.assertEqual(
            [host.ip[-1] for host in order(hosts, 0, 1, 100)], ['3']
        )
        self.assertEqual(order(hosts[:2], 0, HERE, 100), [silent])
        self.assertEqual(order([], 0, HERE, 100), [])

    def test_entries_do_not_all_name_the_same_hosts(self) -> None:
        """Replay: 50 entries, 40 hosts at work, some with more flows.

        Each flow stays at the shortest of the queues that it meets.
        """
        hosts = [belief(number, busy=3, flows=number) for number in range(40)]
        chance = random.Random(1)
        queues = dict.fromkeys((host.ip for host in hosts), 0)
        for _ in range(200):
            met = order(hosts, chance.randrange(1 << 32), HERE, 100)
            self.assertEqual(len({host.ip for host in met}), MOST_CANDIDATES)
            queues[min((host.ip for host in met), key=queues.__getitem__)] += 1
        self.assertLessEqual(max(queues.values()), 2 * 200 // 40)

    def test_many_entries_spread_over_equal_hosts(self) -> None:
        """Replay: 50 entries place one flow each on the same old words."""
        hosts = [belief(number) for number in range(1, 11)]
        chance = random.Random(1)
        counts = dict.fromkeys((host.ip for host in hosts), 0)
        for _ in range(50):
            best = order(hosts, chance.randrange(1 << 32), HERE, 100)
            self.assertEqual(len(best), MOST_CANDIDATES)
            counts[best[0].ip] += 1
        self.assertLessEqual(max(counts.values()), 15)


class TestCandidates(unittest.TestCase):
    """Load pattern: copies of first packets while all hosts are at work."""

    def test_a_copy_follows_the_flow_that_waits(self) -> None:
        """Also where others have less to do; not where the host leaves."""
        hosts = [belief(1), belief(2), belief(3, busy=9)]
        ordered = hosts[:2]
        found = candidates(hosts, ordered, ('10.0.0.1',), '10.0.0.3')
        self.assertEqual([host.ip[-1] for host in found], ['3', '2'])
        hosts[2].status.state = 2
        found = candidates(hosts, ordered, ('10.0.0.1',), '10.0.0.3')
        self.assertEqual([host.ip[-1] for host in found], ['2'])

    def test_hosts_that_were_not_tried_come_first(self) -> None:
        """When all were, they are tried again."""
        hosts = [belief(1), belief(2)]
        found = candidates(hosts, hosts, ('10.0.0.1',), '')
        self.assertEqual(found, hosts[1:])
        found = candidates(hosts, hosts, ('10.0.0.1', '10.0.0.2'), '')
        self.assertEqual(found, hosts)


class TestBeliefs(unittest.TestCase):
    """Words of sidecars."""

    def test_the_last_word_holds(self) -> None:
        """A host may move to another service."""
        beliefs = HostBeliefs()
        self.assertTrue(beliefs.hear('10.0.0.1', Status(1, HERE), 100))
        self.assertFalse(beliefs.hear('10.0.0.1', Status(1, HERE), 100.4))
        self.assertTrue(beliefs.hear('10.0.0.1', Status(2, HERE), 100.8))
        self.assertEqual(beliefs.of_service(1), [])
        self.assertEqual(len(beliefs.of_service(2)), 1)

    def test_time_stood_still_is_excused(self) -> None:
        """Nobody was silent while this process could not listen."""
        beliefs = HostBeliefs()
        beliefs.hear('10.0.0.1', Status(1, HERE), 100)
        beliefs.excuse(8)
        self.assertEqual(len(beliefs.addresses(109)), 1)
        beliefs.sweep(200)
        self.assertEqual(len(beliefs), 0)

    def test_the_usual_pause(self) -> None:
        """Of a sidecar's words; one long one is forgotten."""
        beliefs = HostBeliefs()
        now: float = 100
        for number in range(16):
            now += 9 if number == 3 else 0.4
            beliefs.hear('10.0.0.1', Status(1, HERE), now)
        host = beliefs.get('10.0.0.1')
        self.assertAlmostEqual(host.pause_s if host else 0, 0.4, delta=0.1)
