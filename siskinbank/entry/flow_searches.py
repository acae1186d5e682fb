"""Searches for the hosts of flows that an entry does not know."""

from __future__ import annotations

__all__ = ('SEARCH_S', 'Search', 'Searches')

# How long a search may take, in seconds: less than the client's first
# retransmission after 0.2 s, which starts the next.
SEARCH_S = 0.18
# Packets kept for one flow meanwhile: as many as an end has under way.
_MOST_WAITING = 16
# Searches at once; beyond that packets are dropped and come again.
_MOST_SEARCHES = 512


class Search:
    """One flow whose host is looked for.

    Attributes:
        began: when.
        first: the packet that went to the hosts.
        asked: the hosts that have not answered yet.
        waiting: the flow's packets since.
    """

    __slots__ = ('asked', 'began', 'first', 'waiting')

    def __init__(self, began: float, asked: set[str], first: bytes) -> None:
        """Ask all at once."""
        self.began = began
        self.asked = asked
        self.first = first
        self.waiting: list[bytes] = []

    def keep(self, packet: bytes) -> None:
        """Keep a packet until the host is found."""
        if len(self.waiting) < _MOST_WAITING:
            self.waiting.append(packet)


class Searches:
    """All searches of one entry, by flow key."""

    __slots__ = ('_searches',)

    def __init__(self) -> None:
        """Start with none."""
        self._searches: dict[bytes, Search] = {}

    @property
    def full(self) -> bool:
        """Whether no more searches may begin now."""
        return len(self._searches) >= _MOST_SEARCHES

    def get(self, key: bytes) -> Search | None:
        """Return the search for a flow."""
        return self._searches.get(key)

    def begin(self, key: bytes, search: Search) -> None:
        """Add a search."""
        self._searches[key] = search

    def end(self, key: bytes) -> Search | None:
        """Take a search out."""
        return self._searches.pop(key, None)

    def overdue(self, now: float) -> list[tuple[bytes, Search]]:
        """Take out the searches that found nothing in time."""
        edge = now - SEARCH_S
        late = [
            (key, search)
            for key, search in self._searches.items()
            if search.began < edge
        ]
        for key, _ in late:
            self._searches.pop(key)
        return late
