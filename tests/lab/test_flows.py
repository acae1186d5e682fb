"""Tests of the flow experiment and of its traffic's judgement."""

import random
import unittest

from siskinbank.lab.flow_traffic import FlowTraffic
from siskinbank.lab.flows import FlowPlan, FlowRun
from siskinbank.lab.pool import Pool
from siskinbank.lab.sites import SERVICE, PoolPlan, host_address


class TestFlowRun(unittest.TestCase):
    """A small run; the seeds of the failures found are in tests/sidecar."""

    def test_planned_changes_break_nothing(self) -> None:
        """Every kind of change is made, under loss of control datagrams."""
        run = FlowRun(24, FlowPlan(entries=3, hosts=5, flows=40, changes=8))
        run.start()
        run.change_all()
        self.assertEqual(run.traffic.broken(), [])
        self.assertFalse(run.traffic.two_owners)
        self.assertGreater(run.traffic.moved_hops.total(), 0)
        self.assertTrue(run.traffic.naive_broken['modulo'])


class TestAtRest(unittest.TestCase):
    """A run without changes and without loss."""

    def test_nothing_is_lost_twice(self) -> None:
        """What was judged at the end of a part is not judged again."""
        plan = FlowPlan(entries=2, hosts=3, flows=20, changes=0, loss=0)
        run = FlowRun(209, plan)
        run.start()
        run.change_all()
        run.change_all()
        self.assertEqual(run.traffic.lost, 0)
        self.assertGreater(run.traffic.packets, 0)


class TestJudgement(unittest.TestCase):
    """The experiment sees flows that break."""

    def test_sees_lost_and_misdelivered_flows(self) -> None:
        """Flows whose owner forgets them, or whose host is cut off, break."""
        pool = Pool(1)
        plan = PoolPlan(dict.fromkeys(range(3), 'active'))
        for number in range(3):
            pool.add_sidecar(f'{SERVICE}-{number}', host_address(number))
        pool.add_entry('entry-0', 0)
        site = plan.next_site()
        pool.publish(site)
        pool.run(1)
        traffic = FlowTraffic(pool, random.Random(1))
        traffic.open(20)
        pool.run(1)
        traffic.step(site)
        self.assertEqual(traffic.broken(), [])
        pool.network.unbind(host_address(0))
        for _ in range(5):
            pool.run(1)
            traffic.step(site)
        lost = [flow for flow in traffic.flows if flow.owner == f'{SERVICE}-0']
        self.assertTrue(lost)
        self.assertEqual(traffic.broken(), lost)
