"""Fields of packet headers and HTTP heads, and encoding of reset packets."""

from __future__ import annotations

from _socket import inet_ntoa
from _struct import Struct

__all__ = (
    'ACK',
    'Answer',
    'BOUNCED',
    'FIN',
    'FLOW_KEY',
    'HEADER_BYTES',
    'MAX_PACKET_BYTES',
    'RST',
    'SYN',
    'begins_request',
    'build_reset',
    'clear_bounced',
    'client_address',
    'describe_flow',
    'flags_of',
    'packet_problem',
    'read_answer',
    'request_id',
    'reverse_flow_key',
    'route_key',
    'sequence_numbers',
)

HEADER_BYTES = 31
# A datagram holds the header and at most 1,200 bytes of data.
MAX_PACKET_BYTES = HEADER_BYTES + 1200

SYN = 0x04
ACK = 0x80
FIN = 0x02
RST = 0x20
# Set by a host on a packet that it refuses; not covered by the checksum.
BOUNCED = 0x01
_KNOWN_FLAGS = SYN | ACK | FIN | RST | BOUNCED

# Client address, service address and both ports in the header of a client's
# packet. These bytes are the key of a flow in all processes.
FLOW_KEY = slice(13, 25)

_FLAGS_OFFSET = 12
_SOURCE = slice(13, 17)
_DESTINATION = slice(17, 21)
_SOURCE_PORT = slice(21, 23)
_DESTINATION_PORT = slice(23, 25)
_SEQUENCE_NUMBERS = Struct('!II')
_SEQUENCE_NUMBERS_OFFSET = 4
_LENGTH_OFFSET = 29
_PORTS = Struct('!HH')
_PORTS_OFFSET_IN_KEY = 8

_METHOD_END = HEADER_BYTES + 4
_METHODS = frozenset((b'GET ', b'POST', b'PUT ', b'HEAD', b'DELE', b'PATC'))
_HTTP = b'HTTP'
# The status code follows `HTTP/1.1 `.
_STATUS = slice(HEADER_BYTES + 9, HEADER_BYTES + 12)
_LINE_END = b'\r\n'
_REQUEST_ID = b'\r\nSiskinbank-Attempt-Id: '
# The host did not run the request, whatever the status is.
_NOT_EXECUTED = b'\r\nSiskinbank-Not-Executed'

_HEADER = Struct('!IIIB4s4sHHIH')


def packet_problem(packet: bytes) -> str | None:
    """Return why a client's packet is invalid, or None if it is valid.

    Args:
        packet: one datagram as received.
    """
    if len(packet) < HEADER_BYTES:
        return 'short'
    length = packet[_LENGTH_OFFSET] << 8 | packet[_LENGTH_OFFSET + 1]
    if length != len(packet) - HEADER_BYTES:
        return 'length'
    flags = packet[_FLAGS_OFFSET]
    if flags & ~_KNOWN_FLAGS:
        return 'flags'
    if flags & BOUNCED or flags & (SYN | ACK) == SYN | ACK:
        # Only hosts set the bounced flag or answer a SYN.
        return 'forged'
    return None


def flags_of(packet: bytes) -> int:
    """Return the flags of a packet."""
    return packet[_FLAGS_OFFSET]


def clear_bounced(packet: bytes) -> bytes:
    """Return a packet without the bounced flag, as its client sent it."""
    flags = bytes((packet[_FLAGS_OFFSET] & ~BOUNCED,))
    return packet[:_FLAGS_OFFSET] + flags + packet[_FLAGS_OFFSET + 1 :]


def reverse_flow_key(packet: bytes) -> bytes:
    """Return the flow key of a packet that a host sent."""
    return b''.join(
        (
            packet[_DESTINATION],
            packet[_SOURCE],
            packet[_DESTINATION_PORT],
            packet[_SOURCE_PORT],
        )
    )


def client_address(key: bytes) -> str:
    """Return the client's IP address in a flow key, as text."""
    return inet_ntoa(key[:4])


def route_key(key: bytes) -> bytes:
    """Return the address and port of the route in a flow key: 4 + 2 bytes."""
    return key[4:8] + key[10:12]


def sequence_numbers(packet: bytes) -> tuple[int, int]:
    """Return the sequence and the acknowledgement number of a packet."""
    numbers: tuple[int, int] = _SEQUENCE_NUMBERS.unpack_from(
        packet, _SEQUENCE_NUMBERS_OFFSET
    )
    return numbers


def begins_request(packet: bytes) -> bool:
    """Return whether a client's packet starts an HTTP request."""
    return packet[HEADER_BYTES:_METHOD_END] in _METHODS


def request_id(packet: bytes) -> str:
    """Return the client's id of the request, or a dash if it has none."""
    _, found, rest = packet.partition(_REQUEST_ID)
    if not found:
        return '-'
    return rest.partition(_LINE_END)[0].decode('latin-1').replace(' ', '_')


class Answer:
    """The head of a host's HTTP response.

    Attributes:
        status: the HTTP status code, as text.
        executed: false if the response states that the host did not run the
            request.
    """

    __slots__ = ('executed', 'status')

    def __init__(self, status: str, executed: bool) -> None:
        """Create a response head."""
        self.status = status
        self.executed = executed


def read_answer(packet: bytes) -> Answer | None:
    """Return the response that a host's packet starts, or None."""
    if packet[HEADER_BYTES:_METHOD_END] != _HTTP:
        return None
    status = packet[_STATUS].decode('latin-1').strip()
    return Answer(status or '-', _NOT_EXECUTED not in packet)


def build_reset(packet: bytes) -> bytes:
    """Return the reset packet that ends the flow of a client's packet.

    Its sequence number is the number that the client acknowledged last, since
    clients accept a reset only near that number.
    """
    key = packet[FLOW_KEY]
    client_port, service_port = _PORTS.unpack_from(key, _PORTS_OFFSET_IN_KEY)
    acknowledged = sequence_numbers(packet)[1]
    return _HEADER.pack(
        0,
        acknowledged,
        0,
        RST,
        key[4:8],
        key[:4],
        service_port,
        client_port,
        0,
        0,
    )


def describe_flow(key: bytes) -> str:
    """Return a flow key as text for logs: client address, service address."""
    client_port, service_port = _PORTS.unpack_from(key, _PORTS_OFFSET_IN_KEY)
    client = inet_ntoa(key[:4])
    service = inet_ntoa(key[4:8])
    return f'{client}:{client_port}-{service}:{service_port}'
