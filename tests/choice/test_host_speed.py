"""Tests of the speed of hosts in the ranking of candidates."""

import unittest

from siskinbank.choice.host_speed import (
    UNKNOWN,
    is_speed_ignored,
    load_factor,
    median_ms,
)
from siskinbank.choice.placement import rank_hosts
from siskinbank.relay.messages import Status
from siskinbank.tracking.hosts import HostTable
from tests.choice.test_placement import LOCAL_DATA_CENTRE, make_host

MEDIAN_MS = 50
# A hash of a flow for which speed counts.
FLOW_HASH = 0xF0000000


class TestFactor(unittest.TestCase):
    """Factors of single hosts."""

    def test_factors(self) -> None:
        """Guards against unknown or extreme values that decide placements."""
        cases = (
            (UNKNOWN, MEDIAN_MS, 1),
            (110, UNKNOWN, 1),
            (110, MEDIAN_MS, 2.2),
            # Within the variation of equal hosts.
            (60, MEDIAN_MS, 1),
            (40, MEDIAN_MS, 1),
            # Clamped.
            (5000, MEDIAN_MS, 5),
            (1, MEDIAN_MS, 0.5),
        )
        for processing_ms, median, factor in cases:
            with self.subTest(processing_ms=processing_ms, median=median):
                self.assertEqual(load_factor(processing_ms, median), factor)

    def test_median(self) -> None:
        """Hosts of unknown speed do not count; one alone has no median."""
        self.assertEqual(median_ms([]), UNKNOWN)
        self.assertEqual(median_ms([0, 70, 0]), UNKNOWN)
        self.assertEqual(median_ms([0, 110, 50]), 50)
        self.assertEqual(median_ms([110, 50, 51, 49, 0]), 50)

    def test_measuring_flows(self) -> None:
        """One flow in sixteen is placed without regard to speed."""
        hashes = range(0, 1 << 32, 1 << 20)
        ignored = sum(map(is_speed_ignored, hashes))
        self.assertEqual(ignored * 16, len(hashes))


class TestRanking(unittest.TestCase):
    """Hosts of different speed as candidates."""

    def test_slow_host_comes_later(self) -> None:
        """Guards against slow hosts that get as many flows as fast ones."""
        hosts = [
            make_host(1, flows=10, processing_ms=110),
            make_host(2, flows=15, processing_ms=50),
        ]
        for median, first in ((MEDIAN_MS, '2'), (UNKNOWN, '1')):
            found = rank_hosts(hosts, FLOW_HASH, LOCAL_DATA_CENTRE, 100, median)
            self.assertEqual(found[0].ip[-1], first)

    def test_all_hosts_slow_at_once(self) -> None:
        """Guards against a ranking that changes with the load on all."""
        hosts = [make_host(number, flows=number % 5) for number in range(20)]
        before = rank_hosts(hosts, FLOW_HASH, 1, 100, UNKNOWN)
        times = [5 * MEDIAN_MS for _ in hosts]
        for host, processing_ms in zip(hosts, times, strict=True):
            host.status.processing_ms = processing_ms
        found = rank_hosts(hosts, FLOW_HASH, 1, 100, median_ms(times))
        self.assertEqual(found, before)


class TestMedianOfTable(unittest.TestCase):
    """The median over the hosts that an entry knows."""

    def test_silent_hosts_do_not_count(self) -> None:
        """And a median is not taken again within a second."""
        table = HostTable()
        for number, processing_ms in enumerate((500, 40, 60, 50)):
            status = Status(7, LOCAL_DATA_CENTRE)
            status.processing_ms = processing_ms
            heard = 0 if number < 1 else 10
            table.update_status(f'10.0.0.{number}', status, heard)
        self.assertEqual(table.median_ms(7, 10), 50)
        found = table.get('10.0.0.1')
        assert found is not None
        found.status.processing_ms = 70
        self.assertEqual(table.median_ms(7, 10.9), 50)
        self.assertEqual(table.median_ms(7, 11), 60)
        self.assertEqual(table.median_ms(8, 11), UNKNOWN)
