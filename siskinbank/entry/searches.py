"""Searches for flow owners that no sidecar has answered yet."""

from collections.abc import Sequence
from dataclasses import dataclass

from siskinbank.config.site import Host

__all__ = ('Searches',)

_MAX_SEARCHES = 10_000
#: A caller's shortest retransmission time; an answer takes a few milliseconds.
_PATIENCE_SECONDS = 0.3
#: How long a silent host is asked last, before it is tried first again.
_SUSPECT_SECONDS = 5.0


@dataclass(slots=True)
class _Search:
    since: float
    turn: int
    asked: str


class Searches:
    """Turns to the next candidate when the one that was asked seems silent.

    A host that owes an answer to any search is asked last for all flows, so
    that a dead host costs an entry a packet or two, not one for each flow.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._open: dict[bytes, _Search] = {}
        self._owed_since: dict[str, float] = {}

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
            search = _Search(now, 0, ranked[0].name)
        elif now - search.since > _PATIENCE_SECONDS:
            search = self._next(search, now, ranked)
        self._remember(flow, search, now)
        turn = search.turn % len(ranked)
        return ranked[turn:] + ranked[:turn]

    def end(self, flow: bytes) -> None:
        """Forget a search that was answered; who was asked passed it on."""
        search = self._open.pop(flow, None)
        if search is not None:
            self._owed_since.pop(search.asked, None)

    def _next(
        self,
        search: _Search,
        now: float,
        ranked: Sequence[Host],
    ) -> _Search:
        """Ask the next host, unless the silent one is asked last already."""
        turn = search.turn % len(ranked)
        if ranked[turn].name == search.asked:
            turn = (turn + 1) % len(ranked)
        return _Search(now, turn, ranked[turn].name)

    def _remember(self, flow: bytes, search: _Search, now: float) -> None:
        if len(self._open) >= _MAX_SEARCHES:
            self._open.clear()
            self._owed_since.clear()
        self._open[flow] = search
        self._owed_since.setdefault(search.asked, now)

    def _is_silent(self, host: Host, now: float) -> bool:
        since = self._owed_since.get(host.name)
        if since is None:
            return False
        if now - since > _SUSPECT_SECONDS:
            del self._owed_since[host.name]
            return False
        return now - since > _PATIENCE_SECONDS
