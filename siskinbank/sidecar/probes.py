"""Questions to other hosts whether they own a flow that looks new."""

__all__ = ('Probes',)

_MAX_PROBES = 10_000
_MAX_TRIES = 2
#: How long a question may be on its way before it counts as lost.
_OPEN_SECONDS = 0.5
_FORGET_SECONDS = 30


class Probes:
    """The questions that were asked lately."""

    def __init__(self) -> None:
        """Start empty."""
        self._asked: dict[bytes, tuple[float, int]] = {}

    def __len__(self) -> int:
        """Return the number of flows asked for."""
        return len(self._asked)

    def start(self, flow: bytes, now: float) -> bool:
        """Note a question; return False when it was asked in vain before."""
        since, tries = self._asked.get(flow, (now, 0))
        if now - since > _FORGET_SECONDS:
            tries = 0
        if tries >= _MAX_TRIES:
            self._asked.pop(flow)
            return False
        if len(self._asked) >= _MAX_PROBES:
            self._asked.clear()
        self._asked[flow] = (now, tries + 1)
        return True

    def is_open(self, flow: bytes, now: float) -> bool:
        """Whether an answer may still come."""
        asked = self._asked.get(flow)
        return asked is not None and now - asked[0] < _OPEN_SECONDS

    def end(self, flow: bytes) -> None:
        """Forget a flow that was taken."""
        self._asked.pop(flow, None)
