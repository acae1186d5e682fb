"""The flows that an upstream owns, and where moved flows live."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ('FlowTable', 'OwnedFlow', 'Pointer', 'Pointers')

_OPEN_IDLE_SECONDS = 900
_CLOSING_IDLE_SECONDS = 30
_ADOPTED_IDLE_SECONDS = 60
_CONFIRM_SECONDS = 1


@dataclass(slots=True)
class OwnedFlow:
    """One flow of this upstream.

    ``idle`` is the longest silence in seconds before it is forgotten;
    ``charged`` says whether it counts against the connection limit.
    """

    opened: float
    seen: float
    idle: float = _OPEN_IDLE_SECONDS
    charged: bool = True
    closing: bool = False

    def close(self) -> None:
        """Note that the caller has sent all it will send.

        This ends nothing yet: a forged reset, which the upstream ignores,
        must not cut the flow.
        """
        self.closing = True
        self.idle = _CLOSING_IDLE_SECONDS

    def reopen(self) -> None:
        """Note that the caller has opened a connection of the same name."""
        self.closing = False
        self.idle = _OPEN_IDLE_SECONDS


class FlowTable:
    """Flows of one upstream by their 13 bytes."""

    def __init__(self) -> None:
        """Start empty."""
        self._flows: dict[bytes, OwnedFlow] = {}

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._flows)

    def __contains__(self, flow: object) -> bool:
        """Return whether a flow is owned."""
        return flow in self._flows

    def __iter__(self) -> Iterator[bytes]:
        """Go through the flows."""
        return iter(self._flows)

    def get(self, flow: bytes) -> OwnedFlow | None:
        """Return an owned flow."""
        return self._flows.get(flow)

    def add(self, flow: bytes, now: float) -> OwnedFlow:
        """Own a flow from now on."""
        owned = OwnedFlow(now, now)
        self._flows[flow] = owned
        return owned

    def adopt(self, flow: bytes, now: float, *, charged: bool) -> None:
        """Own a flow of an earlier life, until it proves to be alive."""
        owned = OwnedFlow(now, now, _ADOPTED_IDLE_SECONDS, charged)
        self._flows[flow] = owned

    def remove(self, flow: bytes) -> OwnedFlow | None:
        """Forget a flow; return it if it was owned."""
        return self._flows.pop(flow, None)

    def clear(self) -> list[OwnedFlow]:
        """Give up all flows; return them."""
        gone = list(self._flows.values())
        self._flows.clear()
        return gone

    def expire(self, now: float) -> list[OwnedFlow]:
        """Forget flows that were silent too long; return them."""
        silent = [
            flow
            for flow, owned in self._flows.items()
            if now - owned.seen > _longest_silence(owned)
        ]
        return [self._flows.pop(flow) for flow in silent]


def _longest_silence(owned: OwnedFlow) -> float:
    """Return its ``idle``; an adopted flow's grows once its caller goes on."""
    if owned.idle == _ADOPTED_IDLE_SECONDS:
        if owned.seen - owned.opened > _CONFIRM_SECONDS:
            owned.idle = _OPEN_IDLE_SECONDS
    return owned.idle


@dataclass(frozen=True, slots=True)
class Pointer:
    """A lease on where a flow lives; ``expires`` in seconds of the clock."""

    address: bytes
    incarnation: int
    generation: int
    expires: float


class Pointers:
    """Leases on where flows live that other hosts own, by flow number."""

    def __init__(self, size: int) -> None:
        """Keep at most ``size`` pointers; the oldest ones go first."""
        self._size = size
        self._pointers: dict[int, Pointer] = {}

    def __len__(self) -> int:
        """Return the number of pointers, expired ones included."""
        return len(self._pointers)

    def put(self, number: int, pointer: Pointer) -> None:
        """Remember where a flow lives."""
        self._pointers.pop(number, None)
        self._pointers[number] = pointer
        if len(self._pointers) > self._size:
            del self._pointers[next(iter(self._pointers))]

    def get(self, number: int, now: float) -> Pointer | None:
        """Return the pointer of a flow while its lease runs."""
        known = self._pointers.get(number)
        if known is None or known.expires < now:
            return None
        return known

    def forget(self, number: int) -> None:
        """Forget a flow."""
        self._pointers.pop(number, None)

    def extend(self, address: bytes, incarnation: int, expires: float) -> None:
        """Keep what points to earlier lives of a host that has restarted."""
        for number, pointer in self._pointers.items():
            if pointer.address == address and (
                pointer.incarnation != incarnation
            ):
                self._pointers[number] = Pointer(
                    address,
                    pointer.incarnation,
                    pointer.generation,
                    expires,
                )

    def expire(self, now: float) -> None:
        """Forget the leases that have run out."""
        gone = [
            number
            for number, pointer in self._pointers.items()
            if pointer.expires < now
        ]
        for number in gone:
            del self._pointers[number]
