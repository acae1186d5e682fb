"""When each data centre was last seen, as ages that peers exchange."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from siskinbank.wire.checks import is_number_below, is_valid_name

__all__ = ('DataCentreAges',)

_MILLISECONDS = 1000
_MAX_CENTRES = 64
_FIELDS = 3
_NEVER_SECONDS = -1e9
#: The age sent for "never": about eleven days.
_MAX_AGE_MILLISECONDS = 1_000_000_000
_AGE_LIMIT = _MAX_AGE_MILLISECONDS + 1
#: A data centre that was last seen longer ago counts as never seen. Less than
#: the age sent for "never".
_MAX_SILENT_SECONDS = 500_000


@dataclass(slots=True)
class _LastTimes:
    received: float = _NEVER_SECONDS
    read: float = _NEVER_SECONDS


class DataCentreAges:
    """When each data centre was last seen and last read the platform.

    Times are kept on this process's own clock. Messages carry ages, since the
    clocks of processes differ.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._centres: dict[str, _LastTimes] = {}

    @property
    def centres(self) -> list[str]:
        """The names of the known data centres."""
        return list(self._centres)

    def note_received(self, centre: str, now: float) -> None:
        """Record that a message from a data centre was received."""
        self._times(centre).received = now

    def note_read(self, centre: str, now: float) -> None:
        """Record that a process of a data centre reached the platform."""
        self._times(centre).read = now

    def silent_for(self, centre: str, now: float) -> float | None:
        """Return the seconds since a data centre was last seen.

        None if that is not known. Messages that were received by peers count
        too.
        """
        times = self._centres.get(centre)
        if times is None or now - times.received > _MAX_SILENT_SECONDS:
            return None
        return now - times.received

    def read_age(self, centre: str, now: float) -> float:
        """Return the seconds since a data centre last reached the platform."""
        times = self._centres.get(centre)
        if times is None:
            return now - _NEVER_SECONDS
        return now - times.read

    def parts(self, now: float) -> list[Any]:
        """Return the ages in their message form."""
        return [
            [
                centre,
                _age(times.received, now),
                _age(times.read, now),
            ]
            for centre, times in self._centres.items()
        ]

    def merge(self, received_parts: Iterable[Any], now: float) -> None:
        """Merge a peer's ages: the most recent time wins.

        Malformed parts are skipped.
        """
        for part in received_parts:
            if _is_valid(part) and self._has_room(part[0]):
                centre, received, read = part
                times = self._centres.get(centre) or self._times(centre)
                received_at = now - received / _MILLISECONDS
                read_at = now - read / _MILLISECONDS
                if received_at > times.received:
                    times.received = received_at
                if read_at > times.read:
                    times.read = read_at

    def _has_room(self, centre: str) -> bool:
        return centre in self._centres or len(self._centres) < _MAX_CENTRES

    def _times(self, centre: str) -> _LastTimes:
        return self._centres.setdefault(centre, _LastTimes())


def _age(time: float, now: float) -> int:
    age = int((now - time) * _MILLISECONDS)
    return min(max(age, 0), _MAX_AGE_MILLISECONDS)


def _is_valid(part: Any) -> bool:
    if not isinstance(part, list) or len(part) != _FIELDS:
        return False
    centre, received, read = part
    if not is_number_below(received, _AGE_LIMIT) or not is_number_below(
        read, _AGE_LIMIT
    ):
        return False
    return is_valid_name(centre)
