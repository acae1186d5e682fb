"""Tests of searches that stay unanswered."""

import unittest

from siskinbank.config.site import Host
from siskinbank.entry.searches import Searches

FLOW = bytes(13)
OTHER = b'o' * 13
HOSTS = [
    Host(f'host-{number}', 'a', ('10.0.0.1', number)) for number in (0, 1, 2)
]


def first(searches: Searches, flow: bytes, now: float) -> str:
    """Return the name of the host that is asked first."""
    return searches.order(flow, now, HOSTS)[0].name


class TestSearches(unittest.TestCase):
    """Who is asked next."""

    def test_turns_after_patience(self) -> None:
        """Packets that come close together ask the same host."""
        searches = Searches()
        times = (0, 0.1, 0.4, 0.5, 0.8)
        asked = [first(searches, FLOW, now) for now in times]
        wanted = ['host-0', 'host-0', 'host-1', 'host-1', 'host-2']
        self.assertEqual(asked, wanted)

    def test_answer_ends_it(self) -> None:
        """An answered search starts at the first host again."""
        searches = Searches()
        first(searches, FLOW, 0)
        searches.end(FLOW)
        self.assertEqual(first(searches, FLOW, 9), 'host-0')

    def test_silence_counts_for_all_flows(self) -> None:
        """A silent host is asked last by other flows too, for a while."""
        searches = Searches()
        first(searches, FLOW, 0)
        asked = [first(searches, OTHER, now) for now in (0.4, 5.5)]
        self.assertEqual(asked[0], 'host-1')
        self.assertEqual(first(searches, b'n' * 13, 5.5), 'host-0')

    def test_answer_clears_the_host(self) -> None:
        """A host that answers anything is not silent."""
        searches = Searches()
        first(searches, FLOW, 0)
        searches.end(FLOW)
        self.assertEqual(first(searches, OTHER, 0.4), 'host-0')

    def test_no_hosts(self) -> None:
        """An empty pool has nobody to ask."""
        self.assertEqual(Searches().order(FLOW, 0, []), [])

    def test_stays_bounded(self) -> None:
        """Many searches do not fill the memory."""
        searches = Searches()
        for number in range(30_000):
            searches.order(number.to_bytes(13, 'big'), 0, HOSTS)
            self.assertLessEqual(len(searches), 10_000)
