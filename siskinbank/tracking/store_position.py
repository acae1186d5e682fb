"""Position in the history of the store."""

from __future__ import annotations

__all__ = ('StorePosition',)


class StorePosition:
    """A revision of the store, within an era.

    A store that comes back from an older copy gives out revisions again; its
    era is higher by one then. Positions are ordered by era first.

    Attributes:
        era: number of the era, 0 if the store does not state it.
        revision: revision of the store, 0 before the first read.
    """

    __slots__ = ('era', 'revision')

    def __init__(self, era: int = 0, revision: int = 0) -> None:
        """Create a position; without arguments the one before all others."""
        self.era = era
        self.revision = revision

    def __bool__(self) -> bool:
        """Return whether anything was read."""
        return self.revision > 0

    def __str__(self) -> str:
        """Return the position as text for the logs."""
        return f'{self.era}.{self.revision}'

    def is_before(self, other: StorePosition) -> bool:
        """Return whether another position is later in the history."""
        return (self.era, self.revision) < (other.era, other.revision)

    def advance(self, revision: int) -> StorePosition:
        """Return the later one of this position and a revision of its era."""
        return StorePosition(self.era, max(self.revision, revision))
