"""The flows of a sidecar's host, and the requests in them.

A sidecar handles all packets to and from its host, so it can track the requests
in progress without querying the host.
"""

from __future__ import annotations

from siskinbank.platform.packets import (
    ACK,
    FIN,
    HEADER_BYTES,
    RST,
    SYN,
    Answer,
    begins_request,
    flags_of,
    read_answer,
    request_id,
    sequence_numbers,
)
from siskinbank.tracking.client_sequence import (
    IN_FLIGHT,
    SEQUENCE_NUMBERS,
    ClientSequence,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.messages import Opening

__all__ = ('Request', 'TrackedFlow', 'UnansweredPacket')

_NO_SEQUENCE = -1


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
        beyond = (acknowledged - self.end_number) % SEQUENCE_NUMBERS
        return not 0 < beyond < SEQUENCE_NUMBERS // 2


class TrackedFlow:
    """A flow that the host has accepted.

    Attributes:
        entry: IP address of the entry that last sent a packet or query for it.
        client: address to which packets for the client are sent.
        opened_at: time when the host answered it first, in seconds.
        number: the host's initial sequence number, 0 if unknown.
        sequence: the client's sequence numbers.
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
        'sequence',
    )

    def __init__(self, entry: str, client: tuple[str, int], now: float) -> None:
        """Initialize a flow that the host has answered."""
        self.entry = entry
        self.client = client
        self.number = 0
        self.sequence = ClientSequence()
        self.established = False
        self.opened_at = now
        self.last_seen = now
        self.header = b''
        self.request: Request | None = None
        self.ended_at: float = 0
        self.has_client_ended = False
        self._last_request = _NO_SEQUENCE

    def includes(self, sequence: int) -> bool:
        """Return whether a client's packet belongs to this flow, or may do so.

        Args:
            sequence: its sequence number. One that does not fit is of an earlier
                or later flow from the same address and port.
        """
        return self.sequence.includes(sequence, IN_FLIGHT)

    def note_packet(self, packet: bytes, now: float) -> None:
        """Note a client's packet that may not have reached the host yet."""
        self.last_seen = now
        self.header = packet[:HEADER_BYTES]
        flags = flags_of(packet)
        if not flags & RST:
            self.sequence.note(sequence_numbers(packet)[0])
        if flags & (FIN | RST):
            self.has_client_ended = True
        if flags & FIN:
            self.sequence.close()

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
        ) % SEQUENCE_NUMBERS
        return 0 < newer_by < SEQUENCE_NUMBERS // 2

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
        sequence: the client's sequence numbers, as far as known by the packet.
        opening: the message that carried a first packet.
    """

    __slots__ = (
        'entry',
        'opening',
        'packet',
        'relayed',
        'searching',
        'sent_at',
        'sequence',
    )

    def __init__(
        self,
        entry: str,
        sent_at: float,
        packet: bytes,
        searching: bool = False,
        relayed: bool = False,
    ) -> None:
        """Initialize a packet of ``entry``, sent to the host at ``sent_at``."""
        self.entry = entry
        self.sent_at = sent_at
        self.packet = packet
        self.sequence = ClientSequence.of_packet(packet)
        self.searching = searching
        self.relayed = relayed
        self.opening: Opening | None = None

    @property
    def is_first(self) -> bool:
        """Whether it is the first packet of a flow."""
        return bool(flags_of(self.packet) & SYN)

    def is_of_flow(self, packet: bytes) -> bool:
        """Return whether another packet of the port is of the same flow."""
        sequence = sequence_numbers(packet)[0]
        if flags_of(packet) & SYN:
            return self.sequence.begins_with(sequence)
        return self.sequence.includes(sequence, IN_FLIGHT)

    def is_answered_by(self, answer: bytes) -> bool:
        """Return whether a host's packet is of the same flow.

        Load pattern: a sidecar that has restarted gets a packet of a flow that
        another host holds. Its own host answers for an earlier flow of the port,
        which has ended there.

        Args:
            answer: a packet from the host to the port.
        """
        acknowledged = sequence_numbers(self.packet)[1]
        if flags_of(self.packet) & (SYN | ACK) != ACK:
            return True
        ahead = (sequence_numbers(answer)[0] - acknowledged) % SEQUENCE_NUMBERS
        return min(ahead, SEQUENCE_NUMBERS - ahead) <= IN_FLIGHT


def is_of_other_flow(
    packet: bytes,
    flow: TrackedFlow | None,
    unanswered: UnansweredPacket | None,
) -> bool:
    """Return whether a client's packet is of another flow of its port.

    Args:
        packet: the packet.
        flow: the flow of the port that the host holds or has held, if known.
        unanswered: a packet from the port that the host has not answered.
    """
    if unanswered:
        return not unanswered.is_of_flow(packet)
    if flow is None or flags_of(packet) & SYN:
        return False
    return not flow.includes(sequence_numbers(packet)[0])


def opens_another(
    flow: TrackedFlow, answer: bytes, unanswered: UnansweredPacket | None
) -> bool:
    """Return whether a host accepts another flow of a known flow's port.

    Args:
        flow: the known flow.
        answer: a packet from the host.
        unanswered: the client's packet that it answers, if any.
    """
    if not flags_of(answer) & SYN:
        return False
    number, acknowledged = sequence_numbers(answer)
    if flow.number not in {0, number}:
        return True
    if unanswered is None or not unanswered.is_first:
        return False
    first = sequence_numbers(unanswered.packet)[0]
    # Otherwise the host has answered for the flow that it holds.
    is_accepted = (acknowledged - first) % SEQUENCE_NUMBERS <= 1
    return is_accepted and not flow.sequence.begins_with(first)
