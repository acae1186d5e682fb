"""The flows that an upstream owns, and where moved flows live."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ('FlowTable', 'Pointers')


@dataclass(slots=True)
class _Flow:
    seen: float
    closing: bool = False


class FlowTable:
    """Flows of one upstream by their 64-bit number."""

    def __init__(self) -> None:
        """Start empty."""
        self._flows: dict[int, _Flow] = {}

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._flows)

    def __contains__(self, flow: object) -> bool:
        """Return whether a flow is owned."""
        return flow in self._flows

    def __iter__(self) -> Iterator[int]:
        """Go through the flow numbers."""
        return iter(self._flows)

    def touch(self, flow: int, now: float, *, closing: bool) -> bool:
        """Note a packet; return whether the flow is owned here."""
        known = self._flows.get(flow)
        if known is None:
            return False
        known.seen = now
        known.closing = known.closing or closing
        return True

    def add(self, flow: int, now: float) -> None:
        """Own a flow from now on."""
        self._flows[flow] = _Flow(now)

    def remove(self, flow: int) -> bool:
        """Forget a flow; return whether it was owned."""
        return self._flows.pop(flow, None) is not None

    def clear(self) -> int:
        """Give up all flows; return how many they were."""
        count = len(self._flows)
        self._flows.clear()
        return count

    def expire(self, now: float, idle: float, closing_idle: float) -> int:
        """Forget flows that were silent too long; return how many.

        Args:
            now: the time in seconds.
            idle: the longest silence of an open flow, in seconds.
            closing_idle: the same after the caller has sent all.
        """
        limits = (idle, closing_idle)
        silent = [
            number
            for number, flow in self._flows.items()
            if now - flow.seen > limits[flow.closing]
        ]
        for number in silent:
            del self._flows[number]
        return len(silent)


class Pointers:
    """Leases on where flows live that other hosts own."""

    def __init__(self) -> None:
        """Start empty."""
        self._owners: dict[int, tuple[bytes, float]] = {}

    def __len__(self) -> int:
        """Return the number of pointers, expired ones included."""
        return len(self._owners)

    def put(self, flow: int, owner: bytes, expires: float) -> None:
        """Remember the owner of a flow until ``expires``."""
        self._owners[flow] = (owner, expires)

    def get(self, flow: int, now: float) -> bytes | None:
        """Return the owner's packed address while its lease runs."""
        known = self._owners.get(flow)
        if known is None or known[1] < now:
            return None
        return known[0]

    def forget(self, flow: int) -> None:
        """Forget a flow."""
        self._owners.pop(flow, None)

    def expire(self, now: float) -> None:
        """Forget the leases that have run out."""
        gone = [
            flow
            for flow, (_owner, expires) in self._owners.items()
            if expires < now
        ]
        for flow in gone:
            del self._owners[flow]
