"""Structured logs on standard output: bounded, and never in anyone's way.

A line is ``time event key=value ...``. Lines gather in memory and leave in one
write; what standard output does not take at once, or what goes over the
budget, is dropped and counted, and the next line that gets out says how many.
"""

from __future__ import annotations

from posix import set_blocking
from posix import write as write_bytes
from time import time

from siskinbank.relay.catalogue import EVENTS

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.loop import Loop

__all__ = ('Log', 'no_blanks')

_STDOUT = 1
# Lines a second over a longer time, and how many may come at once. The budget
# is twice the decisions of the busiest process in the users' sites.
_LINES_PER_S = 60.0
_BURST_LINES = 240.0
# Lines wait this long for others, in seconds: one write serves them all.
_GATHER_S = 0.25


class Log:
    """Writes the events of one process."""

    __slots__ = (
        '_dropped',
        '_lines',
        '_loop',
        '_refilled',
        '_rest',
        '_tokens',
    )

    def __init__(self, loop: Loop) -> None:
        """Begin with a full budget."""
        self._loop = loop
        self._lines: list[str] = []
        self._tokens = _BURST_LINES
        self._refilled = loop.now
        self._dropped = 0
        self._rest = b''
        set_blocking(_STDOUT, False)
        loop.every(_GATHER_S, self.flush)

    def __call__(self, event: str, **fields: object) -> None:
        """Note one event with the values that decided it.

        Args:
            event: a name from the catalogue.
            fields: the values, without spaces.
        """
        if not self._take():
            self._dropped += 1
            return
        # No blank in the values: a line splits at blanks.
        words = [f'{name}={fields[name]}' for name in fields]
        self._lines.append(
            f'{time():.3f} {EVENTS[event]} {event} {" ".join(words)}\n'
        )

    def flush(self) -> None:
        """Write what has gathered."""
        if not self._lines and not self._rest:
            return
        if self._dropped:
            number = EVENTS['log.dropped']
            line = f'{time():.3f} {number} log.dropped lines={self._dropped}\n'
            self._lines.append(line)
            self._dropped = 0
        unsent = self._rest + ''.join(self._lines).encode()
        self._lines.clear()
        try:
            written = write_bytes(_STDOUT, unsent)
        except OSError:
            # Nobody reads; say so as soon as somebody does.
            written = 0
        self._drop_unsent(unsent, written)

    def _drop_unsent(self, unsent: bytes, written: int) -> None:
        """Keep the rest of a line that was written in part, drop the others."""
        dropped = unsent[written:]
        if not written:
            dropped = dropped[len(self._rest) :]
        elif unsent[written - 1 : written] == b'\n':
            self._rest = b''
        else:
            line, end, dropped = dropped.partition(b'\n')
            self._rest = line + end
        self._dropped += dropped.count(b'\n')

    def _take(self) -> bool:
        now = self._loop.now
        refill = (now - self._refilled) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def no_blanks(error: Exception) -> str:
    """Return an error's text as one value of a line."""
    return str(error).replace(' ', '_')
