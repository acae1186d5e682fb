"""Sequence numbers of a client, which tell the flows of one port apart.

A client may open a flow from an address and port of which an earlier flow has
ended. Both have the same flow key, but their first packets have different
initial sequence numbers.
"""

from __future__ import annotations

from siskinbank.platform.packets import SYN, flags_of, sequence_numbers

__all__ = (
    'IN_FLIGHT',
    'PASSED_ELSEWHERE',
    'SEQUENCE_NUMBERS',
    'ClientSequence',
)

_SEQUENCE_BITS = 32
# Sequence numbers wrap around at this value.
SEQUENCE_NUMBERS = 1 << _SEQUENCE_BITS
# Distances of sequence numbers, in bytes. A packet is no further ahead of those
# that a sidecar has seen, as its host gets all of them through it: more than
# three times what a client has in flight.
IN_FLIGHT = 0x10000
# The same at an entry: other packets of the flow may have gone through others.
PASSED_ELSEWHERE = 0x40000
# A packet behind the first one seen, of a flow whose begin was not seen.
_MAX_BEHIND = 0x100000
# What a client sends after the begin of the packet with which it closes its side:
# at most the rest of that packet, and one number for the end.
_AFTER_CLOSE = 0x1000


class ClientSequence:
    """The range of sequence numbers that a client has used in one flow."""

    __slots__ = ('_first', '_highest', '_is_closed')

    def __init__(self) -> None:
        """Initialize without a packet; all numbers may belong to the flow."""
        self._first: int | None = None
        self._highest: int | None = None
        self._is_closed = False

    @classmethod
    def of_packet(cls, packet: bytes) -> ClientSequence:
        """Return the sequence of which one packet of the client is known."""
        sequence = cls()
        number = sequence_numbers(packet)[0]
        if flags_of(packet) & SYN:
            sequence.begin(number)
        else:
            sequence.note(number)
        return sequence

    @property
    def latest(self) -> int | None:
        """The highest sequence number so far, None if none is known."""
        return self._highest

    def begin(self, number: int) -> None:
        """Record the sequence number of the flow's first packet."""
        self._first = number
        self._highest = number

    def note(self, number: int) -> None:
        """Record the sequence number of another packet of the flow."""
        highest = self._highest
        if (
            highest is None
            or 0 < (number - highest) % SEQUENCE_NUMBERS < SEQUENCE_NUMBERS // 2
        ):
            self._highest = number

    def close(self) -> None:
        """Record that the client has closed its side."""
        self._is_closed = True

    def begins_with(self, number: int) -> bool:
        """Return whether a first packet is that of the flow, or may be.

        Args:
            number: the sequence number of the first packet.
        """
        if self._first is not None:
            return number == self._first
        if self._highest is None:
            return True
        return (self._highest - number) % SEQUENCE_NUMBERS <= _MAX_BEHIND

    def includes(self, number: int | None, ahead: int) -> bool:
        """Return whether a packet belongs to the flow, or may do so.

        Args:
            number: the sequence number of the packet, None if unknown.
            ahead: how far it may be ahead of all that were seen, in bytes.
        """
        highest = self._highest
        if highest is None or number is None:
            return True
        if self._is_closed:
            ahead = _AFTER_CLOSE
        if (number - highest) % SEQUENCE_NUMBERS <= ahead:
            return True
        behind = (highest - number) % SEQUENCE_NUMBERS
        if self._first is None:
            return behind <= _MAX_BEHIND
        return behind <= (highest - self._first) % SEQUENCE_NUMBERS
