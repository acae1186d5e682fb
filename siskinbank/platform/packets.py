"""The head of a packet, and the few packets that the system itself writes."""

from __future__ import annotations

from _socket import inet_ntoa
from _struct import Struct

__all__ = (
    'ACK',
    'Answer',
    'BOUNCED',
    'FIN',
    'FLOW_KEY',
    'HEAD_BYTES',
    'MAX_PACKET_BYTES',
    'RST',
    'SYN',
    'answer_key',
    'begins_request',
    'client_address',
    'describe',
    'flags_of',
    'not_bounced',
    'problem_of',
    'read_answer',
    'request_id',
    'reset_for',
    'route_key',
    'sequence_numbers',
)

HEAD_BYTES = 31
# A datagram holds the head and at most 1,200 bytes of data.
MAX_PACKET_BYTES = HEAD_BYTES + 1200

SYN = 0x04
ACK = 0x80
FIN = 0x02
RST = 0x20
# Set by a host on a packet that it does not take; no part of the checksum.
BOUNCED = 0x01
_KNOWN_FLAGS = SYN | ACK | FIN | RST | BOUNCED

# Client address, service address and both ports as they lie in the head of a
# client's packet: the bytes that name a flow everywhere in the system.
FLOW_KEY = slice(13, 25)

_FLAGS = 12
_SOURCE = slice(13, 17)
_DESTINATION = slice(17, 21)
_SOURCE_PORT = slice(21, 23)
_DESTINATION_PORT = slice(23, 25)
_NUMBERS = Struct('!II')
_NUMBERS_AT = 4
_LENGTH_AT = 29
_PORTS = Struct('!HH')
_PORTS_IN_KEY = 8

_METHOD_END = HEAD_BYTES + 4
_METHODS = frozenset((b'GET ', b'POST', b'PUT ', b'HEAD', b'DELE', b'PATC'))
_HTTP = b'HTTP'
# After `HTTP/1.1 `.
_STATUS = slice(HEAD_BYTES + 9, HEAD_BYTES + 12)
_LINE_END = b'\r\n'
_REQUEST_ID = b'\r\nSiskinbank-Attempt-Id: '
# The host worked on nothing, whatever the status says.
_NOT_EXECUTED = b'\r\nSiskinbank-Not-Executed'

_RESET = Struct('!IIIB4s4sHHIH')


def problem_of(packet: bytes) -> str | None:
    """Say why a packet of a client cannot be one, None if it can.

    Args:
        packet: one datagram as it came.
    """
    if len(packet) < HEAD_BYTES:
        return 'short'
    length = packet[_LENGTH_AT] << 8 | packet[_LENGTH_AT + 1]
    if length != len(packet) - HEAD_BYTES:
        return 'length'
    flags = packet[_FLAGS]
    if flags & ~_KNOWN_FLAGS:
        return 'flags'
    if flags & BOUNCED or flags & (SYN | ACK) == SYN | ACK:
        # Only hosts bounce packets or answer a SYN.
        return 'forged'
    return None


def flags_of(packet: bytes) -> int:
    """Return the flags of a packet."""
    return packet[_FLAGS]


def not_bounced(packet: bytes) -> bytes:
    """Return a packet as its client sent it, before a host bounced it."""
    flags = bytes((packet[_FLAGS] & ~BOUNCED,))
    return packet[:_FLAGS] + flags + packet[_FLAGS + 1 :]


def answer_key(packet: bytes) -> bytes:
    """Return the key of the flow that a host's own packet belongs to."""
    return b''.join(
        (
            packet[_DESTINATION],
            packet[_SOURCE],
            packet[_DESTINATION_PORT],
            packet[_SOURCE_PORT],
        )
    )


def client_address(key: bytes) -> str:
    """Return the address of the client of a flow, as text."""
    return inet_ntoa(key[:4])


def route_key(key: bytes) -> bytes:
    """Return the part of a flow's key that names its route: 4 + 2 bytes."""
    return key[4:8] + key[10:12]


def sequence_numbers(packet: bytes) -> tuple[int, int]:
    """Return the sequence and the acknowledged number of a packet."""
    numbers: tuple[int, int] = _NUMBERS.unpack_from(packet, _NUMBERS_AT)
    return numbers


def begins_request(packet: bytes) -> bool:
    """Say whether a client's packet begins an HTTP request."""
    return packet[HEAD_BYTES:_METHOD_END] in _METHODS


def request_id(packet: bytes) -> str:
    """Return the id that a client gave the request, or a dash."""
    _, found, rest = packet.partition(_REQUEST_ID)
    if not found:
        return '-'
    return rest.partition(_LINE_END)[0].decode('latin-1').replace(' ', '_')


class Answer:
    """The begin of a host's answer.

    Attributes:
        status: the HTTP status, as text.
        executed: False if the host says that it has not run the request.
    """

    __slots__ = ('executed', 'status')

    def __init__(self, status: str, executed: bool) -> None:
        """Fill in both fields."""
        self.status = status
        self.executed = executed


def read_answer(packet: bytes) -> Answer | None:
    """Return the answer that a host's packet begins, None if none does."""
    if packet[HEAD_BYTES:_METHOD_END] != _HTTP:
        return None
    status = packet[_STATUS].decode('latin-1').strip()
    return Answer(status or '-', _NOT_EXECUTED not in packet)


def reset_for(packet: bytes) -> bytes:
    """Write the reset that ends the flow of a client's packet.

    The sequence number repeats what the client acknowledged last, as clients
    take a reset only near that number.
    """
    key = packet[FLOW_KEY]
    client_port, service_port = _PORTS.unpack_from(key, _PORTS_IN_KEY)
    acknowledged = sequence_numbers(packet)[1]
    return _RESET.pack(
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


def describe(key: bytes) -> str:
    """Return a flow's key as text for logs: client, then service address."""
    client_port, service_port = _PORTS.unpack_from(key, _PORTS_IN_KEY)
    client = inet_ntoa(key[:4])
    service = inet_ntoa(key[4:8])
    return f'{client}:{client_port}-{service}:{service_port}'
