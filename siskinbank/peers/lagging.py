"""Processes with an older generation, as peers report them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from siskinbank.wire.checks import is_number_below, is_valid_name

__all__ = ('LaggingProcess', 'LaggingProcesses')

_MAX_REPORTED = 8
_EXPIRE_SECONDS = 15
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
        # When processes that do not lag were last seen: older reports, which
        # peers pass on for a while, count no more.
        self._caught_up: dict[str, float] = {}

    def note(
        self, name: str, generation: int, own_generation: int, seen_at: float
    ) -> None:
        """Record the generation that a process has in force."""
        known = self._processes.get(name)
        newest_at = max(
            self._caught_up.get(name, seen_at),
            known.seen_at if known else seen_at,
        )
        if name == self._own_name or newest_at > seen_at:
            return
        if generation >= own_generation:
            self._processes.pop(name, None)
            self._caught_up[name] = seen_at
        else:
            self._caught_up.pop(name, None)
            self._processes[name] = LaggingProcess(name, generation, seen_at)

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
        """Return the processes that lag most, in their message form."""
        return [
            [
                process.name,
                process.generation,
                int((now - process.seen_at) * _MILLISECONDS),
            ]
            for process in self.lowest(own_generation, now)
        ]

    def merge(
        self, received_parts: Iterable[Any], own_generation: int, now: float
    ) -> None:
        """Merge the processes that a peer reports; skip malformed parts."""
        for part in received_parts:
            if _is_valid(part) and len(self._processes) < _MAX_PROCESSES:
                name, generation, age = part
                self.note(
                    name, generation, own_generation, now - age / _MILLISECONDS
                )

    def _forget_caught_up(self, now: float) -> None:
        """Forget processes that are older than any report of them."""
        self._caught_up = {
            name: seen_at
            for name, seen_at in self._caught_up.items()
            if now - seen_at < _EXPIRE_SECONDS
        }


def _is_valid(part: Any) -> bool:
    if not isinstance(part, list) or len(part) != _FIELDS:
        return False
    name, generation, age = part
    if not is_number_below(generation, _NUMBER_LIMIT):
        return False
    return is_valid_name(name) and is_number_below(age, _NUMBER_LIMIT)
