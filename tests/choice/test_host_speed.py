"""Tests of the speed of hosts in the ranking of candidates."""

import unittest
from statistics import mean

from siskinbank.choice.host_speed import (
    UNKNOWN,
    is_speed_ignored,
    load_factor,
    median_ms,
)
from siskinbank.choice.placement import MAX_CANDIDATES, rank_hosts
from siskinbank.relay.messages import Status
from siskinbank.tracking.hosts import HostTable
from tests.choice.test_placement import LOCAL_DATA_CENTRE, SERVICE, make_host
from tests.choice.uneven_hosts import PROCESSING_S, SLOTS, Replay, Slowness

HOSTS = 16
SLOW_HOSTS = list(range(0, HOSTS, 4))
SLOW_SPEED = 0.46
# Requests that all hosts can process, per second.
EVEN_CAPACITY = HOSTS * SLOTS / PROCESSING_S
UNEVEN_CAPACITY = EVEN_CAPACITY * (3 + SLOW_SPEED) / 4
DURATION_S = 60.0
SEEDS = (1, 2, 3)
MEDIAN_MS = 50
# A hash of a flow for which speed counts.
FLOW_HASH = 0xF0000000


def _slow(number: int, now: float) -> float:
    return 1 if number % 4 else 1 / SLOW_SPEED


def _slow_for_6_s(number: int, now: float) -> float:
    return 5 if not number % 4 and 30 <= now < 36 else 1


def _all_slow(number: int, now: float) -> float:
    return 3 if now >= 20 else 1


def _table(processing_times_ms: list[int]) -> HostTable:
    """Return a table of idle hosts that were heard at 100 s."""
    table = HostTable()
    for number, processing_ms in enumerate(processing_times_ms):
        status = make_host(number, processing_ms=processing_ms).status
        table.update_status(f'10.0.0.{number}', status, 100)
    return table


def _ranked(table: HostTable, now: float) -> list[str]:
    """Return the candidates for a flow as an entry ranks them."""
    table.median_ms(SERVICE, now)
    hosts = table.of_service(SERVICE)
    found = rank_hosts(hosts, FLOW_HASH, LOCAL_DATA_CENTRE, now)
    return [host.ip for host in found]


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
        for factor, first in ((1, '1'), (2.2, '2')):
            hosts[0].load_factor = factor
            found = rank_hosts(hosts, FLOW_HASH, LOCAL_DATA_CENTRE, 100)
            self.assertEqual(found[0].ip[-1], first)
        # Unless the flow is one of those that measure all hosts.
        found = rank_hosts(hosts, 0, LOCAL_DATA_CENTRE, 100)
        self.assertEqual(found[0].ip[-1], '1')

    def test_all_hosts_slow_at_once(self) -> None:
        """Guards against a ranking that changes with the load on all."""
        table = _table([MEDIAN_MS for _ in range(20)])
        before = _ranked(table, 100)
        self.assertEqual(len(before), MAX_CANDIDATES)
        for host in table.all():
            status = make_host(1, processing_ms=5 * MEDIAN_MS).status
            table.update_status(host.ip, status, 101)
        self.assertEqual(_ranked(table, 101), before)


class TestReplay(unittest.TestCase):
    """Replay: 16 hosts behind 4 entries, long flows of 20 s and short ones."""

    def test_one_host_in_four_is_slow(self) -> None:
        """Guards against slow hosts with more work than they can do.

        Slow hosts have 0.46 of the others' speed, and the demand is 0.8 of the
        total capacity.
        """
        p99_s = {}
        utilization = {}
        for by_speed in (False, True):
            replays = [
                self._replay(_slow, by_speed, seed, 0.8 * UNEVEN_CAPACITY)
                for seed in SEEDS
            ]
            p99_s[by_speed] = mean(replay.p99_wait_s(20) for replay in replays)
            utilization[by_speed] = mean(
                replay.utilization(SLOW_HOSTS) for replay in replays
            )
        self.assertLess(p99_s[True], 0.9 * p99_s[False])
        self.assertGreater(utilization[False], 0.88)
        self.assertLess(utilization[True], 0.86)

    def test_few_requests(self) -> None:
        """Guards against flows to slow hosts while fast ones are idle.

        Still each host gets flows, so that it is measured.
        """
        replays = [
            self._replay(_slow, by_speed, 1, 0.2 * UNEVEN_CAPACITY)
            for by_speed in (False, True)
        ]
        before, after = (replay.utilization(SLOW_HOSTS) for replay in replays)
        self.assertLess(after, before / 2)
        self.assertGreater(min(replays[1].placed(20, DURATION_S)), 5)

    def test_recovery(self) -> None:
        """Guards against starvation of hosts that were slow for 6 s.

        They were five times slower, and get flows meanwhile and their share
        afterwards. Long flows that were open there still wait.
        """
        before, after = (
            self._replay(_slow_for_6_s, by_speed, 1, 0.5 * EVEN_CAPACITY)
            for by_speed in (False, True)
        )
        self.assertLessEqual(after.p99_wait_s(20), 1.05 * before.p99_wait_s(20))
        self.assertGreater(min(after.placed(30, 36)), 0)
        counts = after.placed(42, DURATION_S)
        share = mean(counts[number] for number in SLOW_HOSTS) / mean(counts)
        self.assertGreater(share, 0.7)
        self.assertLess(share, 1.5)

    def test_all_hosts_slow(self) -> None:
        """Guards against herding when the load makes all hosts slow at once."""
        before, after = (
            self._replay(_all_slow, by_speed, 1, 0.25 * EVEN_CAPACITY)
            for by_speed in (False, True)
        )
        self.assertLessEqual(after.p99_wait_s(20), 1.1 * before.p99_wait_s(20))
        # By chance hosts get 0.6 to 1.6 of the mean, with and without speed.
        counts = after.placed(20, DURATION_S)
        self.assertLess(max(counts), 1.8 * mean(counts))
        self.assertGreater(min(counts), 0.5 * mean(counts))
        times = [host.status(after.now).processing_ms for host in after.hosts]
        median = median_ms(times)
        self.assertGreater(median, 2.5 * MEDIAN_MS)
        factors = {load_factor(time_ms, median) for time_ms in times}
        self.assertEqual(factors, {1})

    def _replay(
        self, slowness: Slowness, by_speed: bool, seed: int, per_s: float
    ) -> Replay:
        replay = Replay(HOSTS, slowness, by_speed, seed)
        replay.run(DURATION_S, per_s)
        return replay


class TestLostStatuses(unittest.TestCase):
    """Failures of sidecars and links."""

    def test_lost_statuses(self) -> None:
        """The last value counts until the sidecar is silent.

        Guards against a slow host that counts as fast on the first loss.
        """
        table = _table([50, 110, 51])
        self.assertEqual(_ranked(table, 101.2)[-1], '10.0.0.1')
        for fast in ('10.0.0.0', '10.0.0.2'):
            table.note_message(fast, 101.2)
        self.assertEqual(len(_ranked(table, 101.4)), 2)

    def test_restarted_sidecar(self) -> None:
        """Guards against a host that gets all flows, or none, after it."""
        table = _table([50, 110, 51, 52])
        self.assertEqual(_ranked(table, 100)[-1], '10.0.0.1')
        restarted = make_host(1, processing_ms=UNKNOWN).status
        table.update_status('10.0.0.1', restarted, 100.1)
        factors = [host.load_factor for host in table.all()]
        self.assertEqual(factors, [1, 1, 1, 1])


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
