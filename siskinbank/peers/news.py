"""News of instances on its way to others, each sent a bounded number of times."""

from dataclasses import dataclass
from typing import Any

from siskinbank.directory.roster import Record
from siskinbank.directory.words import Word

__all__ = ('News',)

_SENDS = 8
_MAX_WAITING = 256
_A_MESSAGE = 12


@dataclass(slots=True)
class _Item:
    parts: list[Any]
    left: int = _SENDS


class News:
    """The newest record and word of each instance that has news."""

    def __init__(self) -> None:
        """Start without news."""
        self._records: dict[str, _Item] = {}
        self._words: dict[str, _Item] = {}

    def __bool__(self) -> bool:
        """Whether there is anything to send."""
        return bool(self._records or self._words)

    def add_record(self, record: Record) -> None:
        """Pass on a record; beyond a bound, comparing buckets must do."""
        if len(self._records) < _MAX_WAITING:
            self._records[record.name] = _Item(record.parts)

    def add_word(self, word: Word) -> None:
        """Pass on a word."""
        if len(self._words) < _MAX_WAITING:
            self._words[word.name] = _Item(word.parts)

    def next_records(self) -> list[Any]:
        """Return records for one message."""
        return _take(self._records)

    def next_words(self) -> list[Any]:
        """Return words for one message."""
        return _take(self._words)


def _take(items: dict[str, _Item]) -> list[Any]:
    """Take the items that were sent least often."""
    if not items:
        return []
    chosen = sorted(items, key=lambda name: -items[name].left)[:_A_MESSAGE]
    parts = []
    for name in chosen:
        found = items[name]
        parts.append(found.parts)
        found.left -= 1
        if not found.left:
            del items[name]
    return parts
