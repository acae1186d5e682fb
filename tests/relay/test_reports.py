"""Tests of what a sidecar tells the entries, without sockets."""

import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.beliefs.own_host import OwnHost
from siskinbank.relay.loop import Loop
from siskinbank.relay.reports import Reports

ENTRIES = [f'10.0.0.{number}' for number in range(100)]
# Turns within which each of a hundred entries hears a word.
TURNS = 4


class TestTurns(unittest.TestCase):
    """Load pattern: more entries than are told in a turn."""

    def test_every_entry_is_told(self) -> None:
        """Replay: a hundred entries; none is left out for good."""
        sent: list[str] = []
        node: Any = SimpleNamespace(
            loop=Loop(),
            handlers={},
            settings=SimpleNamespace(data_centre='a', seeds=()),
            send=lambda ip, _datagram: sent.append(ip),
        )
        reports = Reports(node, OwnHost(1, 100, 0), int, int)
        for entry in ENTRIES:
            reports.note_entry(entry)
        for _ in range(2):
            sent.clear()
            for _ in range(TURNS):
                reports.tell()
            self.assertEqual(set(sent), set(ENTRIES))
