"""Tests of the rankings that a sidecar keeps."""

from unittest import TestCase, mock

from siskinbank.choice.rendezvous import prepare_rendezvous
from siskinbank.choice.router import PoolRanks
from siskinbank.config.site import Host
from siskinbank.kernel.clock import FakeClock
from siskinbank.lab.traffic import SiteShape
from siskinbank.sidecar.pool_history import SKEW_SECONDS, PoolHistory

FLOWS = range(1000)
#: Restarted hosts that ask for their flows, in a pool that starts at once.
RESTARTS = 100


class _CountingRanks:
    """Rankings of a pool that count how often a flow is ranked."""

    def __init__(self, hosts: int) -> None:
        site = SiteShape(hosts).site(1)
        service = next(iter(site.services.values()))
        self.calls = 0
        self.hosts = tuple(service.hosts)
        self._rank = prepare_rendezvous(self.hosts, 6)
        self.ranks = PoolRanks(self.known, self.known, self.hosts, self.hosts)

    def known(self, number: int) -> list[Host]:
        """Rank the hosts for a flow."""
        self.calls += 1
        return self._rank(number)


class TestRestartsOfPool(TestCase):
    """Load pattern: all hosts of a pool restart and ask each other."""

    def setUp(self) -> None:
        """Create a history without a pool."""
        self.clock = FakeClock()
        self.history = PoolHistory(self.clock)

    def test_each_flow_is_ranked_once(self) -> None:
        """Each message ranks all flows again, seconds of processor time."""
        pool = _CountingRanks(20)
        self.history.update(pool.ranks)
        for _ in range(RESTARTS):
            self._targets(pool)
        self.assertEqual(pool.calls, len(FLOWS))

    def test_new_pool_is_ranked_anew(self) -> None:
        """Flows are announced by the ranking of a pool that has changed."""
        for hosts in (20, 10, 30):
            with self.subTest(hosts):
                pool = _CountingRanks(hosts)
                self.history.update(pool.ranks)
                found = list(map(self.history.known, FLOWS))
                self.assertEqual(found, list(map(pool.known, FLOWS)))

    def test_cached_lists_stay_unchanged(self) -> None:
        """A caller of the cache changes what later callers get."""
        pool = _CountingRanks(20)
        self.history.update(pool.ranks)
        before = self._targets(pool)
        for first in (True, False):
            for number in FLOWS:
                self.history.possible_owners(number, 'none', first=first)
        self.assertEqual(self._targets(pool), before)
        found = list(map(self.history.known, FLOWS))
        self.assertEqual(found, list(map(pool.known, FLOWS)))

    def test_other_flows_are_skipped(self) -> None:
        """Targets are computed of flows that a restarted host does not get."""
        pool = _CountingRanks(20)
        self.history.update(pool.ranks)
        own, *others = pool.hosts
        compute = mock.Mock(side_effect=self.history.announcement_targets)
        with mock.patch.object(self.history, 'announcement_targets', compute):
            found = [
                self.history.announced_to(host.address, FLOWS, own.name)
                for host in others
            ]
        selected = sum(map(len, found))
        self.assertGreater(selected, len(FLOWS))
        # The owner may be one of the three best hosts, with two targets.
        self.assertLessEqual(compute.call_count, selected * 3 / 2)

    def test_announced_to(self) -> None:
        """A restarted host gets other flows than those announced to it."""
        for hosts in (20, 19, 5, 1):
            pool = _CountingRanks(hosts)
            self.history.update(pool.ranks)
            targets = self._targets(pool)
            for host in pool.hosts:
                expected = [
                    flow
                    for flow, receivers in zip(FLOWS, targets, strict=True)
                    if host in receivers
                ]
                found = self.history.announced_to(
                    host.address, FLOWS, pool.hosts[0].name
                )
                self.assertEqual(found, expected)
        # Rankings that have ended no longer count.
        self.clock.now += 2 * SKEW_SECONDS
        self.assertEqual(self._targets(pool), [[] for _ in FLOWS])

    def _targets(self, pool: _CountingRanks) -> list[list[Host]]:
        own_name = pool.hosts[0].name
        return [
            self.history.announcement_targets(flow, own_name, new=False)
            for flow in FLOWS
        ]
