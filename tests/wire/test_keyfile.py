"""Tests of key rotation by a file while a process runs."""

import os
import random
import tempfile
import threading
import unittest
from collections.abc import Callable
from pathlib import Path

from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.timers import TimerService
from siskinbank.wire.keyfile import MAX_FILE_BYTES, follow_keys, load_keys
from siskinbank.wire.keys import Key

OLD = Key(1, bytes(range(32)))
NEW = Key(2, bytes(range(100, 132)))
_READ_SECONDS = 5
BAD = ('', 'x', f'{OLD.text},{OLD.text}', 'é', '1' * (MAX_FILE_BYTES + 1))


class TestKeyFile(unittest.TestCase):
    """Key rotation without a restart."""

    def setUp(self) -> None:
        """Write the first key and start reading the file in virtual time."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'keys'
        self.path.write_text(OLD.text)
        self.ring = load_keys(f'@{self.path}')
        self.clock = FakeClock()
        timers = TimerService(self.clock, random.Random(1))
        self.process = ProcessContext('entry', 'test', timers)
        follow_keys(self.process, self.ring)

    def test_rotation_steps(self) -> None:
        """The keys of each rotation step are applied."""
        for keys in ((OLD, NEW), (NEW, OLD), (NEW,)):
            with self.subTest(keys=keys):
                self.path.write_text(','.join(key.text for key in keys))
                self._wait()
                self.assertEqual(self.ring.keys, keys)

    def test_invalid_file_keeps_current_keys(self) -> None:
        """A missing or malformed file leaves the previous keys valid."""
        for text in BAD:
            with self.subTest(text=text[:4]):
                self.path.write_text(text, encoding='utf-8')
                self._wait()
                self.assertEqual(self.ring.keys, (OLD,))
        self.path.unlink()
        self._wait()
        self.assertEqual(self.ring.keys, (OLD,))
        with self.assertRaises(ValueError):
            load_keys(f'@{self.path}')

    def test_file_is_a_fifo(self) -> None:
        """A FIFO without a writer blocks neither the start nor a reload."""
        self.path.unlink()
        os.mkfifo(self.path)
        self._check_not_blocking(self._wait)
        self.assertEqual(self.ring.keys, (OLD,))
        refused: list[ValueError] = []

        def load() -> None:
            try:
                load_keys(f'@{self.path}')
            except ValueError as error:
                refused.append(error)

        self._check_not_blocking(load)
        self.assertEqual(
            [str(error) for error in refused],
            [f'{self.path}: not a regular file'],
        )

    def test_silent_writer_of_a_fifo(self) -> None:
        """A FIFO whose writer sends nothing does not block either."""
        self.path.unlink()
        os.mkfifo(self.path)
        writer = os.open(self.path, os.O_RDWR)
        self.addCleanup(os.close, writer)
        self._check_not_blocking(self._wait)
        self.assertEqual(self.ring.keys, (OLD,))

    def test_repr_hides_secret(self) -> None:
        """The representation of a key does not contain its secret."""
        self.assertNotIn(OLD.secret.hex(), repr(self.ring.keys))

    def _check_not_blocking(self, read: Callable[[], None]) -> None:
        reading = threading.Thread(target=read)
        reading.start()
        reading.join(_READ_SECONDS)
        blocked = reading.is_alive()
        if blocked:
            # Ends the blocked read of the FIFO.
            os.close(os.open(self.path, os.O_WRONLY | os.O_NONBLOCK))
        self.assertFalse(blocked)

    def _wait(self) -> None:
        self.clock.now += 5
        self.process.timers.run_due()
