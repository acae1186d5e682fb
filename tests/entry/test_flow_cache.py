"""Tests of what an entry remembers of flows, and of its searches."""

import unittest

from siskinbank.entry.flow_cache import CachedFlow, FlowCache
from siskinbank.entry.flow_searches import SEARCH_S, Search, Searches


class TestCachedFlow(unittest.TestCase):
    """One flow."""

    def test_the_host_that_the_client_chose(self) -> None:
        """Two answered; what the client acknowledges decides."""
        for acknowledged, chosen in ((101, 'a'), (5001, 'b'), (4999, 'a')):
            flow = CachedFlow('a', 0)
            flow.hold('a', 100)
            flow.hold('b', 5000)
            self.assertTrue(flow.contested)
            flow.settle(acknowledged)
            self.assertEqual((flow.ip, flow.contested), (chosen, False))

    def test_numbers_wrap(self) -> None:
        """Sequence numbers have 32 bits."""
        flow = CachedFlow('a', 0)
        flow.hold('a', 7)
        flow.hold('b', 0xFFFFFFF0)
        flow.settle(3)
        self.assertEqual(flow.ip, 'b')

    def test_a_word_without_a_number(self) -> None:
        """A sidecar that restarted does not know it; the last one holds."""
        flow = CachedFlow('a', 0)
        flow.hold('a', 100)
        flow.hold('b', 0)
        self.assertEqual((flow.ip, flow.contested), ('b', False))


class TestFlowCache(unittest.TestCase):
    """All flows."""

    def test_idle_flows_go(self) -> None:
        """The others stay."""
        cache = FlowCache()
        cache.add(b'old', 'a', 0)
        cache.add(b'new', 'a', 15)
        cache.sweep(21)
        self.assertIsNone(cache.get(b'old'))
        self.assertIsNotNone(cache.get(b'new'))
        cache.drop(b'new')
        cache.drop(b'new')
        self.assertEqual(len(cache), 0)


class TestSearches(unittest.TestCase):
    """Bounded in number, packets and time."""

    def test_bounds(self) -> None:
        """Load pattern: a router moves all flows of an entry at once."""
        searches = Searches()
        number = 0
        while not searches.full:
            searches.begin(str(number).encode(), Search(0, {'a'}, b''))
            number += 1
        self.assertLessEqual(number, 512)
        search = searches.get(b'0')
        for _ in range(100):
            if search:
                search.keep(b'packet')
        self.assertEqual(search and len(search.waiting), 16)
        self.assertEqual(searches.overdue(SEARCH_S), [])
        self.assertEqual(len(searches.overdue(SEARCH_S + 0.01)), number)
        self.assertIsNone(searches.end(b'0'))
