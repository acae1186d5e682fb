"""Shared keys from a file that is read at start and then periodically.

The environment of a running process cannot change. Keys that are rotated
without a restart therefore come from a file that the platform mounts, given as
``@/path``. The file is never written.
"""

import os
import stat
from typing import TextIO

from siskinbank.kernel import events
from siskinbank.kernel.process import ProcessContext
from siskinbank.wire.keys import KeyRing, parse_keys

__all__ = ('MAX_FILE_BYTES', 'follow_keys', 'load_keys')

MAX_FILE_BYTES = 1024
_FILE_PREFIX = '@'
_READ_INTERVAL_SECONDS = 2
_JITTER_SHARE = 0.2
#: A FIFO without a writer would block the open, and with it the process.
_OPEN_FLAGS = os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK | os.O_NOCTTY


def load_keys(text: str) -> KeyRing:
    """Return the key ring of ``ID:HEX[,ID:HEX]`` or of the file ``@/path``.

    Raises:
        ValueError: the keys are malformed, or the file cannot be read.
    """
    if not text.startswith(_FILE_PREFIX):
        return KeyRing(parse_keys(text))
    source = text.removeprefix(_FILE_PREFIX)
    ring = KeyRing(parse_keys(_read_file(source)))
    ring.source = source
    return ring


def follow_keys(process: ProcessContext, ring: KeyRing) -> None:
    """Start reading the file of a key ring periodically, if it has one.

    If the file cannot be read or is malformed, the previous keys stay valid.
    """
    source = ring.source
    if source is None:
        return
    last_fault = ''

    def reload_keys() -> None:
        nonlocal last_fault
        fault = _reload_keys(process, ring, source)
        if fault and fault != last_fault:
            process.log.write(events.KEYS_UNREADABLE, fault=fault)
        last_fault = fault

    process.timers.every(_READ_INTERVAL_SECONDS, reload_keys, _JITTER_SHARE)


def _reload_keys(process: ProcessContext, ring: KeyRing, source: str) -> str:
    """Apply the keys of the file; return its fault or an empty string."""
    try:
        keys = tuple(parse_keys(_read_file(source)))
        if keys == ring.keys:
            return ''
        ring.replace(keys)
    except ValueError as error:
        return str(error)
    fingerprints = ' '.join(key.fingerprint for key in keys)
    process.log.write(events.KEYS_RELOADED, file=source, keys=fingerprints)
    return ''


def _read_file(source: str) -> str:
    try:
        with _open_file(source) as opened:
            text = opened.read(MAX_FILE_BYTES + 1)
    except (OSError, UnicodeError) as error:
        cause = getattr(error, 'strerror', None) or 'not ASCII'
        raise ValueError(f'{source}: {cause}') from error
    if len(text) > MAX_FILE_BYTES:
        raise ValueError(f'{source}: more than {MAX_FILE_BYTES} bytes')
    return text.strip()


def _open_file(source: str) -> TextIO:
    """Open a regular file without blocking.

    Raises:
        OSError: the file cannot be opened.
        ValueError: it is not a regular file, so that reading it could block.
    """
    descriptor = os.open(source, _OPEN_FLAGS)
    if stat.S_ISREG(os.fstat(descriptor).st_mode):
        return os.fdopen(descriptor, encoding='ascii')
    os.close(descriptor)
    raise ValueError(f'{source}: not a regular file')
