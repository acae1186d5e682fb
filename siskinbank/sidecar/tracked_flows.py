"""The flows of a sidecar's host, and the requests in them.

A sidecar handles all packets to and from its host, so it can track the requests
in progress without querying the host.
"""

from __future__ import annotations

from siskinbank.platform.packets import (
    FIN,
    HEADER_BYTES,
    RST,
    Answer,
    begins_request,
    flags_of,
    read_answer,
    request_id,
    sequence_numbers,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.messages import Opening

__all__ = ('Request', 'TrackedFlow', 'UnansweredPacket')

_NO_SEQUENCE = -1
# Sequence numbers wrap around at this value.
_SEQUENCE_BITS = 32
_SEQUENCE_NUMBERS = 1 << _SEQUENCE_BITS


class Request:
    """A request in progress.

    Attributes:
        started_at: when its first packet was received.
        name: the id that the client gave the request, for the logs.
        end_number: sequence number after its first packet.
        processed_from: when the host started to process it, by the order of
            arrival, in seconds; None while it waits.
        is_measurable: whether that time is known well enough.
        work_s: expected processing time, in seconds.
    """

    __slots__ = (
        'end_number',
        'is_measurable',
        'name',
        'processed_from',
        'started_at',
        'work_s',
    )

    def __init__(self, started_at: float, name: str) -> None:
        """Initialize a request that starts at ``started_at``."""
        self.started_at = started_at
        self.name = name
        self.end_number = 0
        self.processed_from: float | None = None
        self.is_measurable = True
        self.work_s: float = 0

    def is_single_packet(self, answer: bytes) -> bool:
        """Return whether its first packet is all that the host received.

        Args:
            answer: the first packet of the host's answer.
        """
        acknowledged = sequence_numbers(answer)[1]
        beyond = (acknowledged - self.end_number) % _SEQUENCE_NUMBERS
        return not 0 < beyond < _SEQUENCE_NUMBERS // 2


class TrackedFlow:
    """A flow that the host has accepted.

    Attributes:
        entry: IP address of the entry that last sent a packet or query for it.
        client: address to which packets for the client are sent.
        opened_at: time when the host answered it first, in seconds.
        number: the host's initial sequence number, 0 if unknown.
        established: whether the host has sent more than its SYN.
        last_seen: time of the last packet.
        header: first ``HEADER_BYTES`` bytes of the client's last packet.
        request: the request in progress.
        ended_at: when its host was seen to close its side or to reset the flow, 0
            before that.
        has_client_ended: whether its client has done so.
    """

    __slots__ = (
        '_last_request',
        'client',
        'ended_at',
        'entry',
        'established',
        'has_client_ended',
        'header',
        'last_seen',
        'number',
        'opened_at',
        'request',
    )

    def __init__(self, entry: str, client: tuple[str, int], now: float) -> None:
        """Initialize a flow that the host has answered."""
        self.entry = entry
        self.client = client
        self.number = 0
        self.established = False
        self.opened_at = now
        self.last_seen = now
        self.header = b''
        self.request: Request | None = None
        self.ended_at: float = 0
        self.has_client_ended = False
        self._last_request = _NO_SEQUENCE

    def note_packet(self, packet: bytes, now: float) -> None:
        """Note a client's packet that may not have reached the host yet."""
        self.last_seen = now
        self.header = packet[:HEADER_BYTES]
        if flags_of(packet) & (FIN | RST):
            self.has_client_ended = True

    def may_hold(self, packet: bytes) -> bool:
        """Return whether a packet starts a request that may be held.

        It may if no part of the request can have reached the host before: the
        flow was tracked from its opening or since an earlier request, and the
        packet is no copy of one that was passed on. A request behind another
        one that is in progress occupies no slot of its own.
        """
        if self.request or self.ended_at or not begins_request(packet):
            return False
        if self._last_request == _NO_SEQUENCE:
            return self.number != 0
        newer_by = (
            sequence_numbers(packet)[0] - self._last_request
        ) % _SEQUENCE_NUMBERS
        return 0 < newer_by < _SEQUENCE_NUMBERS // 2

    def track_packet(self, packet: bytes, now: float) -> Request | None:
        """Track a client's packet; return the request it starts, if any."""
        self.note_packet(packet, now)
        if not begins_request(packet):
            return None
        number = sequence_numbers(packet)[0]
        if number == self._last_request:
            # A retransmission.
            return None
        self._last_request = number
        self.request = Request(now, request_id(packet))
        self.request.end_number = number + len(packet) - HEADER_BYTES
        return self.request

    def track_answer(self, packet: bytes, now: float) -> Answer | None:
        """Track a host's packet; return the answer it starts, if any."""
        self.last_seen = now
        return read_answer(packet) if self.request else None


class UnansweredPacket:
    """A packet sent to the host, whose flow the host may refuse or not know.

    Attributes:
        entry: IP address of the entry that the packet came from.
        sent_at: when the packet was sent to the host.
        searching: whether the entry searches for the flow at other hosts, too.
        relayed: whether the packet came in a RELAYED message; its entry still
            has it queued and needs no copy.
        packet: the packet.
        opening: the message that carried a first packet.
    """

    __slots__ = (
        'entry',
        'opening',
        'packet',
        'relayed',
        'searching',
        'sent_at',
    )

    def __init__(self, entry: str, sent_at: float, packet: bytes) -> None:
        """Initialize a packet of ``entry``, sent to the host at ``sent_at``."""
        self.entry = entry
        self.sent_at = sent_at
        self.packet = packet
        self.searching = False
        self.relayed = False
        self.opening: Opening | None = None
