"""Replay protection for control messages.

Each message has a stamp: a random number that its sender draws at start, and a
count. For each sender the receiver stores the highest count and a bitmap of
the received counts below it (RFC 4303, section 3.4.3). So a message is accepted
once, in any order of delivery. The first message of an unknown sender is
always accepted. A message of an earlier incarnation of a process can therefore
be replayed to a receiver that never received a message of that incarnation.
"""

import secrets
import struct

__all__ = ('STAMP_BYTES', 'ReplayGuard')

_STAMP = struct.Struct('!QQ')
STAMP_BYTES = _STAMP.size
_SENDER_ID_BITS = 64
_WINDOW_MESSAGES = 1024
_WINDOW_MASK = (1 << _WINDOW_MESSAGES) - 1
_MAX_SENDERS = 8192


class ReplayGuard:
    """Stamps sent messages and checks received ones for replays."""

    def __init__(self, max_senders: int = _MAX_SENDERS) -> None:
        """Initialize the guard.

        Args:
            max_senders: maximum number of windows; beyond it the window of the
                least recently received sender is evicted.
        """
        self._max_senders = max_senders
        self._sender_id = secrets.randbits(_SENDER_ID_BITS)
        self._count = 0
        self._windows: dict[int, tuple[int, int]] = {}

    def __len__(self) -> int:
        """Return the number of known senders."""
        return len(self._windows)

    def stamp(self) -> bytes:
        """Return the stamp of the next message to send."""
        self._count += 1
        return _STAMP.pack(self._sender_id, self._count)

    def accept(self, stamp: bytes) -> bool:
        """Return whether a message is new, and record its stamp."""
        if len(stamp) != STAMP_BYTES:
            return False
        sender_id, count = _STAMP.unpack(stamp)
        highest, seen = self._windows.pop(sender_id, (count - 1, 0))
        if count > highest:
            shifted = seen << min(count - highest, _WINDOW_MESSAGES)
            self._windows[sender_id] = (count, (shifted | 1) & _WINDOW_MASK)
            self._evict()
            return True
        self._windows[sender_id] = (highest, seen)
        bit = (
            1 << (highest - count) if highest - count < _WINDOW_MESSAGES else 0
        )
        if not bit or seen & bit:
            return False
        self._windows[sender_id] = (highest, seen | bit)
        return True

    def _evict(self) -> None:
        if len(self._windows) > self._max_senders:
            del self._windows[next(iter(self._windows))]
