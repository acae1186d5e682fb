"""Build the IPv4 packets that callers and upstreams exchange in the lab."""

import socket
import struct
from dataclasses import dataclass

__all__ = (
    'ACK',
    'FIN',
    'RST',
    'SYN',
    'Flow',
    'make_packet',
    'make_udp',
    'payload_of',
)

FIN = 0x01
SYN = 0x02
RST = 0x04
ACK = 0x10

_IP_BYTES = 20
_TCP_BYTES = 20
_VERSION_AND_LENGTH = 0x45
_TIME_TO_LIVE = 64
_TCP_PROTOCOL = 6
_UDP_PROTOCOL = 17
_TCP_DATA_OFFSET = 0x50
_WINDOW = 65535
_IP = struct.Struct('!BBHHHBBH4s4s')
_TCP = struct.Struct('!HHIIBBHHH')
_UDP = struct.Struct('!HHHH')


@dataclass(frozen=True, slots=True)
class Flow:
    """The addresses of a flow in the direction of its sender."""

    source: str
    source_port: int
    target: str
    target_port: int

    def reverse(self) -> 'Flow':
        """Return the addresses for the opposite direction."""
        return Flow(
            self.target,
            self.target_port,
            self.source,
            self.source_port,
        )


def make_packet(flow: Flow, flags: int, payload: bytes = b'') -> bytes:
    """Return an IPv4 packet with a TCP segment; checksums are left zero."""
    size = _IP_BYTES + _TCP_BYTES + len(payload)
    ip_header = _IP.pack(
        _VERSION_AND_LENGTH,
        0,
        size,
        0,
        0,
        _TIME_TO_LIVE,
        _TCP_PROTOCOL,
        0,
        socket.inet_aton(flow.source),
        socket.inet_aton(flow.target),
    )
    segment = _TCP.pack(
        flow.source_port,
        flow.target_port,
        0,
        0,
        _TCP_DATA_OFFSET,
        flags,
        _WINDOW,
        0,
        0,
    )
    return b''.join((ip_header, segment, payload))


def make_udp(flow: Flow, payload: bytes = b'') -> bytes:
    """Return an IPv4 packet with a UDP datagram; checksums are left zero."""
    ip_header = _IP.pack(
        _VERSION_AND_LENGTH,
        0,
        _IP_BYTES + _UDP.size + len(payload),
        0,
        0,
        _TIME_TO_LIVE,
        _UDP_PROTOCOL,
        0,
        socket.inet_aton(flow.source),
        socket.inet_aton(flow.target),
    )
    size = _UDP.size + len(payload)
    udp_header = _UDP.pack(flow.source_port, flow.target_port, size, 0)
    return b''.join((ip_header, udp_header, payload))


def payload_of(raw: bytes) -> bytes:
    """Return the payload of a packet made by ``make_packet``."""
    return raw[_IP_BYTES + _TCP_BYTES :]
