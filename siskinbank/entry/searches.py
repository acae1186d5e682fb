"""Searches for flow owners that no sidecar has answered yet."""

__all__ = ('Searches',)

_MAX_SEARCHES = 10_000
#: A caller's shortest retransmission time; an answer takes a few milliseconds.
_PATIENCE_SECONDS = 0.3


class Searches:
    """Turns to the next candidate when the last one seems to be silent."""

    def __init__(self) -> None:
        """Start empty."""
        self._open: dict[bytes, tuple[float, int]] = {}

    def __len__(self) -> int:
        """Return the number of open searches."""
        return len(self._open)

    def turn(self, flow: bytes, now: float, count: int) -> int:
        """Return the position of the candidate to ask first.

        Args:
            flow: the flow whose owner is wanted.
            now: the time in seconds.
            count: the number of candidates.
        """
        since, turn = self._open.get(flow, (now, 0))
        if now - since > _PATIENCE_SECONDS:
            since, turn = now, turn + 1
        if len(self._open) >= _MAX_SEARCHES:
            self._open.clear()
        self._open[flow] = (since, turn)
        return turn % count if count else 0

    def end(self, flow: bytes) -> None:
        """Forget a search that was answered."""
        self._open.pop(flow, None)
