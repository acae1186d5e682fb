"""Keys in a file that the platform mounts: read at start, and read again.

The environment of a running process cannot change, so keys that are to rotate
without a restart come from a file, named as ``@/path``. It is only read.
"""

from pathlib import Path

from siskinbank.kernel import events
from siskinbank.kernel.process import ProcessContext
from siskinbank.wire.keys import KeyRing, parse_keys

__all__ = ('MAX_FILE_BYTES', 'follow_keys', 'load_keys')

MAX_FILE_BYTES = 1024
_PREFIX = '@'
_READ_SECONDS = 2
_JITTER = 0.2


def load_keys(text: str) -> KeyRing:
    """Return the ring of ``ID:HEX[,ID:HEX]``, or of the file ``@/path``.

    Raises:
        ValueError: the keys are malformed, or the file cannot be read.
    """
    if not text.startswith(_PREFIX):
        return KeyRing(parse_keys(text))
    source = text.removeprefix(_PREFIX)
    ring = KeyRing(parse_keys(_read(source)))
    ring.source = source
    return ring


def follow_keys(process: ProcessContext, ring: KeyRing) -> None:
    """Read the ring's file again and again, if it has one.

    Keys that cannot be read change nothing: the ones before stay valid.
    """
    source = ring.source
    if source is None:
        return
    last_fault = ''

    def read() -> None:
        nonlocal last_fault
        fault = _refresh(process, ring, source)
        if fault and fault != last_fault:
            process.log.write(events.KEYS_BAD, fault=fault)
        last_fault = fault

    process.timers.every(_READ_SECONDS, read, _JITTER)


def _refresh(process: ProcessContext, ring: KeyRing, source: str) -> str:
    """Take over the file's keys; return what is wrong with it, or nothing."""
    try:
        keys = tuple(parse_keys(_read(source)))
        if keys == ring.keys:
            return ''
        ring.replace(keys)
    except ValueError as error:
        return str(error)
    fingerprints = ' '.join(key.fingerprint for key in keys)
    process.log.write(events.KEYS_READ, file=source, keys=fingerprints)
    return ''


def _read(source: str) -> str:
    try:
        with Path(source).open(encoding='ascii') as opened:
            text = opened.read(MAX_FILE_BYTES + 1)
    except (OSError, UnicodeError) as error:
        why = getattr(error, 'strerror', None) or 'not ASCII'
        raise ValueError(f'{source}: {why}') from error
    if len(text) > MAX_FILE_BYTES:
        raise ValueError(f'{source}: more than {MAX_FILE_BYTES} bytes')
    return text.strip()
