"""Tests of unanswered searches for flow owners."""

import unittest

from siskinbank.config.site import Host
from siskinbank.entry.owner_searches import OwnerSearches

FLOW = bytes(13)
OTHER = b'o' * 13
HOSTS = [
    Host(f'host-{number}', 'a', ('10.0.0.1', number)) for number in (0, 1, 2)
]


def first(searches: OwnerSearches, flow: bytes, now: float) -> str:
    """Return the name of the host that is asked first."""
    return searches.order(flow, now, HOSTS)[0].name


class TestSearches(unittest.TestCase):
    """The order in which hosts are asked."""

    def test_next_host_after_timeout(self) -> None:
        """Packets within the answer timeout go to the same host."""
        searches = OwnerSearches()
        times = (0, 0.1, 0.4, 0.5, 0.8)
        asked = [first(searches, FLOW, now) for now in times]
        wanted = ['host-0', 'host-0', 'host-1', 'host-1', 'host-2']
        self.assertEqual(asked, wanted)

    def test_answer_ends_search(self) -> None:
        """An answered search starts at the first host again."""
        searches = OwnerSearches()
        first(searches, FLOW, 0)
        searches.end(FLOW)
        self.assertEqual(first(searches, FLOW, 9), 'host-0')

    def test_silent_host_is_last_for_all_flows(self) -> None:
        """A silent host is asked last for other flows too, for a while."""
        searches = OwnerSearches()
        first(searches, FLOW, 0)
        asked = [first(searches, OTHER, now) for now in (0.4, 5.5)]
        self.assertEqual(asked[0], 'host-1')
        self.assertEqual(first(searches, b'n' * 13, 5.5), 'host-0')

    def test_answer_clears_silent_host(self) -> None:
        """A host that answered any search is not silent."""
        searches = OwnerSearches()
        first(searches, FLOW, 0)
        searches.end(FLOW)
        self.assertEqual(first(searches, OTHER, 0.4), 'host-0')

    def test_no_hosts(self) -> None:
        """An empty pool has no candidates."""
        self.assertEqual(OwnerSearches().order(FLOW, 0, []), [])

    def test_search_limit(self) -> None:
        """The number of stored searches is limited."""
        searches = OwnerSearches()
        for number in range(30_000):
            searches.order(number.to_bytes(13, 'big'), 0, HOSTS)
            self.assertLessEqual(len(searches), 10_000)
