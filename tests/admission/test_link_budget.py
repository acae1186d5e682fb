"""Tests of the decision which packets give way at the limit of a link."""

import unittest
from math import ceil

from siskinbank.admission.link_budget import (
    DATA,
    DROP,
    FIRST,
    FORWARD,
    OTHER,
    REJECT,
    LinkBudget,
)
from tests.admission.link_replay import (
    HIGH,
    LOW,
    OFF,
    ON,
    REJECT_ONLY,
    Replay,
    flow_kind,
    mixed_replay,
    short_kind,
    upload_kind,
)

LINK_KBPS = 5000
BYTES_PER_S = LINK_KBPS * 125
# Backlogs in seconds: one at which packets are only observed, one at which first
# packets are rejected and data packets are not dropped, one beyond.
SHORT_S = 0.02
MEDIUM_S = 0.15
LONG_S = 0.25
# More packets than are needed to tell the size of a route's packets.
MANY = 20
FULL_BYTES = 1200
SMALL_BYTES = 150
UPLOAD = b'upload'
SHORT = b'short'
OTHER_ROUTE = b'other'
SEEDS = (1, 2)
# Share of the requests of the highest priority that are to be in time as long
# as the capacity suffices for them (docs/design/overload-limits.md).
IN_TIME_GOAL = 0.97


class TestReplay(unittest.TestCase):
    """Load pattern: uploads saturate all links of a data centre."""

    def test_two_priorities(self) -> None:
        """Guards against short requests that wait behind uploads.

        Uploads must gain as well, as they are sent once instead of twice.
        """
        for seed in SEEDS:
            off = mixed_replay(OFF, seed=seed).results
            on = mixed_replay(ON, seed=seed).results
            with self.subTest(seed):
                self.assertLess(off['flow'].in_time_share, IN_TIME_GOAL)
                self.assertGreaterEqual(on['flow'].in_time_share, IN_TIME_GOAL)
                self.assertLess(off['short'].in_time_share, IN_TIME_GOAL)
                self.assertGreaterEqual(on['short'].in_time_share, IN_TIME_GOAL)
                for name in ('short', 'upload'):
                    self.assertGreater(on[name].worth, off[name].worth)
                    self.assertLess(
                        on[name].percentile(0.5), off[name].percentile(0.5)
                    )

    def test_no_packet_of_high_priority_is_shed(self) -> None:
        """Guards against shedding a priority that others should yield to."""
        outcomes = mixed_replay(ON, uploads_per_s=30).results
        self.assertGreater(outcomes['upload'].rejections, 0)
        self.assertGreater(outcomes['upload'].dropped, 0)
        self.assertEqual(outcomes['flow'].rejections, 0)
        self.assertEqual(outcomes['flow'].dropped, 0)
        self.assertEqual(outcomes['short'].dropped, 0)

    def test_one_priority(self) -> None:
        """Guards against short requests that give way to uploads."""
        off = mixed_replay(OFF, flow_priority=LOW).results
        on = mixed_replay(ON, flow_priority=LOW).results
        for name in ('short', 'flow'):
            self.assertEqual(on[name].rejections, 0)
            self.assertEqual(on[name].dropped, 0)
            self.assertLess(off[name].in_time_share, IN_TIME_GOAL)
            self.assertGreaterEqual(on[name].in_time_share, IN_TIME_GOAL)
        self.assertGreater(on['upload'].worth, off['upload'].worth)

    def test_dropping_is_worth_it(self) -> None:
        """Guards against a step that costs uploads more than it saves."""
        for kbps, uploads_per_s in ((LINK_KBPS, 24), (2 * LINK_KBPS, 48)):
            rejecting = mixed_replay(REJECT_ONLY, kbps, uploads_per_s).results
            dropping = mixed_replay(ON, kbps, uploads_per_s).results
            with self.subTest(kbps):
                self.assertGreater(dropping['upload'].dropped, 0)
                for name, outcome in dropping.items():
                    self.assertGreaterEqual(
                        outcome.worth, rejecting[name].worth
                    )
                self.assertGreater(
                    dropping['flow'].in_time_share,
                    rejecting['flow'].in_time_share,
                )

    def test_slow_link_without_load(self) -> None:
        """Guards against rejections without a backlog."""
        for kbps, uploads_per_s in ((LINK_KBPS, 4), (1_000_000, 60)):
            on = mixed_replay(ON, kbps, uploads_per_s)
            off = mixed_replay(OFF, kbps, uploads_per_s)
            with self.subTest(kbps):
                for name, outcome in on.results.items():
                    self.assertEqual(outcome.rejections + outcome.dropped, 0)
                    self.assertEqual(
                        outcome.latencies, off.results[name].latencies
                    )

    def test_less_framing(self) -> None:
        """Guards against harm where links carry less than entries count."""
        off = mixed_replay(OFF, framing_bytes=0).results
        on = mixed_replay(ON, framing_bytes=0).results
        for name in ('short', 'flow'):
            self.assertGreaterEqual(on[name].in_time_share, IN_TIME_GOAL)
        for name, outcome in on.items():
            self.assertGreater(outcome.worth, off[name].worth)

    def test_entries_restart(self) -> None:
        """Guards against state that a restarted entry would need."""
        # Requests whose packets reach an entry while it is down are late
        # without any load as well.
        idle = _replay_with_restarts(uploads_per_s=0.1).results
        on = _replay_with_restarts(uploads_per_s=16).results
        for name in ('short', 'flow'):
            self.assertGreaterEqual(
                on[name].in_time_share,
                idle[name].in_time_share - (1 - IN_TIME_GOAL),
            )


def _replay_with_restarts(uploads_per_s: float) -> Replay:
    replay = Replay(ON)
    replay.add_demand(short_kind(), 40, 15)
    replay.add_demand(flow_kind(), 10, 15)
    replay.add_demand(upload_kind(), uploads_per_s, 15)
    # The demand has its peak at 3.75 s.
    for number in range(len(replay.links)):
        replay.restart_entry(number, 3 + number)
    replay.run()
    return replay


class TestBacklog(unittest.TestCase):
    """The leaky bucket at the rate of the link."""

    def setUp(self) -> None:
        """Create an empty backlog."""
        self.budget = LinkBudget()
        self.budget.set_rate(LINK_KBPS, 0, 0)

    def test_rate(self) -> None:
        """Guards against a backlog that grows below the rate of the link."""
        sent = 0
        for step in range(1000):
            self.assertTrue(self.budget.is_short(step * 0.01, sent))
            sent += int(BYTES_PER_S * 0.01)
        self.assertLessEqual(self.budget.backlog_s, 0.01)
        # What was sent since the last update counts as sent just now.
        self.budget.is_short(10.0, sent + BYTES_PER_S)
        self.assertAlmostEqual(self.budget.backlog_s, 1.01)

    def test_stall(self) -> None:
        """Guards against rejections for a backlog that left in a stall."""
        self.assertFalse(self.budget.is_short(1.0, BYTES_PER_S * 2))
        self.assertTrue(self.budget.is_short(4.0, BYTES_PER_S * 2))
        self.assertEqual(self.budget.backlog_s, 0)
        # The time beyond the backlog is no credit for later packets.
        self.assertFalse(self.budget.is_short(4.0, BYTES_PER_S * 3))
        self.assertAlmostEqual(self.budget.backlog_s, 1)

    def test_both_directions(self) -> None:
        """Guards against a queue that stays unseen as uploads arrive in it.

        Each uploaded packet crosses the link twice, so that the link is saturated
        by 60% of its rate in each direction.
        """
        budget = LinkBudget()
        budget.set_rate(LINK_KBPS, 0, 0)
        for step in range(1, 101):
            used = int(0.006 * step * BYTES_PER_S)
            budget.is_short(0.01 * step, used, used)
        self.assertGreater(budget.backlog_s, MEDIUM_S)

    def test_stall_of_a_receiver(self) -> None:
        """Guards against packets that the link carried in a stall.

        All of them are read at once afterwards.
        """
        budget = LinkBudget()
        budget.set_rate(LINK_KBPS, 0, 0)
        budget.is_short(0, 0, BYTES_PER_S)
        budget.is_short(SHORT_S, int(LONG_S * BYTES_PER_S), BYTES_PER_S)
        budget.is_short(1, int(LONG_S * BYTES_PER_S), BYTES_PER_S)
        self.assertEqual(budget.backlog_s, 0)

    def test_unknown_rate(self) -> None:
        """Guards against a backlog of a link whose rate is unknown."""
        for kbps in (0, -1):
            self.budget.set_rate(kbps, 0, 0)
            self.assertTrue(self.budget.is_short(0, 10**12))
            self.assertEqual(self.budget.backlog_s, 0)

    def test_rate_changes(self) -> None:
        """Guards against bytes that were counted while the rate was unknown."""
        self.budget.set_rate(0, 0, 0)
        self.budget.is_short(1.0, 10**9)
        self.budget.set_rate(LINK_KBPS, 2.0, 2 * 10**9)
        self.assertTrue(self.budget.is_short(2.0, 2 * 10**9))
        self.assertEqual(self.budget.backlog_s, 0)
        self.assertFalse(self.budget.is_short(2.0, 2 * 10**9 + BYTES_PER_S))
        # The setting is applied again with each reload.
        self.budget.set_rate(LINK_KBPS, 2.0, 2 * 10**9 + BYTES_PER_S)
        self.assertAlmostEqual(self.budget.backlog_s, 1)

    def test_without_updates(self) -> None:
        """Guards against a backlog that packets do not notice."""
        for sent, now in ((1000, 0.5), (3000, 0.501), (4000, 0.502)):
            self.budget.is_short(now, sent)
            # No time needs to pass for the backlog to be short until then.
            limit = ceil(self.budget.short_until)
            self.assertGreater(limit, sent)
            self.assertTrue(self.budget.is_short(now, limit - 1))
            self.assertFalse(self.budget.is_short(now, limit))
            self.setUp()


class TestDecision(unittest.TestCase):
    """Who gives way at which backlog."""

    def setUp(self) -> None:
        """Create an empty backlog."""
        self.budget = LinkBudget()
        self.budget.set_rate(LINK_KBPS, 0, 0)
        self.now: float = 0
        self.sent = 0

    def observe(self, route: bytes, priority: int, size: int) -> None:
        """Let data packets of a route arrive at a backlog that sheds none."""
        self.fill(SHORT_S)
        for _ in range(MANY):
            self.assertEqual(self.decide(route, priority, DATA, size), FORWARD)

    def fill(self, backlog_s: float) -> None:
        """Let the backlog have a length."""
        self.now += 1
        self.budget.is_short(self.now, self.sent)
        self.sent += int(backlog_s * BYTES_PER_S)
        self.budget.is_short(self.now, self.sent)

    def decide(
        self, route: bytes, priority: int, kind: int, size: int = 0
    ) -> int:
        """Return the decision on a packet."""
        return self.budget.decide(route, priority, kind, size, self.now)

    def test_order(self) -> None:
        """Guards against a drop before first packets are rejected."""
        self.observe(UPLOAD, LOW, FULL_BYTES)
        self.observe(SHORT, HIGH, SMALL_BYTES)
        for backlog_s, kind, expected in (
            (SHORT_S, FIRST, FORWARD),
            (SHORT_S, DATA, FORWARD),
            (MEDIUM_S, FIRST, REJECT),
            (MEDIUM_S, DATA, FORWARD),
            (LONG_S, FIRST, REJECT),
            (LONG_S, DATA, DROP),
            (LONG_S, OTHER, FORWARD),
        ):
            with self.subTest(backlog=backlog_s, kind=kind):
                self.fill(backlog_s)
                self.assertEqual(
                    self.decide(UPLOAD, LOW, kind, FULL_BYTES), expected
                )
                self.assertEqual(
                    self.decide(SHORT, HIGH, kind, SMALL_BYTES), FORWARD
                )

    def test_large_packets_of_the_highest_priority(self) -> None:
        """Guards against a high priority that gives way for its size.

        Short packets of a low priority are not dropped for it, as this would
        not relieve the link.
        """
        self.observe(UPLOAD, HIGH, FULL_BYTES)
        self.observe(SHORT, LOW, SMALL_BYTES)
        for backlog_s, expected in ((MEDIUM_S, FORWARD), (LONG_S, REJECT)):
            self.fill(backlog_s)
            for kind in (FIRST, DATA, OTHER):
                self.assertEqual(
                    self.decide(UPLOAD, HIGH, kind, FULL_BYTES), FORWARD
                )
            self.assertEqual(self.decide(SHORT, LOW, FIRST), expected)
            self.assertEqual(
                self.decide(SHORT, LOW, DATA, SMALL_BYTES), FORWARD
            )

    def test_equal_priorities(self) -> None:
        """Guards against short requests that give way to their equals."""
        self.observe(UPLOAD, LOW, FULL_BYTES)
        self.observe(SHORT, LOW, SMALL_BYTES)
        self.fill(LONG_S)
        self.assertEqual(self.decide(SHORT, LOW, FIRST), FORWARD)
        self.assertEqual(self.decide(SHORT, LOW, DATA, SMALL_BYTES), FORWARD)
        self.assertEqual(self.decide(UPLOAD, LOW, FIRST), REJECT)
        self.assertEqual(self.decide(UPLOAD, LOW, DATA, FULL_BYTES), DROP)

    def test_three_priorities(self) -> None:
        """Guards against a middle priority that is shed with the lowest."""
        self.observe(UPLOAD, LOW, FULL_BYTES)
        self.observe(OTHER_ROUTE, LOW + 1, FULL_BYTES)
        self.observe(SHORT, HIGH, SMALL_BYTES)
        self.fill(LONG_S)
        self.assertEqual(self.decide(UPLOAD, LOW, FIRST), FORWARD)
        self.assertEqual(self.decide(OTHER_ROUTE, LOW + 1, FIRST), REJECT)

    def test_priority_falls_out_of_use(self) -> None:
        """Guards against a yield to routes that have no requests any more."""
        self.observe(SHORT, HIGH, SMALL_BYTES)
        self.fill(LONG_S)
        self.assertEqual(self.decide(OTHER_ROUTE, LOW, FIRST), REJECT)
        self.now += 10
        self.fill(LONG_S)
        self.assertEqual(self.decide(OTHER_ROUTE, LOW, FIRST), FORWARD)

    def test_sizes_change(self) -> None:
        """Guards against a judgement by packets of long ago."""
        self.observe(UPLOAD, LOW, FULL_BYTES)
        self.fill(LONG_S)
        self.assertEqual(self.decide(UPLOAD, LOW, FIRST), REJECT)
        self.observe(UPLOAD, LOW, SMALL_BYTES)
        self.fill(LONG_S)
        self.assertEqual(self.decide(UPLOAD, LOW, FIRST), FORWARD)

    def test_few_packets(self) -> None:
        """Guards against a judgement by a single large packet."""
        self.fill(LONG_S)
        self.assertEqual(self.decide(UPLOAD, LOW, DATA, FULL_BYTES), FORWARD)
        self.assertEqual(self.decide(UPLOAD, LOW, FIRST), FORWARD)

    def test_unused_routes_are_forgotten(self) -> None:
        """Guards against memory that grows with each configuration."""
        for number in range(1000):
            self.fill(LONG_S)
            self.decide(b'%d' % number, LOW, FIRST)
        self.assertLess(len(self.budget), MANY)

    def test_slowest_links(self) -> None:
        """Guards against links on which nothing is ever accepted."""
        for kbps in (1, 100, 1000):
            self.budget = LinkBudget()
            self.budget.set_rate(kbps, 0, 0)
            for _ in range(MANY):
                self.decide(UPLOAD, LOW, DATA, FULL_BYTES)
            self.budget.is_short(0, int(kbps * 125 * 0.08))
            self.assertEqual(self.decide(UPLOAD, LOW, FIRST), FORWARD)
