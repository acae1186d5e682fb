"""Parsing of the inner IPv4 packets of callers and of their flows."""

import socket
import struct
from dataclasses import dataclass

import xxhash

from siskinbank.config.site import Address

__all__ = (
    'ADDRESS_BYTES',
    'InnerPacket',
    'MAX_PACKET_BYTES',
    'flow_number',
    'flow_target',
    'is_plain_data',
    'pack_address',
    'parse_inner',
    'plain_flow',
    'unpack_address',
)

MAX_PACKET_BYTES = 65_000
FLOW_BYTES = 13
ADDRESS_BYTES = 6
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
#: The first byte holds the version above the header's length in words.
_VERSION_SHIFT = 4
_HEADER_WORDS_MASK = 0xF

_IP = struct.Struct('!BxHxxHxB2x4s4s')
_PORTS = struct.Struct('!HH')
_ADDRESS = struct.Struct('!4sH')
_PLAIN_HEADER = struct.Struct('!BxHxxHx1s2x12s')
_PLAIN_VERSION_BYTE = 0x45
_MIN_PLAIN_BYTES = _MIN_IP_BYTES + _MIN_TCP_BYTES
_PROTOCOL_OFFSET = 9
#: Fields of a flow: source, target, both ports and the protocol.
_TARGET_ADDRESS = slice(4, 8)
_TARGET_PORT = slice(10, -1)
_PROTOCOLS = frozenset((bytes((TCP,)), bytes((UDP,))))


@dataclass(slots=True)
class InnerPacket:
    """The parsed header fields of a caller's packet."""

    raw: bytes
    protocol: int
    source: bytes
    target: bytes
    source_port: int
    target_port: int
    flags: int

    @property
    def flow(self) -> bytes:
        """The 13-byte flow: addresses, ports and protocol."""
        ports = _PORTS.pack(self.source_port, self.target_port)
        proto = bytes((self.protocol,))
        return b''.join((self.source, self.target, ports, proto))

    @property
    def key(self) -> int:
        """The 64-bit number of the flow, the same in every process."""
        return flow_number(self.flow)

    @property
    def first(self) -> bool:
        """Whether the packet opens a TCP connection: SYN without ACK."""
        return self.protocol == TCP and self.flags & (_SYN | _ACK) == _SYN

    @property
    def may_open(self) -> bool:
        """Whether a host without this flow may accept it with this packet."""
        return self.protocol == UDP or self.first

    @property
    def is_reset(self) -> bool:
        """Whether the packet resets the flow."""
        return bool(self.flags & _RST)

    @property
    def closing(self) -> bool:
        """Whether the packet has FIN set: the caller sends no more data."""
        return bool(self.flags & _FIN)


def flow_number(flow: bytes) -> int:
    """Return the 64-bit number of a flow, which is the key of its ranking."""
    number: int = xxhash.xxh3_64_intdigest(flow)
    return number


def flow_target(flow: bytes) -> tuple[bytes, int]:
    """Return the target address and port of a 13-byte flow."""
    if len(flow) != FLOW_BYTES:
        return b'', 0
    return flow[_TARGET_ADDRESS], int.from_bytes(flow[_TARGET_PORT], 'big')


def plain_flow(raw: bytes) -> bytes | None:
    """Return the flow of a complete packet without IP options or fragments.

    This is the fast path for nearly all traffic. For other packets it returns
    None, and ``parse_inner`` parses them.
    """
    if not _MIN_PLAIN_BYTES <= len(raw) <= MAX_PACKET_BYTES:
        return None
    version, length, fragment, protocol, endpoints = _PLAIN_HEADER.unpack_from(
        raw
    )
    if version != _PLAIN_VERSION_BYTE or fragment & _FRAGMENT_MASK:
        return None
    if length != len(raw) or protocol not in _PROTOCOLS:
        return None
    flow: bytes = endpoints + protocol
    return flow


def parse_inner(raw: bytes) -> InnerPacket | None:
    """Parse an IPv4 packet that contains TCP or UDP.

    Returns:
        The packet, or None if it is truncated, fragmented or of another
        protocol.
    """
    if len(raw) < _MIN_IP_BYTES + _MIN_UDP_BYTES:
        return None
    version, length, fragment, protocol, source, target = _IP.unpack_from(raw)
    offset = (version & _HEADER_WORDS_MASK) * _WORD_BYTES
    if version >> _VERSION_SHIFT != _IPV4 or offset < _MIN_IP_BYTES:
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
    """Return the 6-byte form of an address."""
    return _ADDRESS.pack(socket.inet_aton(address[0]), address[1])


def unpack_address(raw: bytes) -> Address:
    """Return the address that a 6-byte form holds."""
    packed_ip, port = _ADDRESS.unpack(raw)
    return socket.inet_ntoa(packed_ip), port


def is_plain_data(raw: bytes) -> bool:
    """Return whether a packet neither opens nor ends its flow.

    The packet must have a ``plain_flow``.
    """
    if raw[_PROTOCOL_OFFSET] != TCP:
        return True
    return not raw[_MIN_IP_BYTES + _TCP_FLAGS_OFFSET] & (_FIN | _SYN | _RST)
