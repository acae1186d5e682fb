"""The header under which processes pass inner packets on."""

import struct
from dataclasses import dataclass

from siskinbank.wire.packets import ADDRESS_BYTES, is_plain_data, plain_flow

__all__ = (
    'MAX_CANDIDATES',
    'NAMED',
    'ORPHAN',
    'PACKET_KIND',
    'PROBE',
    'PROBED',
    'UNCACHED',
    'URGENT',
    'Envelope',
    'read_owned',
)

#: The first byte of a body that carries a packet.
PACKET_KIND = 1
#: The entry does not know the owner and wants to be told.
UNCACHED = 0x01
#: The sender names the receiver as the owner; ``incarnation`` says of when.
NAMED = 0x02
#: Asks the candidates whether they own the flow; the last one may admit it.
PROBE = 0x04
#: The candidates were asked already; whoever bears the flow may admit it.
PROBED = 0x08
#: The last candidate, which restarted, takes the flow if none owns it.
ORPHAN = 0x10
#: The candidates are all loaded: hosts of the whole pool are asked.
URGENT = 0x80

MAX_CANDIDATES = 8
_HOP_SHIFT = 4
_HEAD = struct.Struct('!BBBBQQQ6s')
_SERVICE = struct.Struct('!Q')
_SERVICE_OFFSET = 4
_MIN_INNER_BYTES = 40
_OWNED_BYTES = _HEAD.size + ADDRESS_BYTES + _MIN_INNER_BYTES


@dataclass(slots=True)
class Envelope:
    """An inner packet on its way between processes.

    The receiver that does not own the flow passes the envelope on to the
    candidate at ``position`` + 1. ``incarnation`` is the one of the owner as
    the sender remembers it, or 0.
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
        """Return the body to seal."""
        return self.pack_head() + self.raw

    def pack_head(self) -> bytes:
        """Return all of the body that precedes the inner packet."""
        lead = _HEAD.pack(
            PACKET_KIND,
            self.flags,
            self.hops << _HOP_SHIFT | self.position,
            len(self.candidates),
            self.service,
            self.generation,
            self.incarnation,
            self.entry,
        )
        return b''.join((lead, *self.candidates))

    @classmethod
    def unpack(cls, body: bytes) -> 'Envelope | None':
        """Read an opened body; None when it is malformed."""
        if len(body) < _HEAD.size:
            return None
        _kind, flags, place, count, service, generation, incarnation, entry = (
            _HEAD.unpack_from(body)
        )
        start = _HEAD.size
        end = start + count * ADDRESS_BYTES
        if count > MAX_CANDIDATES or end > len(body):
            return None
        candidates = tuple(
            body[offset : offset + ADDRESS_BYTES]
            for offset in range(start, end, ADDRESS_BYTES)
        )
        return cls(
            flags,
            place >> _HOP_SHIFT,
            place & 0xF,
            service,
            generation,
            incarnation,
            entry,
            candidates,
            body[end:],
        )


def read_owned(body: bytes, service: int) -> tuple[bytes, bytes] | None:
    """Return the flow and packet of a plain envelope, without unpacking it.

    Plain means: one candidate, no flag but that of a named owner, for
    ``service``, and an inner packet that is whole and neither opens nor ends a
    flow. For any other body it returns None, and the envelope is unpacked.
    """
    if len(body) < _OWNED_BYTES or body[1] != NAMED or body[3] != 1:
        return None
    if _SERVICE.unpack_from(body, _SERVICE_OFFSET)[0] != service:
        return None
    raw = body[_HEAD.size + ADDRESS_BYTES :]
    flow = plain_flow(raw)
    if flow is None or not is_plain_data(raw):
        return None
    return flow, raw
