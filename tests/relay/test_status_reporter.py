"""Tests of status updates from a sidecar to entries, without sockets."""

import unittest
from random import Random
from types import SimpleNamespace
from typing import Any

from siskinbank.relay import messages
from siskinbank.relay.loop import Loop
from siskinbank.relay.status_reporter import StatusReporter
from siskinbank.sidecar.tracked_flows import TrackedFlow
from siskinbank.tracking.own_host import OwnHost

ENTRIES = [f'10.0.0.{number}' for number in range(100)]
# The number of entries to design for (docs/CAPACITY.md).
FULL_SIZE = [f'10.{number // 200}.0.{number % 200}' for number in range(410)]
LOCAL = ENTRIES[:12]
USING = ENTRIES[90:92]
DATA_CENTRE = 'a'
INTERVAL_MS = 400
# Maximum number of status updates in a turn: 16 to entries with open flows, 16
# to others in the data centre, 8 to the rest, and 16 that would come too late.
MAX_PER_TURN = 56
# More entries in the data centre of the host than get an update in a turn.
MANY_LOCAL = ENTRIES[:30]
# Turns within which each of a hundred entries gets a status update.
TURNS = 11


class ReporterTestCase(unittest.TestCase):
    """A reporter whose status updates are recorded."""

    local = LOCAL

    def setUp(self) -> None:
        """Create a reporter that knows no entries."""
        self.sent: list[tuple[str, messages.Status]] = []
        self.flows: dict[bytes, Any] = {}
        node: Any = SimpleNamespace(
            loop=Loop(),
            handlers={},
            settings=SimpleNamespace(data_centre=DATA_CENTRE, seeds=()),
            send=self._send,
        )
        self.host = OwnHost(1, 100, 0)
        self.reporter = StatusReporter(node, self.host, self.flows, int)
        self.node = node

    def greet(self, entry: str) -> None:
        """Let the reporter receive the hello of an entry."""
        name = DATA_CENTRE if entry in self.local else 'b'
        hello = messages.pack_hello(0, messages.digest(name))
        self.node.handlers[messages.HELLO](hello, entry)

    def open_flow(self, entry: str) -> None:
        """Add a flow through an entry."""
        self.flows[entry.encode()] = TrackedFlow(entry, ('10.0.0.1', 1), 100)

    def turn(self) -> dict[str, int]:
        """Return the entries of the next turn and the announced intervals."""
        self.sent.clear()
        self.reporter.send_status()
        return {ip: status.interval_ms for ip, status in self.sent}

    def _send(self, ip: str, datagram: bytes) -> None:
        if datagram[0] == messages.STATUS:
            self.sent.append((ip, messages.Status.read(datagram)))


class TestTurns(ReporterTestCase):
    """Load pattern: more entries than get a status update in a turn."""

    def setUp(self) -> None:
        """Let a hundred entries greet the reporter."""
        super().setUp()
        for entry in ENTRIES:
            self.greet(entry)
        self.sent.clear()

    def test_every_entry_gets_status_updates(self) -> None:
        """Each of a hundred entries gets updates, and does so repeatedly."""
        for _ in range(2):
            receivers = set()
            for _ in range(TURNS):
                receivers.update(self.turn())
            self.assertEqual(receivers, set(ENTRIES))

    def test_near_entries_get_them_each_turn(self) -> None:
        """Those in the same data centre; the others a few at a time."""
        for _ in range(TURNS):
            intervals = self.turn()
            self.assertLessEqual(set(LOCAL), set(intervals))
            self.assertLess(len(intervals), 32)

    def test_entries_with_open_flows_get_them_each_turn(self) -> None:
        """And are told when that ends, so that silence means failure."""
        for entry in USING:
            self.open_flow(entry)
        for _ in range(TURNS):
            intervals = self.turn()
            self.assertEqual([intervals[ip] for ip in USING], [400, 400])
        self.flows.clear()
        intervals = self.turn()
        self.assertEqual([intervals[ip] for ip in USING], [4400, 4400])

    def test_last_status_goes_to_all(self) -> None:
        """Any entry may search for the flows of a host that ends."""
        self.reporter.send_status_to_all()
        self.assertEqual({ip for ip, _ in self.sent}, set(ENTRIES))

    def test_announced_interval_is_kept(self) -> None:
        """No update comes later than its predecessor announced."""
        due: dict[str, int] = {}
        for step in range(3 * TURNS):
            now_ms = step * 400
            intervals = self.turn()
            for entry, interval_ms in intervals.items():
                self.assertLessEqual(now_ms, due.get(entry, now_ms))
                due[entry] = now_ms + interval_ms
            self.assertGreaterEqual(min(due.values()), now_ms)


class TestProcessingTime(ReporterTestCase):
    """The mean processing time in status updates."""

    def test_restarted_sidecar(self) -> None:
        """Guards against a rank by few measurements, or by old ones."""
        self.greet(LOCAL[0])
        self.assertEqual(self._reported_ms(), 0)
        for _ in range(30):
            self.host.processing_time.note_speed(0.05, self.node.loop.now)
        self.assertEqual(self._reported_ms(), 50)
        self.node.loop.now += 20
        self.assertEqual(self._reported_ms(), 0)

    def _reported_ms(self) -> int:
        self.turn()
        return self.sent[0][1].processing_ms


class TestMoves(ReporterTestCase):
    """Load pattern: flows open and close, so entries change their group."""

    local = MANY_LOCAL

    def setUp(self) -> None:
        """Start without announced intervals."""
        super().setUp()
        self.due: dict[str, int] = {}
        self.now_ms = 0
        self.late: list[tuple[str, int]] = []

    def join(self, entries: list[str]) -> None:
        """Let entries greet the reporter."""
        self.sent.clear()
        for entry in entries:
            self.greet(entry)
        self._note_intervals()

    def take_turn(self) -> None:
        """Take a turn, check its size and record entries that it leaves late."""
        self.now_ms += INTERVAL_MS
        self.sent.clear()
        self.reporter.send_status()
        self.assertLessEqual(len(self.sent), MAX_PER_TURN)
        self._note_intervals()
        self.late.extend(
            (entry, self.now_ms)
            for entry, due in self.due.items()
            if due <= self.now_ms
        )

    def test_random_moves(self) -> None:
        """No update comes later than its predecessor announced."""
        for seed in range(20):
            self.setUp()
            self._move_at_random(Random(seed))
            with self.subTest(seed=seed):
                self.assertEqual(self.late, [])

    def test_group_grows_beyond_a_turn(self) -> None:
        """From 16 to 17 entries in each group, which doubles the interval."""
        for entries, with_flows in (
            (MANY_LOCAL, False),
            (ENTRIES[30:], False),
            (ENTRIES[30:], True),
        ):
            self.setUp()
            for entry in entries[:32]:
                self.join([entry])
                if with_flows:
                    self.open_flow(entry)
                for _ in range(4):
                    self.take_turn()
            with self.subTest(first=entries[0], with_flows=with_flows):
                self.assertEqual(self.late, [])

    def test_all_flows_end_at_once(self) -> None:
        """And begin again; entries are told in turns of bounded size."""
        for count in (8, 16, 17, 40, 100):
            self.setUp()
            self.join(ENTRIES)
            for _ in range(5):
                self._open_flows(count)
                self.flows.clear()
            with self.subTest(count=count):
                self.assertEqual(self.late, [])

    def test_flows_end_in_a_large_data_centre(self) -> None:
        """An entry that gets updates less often is told so in time."""
        self.join(ENTRIES)
        self.open_flow(MANY_LOCAL[0])
        for _ in range(TURNS):
            self.take_turn()
        self.flows.clear()
        intervals = self.turn()
        self.assertEqual(intervals.get(MANY_LOCAL[0]), 2 * INTERVAL_MS)

    def test_many_moves_at_full_size(self) -> None:
        """Flows through most entries, which last some turns or end at once."""
        random = Random(1)
        self.join(FULL_SIZE)
        ends: dict[int, list[str]] = {}
        for turn in range(240):
            for entry in random.choices(FULL_SIZE, k=20):
                self.open_flow(entry)
                ends.setdefault(turn + random.randrange(20), []).append(entry)
            for ended in ends.pop(turn, []):
                self.flows.pop(ended.encode(), None)
            if turn % 40 == 39:
                self.flows.clear()
            self.take_turn()
        self.assertEqual(self.late, [])

    def test_flapping_entry(self) -> None:
        """An entry whose flows begin and end each turn gets its updates."""
        self.join(ENTRIES)
        for entry in ENTRIES[:40]:
            self.open_flow(entry)
        for _ in range(20):
            self.take_turn()
            self.open_flow(ENTRIES[99])
            self.take_turn()
            self.flows.pop(ENTRIES[99].encode())
        self.assertEqual(self.late, [])

    def _open_flows(self, count: int) -> None:
        for entry in ENTRIES[-count:]:
            self.open_flow(entry)
        for _ in range(TURNS):
            self.take_turn()

    def _move_at_random(self, random: Random) -> None:
        waiting = list(ENTRIES)
        random.shuffle(waiting)
        for _ in range(150):
            if not random.randrange(10):
                count = random.randrange(1, 20)
                self.join(waiting[:count])
                waiting = waiting[count:]
            for _ in range(random.randrange(6)):
                self.open_flow(random.choice(ENTRIES))
            for key in random.sample(
                sorted(self.flows), min(len(self.flows), random.randrange(6))
            ):
                self.flows.pop(key)
            self.take_turn()

    def _note_intervals(self) -> None:
        for ip, status in self.sent:
            self.due[ip] = self.now_ms + status.interval_ms
