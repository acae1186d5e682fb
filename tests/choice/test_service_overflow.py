"""Tests of the selection among the services of a route."""

import random
import unittest

from siskinbank.admission import reasons
from siskinbank.choice.placement import rank_hosts
from siskinbank.choice.service_overflow import (
    select_other_service,
    select_service,
)
from siskinbank.platform.records import weighted_service
from siskinbank.relay.messages import Status, digest
from siskinbank.tracking.hosts import HostTable, TrackedHost

SHARES = (('first', 90), ('second', 10))
NOW = 100.0
DATA_CENTRE = 1
# Hashes of flow keys.
DRAWS = random.Random(1).sample(range(1 << 32), 6000)


def make_hosts(
    count: int, last_seen: float = NOW, **status: int
) -> list[TrackedHost]:
    """Return hosts with three slots and some fields of their status changed."""
    hosts = []
    for number in range(count):
        host_status = Status(1, DATA_CENTRE)
        host_status.slots = 3
        for name, amount in status.items():
            setattr(host_status, name, amount)
        hosts.append(TrackedHost(f'10.0.0.{number}', host_status, last_seen))
    return hosts


def select(
    hosts: dict[str, list[TrackedHost]],
    flow_hash: int = 0,
    remembered: str = '',
    shares: tuple[tuple[str, float], ...] = SHARES,
) -> str:
    """Return the service of a flow; hash 0 selects the first by weight."""
    return select_service(
        shares, remembered, flow_hash, lambda name: hosts.get(name, []), NOW
    )


class TestSelection(unittest.TestCase):
    """Load pattern: the first service is full, the second one idle."""

    def test_weights_apply_while_both_have_free_slots(self) -> None:
        """Guards against overflow that isn't needed."""
        hosts = {
            'first': [*make_hosts(5, busy=9), *make_hosts(1, busy=2)],
            'second': make_hosts(2),
        }
        for draw in DRAWS:
            self.assertEqual(
                select(hosts, draw), weighted_service(SHARES, draw)
            )

    def test_full_service_overflows_and_recovers(self) -> None:
        """No flow waits while there are free slots; then the weights apply."""
        hosts = {'first': make_hosts(5, busy=3), 'second': make_hosts(2)}
        self.assertEqual({select(hosts, draw) for draw in DRAWS}, {'second'})
        hosts['first'][4].status.busy = 2
        chosen = [select(hosts, draw) for draw in DRAWS]
        self.assertAlmostEqual(
            chosen.count('first') / len(chosen), 0.9, delta=0.02
        )

    def test_weights_apply_when_both_are_full(self) -> None:
        """Guards against moving queues from one service to the other."""
        hosts = {
            'first': make_hosts(5, busy=30),
            'second': make_hosts(2, busy=3),
        }
        for draw in DRAWS:
            self.assertEqual(
                select(hosts, draw), weighted_service(SHARES, draw)
            )

    def test_own_placements_fill_slots(self) -> None:
        """Guards against sending a burst to one free slot of an old status."""
        hosts = {'first': make_hosts(1, busy=3), 'second': make_hosts(1)}
        hosts['second'][0].pending = 2
        self.assertEqual(select(hosts), 'second')
        hosts['second'][0].pending = 3
        self.assertEqual(select(hosts), 'first')

    def test_only_accepting_hosts_have_free_slots(self) -> None:
        """Draining, cold and silent hosts attract no overflow."""
        busy = make_hosts(1, busy=3)
        for unfit in (
            make_hosts(1, state=reasons.DRAINING),
            make_hosts(1, state=reasons.COLD),
            make_hosts(1, last_seen=NOW - 2),
            [],
        ):
            self.assertEqual(select({'first': busy, 'second': unfit}), 'first')
            # Their service overflows in turn.
            hosts = {'first': unfit, 'second': make_hosts(1)}
            self.assertEqual(select(hosts), 'second')

    def test_several_other_services_by_weight(self) -> None:
        """The two are independent of the range that selected the first."""
        shares = (('first', 60), ('second', 30), ('third', 10))
        hosts = {
            'first': make_hosts(1, busy=3),
            'second': make_hosts(1),
            'third': make_hosts(1),
        }
        chosen = [
            select(hosts, draw, shares=shares)
            for draw in DRAWS
            if weighted_service(shares, draw) == 'first'
        ]
        self.assertAlmostEqual(
            chosen.count('second') / len(chosen), 0.75, delta=0.03
        )
        self.assertEqual(chosen.count('first'), 0)


class TestCopies(unittest.TestCase):
    """Copies of one first packet, 200 and 600 ms after the first."""

    def test_copies_keep_their_service(self) -> None:
        """Guards against two services that accept one flow."""
        hosts = {'first': make_hosts(2), 'second': make_hosts(2, busy=9)}
        self.assertEqual(select(hosts, remembered='second'), 'second')
        hosts['second'] = make_hosts(2, last_seen=NOW - 2)
        self.assertEqual(select(hosts, remembered='second'), 'second')

    def test_refusal_by_all_hosts(self) -> None:
        """A service that accepts none loses the flow, also to a busy one."""
        refusing = make_hosts(2, state=reasons.EVACUATED)
        for others in (make_hosts(1), make_hosts(1, busy=9)):
            hosts = {'first': refusing, 'second': others}
            self.assertEqual(select(hosts, remembered='first'), 'second')
        hosts = {'first': refusing, 'second': refusing}
        self.assertEqual(select(hosts, remembered='first'), 'first')

    def test_removed_service(self) -> None:
        """The configuration in force applies to later copies."""
        hosts = {'first': make_hosts(1), 'second': make_hosts(1)}
        self.assertEqual(
            select(hosts, remembered='second', shares=(('first', 1),)), 'first'
        )


class TestFailures(unittest.TestCase):
    """Silent services and statuses that are lost or old."""

    def test_silent_service(self) -> None:
        """All hosts of a service are cut off: new flows go to the others.

        If no service is heard, the weights apply.
        """
        silent = make_hosts(3, last_seen=NOW - 2)
        hosts = {'first': silent, 'second': make_hosts(1, busy=9)}
        self.assertEqual(select(hosts), 'second')
        self.assertEqual(select({'first': silent, 'second': silent}), 'first')
        self.assertEqual(select({}), 'first')

    def test_lost_statuses(self) -> None:
        """One lost status leaves the last one in force."""
        old = make_hosts(1, last_seen=NOW - 1, busy=3)
        hosts = {'first': old, 'second': make_hosts(1, last_seen=NOW - 1)}
        self.assertEqual(select(hosts), 'second')

    def test_refused_by_outdated_status(self) -> None:
        """A full host whose status is old refuses; the other has slots."""
        hosts = {'first': make_hosts(1), 'second': make_hosts(1)}
        other = select_other_service(SHARES, 'first', 0, hosts.__getitem__, NOW)
        self.assertEqual(other, 'second')
        hosts['second'][0].status.busy = 3
        other = select_other_service(SHARES, 'first', 0, hosts.__getitem__, NOW)
        self.assertEqual(other, '')


class Replay:
    """Entries that place requests at two services of ten hosts each.

    A request takes 55 ms at one of three slots of its host, so a service
    processes 545 requests a second. Each host sends a status to each entry
    every 0.4 s.

    Attributes:
        waits: wait of each request in seconds, with the name of its service.
    """

    entries = 20
    hosts_per_service = 10
    slots = 3
    processing_s = 0.055
    status_steps = 40
    step_s = 0.01

    def __init__(self, overflow: bool, loss: float = 0) -> None:
        """Create idle hosts that all entries know."""
        self.waits: list[tuple[float, str]] = []
        self._overflow = overflow
        self._loss = loss
        self._rng = random.Random(4)
        self._now = NOW
        self._steps = 0
        names = [name for name, _ in SHARES]
        self._services = {
            f'10.0.{index}.{number}': name
            for index, name in enumerate(names)
            for number in range(self.hosts_per_service)
        }
        self._ends: dict[str, list[float]] = {ip: [] for ip in self._services}
        self._tables = [HostTable() for _ in range(self.entries)]
        for table in self._tables:
            for ip in self._services:
                table.update_status(ip, self._status(ip), self._now)

    def run(self, seconds: float, rate: float) -> None:
        """Place requests at a rate per second."""
        for _ in range(round(seconds / self.step_s)):
            self._now += self.step_s
            self._steps += 1
            self._send_statuses()
            whole, rest = divmod(rate * self.step_s, 1)
            for _ in range(int(whole) + (self._rng.random() < rest)):
                self._place(self._rng.choice(self._tables))

    def _send_statuses(self) -> None:
        for position, ip in enumerate(self._services):
            self._ends[ip] = [end for end in self._ends[ip] if end > self._now]
            for index, table in enumerate(self._tables):
                turn = position * 7 + index * 3 + self._steps
                if turn % self.status_steps or self._rng.random() < self._loss:
                    continue
                table.update_status(ip, self._status(ip), self._now)

    def _status(self, ip: str) -> Status:
        status = Status(digest(self._services[ip]), DATA_CENTRE)
        status.slots = self.slots
        status.trusted = True
        status.busy = len(self._ends[ip])
        return status

    def _place(self, table: HostTable) -> None:
        flow_hash = self._rng.randrange(1 << 32)

        def hosts_of(name: str) -> list[TrackedHost]:
            return table.of_service(digest(name))

        service = weighted_service(SHARES, flow_hash)
        if self._overflow:
            service = select_service(SHARES, '', flow_hash, hosts_of, self._now)
        ranked = rank_hosts(
            hosts_of(service), flow_hash, DATA_CENTRE, self._now
        )
        ranked[0].pending += 1
        # Sidecars forward the flow to the shortest queue of its candidates.
        ip = min(
            (host.ip for host in ranked), key=lambda one: len(self._ends[one])
        )
        ends = sorted(self._ends[ip])
        start = self._now if len(ends) < self.slots else ends[-self.slots]
        self._ends[ip].append(start + self.processing_s)
        self.waits.append((start - self._now, service))


class TestReplay(unittest.TestCase):
    """Load pattern: 700 requests a second, split 90 to 10.

    The first service processes 545 a second, both together 1,090.
    """

    def late_share(self, replay: Replay) -> float:
        """Return the share of requests beyond a target latency of 506 ms."""
        limit_s = 0.506 - replay.processing_s
        late = [wait for wait, _ in replay.waits if wait > limit_s]
        return len(late) / len(replay.waits)

    def test_overload_of_one_service(self) -> None:
        """Without overflow most requests are late after a few seconds."""
        replay = Replay(overflow=False)
        replay.run(10, 700)
        self.assertGreater(self.late_share(replay), 0.3)
        replay = Replay(overflow=True)
        replay.run(10, 700)
        self.assertEqual(self.late_share(replay), 0)

    def test_weights_apply_after_overload(self) -> None:
        """Demand falls to 300 requests a second."""
        replay = Replay(overflow=True)
        replay.run(5, 700)
        replay.run(2, 300)
        replay.waits.clear()
        replay.run(5, 300)
        first = [name for _, name in replay.waits if name == 'first']
        self.assertAlmostEqual(len(first) / len(replay.waits), 0.9, delta=0.03)

    def test_lost_statuses(self) -> None:
        """Three of ten statuses are lost."""
        replay = Replay(overflow=True, loss=0.3)
        replay.run(10, 700)
        self.assertEqual(self.late_share(replay), 0)
