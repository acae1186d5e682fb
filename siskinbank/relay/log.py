"""Structured, rate-limited and non-blocking logs on standard output.

A line is ``time number event key=value ...``. Lines are buffered and written
together. Lines beyond the rate limit, and lines that standard output does not
accept at once, are dropped; ``log.dropped`` reports their number with the next
successful write.
"""

from __future__ import annotations

from posix import set_blocking
from posix import write as write_bytes
from time import time

from siskinbank.relay.catalogue import EVENTS

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.loop import Loop

__all__ = ('Log', 'log_value')

_STDOUT = 1
# Sustained rate in lines a second, and burst size in lines: twice the decisions
# of the busiest process at the users' sites.
_LINES_PER_S = 60.0
_BURST_LINES = 240.0
# Interval between flushes, in seconds; the lines of one interval share a write.
_FLUSH_INTERVAL_S = 0.25
# Length limit of values that another program determines.
_MAX_VALUE_CHARACTERS = 200


class Log:
    """Event log of one process, limited by a token bucket."""

    __slots__ = (
        '_dropped',
        '_lines',
        '_loop',
        '_partial_line',
        '_refilled',
        '_tokens',
    )

    def __init__(self, loop: Loop) -> None:
        """Initialize with a full token bucket and make stdout non-blocking."""
        self._loop = loop
        self._lines: list[str] = []
        self._tokens = _BURST_LINES
        self._refilled = loop.now
        self._dropped = 0
        self._partial_line = b''
        set_blocking(_STDOUT, False)
        loop.every(_FLUSH_INTERVAL_S, self.flush)

    def __call__(self, event: str, **fields: object) -> None:
        """Log one event with the values that led to it.

        Args:
            event: event name from the catalogue.
            fields: values by field name, without spaces.
        """
        if not self._take_token():
            self._dropped += 1
            return
        # Values have no spaces: programs that read the log split lines at
        # spaces.
        pairs = [f'{name}={fields[name]}' for name in fields]
        self._lines.append(
            f'{time():.3f} {EVENTS[event]} {event} {" ".join(pairs)}\n'
        )

    def flush(self) -> None:
        """Write the buffered lines."""
        if not self._lines and not self._partial_line:
            return
        if self._dropped:
            number = EVENTS['log.dropped']
            line = f'{time():.3f} {number} log.dropped lines={self._dropped}\n'
            self._lines.append(line)
            self._dropped = 0
        unsent = self._partial_line + ''.join(self._lines).encode()
        self._lines.clear()
        try:
            written = write_bytes(_STDOUT, unsent)
        except OSError:
            # Nothing was written, as the pipe is full or closed. The dropped
            # lines are reported with the next successful write.
            written = 0
        self._drop_unsent(unsent, written)

    def _drop_unsent(self, unsent: bytes, written: int) -> None:
        """Keep the rest of a partly written line; drop and count the others."""
        dropped = unsent[written:]
        if not written:
            dropped = dropped[len(self._partial_line) :]
        elif unsent[written - 1 : written] == b'\n':
            self._partial_line = b''
        else:
            line, end, dropped = dropped.partition(b'\n')
            self._partial_line = line + end
        self._dropped += dropped.count(b'\n')

    def _take_token(self) -> bool:
        now = self._loop.now
        refill = (now - self._refilled) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def log_value(text: object) -> str:
    """Return a text as a log value.

    Load pattern: another client of the store writes keys and values of any length
    with line breaks, and each listing refuses them.

    Args:
        text: a text, or an error.

    Returns:
        The begin of the text, in which underscores replace spaces and all that is
        not printable.
    """
    return ''.join(
        char if char.isprintable() and char != ' ' else '_'
        for char in str(text)[:_MAX_VALUE_CHARACTERS]
    )
