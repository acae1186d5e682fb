"""Refuse control messages that were taken before.

Each message carries a stamp: a number that its sender drew at start, and a
count. The receiver keeps, for each sender, the highest count and which ones
below it have come (RFC 4303, section 3.4.3), so that a message is taken once,
in whatever order the network delivers. A sender that is heard for the first
time is believed: so a message of an earlier life of some process can still be
shown to a process that has never heard that life.
"""

import secrets
import struct

__all__ = ('STAMP_BYTES', 'ReplayGuard')

_STAMP = struct.Struct('!QQ')
STAMP_BYTES = _STAMP.size
_START_BITS = 64
_WINDOW = 1024
_WINDOW_MASK = (1 << _WINDOW) - 1
_MAX_SENDERS = 8192


class ReplayGuard:
    """The own count, and a window for each known sender."""

    def __init__(self, max_senders: int = _MAX_SENDERS) -> None:
        """Keep at most ``max_senders`` windows; the least recent one goes."""
        self._max_senders = max_senders
        self._start = secrets.randbits(_START_BITS)
        self._count = 0
        self._windows: dict[int, tuple[int, int]] = {}

    def __len__(self) -> int:
        """Return the number of senders that are known."""
        return len(self._windows)

    def stamp(self) -> bytes:
        """Return the stamp of the next message to send."""
        self._count += 1
        return _STAMP.pack(self._start, self._count)

    def accept(self, stamp: bytes) -> bool:
        """Return whether a message is new, and remember it."""
        if len(stamp) != STAMP_BYTES:
            return False
        start, count = _STAMP.unpack(stamp)
        highest, seen = self._windows.pop(start, (count - 1, 0))
        if count > highest:
            shifted = seen << min(count - highest, _WINDOW)
            self._windows[start] = (count, (shifted | 1) & _WINDOW_MASK)
            self._forget()
            return True
        self._windows[start] = (highest, seen)
        bit = 1 << (highest - count) if highest - count < _WINDOW else 0
        if not bit or seen & bit:
            return False
        self._windows[start] = (highest, seen | bit)
        return True

    def _forget(self) -> None:
        if len(self._windows) > self._max_senders:
            del self._windows[next(iter(self._windows))]
