"""Tables of an upstream's flows and of pointers to flows of other hosts."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ('FlowTable', 'OwnedFlow', 'Pointer', 'PointerTable')

_OPEN_IDLE_SECONDS = 900
_CLOSING_IDLE_SECONDS = 30
_ADOPTED_IDLE_SECONDS = 60
#: An adopted flow is in use if it has packets for longer than this.
_CONFIRM_SECONDS = 1


@dataclass(slots=True)
class OwnedFlow:
    """One flow of this upstream.

    Attributes:
        opened: when the flow was added, in seconds of the clock.
        last_seen: when its last packet was received.
        idle_timeout: the idle timeout in seconds.
        charged: whether it counts against the connection limit.
        closing: whether the caller has sent all its data.
    """

    opened: float
    last_seen: float
    idle_timeout: float = _OPEN_IDLE_SECONDS
    charged: bool = True
    closing: bool = False

    def close(self) -> None:
        """Mark the flow as closing, after the caller's FIN or RST.

        The flow is not removed yet: a forged reset, which the upstream
        ignores, must not end it.
        """
        self.closing = True
        self.idle_timeout = _CLOSING_IDLE_SECONDS

    def reopen(self) -> None:
        """Mark the flow as open, after a new connection with the same ports."""
        self.closing = False
        self.idle_timeout = _OPEN_IDLE_SECONDS


class FlowTable:
    """The flows of one upstream by the 13 bytes of ``InnerPacket.flow``."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._flows: dict[bytes, OwnedFlow] = {}

    def __len__(self) -> int:
        """Return the number of owned flows, closing ones included."""
        return len(self._flows)

    def __contains__(self, flow: object) -> bool:
        """Return whether a flow is owned."""
        return flow in self._flows

    def __iter__(self) -> Iterator[bytes]:
        """Return an iterator over the flows."""
        return iter(self._flows)

    def get(self, flow: bytes) -> OwnedFlow | None:
        """Return an owned flow, or None if it is not owned."""
        return self._flows.get(flow)

    def add(self, flow: bytes, now: float) -> OwnedFlow:
        """Add a new flow and return it."""
        owned = OwnedFlow(now, now)
        self._flows[flow] = owned
        return owned

    def adopt(self, flow: bytes, now: float, *, charged: bool) -> None:
        """Add a flow of an earlier incarnation, with a short idle timeout.

        The timeout of open flows applies once its caller sends more.
        """
        owned = OwnedFlow(now, now, _ADOPTED_IDLE_SECONDS, charged)
        self._flows[flow] = owned

    def remove(self, flow: bytes) -> OwnedFlow | None:
        """Remove a flow; return it if it was owned."""
        return self._flows.pop(flow, None)

    def clear(self) -> list[OwnedFlow]:
        """Remove all flows and return them."""
        removed = list(self._flows.values())
        self._flows.clear()
        return removed

    def expire(self, now: float) -> list[OwnedFlow]:
        """Remove flows whose idle timeout has passed; return them."""
        silent = [
            flow
            for flow, owned in self._flows.items()
            if now - owned.last_seen > _idle_timeout(owned)
        ]
        return [self._flows.pop(flow) for flow in silent]


def _idle_timeout(owned: OwnedFlow) -> float:
    """Return the idle timeout; raise that of an adopted flow still in use."""
    if owned.idle_timeout == _ADOPTED_IDLE_SECONDS:
        if owned.last_seen - owned.opened > _CONFIRM_SECONDS:
            owned.idle_timeout = _OPEN_IDLE_SECONDS
    return owned.idle_timeout


@dataclass(frozen=True, slots=True)
class Pointer:
    """A leased pointer to the owner of a flow.

    Attributes:
        address: the owner's packed address.
        incarnation: the owner's incarnation, 0 if ownership is not certain.
        generation: the configuration generation of the sender.
        expires: when the lease ends, in seconds of the clock.
    """

    address: bytes
    incarnation: int
    generation: int
    expires: float


class PointerTable:
    """Pointers to flows that other hosts own, by flow number."""

    def __init__(self, size: int) -> None:
        """Create a table of at most ``size`` pointers, evicting the oldest."""
        self._size = size
        self._pointers: dict[int, Pointer] = {}
        #: Number of pointers by address and incarnation of the owner.
        self._counts: Counter[tuple[bytes, int]] = Counter()

    def __len__(self) -> int:
        """Return the number of pointers, expired ones included."""
        return len(self._pointers)

    def put(self, number: int, pointer: Pointer) -> None:
        """Store the pointer to a flow's owner."""
        self.forget(number)
        self._pointers[number] = pointer
        self._counts[_owner(pointer)] += 1
        if len(self._pointers) > self._size:
            self.forget(next(iter(self._pointers)))

    def get(self, number: int, now: float) -> Pointer | None:
        """Return the pointer of a flow, or None if it is unknown or expired."""
        known = self._pointers.get(number)
        if known is None or known.expires < now:
            return None
        return known

    def forget(self, number: int) -> None:
        """Remove the pointer of a flow."""
        removed = self._pointers.pop(number, None)
        if removed is None:
            return
        owner = _owner(removed)
        self._counts[owner] -= 1
        if not self._counts[owner]:
            del self._counts[owner]

    def extend(self, address: bytes, incarnation: int, expires: float) -> None:
        """Extend the leases of pointers to earlier incarnations of a host.

        A host announces its start several times, and in a pool that starts at
        once there are no earlier incarnations; the pointers are only searched
        if there is one.
        """
        if not any(
            known_address == address and known_incarnation != incarnation
            for known_address, known_incarnation in self._counts
        ):
            return
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
        """Remove the pointers whose lease has expired."""
        removed = [
            number
            for number, pointer in self._pointers.items()
            if pointer.expires < now
        ]
        for number in removed:
            self.forget(number)


def _owner(pointer: Pointer) -> tuple[bytes, int]:
    return pointer.address, pointer.incarnation
