"""Tests that the programs stay lean: what they load, and what they log."""

import os
import subprocess
import time
import unittest
from fcntl import F_SETPIPE_SZ, fcntl

from siskinbank.relay.catalogue import EVENTS
from siskinbank.relay.log import Log
from siskinbank.relay.loop import Loop
from siskinbank.relay.meters import Meters
from tools.start_cost import command, cost

# Each of these costs more at start than all the programs' own modules.
HEAVY = {
    'asyncio',
    'click',
    'collections',
    'dataclasses',
    'enum',
    'hashlib',
    'http',
    'inspect',
    'json',
    'logging',
    'msgpack',
    'pydantic',
    're',
    'selectors',
    'socket',
    'threading',
    'typing',
    'urllib',
}
_SHOW = 'import sys; import {}; print(*sys.modules)'
# Processor time until a process can carry packets, beyond the interpreter.
_START_S = 0.05


class TestStart(unittest.TestCase):
    """Instances restart several times a day on a fifth of a core."""

    def test_no_heavy_module_is_loaded(self) -> None:
        """Neither by an entry nor by a sidecar."""
        for name in ('entry', 'sidecar'):
            code = _SHOW.format(
                f'siskinbank.relay.main, siskinbank.relay.{name}'
            )
            with self.subTest(name=name):
                loaded = set(_run(code).split())
                self.assertEqual(loaded & HEAVY, set())

    def test_processor_time(self) -> None:
        """The best of some rounds, against the interpreter alone."""
        for name in ('entry', 'sidecar'):
            code = f'import siskinbank.relay.main, siskinbank.relay.{name}'
            with self.subTest(name=name):
                self.assertLess(cost(code) - cost('pass'), _START_S)


class TestLog(unittest.TestCase):
    """Bounded, and never in the way."""

    def setUp(self) -> None:
        """Let standard output be a pipe that nobody reads."""
        self.reader, writer = os.pipe2(os.O_NONBLOCK)
        kept = os.dup(1)
        os.dup2(writer, 1)
        os.close(writer)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, kept)
        self.addCleanup(os.dup2, kept, 1)

    def test_a_flood_without_a_reader(self) -> None:
        """It ends soon, and what was dropped is counted afterwards."""
        loop = Loop()
        log = Log(loop)
        began = time.monotonic()
        for number in range(20000):
            log('flow.placed', flow=number)
            if number % 100 == 0:
                log.flush()
        self.assertLess(time.monotonic() - began, 2)
        text = self._read()
        self.assertLessEqual(text.count('\n'), 300)
        log.flush()
        dropped = f'{EVENTS["log.dropped"]} log.dropped lines='
        self.assertIn(dropped, text + self._read())

    def test_a_slow_reader_gets_whole_lines(self) -> None:
        """Load pattern: more lines than a pipe holds, read bit by bit."""
        fcntl(1, F_SETPIPE_SZ, 4096)
        log = Log(Loop())
        text = ''
        for number in range(200):
            log('flow.placed', flow=f'{number:0300d}')
            if number % 20 == 19:
                log.flush()
                text += os.read(self.reader, 1000).decode()
        for _ in range(100):
            log.flush()
            text += self._read()
        whole = [line for line in text.splitlines() if 'placed' in line]
        self.assertGreater(len(whole), 10)
        self.assertEqual({len(line.split('flow=')[1]) for line in whole}, {300})
        self.assertEqual(text.count('flow='), len(whole))
        self.assertIn('log.dropped', text)

    def test_numbers_are_given_once(self) -> None:
        """Each event has one of its own."""
        self.assertEqual(len(set(EVENTS.values())), len(EVENTS))

    def _read(self) -> str:
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ''


class TestMeters(unittest.TestCase):
    """Counters and histograms."""

    def test_text(self) -> None:
        """As a collector reads it; buckets add up."""
        meters = Meters()
        meters.count('resets_total')
        meters.count('resets_total', 2)
        for seconds in (0.0005, 0.003, 99):
            meters.time('request_seconds', seconds)
        lines = meters.text().splitlines()
        self.assertIn('siskinbank_resets_total 3', lines)
        self.assertIn('siskinbank_request_seconds_bucket{le="0.001"} 1', lines)
        self.assertIn('siskinbank_request_seconds_bucket{le="0.004"} 2', lines)
        self.assertIn('siskinbank_request_seconds_bucket{le="+Inf"} 3', lines)
        self.assertEqual(meters.value('resets_total'), 3)


def _run(code: str) -> str:
    return subprocess.run(
        command(code),
        capture_output=True,
        text=True,
        check=True,
    ).stdout
