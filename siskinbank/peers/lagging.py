"""Processes with an older generation, as peers report them.

A process that meets another one only at its start would report it as lagging
until the report expires. So whoever knows that a reported process has caught up
since corrects the report, in the same message form.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from siskinbank.wire.checks import is_number_below, is_valid_name

__all__ = ('LaggingProcess', 'LaggingProcesses')

_MAX_REPORTED = 8
_MAX_CORRECTIONS = 4
_EXPIRE_SECONDS = 15
#: A report may have been under way, or in a socket, for this long. Otherwise it
#: counts as newer than a message that the process itself sent after it.
_TRANSIT_SECONDS = 0.25
_MILLISECONDS = 1000
_FIELDS = 3
_MAX_PROCESSES = 64
_NUMBER_BITS = 48
_NUMBER_LIMIT = 1 << _NUMBER_BITS


@dataclass(frozen=True, slots=True)
class LaggingProcess:
    """A process with an older generation, and when it was last seen with it."""

    name: str
    generation: int
    seen_at: float


class LaggingProcesses:
    """The known processes whose generation is older than one's own."""

    def __init__(self, own_name: str) -> None:
        """Create an empty table; the process itself is never listed."""
        self._own_name = own_name
        self._processes: dict[str, LaggingProcess] = {}
        # Processes that do not lag: older reports of them, which peers pass on
        # for a while, count no more.
        self._caught_up: dict[str, LaggingProcess] = {}
        # Names of those among them that peers may still report as lagging, and
        # when they were last seen so.
        self._reported_at: dict[str, float] = {}

    def note(
        self, name: str, generation: int, own_generation: int, seen_at: float
    ) -> None:
        """Record the generation that a process has in force."""
        if name == self._own_name:
            return
        seen = LaggingProcess(name, generation, seen_at)
        lagging = self._processes.get(name)
        known = lagging or self._caught_up.get(name)
        if known is not None and known.seen_at > seen_at:
            if generation < own_generation and lagging is None:
                self._reported_at[name] = seen_at
        elif generation < own_generation:
            self._caught_up.pop(name, None)
            self._processes[name] = seen
        else:
            if lagging is not None:
                self._reported_at[name] = lagging.seen_at
            self._processes.pop(name, None)
            self._caught_up[name] = seen

    def lowest(self, own_generation: int, now: float) -> list[LaggingProcess]:
        """Return the few processes that lag most, lowest generation first."""
        self._forget_caught_up(now)
        self._processes = {
            name: process
            for name, process in self._processes.items()
            if process.generation < own_generation
            and now - process.seen_at < _EXPIRE_SECONDS
        }
        ordered = sorted(
            self._processes.values(),
            key=lambda process: (process.generation, -process.seen_at),
        )
        return ordered[:_MAX_REPORTED]

    def parts(self, own_generation: int, now: float) -> list[Any]:
        """Return what is passed on to peers, in its message form.

        These are the processes that lag most, and some that no longer do.
        """
        passed_on = (
            *self.lowest(own_generation, now),
            *self._corrections(own_generation),
        )
        return [
            [
                process.name,
                process.generation,
                int((now - process.seen_at) * _MILLISECONDS),
            ]
            for process in passed_on
        ]

    def merge(
        self, received_parts: Iterable[Any], own_generation: int, now: float
    ) -> None:
        """Merge the processes that a peer reports; skip malformed parts."""
        for part in received_parts:
            if not _is_valid(part):
                continue
            name, generation, age = part
            seen_at = now - age / _MILLISECONDS
            if generation < own_generation:
                seen_at -= _TRANSIT_SECONDS
            has_room = len(self._processes) < _MAX_PROCESSES
            if has_room or name in self._processes:
                self.note(name, generation, own_generation, seen_at)

    def _corrections(self, own_generation: int) -> list[LaggingProcess]:
        """Return the processes of the latest outdated reports."""
        latest_first = sorted(
            self._reported_at, key=self._reported_at.__getitem__, reverse=True
        )
        caught_up = [
            self._caught_up[name]
            for name in latest_first
            if name in self._caught_up
        ]
        return [
            process
            for process in caught_up
            if process.generation >= own_generation
        ][:_MAX_CORRECTIONS]

    def _forget_caught_up(self, now: float) -> None:
        """Forget processes that are older than any report of them."""
        self._reported_at = {
            name: reported_at
            for name, reported_at in self._reported_at.items()
            if now - reported_at < _EXPIRE_SECONDS
        }
        self._caught_up = {
            name: process
            for name, process in self._caught_up.items()
            if now - process.seen_at < _EXPIRE_SECONDS
        }


def _is_valid(part: Any) -> bool:
    if not isinstance(part, list) or len(part) != _FIELDS:
        return False
    name, generation, age = part
    if not is_number_below(generation, _NUMBER_LIMIT):
        return False
    return is_valid_name(name) and is_number_below(age, _NUMBER_LIMIT)
