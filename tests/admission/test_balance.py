"""Tests of the fair load and the selection of hosts to ask next."""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.admission.balance import MAX_REPORT_AGE_SECONDS, PoolLoads
from siskinbank.config.site import Host
from siskinbank.kernel.clock import FakeClock
from siskinbank.wire.packets import pack_address

HOSTS = [
    Host(f'matcher-{number}', 'a', (f'10.0.0.{number + 1}', 7100))
    for number in range(5)
]
ADDRESSES = [pack_address(host.address) for host in HOSTS]


def make_loads(loads: list[int], room: int = 5) -> tuple[PoolLoads, FakeClock]:
    """Return a load table of the hosts, and its clock."""
    clock = FakeClock(100)
    known = PoolLoads(clock)
    known.update_hosts(HOSTS)
    for host, load in zip(HOSTS, loads, strict=False):
        known.note(host.seed, load, room, 0)
    known.refresh()
    return known, clock


class TestPoolLoads(unittest.TestCase):
    """Fair load and order of hosts, with fresh, old and no reports."""

    @given(st.lists(st.integers(0, 1000), min_size=5, max_size=5))
    def test_fair_load_against_the_mean(self, loads: list[int]) -> None:
        """It is above the mean of all, and within its factor or one flow."""
        known, _clock = make_loads(loads)
        mean = (sum(loads) + 50) / 6
        fair = known.fair_load(50, 1)
        self.assertGreaterEqual(fair, mean)
        self.assertLessEqual(fair, max(mean * 1.1 + 1, mean + 1))

    def test_falls_back_without_reports(self) -> None:
        """Without fresh reports only the own limit applies."""
        known, clock = make_loads([1, 2, 3, 4, 5])
        self.assertLess(known.fair_load(100, 1), 100)
        clock.advance(MAX_REPORT_AGE_SECONDS + 1)
        known.refresh()
        self.assertEqual(known.fair_load(100, 1), math.inf)

    def test_full_hosts_are_not_asked(self) -> None:
        """A pool that is known to be full gets no further packet."""
        known, _clock = make_loads([9, 9, 9, 9, 9], room=0)
        self.assertEqual(known.with_room(random.Random(1), 4), [])

    def test_older_report_is_ignored(self) -> None:
        """A late report does not replace a newer one."""
        known, _clock = make_loads([9, 1, 1, 1, 1])
        known.note(HOSTS[0].seed, 0, 5, age=10)
        self.assertEqual(known.sort(ADDRESSES)[-1], ADDRESSES[0])
