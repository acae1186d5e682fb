"""Tests of the selection of candidates, and of the host table."""

import random
import unittest

from siskinbank.choice.placement import MAX_CANDIDATES, candidates, rank_hosts
from siskinbank.relay.messages import Status
from siskinbank.tracking.hosts import HostTable, TrackedHost

SERVICE = 7
LOCAL_DATA_CENTRE = 1
REMOTE = 2


def make_host(number: int, now: float = 100, **status: int) -> TrackedHost:
    """Return a host with some fields of its status changed."""
    host_status = Status(SERVICE, LOCAL_DATA_CENTRE)
    host_status.trusted = True
    for name, amount in status.items():
        setattr(host_status, name, amount)
    return TrackedHost(f'10.0.0.{number}', host_status, now)


class TestOrder(unittest.TestCase):
    """The order of candidates."""

    def test_less_load_comes_first(self) -> None:
        """Requests count more than flows; own placements count at once."""
        hosts = [make_host(1, busy=3), make_host(2, flows=10), make_host(3)]
        found = [
            host.ip[-1] for host in rank_hosts(hosts, 0, LOCAL_DATA_CENTRE, 100)
        ]
        self.assertEqual(found, ['3', '2', '1'])
        hosts[2].pending = 5
        found = [
            host.ip[-1] for host in rank_hosts(hosts, 0, LOCAL_DATA_CENTRE, 100)
        ]
        self.assertEqual(found, ['2', '1', '3'])

    def test_the_own_data_centre_comes_first_at_equal_load(self) -> None:
        """A remote host with much less load comes before a local one."""
        remote = make_host(1, data_centre=2)
        for busy, first in ((0, '2'), (1, '1')):
            hosts = [remote, make_host(2, busy=busy)]
            self.assertEqual(
                rank_hosts(hosts, 0, LOCAL_DATA_CENTRE, 100)[0].ip[-1], first
            )

    def test_untrusted_hosts_are_no_worse_than_busy_ones(self) -> None:
        """Load pattern: store records expired in a network partition."""
        untrusted = make_host(1, trusted=False)
        for busy, first in ((0, '2'), (2, '1')):
            hosts = [untrusted, make_host(2, busy=busy)]
            self.assertEqual(
                rank_hosts(hosts, 0, LOCAL_DATA_CENTRE, 100)[0].ip[-1], first
            )

    def test_refusing_hosts_are_left_out(self) -> None:
        """Silent hosts are used only when there are no others."""
        silent = make_host(1, now=90)
        hosts = [silent, make_host(2, state=2), make_host(3)]
        self.assertEqual(
            [host.ip[-1] for host in rank_hosts(hosts, 0, 1, 100)], ['3']
        )
        self.assertEqual(
            rank_hosts(hosts[:2], 0, LOCAL_DATA_CENTRE, 100), [silent]
        )
        self.assertEqual(rank_hosts([], 0, LOCAL_DATA_CENTRE, 100), [])

    def test_entries_do_not_all_name_the_same_hosts(self) -> None:
        """Replay: 50 entries, 40 busy hosts, some with more flows.

        Each flow stays at the shortest of the queues that it meets.
        """
        hosts = [
            make_host(number, busy=3, flows=number) for number in range(40)
        ]
        rng = random.Random(1)
        queues = dict.fromkeys((host.ip for host in hosts), 0)
        for _ in range(200):
            named = rank_hosts(
                hosts, rng.randrange(1 << 32), LOCAL_DATA_CENTRE, 100
            )
            self.assertEqual(len({host.ip for host in named}), MAX_CANDIDATES)
            queues[
                min((host.ip for host in named), key=queues.__getitem__)
            ] += 1
        self.assertLessEqual(max(queues.values()), 2 * 200 // 40)

    def test_many_entries_spread_over_equal_hosts(self) -> None:
        """Replay: 50 entries place one flow each by the same old statuses."""
        hosts = [make_host(number) for number in range(1, 11)]
        rng = random.Random(1)
        counts = dict.fromkeys((host.ip for host in hosts), 0)
        for _ in range(50):
            best = rank_hosts(
                hosts, rng.randrange(1 << 32), LOCAL_DATA_CENTRE, 100
            )
            self.assertEqual(len(best), MAX_CANDIDATES)
            counts[best[0].ip] += 1
        self.assertLessEqual(max(counts.values()), 15)


class TestCandidates(unittest.TestCase):
    """Load pattern: retransmitted first packets while all hosts are busy."""

    def test_retransmissions_follow_the_queued_flow(self) -> None:
        """Less loaded hosts come after it, unless the host is leaving."""
        hosts = [make_host(1), make_host(2), make_host(3, busy=9)]
        ordered = hosts[:2]
        found = candidates(hosts, ordered, ('10.0.0.1',), '10.0.0.3')
        self.assertEqual([host.ip[-1] for host in found], ['3', '2'])
        hosts[2].status.state = 2
        found = candidates(hosts, ordered, ('10.0.0.1',), '10.0.0.3')
        self.assertEqual([host.ip[-1] for host in found], ['2'])

    def test_hosts_that_were_not_tried_come_first(self) -> None:
        """When all were tried, they are tried again."""
        hosts = [make_host(1), make_host(2)]
        found = candidates(hosts, hosts, ('10.0.0.1',), '')
        self.assertEqual(found, hosts[1:])
        found = candidates(hosts, hosts, ('10.0.0.1', '10.0.0.2'), '')
        self.assertEqual(found, hosts)


class TestHostTable(unittest.TestCase):
    """Status updates of sidecars."""

    def test_latest_status_applies(self) -> None:
        """A host may move to another service."""
        table = HostTable()
        self.assertTrue(
            table.update_status('10.0.0.1', Status(1, LOCAL_DATA_CENTRE), 100)
        )
        self.assertFalse(
            table.update_status('10.0.0.1', Status(1, LOCAL_DATA_CENTRE), 100.4)
        )
        self.assertTrue(
            table.update_status('10.0.0.1', Status(2, LOCAL_DATA_CENTRE), 100.8)
        )
        self.assertEqual(table.of_service(1), [])
        self.assertEqual(len(table.of_service(2)), 1)

    def test_stalls_do_not_make_hosts_silent(self) -> None:
        """No host was silent while this process was stalled."""
        table = HostTable()
        table.update_status('10.0.0.1', Status(1, LOCAL_DATA_CENTRE), 100)
        table.add_stall(8)
        self.assertEqual(len(table.addresses(109)), 1)
        table.sweep(200)
        self.assertEqual(len(table), 0)

    def test_announced_interval(self) -> None:
        """A sidecar is silent after three missed updates.

        Load pattern: entries in other data centres get updates every 2.4 s. An
        interval that was long once, as in a partition, loses its effect.
        """
        table = HostTable()
        status = Status(1, LOCAL_DATA_CENTRE)
        status.interval_ms = 2400
        table.update_status('10.0.0.1', status, 100)
        self.assertEqual(len(table.addresses(107)), 1)
        self.assertEqual(len(table.addresses(107.5)), 0)
        status.interval_ms = 400
        table.update_status('10.0.0.1', status, 110)
        self.assertEqual(len(table.addresses(111.2)), 1)
        self.assertEqual(len(table.addresses(111.4)), 0)

    def test_any_message_is_a_sign_of_life(self) -> None:
        """Load pattern: a flow is placed long after the last status update.

        The host's answer came right after it; the flow must not be reset.
        """
        table = HostTable()
        table.update_status('10.0.0.1', Status(1, LOCAL_DATA_CENTRE), 100)
        table.note_message('10.0.0.1', 101.2)
        table.note_message('10.0.0.9', 101.2)
        host = table.get('10.0.0.1')
        self.assertFalse(host is None or host.is_silent(102))
        self.assertEqual(len(table), 1)


class TestDataCentres(unittest.TestCase):
    """Load pattern: most hosts are idle, in five data centres."""

    def test_flows_stay_in_the_data_centre(self) -> None:
        """Unless its hosts are all busy."""
        table = HostTable()
        for number in range(40):
            near = number % 5 == 0
            status = Status(1, LOCAL_DATA_CENTRE if near else REMOTE)
            status.trusted = True
            status.flows = 3 if near else 0
            table.update_status(f'10.0.0.{number + 1}', status, 100)
        hosts = table.of_service(1)
        for flow_hash in range(0, 1 << 20, 4099):
            first = rank_hosts(hosts, flow_hash, LOCAL_DATA_CENTRE, 100)[0]
            self.assertEqual(first.status.data_centre, LOCAL_DATA_CENTRE)
        for host in hosts:
            host.status.busy = int(host.status.data_centre != REMOTE)
        first = rank_hosts(hosts, 7, LOCAL_DATA_CENTRE, 100)[0]
        self.assertEqual(first.status.data_centre, REMOTE)
