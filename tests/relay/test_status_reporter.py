"""Tests of status updates from a sidecar to entries, without sockets."""

import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.relay import messages
from siskinbank.relay.loop import Loop
from siskinbank.relay.status_reporter import StatusReporter
from siskinbank.sidecar.tracked_flows import TrackedFlow
from siskinbank.tracking.own_host import OwnHost

ENTRIES = [f'10.0.0.{number}' for number in range(100)]
LOCAL = ENTRIES[:12]
USING = ENTRIES[90:92]
DATA_CENTRE = 'a'
# Turns within which each of a hundred entries gets a status update.
TURNS = 11


class TestTurns(unittest.TestCase):
    """Load pattern: more entries than get a status update in a turn."""

    def setUp(self) -> None:
        """Create a reporter that knows a hundred entries."""
        self.sent: list[tuple[str, messages.Status]] = []
        self.flows: dict[bytes, Any] = {}
        node: Any = SimpleNamespace(
            loop=Loop(),
            handlers={},
            settings=SimpleNamespace(data_centre=DATA_CENTRE, seeds=()),
            send=self._send,
        )
        self.reporter = StatusReporter(
            node, OwnHost(1, 100, 0), self.flows, int
        )
        for entry in ENTRIES:
            name = DATA_CENTRE if entry in LOCAL else 'b'
            hello = messages.pack_hello(0, messages.digest(name))
            node.handlers[messages.HELLO](hello, entry)
        self.sent.clear()

    def turn(self) -> dict[str, int]:
        """Return the entries of the next turn and the announced intervals."""
        self.sent.clear()
        self.reporter.send_status()
        return {ip: status.interval_ms for ip, status in self.sent}

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
            flow = TrackedFlow(entry, ('10.0.0.1', 1), 100)
            self.flows[entry.encode()] = flow
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

    def _send(self, ip: str, datagram: bytes) -> None:
        if datagram[0] == messages.STATUS:
            self.sent.append((ip, messages.Status.read(datagram)))
