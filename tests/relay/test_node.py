"""Tests of the process environment."""

import os
import random
import signal
import tempfile
import unittest
from pathlib import Path

from siskinbank.platform.encoding import ProcessSettings
from siskinbank.relay.node import Node


class TestSignals(unittest.TestCase):
    """Signals in a row."""

    def setUp(self) -> None:
        """Create a node on loopback, and restore the signal handlers later."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGPIPE):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(os.set_blocking, 1, os.get_blocking(1))
        ip = f'127.{random.randrange(1, 250)}.{random.randrange(250)}.1'
        self.path = Path(folder.name, 'boot.json')
        settings = ProcessSettings(
            'entry-1',
            ip,
            'a',
            (31000, 31001, 31002, 31003),
            (),
            ('127.0.0.1', 1),
            None,
            None,
        )
        self.path.write_bytes(settings.encode())
        self.node = Node(str(self.path))

    def test_second_stop_signal(self) -> None:
        """A stop that has begun does not begin again."""
        stops: list[bool] = []
        self.node.on_stop = lambda: stops.append(True)
        for _ in range(2):
            signal.raise_signal(signal.SIGTERM)
            self.node._handle_signals()  # noqa: SLF001
        self.assertEqual(stops, [True])

    def test_reload_during_a_stop(self) -> None:
        """Malformed settings are refused, and the stop goes on."""
        stops: list[bool] = []
        self.node.on_stop = lambda: stops.append(True)
        self.path.write_text('{"Seeds": ["10.0.0.1:²"]}')
        before = self.node.settings
        signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)
        self.node._handle_signals()  # noqa: SLF001
        self.assertEqual(stops, [True])
        self.assertIs(self.node.settings, before)
