"""Tests of the flow cache of an entry and of its searches."""

import unittest

from siskinbank.entry.flow_cache import CachedFlow, FlowCache
from siskinbank.entry.flow_searches import (
    REPEAT_INTERVAL_S,
    FlowSearch,
    FlowSearches,
)
from siskinbank.platform.encoding import Packet

PACKET = Packet(('100.64.0.7', 9), ('198.18.0.1', 443)).write()


class TestCachedFlow(unittest.TestCase):
    """One flow."""

    def test_host_selected_by_acknowledgement(self) -> None:
        """Of two hosts that answered, the acknowledgement number decides."""
        for acknowledged, chosen in ((101, 'a'), (5001, 'b'), (4999, 'a')):
            flow = CachedFlow('a', 0)
            flow.add_holder('a', 100, established=False)
            self.assertFalse(flow.contested)
            flow.add_holder('b', 5000, established=False)
            self.assertTrue(flow.contested)
            flow.select_holder(acknowledged)
            self.assertEqual((flow.ip, flow.contested), (chosen, False))

    def test_numbers_wrap(self) -> None:
        """Sequence numbers wrap at 32 bits."""
        flow = CachedFlow('a', 0)
        flow.add_holder('a', 7, established=False)
        flow.add_holder('b', 0xFFFFFFF0, established=False)
        flow.select_holder(3)
        self.assertEqual(flow.ip, 'b')

    def test_established_host_before_sequence_numbers(self) -> None:
        """A restarted sidecar reports no number, only an established flow."""
        for reports in (('a', 'b'), ('b', 'a')):
            flow = CachedFlow('a', 0)
            for ip in reports:
                flow.add_holder(
                    ip, 0 if ip == 'b' else 100, established=ip == 'b'
                )
            self.assertEqual(flow.ip, 'b')
            flow.select_holder(101)
            self.assertEqual(flow.ip, 'b')


class TestFlowCache(unittest.TestCase):
    """All flows of an entry."""

    def test_idle_flows_are_removed(self) -> None:
        """Flows with recent packets stay."""
        cache = FlowCache()
        cache.add(b'old', 'a', 0)
        cache.add(b'new', 'a', 15)
        cache.sweep(21, 20)
        self.assertIsNone(cache.get(b'old'))
        self.assertIsNotNone(cache.get(b'new'))
        cache.sweep(54, 40)
        self.assertIsNotNone(cache.get(b'new'))
        cache.drop(b'new')
        cache.drop(b'new')
        self.assertEqual(len(cache), 0)


class TestSearches(unittest.TestCase):
    """Limits on number, queued packets and time."""

    def test_limits(self) -> None:
        """Load pattern: a router moves all flows of an entry at once."""
        searches = FlowSearches()
        number = 0
        while not searches.full:
            searches.begin(str(number).encode(), FlowSearch(0, PACKET))
            number += 1
        self.assertLessEqual(number, 512)
        self.assertEqual(searches.due_for_repeat(0.01), [])
        self.assertEqual(
            len(searches.due_for_repeat(REPEAT_INTERVAL_S)), number
        )
        search = searches.end(b'0')
        self.assertIsNone(searches.get(b'0'))
        for step in range(100):
            if search:
                search.queue_packet(str(step).encode())
        self.assertEqual(search and len(search.queued_packets), 16)

    def test_returning_hosts_are_asked(self) -> None:
        """Load pattern: sidecars restart one by one after a loss of power."""
        search = FlowSearch(0, PACKET)
        self.assertEqual(search.unanswered(['a']), ['a'])
        search.absent.add('a')
        self.assertEqual(search.unanswered(['a', 'b']), ['b'])
        searches = FlowSearches()
        self.assertFalse(searches.is_overdue(search, 1))
        self.assertTrue(searches.is_overdue(search, 1.3))

    def test_dead_hosts_are_asked_once(self) -> None:
        """Load pattern: many searches while dozens of hosts are dead."""
        search = FlowSearch(100, PACKET)
        last_received = {'dead': 99.5, 'alive': 99.9}
        self.assertEqual(
            search.hosts_to_ask(last_received, 100), ['dead', 'alive']
        )
        for step in range(1, 12):
            self.assertEqual(
                search.hosts_to_ask(last_received, 100 + step / 10), []
            )
        last_received['alive'] = 101.1
        self.assertEqual(search.hosts_to_ask(last_received, 101.2), ['alive'])
        search.absent.add('alive')
        last_received['alive'] = 101.5
        self.assertEqual(search.hosts_to_ask(last_received, 101.6), [])

    def test_retransmission_is_not_queued(self) -> None:
        """The packet that started the search was sent to the hosts already."""
        search = FlowSearch(0, PACKET)
        search.queue_packet(PACKET)
        self.assertEqual(search.queued_packets, [])
