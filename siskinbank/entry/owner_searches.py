"""Unanswered searches for the owners of flows."""

from collections.abc import Sequence
from dataclasses import dataclass

from siskinbank.config.site import Host

__all__ = ('OwnerSearches',)

_MAX_SEARCHES = 10_000
#: The shortest retransmission timeout of a caller; an answer takes a few
#: milliseconds.
_ANSWER_TIMEOUT_SECONDS = 0.3
#: How long a silent host is asked last, before it is asked by rank again.
_ASKED_LAST_SECONDS = 5.0


@dataclass(slots=True)
class _OwnerSearch:
    since: float
    position: int
    asked: str


class OwnerSearches:
    """Orders candidates so that silent hosts are asked last.

    A search goes on to the next candidate after a timeout. A host that leaves
    any search unanswered is asked last for all flows, so that a dead host
    costs an entry one or two packets, not one for each flow.
    """

    def __init__(self) -> None:
        """Initialize without searches."""
        self._open: dict[bytes, _OwnerSearch] = {}
        self._unanswered_since: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of open searches."""
        return len(self._open)

    def order(
        self,
        flow: bytes,
        now: float,
        hosts: Sequence[Host],
    ) -> list[Host]:
        """Return the candidates in the order in which to ask them.

        Args:
            flow: the flow whose owner is wanted.
            now: the time in seconds.
            hosts: the candidates by rank.
        """
        if not hosts:
            return []
        ranked = sorted(hosts, key=lambda host: self._is_silent(host, now))
        search = self._open.get(flow)
        if search is None:
            search = _OwnerSearch(now, 0, ranked[0].name)
        elif now - search.since > _ANSWER_TIMEOUT_SECONDS:
            search = self._next_search(search, now, ranked)
        self._record(flow, search, now)
        position = search.position % len(ranked)
        return ranked[position:] + ranked[:position]

    def end(self, flow: bytes) -> None:
        """End an answered search.

        The host that was asked counts as responsive even if another host
        answered, as it forwarded the packet.
        """
        search = self._open.pop(flow, None)
        if search is not None:
            self._unanswered_since.pop(search.asked, None)

    def _next_search(
        self,
        search: _OwnerSearch,
        now: float,
        ranked: Sequence[Host],
    ) -> _OwnerSearch:
        """Advance to the next host, unless sorting moved the silent one."""
        position = search.position % len(ranked)
        if ranked[position].name == search.asked:
            position = (position + 1) % len(ranked)
        return _OwnerSearch(now, position, ranked[position].name)

    def _record(self, flow: bytes, search: _OwnerSearch, now: float) -> None:
        if len(self._open) >= _MAX_SEARCHES:
            self._open.clear()
            self._unanswered_since.clear()
        self._open[flow] = search
        self._unanswered_since.setdefault(search.asked, now)

    def _is_silent(self, host: Host, now: float) -> bool:
        since = self._unanswered_since.get(host.name)
        if since is None:
            return False
        if now - since > _ASKED_LAST_SECONDS:
            del self._unanswered_since[host.name]
            return False
        return now - since > _ANSWER_TIMEOUT_SECONDS
