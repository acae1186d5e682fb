"""Tests of the reasons why a sidecar accepts no new work."""

import unittest

from siskinbank.kernel.reasons import Refusal
from siskinbank.lab.pool import Pool
from siskinbank.lab.sites import SERVICE, PoolPlan, host_address

NAME = f'{SERVICE}-0'


class TestRefusal(unittest.TestCase):
    """The reason for refusal in each state of a sidecar."""

    def refusal(self, state: str = 'active', **given: bool) -> Refusal | None:
        """Return the reason for refusal in one state of a sidecar."""
        pool = Pool(1)
        sidecar = pool.add_sidecar(NAME, host_address(0))
        pool.publish(PoolPlan({0: state}).next_site())
        context = sidecar.context
        if given.get('leaving'):
            context.view.update_membership(frozenset((NAME,)), frozenset())
        if given.get('stale'):
            context.view.set_freshness_source(bool, lambda: None)
        if given.get('stopping'):
            context.process.stopping.set()
        self.assertEqual(context.accepts_work, context.refusal is None)
        return context.refusal

    def test_reasons(self) -> None:
        """Draining, leaving, stopping and stale sidecars refuse new work."""
        draining = Refusal.draining
        self.assertIsNone(self.refusal())
        self.assertEqual(self.refusal('draining'), draining)
        self.assertEqual(self.refusal(leaving=True), draining)
        self.assertEqual(self.refusal(stopping=True), draining)
        self.assertEqual(self.refusal(stale=True), Refusal.stale_view)

    def test_before_the_first_configuration(self) -> None:
        """A sidecar without a configuration refuses all work."""
        sidecar = Pool(1).add_sidecar(NAME, host_address(0))
        self.assertEqual(sidecar.context.refusal, Refusal.draining)
