"""Tests of start cost, logging and metrics of entry and sidecar."""

import os
import subprocess
import sys
import time
import unittest
from fcntl import F_SETPIPE_SZ, fcntl

from siskinbank.relay.catalogue import EVENTS
from siskinbank.relay.log import Log
from siskinbank.relay.loop import Loop
from siskinbank.relay.meters import Meters
from tools.start_cost import command, processor_time_s

# Importing any of these takes longer than all modules of entry and sidecar.
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
_SHOW_MODULES = 'import sys; import {}; print(*sys.modules)'
# CPU time of the imports beyond that of the bare interpreter, in seconds.
_MAX_START_S = 0.05


class TestStart(unittest.TestCase):
    """Instances restart several times a day on a fifth of a core."""

    def test_no_heavy_module_is_loaded(self) -> None:
        """Neither entry nor sidecar imports a heavy module."""
        for name in ('entry', 'sidecar'):
            code = _SHOW_MODULES.format(
                f'siskinbank.relay.main, siskinbank.relay.{name}'
            )
            with self.subTest(name=name):
                loaded = set(_run(code).split())
                self.assertEqual(loaded & HEAVY, set())

    def test_processor_time(self) -> None:
        """Compares the best of several runs with the bare interpreter."""
        for name in ('entry', 'sidecar'):
            code = f'import siskinbank.relay.main, siskinbank.relay.{name}'
            with self.subTest(name=name):
                self.assertLess(
                    processor_time_s(code) - processor_time_s('pass'),
                    _MAX_START_S,
                )


class TestSignals(unittest.TestCase):
    """Load pattern: the settings change while a process starts."""

    def test_hangup_while_the_settings_are_read(self) -> None:
        """The signal does not end the process."""
        code = (
            'import os, signal\n'
            'from siskinbank.relay import node\n'
            'def read(path):\n'
            '    os.kill(os.getpid(), signal.SIGHUP)\n'
            '    raise OSError(path)\n'
            'node.read_settings = read\n'
            'try:\n'
            '    node.Node("missing")\n'
            'except OSError:\n'
            '    print("refused")\n'
        )
        done = subprocess.run(
            [sys.executable, '-c', code], capture_output=True, check=False
        )
        self.assertEqual(done.returncode, 0)
        self.assertEqual(done.stdout, b'refused\n')


class TestLog(unittest.TestCase):
    """Log output is limited and does not block."""

    def setUp(self) -> None:
        """Redirect standard output to a pipe that nobody reads."""
        self.reader, writer = os.pipe2(os.O_NONBLOCK)
        saved_stdout = os.dup(1)
        os.dup2(writer, 1)
        os.close(writer)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, saved_stdout)
        self.addCleanup(os.dup2, saved_stdout, 1)

    def test_many_lines_without_a_reader(self) -> None:
        """Logging does not block, and the dropped lines are counted."""
        loop = Loop()
        log = Log(loop)
        started = time.monotonic()
        for number in range(20000):
            log('flow.placed', flow=number)
            if number % 100 == 0:
                log.flush()
        self.assertLess(time.monotonic() - started, 2)
        text = self._read()
        self.assertLessEqual(text.count('\n'), 300)
        log.flush()
        dropped = f'{EVENTS["log.dropped"]} log.dropped lines='
        self.assertIn(dropped, text + self._read())

    def test_a_slow_reader_gets_whole_lines(self) -> None:
        """Load pattern: more lines than fit into a pipe with a slow reader."""
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

    def test_event_numbers_are_unique(self) -> None:
        """No two events share a number."""
        self.assertEqual(len(set(EVENTS.values())), len(EVENTS))

    def _read(self) -> str:
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ''


class TestMeters(unittest.TestCase):
    """Counters and histograms."""

    def test_text(self) -> None:
        """The text is as Prometheus reads it, with cumulative buckets."""
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

    def test_gauge(self) -> None:
        """Only the last value is shown."""
        meters = Meters()
        for amount in (3, 2):
            meters.gauge('entries_known', amount)
        self.assertIn('siskinbank_entries_known 2', meters.text().splitlines())


def _run(code: str) -> str:
    return subprocess.run(
        command(code),
        capture_output=True,
        text=True,
        check=True,
    ).stdout
