"""Cache of the hosts of flows at one entry; losing it is harmless.

Load pattern: routers move the flows of an entry that died to the other
entries, so a packet may belong to a flow that this entry has never seen. The
cache holds only what the entry can ask the sidecars for again.
"""

from __future__ import annotations

from siskinbank.platform.packets import FIN, RST
from siskinbank.tracking.client_sequence import (
    PASSED_ELSEWHERE,
    SEQUENCE_NUMBERS,
    ClientSequence,
)

__all__ = ('CachedFlow', 'FlowCache', 'completes_handshake')

# When the cache is full, the oldest flow is evicted.
_MAX_FLOWS = 65536
# Maximum distance from the number of a host's first packet to what a client
# acknowledges at the begin of its flow. The number of another host lies in it once
# in 65,536 times.
_MAX_ACKNOWLEDGED = 0x10000
# A client retransmits a packet after 0.2 s; a packet that arrives out of order or
# late comes sooner, in seconds.
_MIN_RETRANSMISSION_S = 0.15


class CachedFlow:
    """A flow and the host that gets its packets.

    Attributes:
        ip: the host's address.
        confirmed: whether a sidecar has confirmed that its host holds the
            flow, open or half open; until then ``ip`` is only where the first
            packet was sent.
        is_open: whether its client has sent more than its first packet, and so
            is connected to some host.
        is_connected: whether its client is known to be connected to the host at
            ``ip``, and not to one that got another copy of the first packet.
        queueing_host: the host whose sidecar queues the first packet until a
            slot is free, empty if none does.
        last_seen: time of the last packet, in seconds.
        repeats: number of packets with data that the client has sent again since
            the last one that was new.
        sequence: the client's sequence numbers.
        service: the service that was selected for the first packet, empty if
            this entry has placed no copy of it.
        tried: hosts that the first packet was sent to.
    """

    __slots__ = (
        '_highest_at',
        '_highest_sequence',
        '_holders',
        'confirmed',
        'ip',
        'is_connected',
        'is_open',
        'last_seen',
        'queueing_host',
        'repeats',
        'sequence',
        'service',
        'tried',
    )

    def __init__(self, ip: str, last_seen: float) -> None:
        """Initialize with the host that the first packet is sent to."""
        self.ip = ip
        self.confirmed = False
        self.is_open = False
        self.is_connected = False
        self.queueing_host = ''
        self.service = ''
        self.last_seen = last_seen
        self.repeats = 0
        self.sequence = ClientSequence()
        self._highest_sequence: int | None = None
        self._highest_at = last_seen
        self.tried: tuple[str, ...] = (ip,)
        self._holders: dict[str, tuple[bool, int]] = {}

    @property
    def contested(self) -> bool:
        """Whether several hosts hold the flow, open or half open."""
        return len(self._holders) > 1

    def includes(self, sequence: int | None) -> bool:
        """Return whether a client's packet belongs to this flow, or may do so.

        Args:
            sequence: its sequence number, None if unknown. One that does not fit
                is of an earlier or later flow from the same address and port.
        """
        return self.sequence.includes(sequence, PASSED_ELSEWHERE)

    def reopen(self) -> None:
        """Forget that a host holds the flow, as that host has lost it."""
        self.confirmed = False
        self.is_connected = False
        self.queueing_host = ''
        self._holders = {}

    def note_data(self, sequence: int, now: float) -> bool:
        """Record a packet with data; return whether its client sent it before.

        Packets of an upload may arrive out of order; one that is not above the
        highest so far counts as sent before only if that one came long enough ago
        for a retransmission.

        Args:
            sequence: its sequence number.
            now: time in seconds.
        """
        highest = self._highest_sequence
        ahead = (sequence - (highest or 0)) % SEQUENCE_NUMBERS
        if highest is None or 0 < ahead <= SEQUENCE_NUMBERS // 2:
            self._highest_sequence = sequence
            self._highest_at = now
            self.repeats = 0
            return False
        if now - self._highest_at < _MIN_RETRANSMISSION_S:
            return False
        self.repeats += 1
        return True

    def add_tried(self, ip: str) -> None:
        """Record that the first packet is sent to another host."""
        self.ip = ip
        self.tried = (*self.tried, ip)

    def add_holder(self, ip: str, number: int, established: bool) -> None:
        """Record the report of a sidecar that its host holds the flow.

        Args:
            ip: the host.
            number: its initial sequence number, 0 if unknown.
            established: whether the host has sent more than its SYN.
        """
        if not self._holders or established:
            self.ip = ip
        self.confirmed = True
        self._holders[ip] = (established, number)
        self.is_connected = established and not self.contested

    def select_holder(self, acknowledged: int) -> None:
        """Select the host that the client is connected to.

        Load pattern: a first packet and its retransmission were accepted by
        two hosts, as the first host was slow. The client completes the
        handshake with only one of them.

        Args:
            acknowledged: the acknowledgement number of a client's packet; it
                lies just above the initial sequence number of the host that
                the client is connected to.
        """
        holders = self._holders
        established = [ip for ip in holders if holders[ip][0]]
        if len(established) == 1:
            self.ip = established[0]
        else:
            self.ip = min(
                established or holders,
                key=lambda ip: _sequence_distance(acknowledged, holders[ip][1]),
            )
        self._holders = {self.ip: holders[self.ip]}
        self.is_connected = False

    def note_packet(self, flags: int, sequence: int, acknowledged: int) -> None:
        """Record a packet of the client after its first one.

        Args:
            flags: its flags.
            sequence: its sequence number.
            acknowledged: its acknowledgement number.
        """
        if not flags & RST:
            self.sequence.note(sequence)
        if flags & FIN:
            self.sequence.close()
        if not self.is_connected:
            self.note_acknowledged(acknowledged)

    def note_acknowledged(self, acknowledged: int) -> None:
        """Record a packet that its client sent after its first one.

        Args:
            acknowledged: the acknowledgement number of the packet.
        """
        self.is_open = True
        if self.contested:
            self.select_holder(acknowledged)
        if self.ip in self._holders:
            established, number = self._holders[self.ip]
            self.is_connected = established or completes_handshake(
                acknowledged, number
            )


def completes_handshake(acknowledged: int, number: int) -> bool:
    """Return whether a client answers the first packet of a certain host.

    Args:
        acknowledged: the acknowledgement number of a client's packet.
        number: the initial sequence number of the host, 0 if unknown.
    """
    distance = (acknowledged - number) % SEQUENCE_NUMBERS
    return number != 0 and 0 < distance <= _MAX_ACKNOWLEDGED


def _sequence_distance(acknowledged: int, number: int) -> int:
    """Return the distance from a sequence number to an acknowledgement.

    An unknown sequence number (0) has the largest distance.
    """
    if not number:
        return SEQUENCE_NUMBERS
    return (acknowledged - number) % SEQUENCE_NUMBERS


class FlowCache:
    """The flows of one entry, by flow key."""

    __slots__ = ('_flows', 'get')

    def __init__(self) -> None:
        """Create an empty cache."""
        self._flows: dict[bytes, CachedFlow] = {}
        #: Returns the flow of a key, or None. Bound once, as it is called for
        #: each packet.
        self.get = self._flows.get

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def add(
        self, key: bytes, ip: str, now: float, sequence: int | None = None
    ) -> CachedFlow:
        """Add a new flow; evict the oldest one if the cache is full.

        Args:
            key: key of the flow.
            ip: the host that gets its packets.
            now: time in seconds.
            sequence: sequence number of a packet of its client, None if unknown.
        """
        if len(self._flows) >= _MAX_FLOWS:
            self._flows.pop(next(iter(self._flows)))
        flow = CachedFlow(ip, now)
        if sequence is not None:
            flow.sequence.note(sequence)
        self._flows[key] = flow
        return flow

    def drop(self, key: bytes) -> None:
        """Remove a flow."""
        self._flows.pop(key, None)

    def sweep(self, now: float, idle_s: float) -> None:
        """Remove the flows that have been idle for longer than ``idle_s``."""
        oldest = now - idle_s
        idle = [
            key for key, flow in self._flows.items() if flow.last_seen < oldest
        ]
        for key in idle:
            self._flows.pop(key)
