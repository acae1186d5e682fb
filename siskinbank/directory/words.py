"""What processes say of each other: alive, leaving or silent.

A word is about one life of an instance, its epoch. Within an epoch a later
state replaces an earlier one, as in SWIM (Das, Gupta and Motivala, 2002): only
the instance itself starts a new epoch, and so takes back what was said of it.
"""

from dataclasses import dataclass
from typing import Any

from siskinbank.wire.checks import is_name, is_number

__all__ = ('Word', 'WordBook', 'WordState', 'parse_word')

_MAX_EPOCH = 1 << 48
_FIELDS = 3


class WordState:
    """States in the order in which they replace each other."""

    alive = 0
    leaving = 1
    silent = 2


@dataclass(frozen=True, slots=True, order=True)
class Word:
    """One statement about an instance."""

    epoch: int
    state: int
    name: str

    @property
    def parts(self) -> list[Any]:
        """The word as messages carry it."""
        return [self.epoch, self.state, self.name]


def parse_word(parts: Any) -> Word | None:
    """Read a word of a message; None when it is malformed."""
    if not isinstance(parts, list) or len(parts) != _FIELDS:
        return None
    epoch, state, name = parts
    if not is_number(epoch, _MAX_EPOCH) or not is_name(name):
        return None
    if not is_number(state, WordState.silent + 1):
        return None
    return Word(epoch, state, name)


@dataclass(slots=True)
class _Heard:
    word: Word
    at: float
    left: bool


class WordBook:
    """The words that are in force; being alive needs none."""

    def __init__(self) -> None:
        """Start with nothing said."""
        self._heard: dict[str, _Heard] = {}

    def __len__(self) -> int:
        """Return the number of instances that something is said of."""
        return len(self._heard)

    @property
    def leaving(self) -> frozenset[str]:
        """The instances that said that they leave, silent since or not."""
        return frozenset(
            name for name, heard in self._heard.items() if heard.left
        )

    def take(self, word: Word, now: float) -> bool:
        """Take a word; return whether it is news."""
        heard = self._heard.get(word.name)
        if heard is not None and word <= heard.word:
            return False
        if heard is None and word.state == WordState.alive:
            return False
        before = heard is not None and heard.left
        left = word.state == WordState.leaving
        left = left or (before and word.state == WordState.silent)
        self._heard[word.name] = _Heard(word, now, left)
        return True

    def get(self, name: str) -> Word | None:
        """Return what was last said of an instance."""
        heard = self._heard.get(name)
        return heard.word if heard else None

    def silent_for(self, name: str, now: float) -> float | None:
        """Return the seconds since an instance was called silent."""
        heard = self._heard.get(name)
        if heard is None or heard.word.state != WordState.silent:
            return None
        return now - heard.at

    def silent(self, now: float) -> dict[str, float]:
        """Return the silent instances, with the seconds since then."""
        return {
            name: now - heard.at
            for name, heard in self._heard.items()
            if heard.word.state == WordState.silent
        }

    def prune(self, now: float, alive_seconds: float) -> None:
        """Forget words that an instance is alive after a while."""
        self._heard = {
            name: heard
            for name, heard in self._heard.items()
            if heard.word.state != WordState.alive
            or now - heard.at < alive_seconds
        }

    def forget(self, name: str) -> None:
        """Forget what was said of an instance."""
        self._heard.pop(name, None)
