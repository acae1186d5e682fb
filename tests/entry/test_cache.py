"""Tests of the soft cache."""

import unittest

from siskinbank.entry.cache import OwnerCache


class TestOwnerCache(unittest.TestCase):
    """Bound and eviction."""

    def test_stays_within_bound(self) -> None:
        """However many flows pass, the cache stays small."""
        cache = OwnerCache(100)
        for flow in range(10_000):
            cache.put(flow, b'owner')
            self.assertLessEqual(len(cache), 100)

    def test_used_flows_survive(self) -> None:
        """A flow that is used again outlives those that are not."""
        cache = OwnerCache(100)
        cache.put(-1, b'owner')
        for flow in range(1000):
            cache.put(flow, b'other')
            self.assertEqual(cache.get(-1), b'owner')
        self.assertIsNone(cache.get(0))
