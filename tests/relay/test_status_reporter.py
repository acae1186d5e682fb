"""Tests of status updates from a sidecar to entries, without sockets."""

import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.relay.loop import Loop
from siskinbank.relay.status_reporter import StatusReporter
from siskinbank.tracking.own_host import OwnHost

ENTRIES = [f'10.0.0.{number}' for number in range(100)]
# Turns within which each of a hundred entries gets a status update.
TURNS = 4


class TestTurns(unittest.TestCase):
    """Load pattern: more entries than get a status update in a turn."""

    def test_every_entry_gets_status_updates(self) -> None:
        """Each of a hundred entries gets updates, and does so repeatedly."""
        sent: list[str] = []
        node: Any = SimpleNamespace(
            loop=Loop(),
            handlers={},
            settings=SimpleNamespace(data_centre='a', seeds=()),
            send=lambda ip, _datagram: sent.append(ip),
        )
        reporter = StatusReporter(node, OwnHost(1, 100, 0), int, int)
        for entry in ENTRIES:
            reporter.note_entry(entry)
        for _ in range(2):
            sent.clear()
            for _ in range(TURNS):
                reporter.send_status()
            self.assertEqual(set(sent), set(ENTRIES))
