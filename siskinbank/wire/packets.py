"""Inner IPv4 packets, and the header under which processes pass them on."""

import socket
import struct
from dataclasses import dataclass

import xxhash

from siskinbank.config.site import Address

__all__ = (
    'MAX_CANDIDATES',
    'MAX_PACKET_BYTES',
    'Envelope',
    'InnerPacket',
    'pack_address',
    'parse_inner',
    'unpack_address',
)

MAX_PACKET_BYTES = 65_000
MAX_CANDIDATES = 8
TCP = 6
UDP = 17

_FIN = 0x01
_SYN = 0x02
_RST = 0x04
_ACK = 0x10
_MIN_IP_BYTES = 20
_MIN_TCP_BYTES = 20
_MIN_UDP_BYTES = 8
_TCP_FLAGS_OFFSET = 13
_FRAGMENT_MASK = 0x3FFF
_IPV4 = 4
_WORD_BYTES = 4

_IP = struct.Struct('!BxHxxHxB2x4s4s')
_PORTS = struct.Struct('!HH')
_ADDRESS = struct.Struct('!4sH')
_HEAD = struct.Struct('!BBBBQQQ6s')


@dataclass(slots=True)
class InnerPacket:
    """What the load balancer reads of a caller's packet."""

    raw: bytes
    protocol: int
    source: bytes
    target: bytes
    source_port: int
    target_port: int
    flags: int

    @property
    def key(self) -> int:
        """The flow's 64-bit number, the same in every process."""
        ports = _PORTS.pack(self.source_port, self.target_port)
        proto = bytes((self.protocol,))
        flow = b''.join((self.source, self.target, ports, proto))
        return xxhash.xxh3_64_intdigest(flow)

    @property
    def first(self) -> bool:
        """Whether the packet opens a flow."""
        return self.protocol == TCP and self.flags & (_SYN | _ACK) == _SYN

    @property
    def may_open(self) -> bool:
        """Whether a host that does not know the flow may take it as new."""
        return self.protocol == UDP or self.first

    @property
    def last(self) -> bool:
        """Whether the packet resets the flow."""
        return bool(self.flags & _RST)

    @property
    def closing(self) -> bool:
        """Whether the caller has sent all it will send."""
        return bool(self.flags & _FIN)


def parse_inner(raw: bytes) -> InnerPacket | None:
    """Read an IPv4 packet with TCP or UDP inside.

    Returns:
        The packet, or None when it is cut short, fragmented or of another
        protocol.
    """
    if len(raw) < _MIN_IP_BYTES + _MIN_UDP_BYTES:
        return None
    version, length, fragment, protocol, source, target = _IP.unpack_from(raw)
    offset = (version & 0xF) * _WORD_BYTES
    if version >> _WORD_BYTES != _IPV4 or offset < _MIN_IP_BYTES:
        return None
    if fragment & _FRAGMENT_MASK or length > len(raw):
        return None
    flags = 0
    if protocol == TCP:
        if length < offset + _MIN_TCP_BYTES:
            return None
        flags = raw[offset + _TCP_FLAGS_OFFSET]
    elif protocol != UDP or length < offset + _MIN_UDP_BYTES:
        return None
    source_port, target_port = _PORTS.unpack_from(raw, offset)
    return InnerPacket(
        raw[:length],
        protocol,
        source,
        target,
        source_port,
        target_port,
        flags,
    )


def pack_address(address: Address) -> bytes:
    """Return an address as 6 bytes."""
    return _ADDRESS.pack(socket.inet_aton(address[0]), address[1])


def unpack_address(raw: bytes) -> Address:
    """Return the address that 6 bytes stand for."""
    number, port = _ADDRESS.unpack(raw)
    return socket.inet_ntoa(number), port


#: The first byte of a body that carries a packet.
PACKET_KIND = 1
#: The entry sent the packet by rank, not because it knows the owner.
UNCACHED = 0x01
#: The candidates are all loaded: whoever has room takes the flow.
URGENT = 0x80


@dataclass(slots=True)
class Envelope:
    """An inner packet on its way between processes.

    The receiver that does not own the flow passes the envelope on to the
    candidate at ``position`` + 1.
    """

    flags: int
    hops: int
    position: int
    service: int
    generation: int
    flow: int
    entry: bytes
    candidates: tuple[bytes, ...]
    raw: bytes

    def pack(self) -> bytes:
        """Return the body to seal."""
        lead = _HEAD.pack(
            PACKET_KIND,
            self.flags,
            self.hops << _WORD_BYTES | self.position,
            len(self.candidates),
            self.service,
            self.generation,
            self.flow,
            self.entry,
        )
        return b''.join((lead, *self.candidates, self.raw))

    @classmethod
    def unpack(cls, body: bytes) -> 'Envelope | None':
        """Read an opened body; None when it is malformed."""
        if len(body) < _HEAD.size:
            return None
        _kind, flags, place, count, service, generation, flow, entry = (
            _HEAD.unpack_from(body)
        )
        start = _HEAD.size
        end = start + count * _ADDRESS.size
        if count > MAX_CANDIDATES or end > len(body):
            return None
        candidates = tuple(
            body[offset : offset + _ADDRESS.size]
            for offset in range(start, end, _ADDRESS.size)
        )
        return cls(
            flags,
            place >> _WORD_BYTES,
            place & 0xF,
            service,
            generation,
            flow,
            entry,
            candidates,
            body[end:],
        )
