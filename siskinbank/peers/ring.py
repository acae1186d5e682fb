"""Watch the successors on the ring of one's data centre."""

from dataclasses import dataclass

from siskinbank.directory.roster import Record, Roster, ring_key
from siskinbank.directory.words import Word, WordBook, WordState

__all__ = ('RingWatch',)

_WATCHED = 2
_LOOKED_AT = 8
_SILENT_SECONDS = 4


@dataclass(slots=True)
class _Neighbour:
    """A watched successor; ``since`` is when it last answered, or first."""

    since: float
    epoch: int = 0


class RingWatch:
    """When each of the watched successors last answered."""

    def __init__(self, name: str, data_centre: str) -> None:
        """Watch for the process ``name``."""
        self._name = name
        self._data_centre = data_centre
        self._neighbours: dict[str, _Neighbour] = {}

    def hear(self, name: str, epoch: int, now: float) -> None:
        """Note that an instance spoke."""
        neighbour = self._neighbours.get(name)
        if neighbour is not None:
            neighbour.since = now
            neighbour.epoch = epoch

    def update(
        self,
        roster: Roster,
        words: WordBook,
        now: float,
        *,
        reset: bool,
    ) -> tuple[list[Record], list[Word]]:
        """Return whom to ask now, and words on those who did not answer.

        Args:
            roster: all instances.
            words: what is said of them; silent ones are passed over.
            now: the time in seconds.
            reset: the process was itself cut off, so that silence proves
                nothing yet.
        """
        successors = self._successors(roster, words)
        watched = self._neighbours
        self._neighbours = {
            record.name: watched.get(record.name) or _Neighbour(now)
            for record in successors
        }
        if reset:
            for neighbour in self._neighbours.values():
                neighbour.since = now
        silent = [
            self._silent_word(record.name, words)
            for record in successors
            if now - self._neighbours[record.name].since >= _SILENT_SECONDS
        ]
        return successors, silent

    def _silent_word(self, name: str, words: WordBook) -> Word:
        known = words.get(name)
        epoch = max(
            self._neighbours[name].epoch,
            known.epoch if known else 0,
        )
        return Word(epoch, WordState.silent, name)

    def _successors(self, roster: Roster, words: WordBook) -> list[Record]:
        ring = roster.index().rings.get(self._data_centre, ())
        place = _place_on(ring, self._name)
        found: list[Record] = []
        for step in range(1, min(len(ring), _LOOKED_AT)):
            record = ring[(place + step) % len(ring)]
            if record.name == self._name or len(found) == _WATCHED:
                break
            if words.silent_for(record.name, 0) is None:
                found.append(record)
        return found


def _place_on(ring: tuple[Record, ...], name: str) -> int:
    """Return the place of a name on a ring that is sorted by hash."""
    low, high = 0, len(ring)
    wanted = ring_key(name)
    while low < high:
        middle = (low + high) // 2
        if ring_key(ring[middle].name) < wanted:
            low = middle + 1
        else:
            high = middle
    return low if low < len(ring) and ring[low].name == name else low - 1
