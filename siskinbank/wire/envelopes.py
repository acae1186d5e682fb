"""The header of inner packets that are forwarded between processes."""

import struct
from dataclasses import dataclass

from siskinbank.wire.packets import ADDRESS_BYTES, is_plain_data, plain_flow

__all__ = (
    'ADOPT_UNOWNED',
    'Envelope',
    'MAX_CANDIDATES',
    'OWNER_NAMED',
    'PACKET_KIND',
    'PROBE',
    'PROBED',
    'UNCACHED',
    'WHOLE_POOL',
    'read_owned',
)

#: First byte of a datagram body that holds an envelope.
PACKET_KIND = 1
#: The entry does not know the owner and requests an ``Owner`` message.
UNCACHED = 0x01
#: The sender considers the receiver, in the given ``incarnation``, the owner.
OWNER_NAMED = 0x02
#: Asks the candidates whether they own the flow; the last one may admit it.
PROBE = 0x04
#: The candidates were asked already; a host with room may admit the flow.
PROBED = 0x08
#: The last candidate, which restarted, adopts the flow if no host owns it.
ADOPT_UNOWNED = 0x10
#: The candidates refused or are full, so hosts of the whole pool are asked.
WHOLE_POOL = 0x80

MAX_CANDIDATES = 8
_HOP_SHIFT = 4
_POSITION_MASK = 0xF
_HEADER = struct.Struct('!BBBBQQQ6s')
_SERVICE = struct.Struct('!Q')
_SERVICE_OFFSET = 4
_MIN_INNER_BYTES = 40
_MIN_OWNED_BYTES = _HEADER.size + ADDRESS_BYTES + _MIN_INNER_BYTES


@dataclass(slots=True)
class Envelope:
    """An inner packet that is forwarded between processes.

    A receiver that does not own the flow forwards the envelope to the
    candidate at ``position`` + 1, or to the first usable one after it.
    ``incarnation`` is the owner's incarnation in the known state of the sender,
    or 0.
    """

    flags: int
    hops: int
    position: int
    service: int
    generation: int
    incarnation: int
    entry: bytes
    candidates: tuple[bytes, ...]
    raw: bytes

    def pack(self) -> bytes:
        """Return the datagram body, which is then sealed."""
        return self.pack_head() + self.raw

    def pack_head(self) -> bytes:
        """Return the part of the body before the inner packet."""
        fixed_part = _HEADER.pack(
            PACKET_KIND,
            self.flags,
            self.hops << _HOP_SHIFT | self.position,
            len(self.candidates),
            self.service,
            self.generation,
            self.incarnation,
            self.entry,
        )
        return b''.join((fixed_part, *self.candidates))

    @classmethod
    def unpack(cls, body: bytes) -> 'Envelope | None':
        """Decode an opened body; return None if it is malformed."""
        if len(body) < _HEADER.size:
            return None
        (
            _kind,
            flags,
            hops_and_position,
            count,
            service,
            generation,
            incarnation,
            entry,
        ) = _HEADER.unpack_from(body)
        start = _HEADER.size
        end = start + count * ADDRESS_BYTES
        if count > MAX_CANDIDATES or end > len(body):
            return None
        candidates = tuple(
            body[offset : offset + ADDRESS_BYTES]
            for offset in range(start, end, ADDRESS_BYTES)
        )
        return cls(
            flags,
            hops_and_position >> _HOP_SHIFT,
            hops_and_position & _POSITION_MASK,
            service,
            generation,
            incarnation,
            entry,
            candidates,
            body[end:],
        )


def read_owned(body: bytes, service: int) -> tuple[bytes, bytes] | None:
    """Return the flow and packet of a plain envelope without unpacking it.

    An envelope is plain if it has one candidate, ``OWNER_NAMED`` as its only
    flag and the given ``service``, and if its inner packet is complete and
    neither opens nor ends a flow. For other bodies the result is None, and the
    caller unpacks the envelope.
    """
    if len(body) < _MIN_OWNED_BYTES or body[1] != OWNER_NAMED or body[3] != 1:
        return None
    if _SERVICE.unpack_from(body, _SERVICE_OFFSET)[0] != service:
        return None
    raw = body[_HEADER.size + ADDRESS_BYTES :]
    flow = plain_flow(raw)
    if flow is None or not is_plain_data(raw):
        return None
    return flow, raw
