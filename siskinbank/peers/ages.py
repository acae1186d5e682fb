"""When each data centre was last heard of, as ages that peers merge."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from siskinbank.wire.checks import is_name, is_number

__all__ = ('Ages',)

_MILLISECONDS = 1000
_MAX_CENTRES = 64
_FIELDS = 3
_NEVER = -1e9
#: Stands for never, in milliseconds; some eleven days.
_MAX_AGE = 1_000_000_000
_LIMIT = _MAX_AGE + 1
_LONGEST_SECONDS = 500_000


@dataclass(slots=True)
class _Times:
    heard: float = _NEVER
    read: float = _NEVER


class Ages:
    """Times on this process's clock; only ages travel."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self._centres: dict[str, _Times] = {}

    @property
    def centres(self) -> list[str]:
        """The data centres that were heard of."""
        return list(self._centres)

    def hear(self, centre: str, now: float) -> None:
        """Note that a process of a data centre was heard."""
        self._times(centre).heard = now

    def note_read(self, centre: str, now: float) -> None:
        """Note that a process of a data centre reached the platform."""
        self._times(centre).read = now

    def silence(self, centre: str, now: float) -> float | None:
        """Return the seconds since anyone heard from a data centre."""
        times = self._centres.get(centre)
        if times is None or now - times.heard > _LONGEST_SECONDS:
            return None
        return now - times.heard

    def read_age(self, centre: str, now: float) -> float:
        """Return the seconds since a data centre's readers were served."""
        times = self._centres.get(centre)
        if times is None:
            return now - _NEVER
        return now - times.read

    def parts(self, now: float) -> list[Any]:
        """Return the ages as messages carry them."""
        return [
            [
                centre,
                _age(times.heard, now),
                _age(times.read, now),
            ]
            for centre, times in self._centres.items()
        ]

    def merge(self, given: Iterable[Any], now: float) -> None:
        """Take over what a peer heard more lately; skip malformed parts."""
        for part in given:
            if _is_sound(part) and self._has_room(part[0]):
                centre, heard, read = part
                times = self._centres.get(centre) or self._times(centre)
                heard_at = now - heard / _MILLISECONDS
                read_at = now - read / _MILLISECONDS
                if heard_at > times.heard:
                    times.heard = heard_at
                if read_at > times.read:
                    times.read = read_at

    def _has_room(self, centre: str) -> bool:
        return centre in self._centres or len(self._centres) < _MAX_CENTRES

    def _times(self, centre: str) -> _Times:
        return self._centres.setdefault(centre, _Times())


def _age(at: float, now: float) -> int:
    age = int((now - at) * _MILLISECONDS)
    return min(max(age, 0), _MAX_AGE)


def _is_sound(part: Any) -> bool:
    if not isinstance(part, list) or len(part) != _FIELDS:
        return False
    centre, heard, read = part
    if not is_number(heard, _LIMIT) or not is_number(read, _LIMIT):
        return False
    return is_name(centre)
