"""Tests of the log lines that explain why a host counts as gone."""

import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.relay import messages
from siskinbank.relay.loop import Loop
from siskinbank.relay.status_reporter import StatusReporter
from siskinbank.tracking.hosts import HostTable
from siskinbank.tracking.own_host import OwnHost
from tests.relay.test_flow_searcher import Environment

ENTRY = '10.0.0.200'
HOST = '10.0.0.1'


class TestHostLogging(unittest.TestCase):
    """An on-call engineer sees on which evidence a flow was reset."""

    def test_evidence_names_ages(self) -> None:
        """State and listing of the host, and the age of both."""
        env = Environment()
        env.loop.now += 1.5
        evidence = env.monitor.describe(HOST)
        self.assertEqual(evidence['state'], 'none')
        self.assertEqual(evidence['silent_ms'], 1500)
        self.assertIs(evidence['listed'], True)
        self.assertEqual(evidence['listing_age_ms'], 1500)

    def test_return_from_silence(self) -> None:
        """A message after silence tells how long the silence was."""
        table = HostTable()
        table.update_status(HOST, messages.Status(1, 1), 100)
        self.assertEqual(table.note_message(HOST, 100.4), 0)
        self.assertEqual(table.note_message(HOST, 103.4), 3)
        self.assertEqual(table.note_message('10.0.0.9', 104), 0)

    def test_entry_dropped_by_a_sidecar(self) -> None:
        """A sidecar logs that it sends an entry no more status updates."""
        events: list[tuple[str, dict[str, object]]] = []
        node: Any = SimpleNamespace(
            loop=Loop(),
            handlers={},
            settings=SimpleNamespace(data_centre='a', seeds=()),
            send=lambda ip, datagram: None,
            log=lambda event, **fields: events.append((event, fields)),
        )
        reporter = StatusReporter(node, OwnHost(1, 100, 0), {}, int)
        reporter.note_entry(ENTRY)
        node.loop.now += 40
        node.loop._run_timers()  # noqa: SLF001
        self.assertEqual(
            events, [('peer.dropped', {'peer': ENTRY, 'silent_s': 30})]
        )
