"""Which processes lag behind, as peers tell each other."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from siskinbank.wire.checks import is_name, is_number

__all__ = ('Laggard', 'Laggards')

_SHOWN = 8
_EXPIRE_SECONDS = 15
_MILLISECONDS = 1000
_FIELDS = 3
_KEPT = 64
_MAX_NUMBER = 1 << 48


@dataclass(frozen=True, slots=True)
class Laggard:
    """A process with an older generation, and when it was last seen so."""

    name: str
    generation: int
    at: float


class Laggards:
    """The few processes with the lowest generations in force."""

    def __init__(self, own_name: str) -> None:
        """Start without any; of itself a process needs no word."""
        self._own_name = own_name
        self._known: dict[str, Laggard] = {}

    def note(self, name: str, generation: int, own: int, at: float) -> None:
        """Note what a process has in force, beside one's own."""
        known = self._known.get(name)
        if name == self._own_name or (known is not None and known.at > at):
            return
        if generation >= own:
            self._known.pop(name, None)
        else:
            self._known[name] = Laggard(name, generation, at)

    def lowest(self, own: int, now: float) -> list[Laggard]:
        """Return those behind ``own``, lowest generation first."""
        self._known = {
            name: laggard
            for name, laggard in self._known.items()
            if laggard.generation < own and now - laggard.at < _EXPIRE_SECONDS
        }
        ordered = sorted(
            self._known.values(),
            key=lambda laggard: (laggard.generation, -laggard.at),
        )
        return ordered[:_SHOWN]

    def parts(self, own: int, now: float) -> list[Any]:
        """Return the lowest as messages carry them."""
        if not self._known:
            return []
        return [
            [
                laggard.name,
                laggard.generation,
                int((now - laggard.at) * _MILLISECONDS),
            ]
            for laggard in self.lowest(own, now)
        ]

    def merge(self, given: Iterable[Any], own: int, now: float) -> None:
        """Take over what a peer knows; skip malformed parts."""
        for part in given:
            if _is_sound(part) and len(self._known) < _KEPT:
                name, generation, age = part
                self.note(name, generation, own, now - age / _MILLISECONDS)


def _is_sound(part: Any) -> bool:
    if not isinstance(part, list) or len(part) != _FIELDS:
        return False
    name, generation, age = part
    if not is_number(generation, _MAX_NUMBER):
        return False
    return is_name(name) and is_number(age, _MAX_NUMBER)
