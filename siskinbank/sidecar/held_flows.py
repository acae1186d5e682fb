"""The flows of a sidecar's host, and the requests in them.

A sidecar sees every packet of its host in both directions, so it knows what
the host works on without asking.
"""

from __future__ import annotations

from siskinbank.platform.packets import (
    HEAD_BYTES,
    Answer,
    begins_request,
    read_answer,
    request_id,
    sequence_numbers,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.messages import Opening

__all__ = ('HeldFlow', 'Request', 'Waiting')

_NONE = -1


class Request:
    """A request in progress.

    Attributes:
        began: when its first packet came.
        name: the id that its client gave it, for the logs.
        waited: whether all slots of the host were in use.
    """

    __slots__ = ('began', 'name', 'waited')

    def __init__(self, began: float, name: str) -> None:
        """Note its begin."""
        self.began = began
        self.name = name
        self.waited = False


class HeldFlow:
    """A flow that the host holds.

    Attributes:
        entry: address of the entry that its packets come from.
        client: where the client takes packets.
        number: the host's first sequence number, 0 if unknown.
        established: the host has worked on it.
        seen: time of the last packet.
        head: head of the client's last packet.
        request: the request in progress.
        ended: when the flow was seen to end, 0 while it is open.
    """

    __slots__ = (
        '_newest',
        'client',
        'ended',
        'entry',
        'established',
        'head',
        'number',
        'request',
        'seen',
    )

    def __init__(self, entry: str, client: tuple[str, int], now: float) -> None:
        """Begin with a flow that the host has answered."""
        self.entry = entry
        self.client = client
        self.number = 0
        self.established = False
        self.seen = now
        self.head = b''
        self.request: Request | None = None
        self.ended: float = 0
        self._newest = _NONE

    def take_packet(self, packet: bytes, now: float) -> Request | None:
        """Follow a client's packet; return the request that it begins."""
        self.seen = now
        self.head = packet[:HEAD_BYTES]
        if not begins_request(packet):
            return None
        number = sequence_numbers(packet)[0]
        if number == self._newest:
            # Sent again.
            return None
        self._newest = number
        self.request = Request(now, request_id(packet))
        return self.request

    def take_answer(self, packet: bytes, now: float) -> Answer | None:
        """Follow a host's packet; return the answer that it begins."""
        self.seen = now
        return read_answer(packet) if self.request else None


class Waiting:
    """A packet at the host whose flow the host may not take or hold.

    Attributes:
        entry: the entry that wants to know.
        seen: when the packet went to the host.
        searching: other hosts are asked at the same time.
        relayed: the entry keeps the packet and wants no copy of it back.
        packet: the packet.
        opening: what came with a first packet.
    """

    __slots__ = (
        'entry',
        'opening',
        'packet',
        'relayed',
        'searching',
        'seen',
    )

    def __init__(self, entry: str, seen: float, packet: bytes) -> None:
        """Note who asked, and when."""
        self.entry = entry
        self.seen = seen
        self.packet = packet
        self.searching = False
        self.relayed = False
        self.opening: Opening | None = None
