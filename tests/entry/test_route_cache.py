"""Tests of the route cache."""

import unittest

from siskinbank.entry.route_cache import OwnerRoute, Receiver, RouteCache


def _flow(number: int) -> bytes:
    return number.to_bytes(13, 'big')


def _route() -> OwnerRoute:
    return OwnerRoute(Receiver(b'', ('10.0.0.1', 1), 1), b'')


USED_ROUTE = _route()


class TestRouteCache(unittest.TestCase):
    """Capacity and eviction."""

    def test_capacity(self) -> None:
        """The cache stays within its size, however many flows are added."""
        cache = RouteCache(100)
        for flow in range(10_000):
            cache.put(_flow(flow), _route())
            self.assertLessEqual(len(cache), 100)

    def test_used_flows_are_not_evicted(self) -> None:
        """A flow that is used again stays longer than unused ones."""
        cache = RouteCache(100)
        cache.put(b'kept', USED_ROUTE)
        for flow in range(1000):
            cache.put(_flow(flow), _route())
            self.assertEqual(cache.get(b'kept'), USED_ROUTE)
        self.assertIsNone(cache.get(_flow(0)))
