"""Tests of the flow experiment and its detection of broken flows."""

import random
import unittest

from siskinbank.lab.flow_traffic import FlowTraffic
from siskinbank.lab.flows import FlowPlan, FlowRun
from siskinbank.lab.pool import Pool
from siskinbank.lab.sites import SERVICE, PoolPlan, host_address


class TestFlowRun(unittest.TestCase):
    """A small run; tests/sidecar lists the seeds of earlier failures."""

    def test_planned_changes_break_no_flow(self) -> None:
        """All kinds of changes are made while control datagrams are lost."""
        run = FlowRun(24, FlowPlan(entries=3, hosts=5, flows=40, changes=8))
        run.start()
        run.make_changes()
        self.assertEqual(run.traffic.broken_flows(), [])
        self.assertFalse(run.traffic.two_owners)
        self.assertGreater(run.traffic.moved_hops.total(), 0)
        self.assertTrue(run.traffic.naive_broken['modulo'])


class TestWithoutChanges(unittest.TestCase):
    """A run without changes and without loss."""

    def test_losses_are_counted_once(self) -> None:
        """Packets checked at the end of one phase are not checked again."""
        plan = FlowPlan(entries=2, hosts=3, flows=20, changes=0, loss=0)
        run = FlowRun(209, plan)
        run.start()
        run.make_changes()
        run.make_changes()
        self.assertEqual(run.traffic.lost_packets, 0)
        self.assertGreater(run.traffic.packets, 0)


class TestBrokenFlows(unittest.TestCase):
    """The experiment detects broken flows."""

    def test_detects_lost_flows(self) -> None:
        """Flows are broken when the address of their host is unreachable."""
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
        self.assertEqual(traffic.broken_flows(), [])
        pool.network.unbind(host_address(0))
        for _ in range(5):
            pool.run(1)
            traffic.step(site)
        lost = [flow for flow in traffic.flows if flow.owner == f'{SERVICE}-0']
        self.assertTrue(lost)
        self.assertEqual(traffic.broken_flows(), lost)
