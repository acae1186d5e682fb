"""Datagrams between entries and sidecars.

The first byte is the kind of the message. Addresses are encoded as 4 bytes,
names of services and data centres as 32-bit digests. Ages in milliseconds are
sent instead of times, so that clocks of two machines are never compared.
"""

from __future__ import annotations

from _socket import inet_ntoa
from _struct import Struct
from zlib import crc32

from siskinbank.relay.layouts import (
    DatagramError,
    check_piece,
    split_evenly,
    unpack,
    unpack_whole,
)
from siskinbank.tracking.store_position import StorePosition

__all__ = (
    'ABSENT',
    'ANNOUNCEMENT',
    'Announcement',
    'CONFIGURATION',
    'CONFIGURATION_REQUEST',
    'DRAINING',
    'DatagramError',
    'DETOUR',
    'ENTRY_CAPACITY',
    'EVACUATED',
    'EntryCapacity',
    'FLOW_NOTE_BYTES',
    'FLOW_QUERY',
    'FORWARD',
    'FROM_SIDECAR',
    'HELD',
    'HELD_UNKNOWN',
    'HELLO',
    'KIND_NAMES',
    'LISTING',
    'LISTING_REQUEST',
    'MAX_FLOWS',
    'MAX_LISTED',
    'MAX_RELAYED',
    'MAX_WAIT_MS',
    'NOT_HELD',
    'OPEN',
    'OPERATOR_READ',
    'OTHER_FLOW',
    'Opening',
    'PEERS',
    'QUEUED',
    'RECORD',
    'RECORD_REQUEST',
    'REFUSED',
    'REGISTERED',
    'RELAYED',
    'Record',
    'SEARCH',
    'STATUS',
    'Status',
    'UNKNOWN',
    'WANTS_PEERS',
    'WANTS_RECORD',
    'digest',
    'pack_addresses',
    'pack_flow_note',
    'pack_forward',
    'pack_hello',
    'pack_flows',
    'pack_listing',
    'pack_piece',
    'pack_record_request',
    'pack_relayed',
    'pack_search',
    'read_flow_note',
    'read_note_sequence',
    'read_hello',
    'read_flows',
    'read_listing',
    'read_peers',
    'read_piece',
    'read_record_request',
    'read_relayed',
    'unpack_addresses',
    'wait_ms',
)

# Stands for all kinds that a process has no handler for; never sent.
UNKNOWN = 0
# A client's first packet, with the candidate hosts for its flow.
OPEN = 1
# A packet of a flow that is known to be held by the receiving host.
FORWARD = 2
# A packet of a flow whose host is searched for.
SEARCH = 3
# Notes of a sidecar to an entry about one flow: its host holds the flow, does
# not hold it, or no host can accept it now; see also QUEUED.
HELD = 4
ABSENT = 5
REFUSED = 6
# Host status of a sidecar; a hello; addresses of known processes; announcement
# of an entry.
STATUS = 7
HELLO = 8
PEERS = 9
ANNOUNCEMENT = 10
# Record of a host from the store, for its sidecar. Request for a configuration
# and a piece of it.
RECORD = 11
CONFIGURATION_REQUEST = 12
CONFIGURATION = 13
# Query for the flows that a host holds, by flow key and the sequence number of a
# packet. Replies: flows that it does not hold, and flows that it may hold unknown
# to its sidecar, which started later than the host.
FLOW_QUERY = 14
NOT_HELD = 15
HELD_UNKNOWN = 16
# Another note: the sidecar has queued the first packet of the flow until a slot
# is free.
QUEUED = 17
# A packet of a flow whose host is searched for, to be forwarded to other hosts.
RELAYED = 18

# Request for the addresses of the hosts in the last listing of the store, and a
# piece of them.
LISTING_REQUEST = 19
LISTING = 20

# Request to the reader of the store to send a sidecar the record of its host;
# the address of the sidecar follows.
RECORD_REQUEST = 21

# Capacity of an entry, for the other entries of its data centre.
ENTRY_CAPACITY = 22

# A packet of a known flow that a sidecar passes on to another one.
DETOUR = 23

# Names of the kinds in metrics, by kind.
KIND_NAMES = (
    'unknown',
    'open',
    'forward',
    'search',
    'held',
    'absent',
    'refused',
    'status',
    'hello',
    'peers',
    'announcement',
    'record',
    'configuration_request',
    'configuration',
    'flow_query',
    'not_held',
    'held_unknown',
    'queued',
    'relayed',
    'listing_request',
    'listing',
    'record_request',
    'entry_capacity',
    'detour',
)

# Flags of a record: the host is in the store, is draining, is in an evacuated
# data centre; the operator keys have been read.
REGISTERED = 1
DRAINING = 2
EVACUATED = 4
OPERATOR_READ = 8

# Reason of an ABSENT note: the host holds another flow of the port, which may be
# the later one of both.
OTHER_FLOW = 1

# The largest value of a wait in a message, in milliseconds.
MAX_WAIT_MS = 0xFFFF

_ADDRESS_BYTES = 4
# Length of the length of a list.
_COUNT_BYTES = 2
# Maximum number of flows in one datagram: fits any link without fragmentation.
MAX_FLOWS = 68
# Maximum number of hosts to which one sidecar forwards a packet: this takes the
# sidecar a few ms.
MAX_RELAYED = 64
# Maximum number of addresses in one piece of a listing: fits any link without
# fragmentation.
MAX_LISTED = 270
_MS_PER_S = 1000
_MAX_AGE_MS = 0xFFFFFFFF
_MAX_INTERVAL_MS = 0xFFFF
_MAX_CAPACITY = 0xFFFFFFFF

# Flags of a hello: the sender is a sidecar; it asks for the addresses of other
# processes; it asks for the record of its host.
FROM_SIDECAR = 1
WANTS_PEERS = 2
WANTS_RECORD = 4

# Flags of a capacity: the entry is in rotation; it is about to stop.
_IN_ROTATION = 1
_STOPPING = 2

_HELLO = Struct('!BBI')
_LISTING = Struct('!BIIHH')
_OPENING_HEADER = Struct('!BBIQ4sHHIBBII4sHB')
_FLOW_NOTE = Struct('!B12sIB?I')
_FLOW = Struct('!12sI')
_STATUS = Struct('!BIIBHHHQIBHH')
_ANNOUNCEMENT = Struct('!BBQIIII')
_RECORD = Struct('!BBIIHIQQIIIQIQI')
_PIECE = Struct('!BQHH')
_RELAYED = Struct('!B4sB')
_ENTRY_CAPACITY = Struct('!BIIBH')

FLOW_NOTE_BYTES = _FLOW_NOTE.size

_FORWARD_HEADER = bytes((FORWARD,))
_SEARCH_HEADER = bytes((SEARCH,))


def digest(name: str) -> int:
    """Return the digest that encodes a name in messages."""
    return crc32(name.encode())


def pack_forward(packet: bytes) -> bytes:
    """Return a FORWARD datagram with a packet of a known flow."""
    return _FORWARD_HEADER + packet


def pack_search(packet: bytes) -> bytes:
    """Return a SEARCH datagram with a packet whose host is unknown."""
    return _SEARCH_HEADER + packet


def pack_relayed(entry: bytes, others: list[bytes], packet: bytes) -> bytes:
    """Return a RELAYED datagram with a packet whose host is unknown.

    Args:
        entry: address of the entry that searches for the host.
        others: addresses of hosts to forward to, MAX_RELAYED at most.
        packet: the client's packet.
    """
    head = _RELAYED.pack(RELAYED, entry, len(others))
    return head + b''.join(others) + packet


def read_relayed(raw: bytes) -> tuple[bytes, list[bytes], bytes]:
    """Return the entry, the hosts to forward a packet to, and the packet.

    Raises:
        DatagramError: the datagram is truncated.
    """
    _, entry, count = unpack(_RELAYED, raw)
    start = _RELAYED.size
    end = start + count * _ADDRESS_BYTES
    return entry, unpack_addresses(raw[start:end]), raw[end:]


class Opening:
    """A first packet with the candidate hosts for its flow.

    Attributes:
        hops: number of sidecars that have forwarded it.
        service: digest of the service.
        version: version of the configuration that the entry used.
        entry: address of the entry to which the outcome is reported.
        target_latency_ms: target latency of the client's request, in
            milliseconds.
        wait_limit_ms: longest allowed wait at a host, in milliseconds.
        timeout_ms: time in milliseconds after which a response is of no use
            to the client.
        priority: priority of the route, 0 is the highest.
        idempotent: whether the route's requests may run more than once.
        warm_up: requests a second that a cold host of the service accepts, 0 if
            that is not stated, and the duration of its warm-up in seconds.
        best: address of the host with the shortest expected wait so far.
        best_wait_ms: that wait in milliseconds, MAX_WAIT_MS if there is none.
        candidates: addresses of further candidate hosts, in order of
            preference.
        packet: the client's packet.
    """

    __slots__ = (
        'best',
        'best_wait_ms',
        'candidates',
        'entry',
        'hops',
        'idempotent',
        'packet',
        'priority',
        'service',
        'target_latency_ms',
        'timeout_ms',
        'version',
        'wait_limit_ms',
        'warm_up',
    )

    def __init__(self, entry: bytes, packet: bytes) -> None:
        """Create a message for a packet that was sent to no host yet."""
        self.entry = entry
        self.packet = packet
        self.hops = 0
        self.service = 0
        self.version = 0
        self.target_latency_ms = 0
        self.wait_limit_ms = 0
        self.timeout_ms = 0
        self.priority = 0
        self.idempotent = False
        self.warm_up: tuple[float, float] = (0, 0)
        self.best = entry
        self.best_wait_ms = MAX_WAIT_MS
        self.candidates: list[bytes] = []

    @classmethod
    def read(cls, raw: bytes) -> Opening:
        """Decode a datagram.

        Raises:
            DatagramError: the datagram is truncated.
        """
        fields = unpack(_OPENING_HEADER, raw)
        start = _OPENING_HEADER.size
        end = start + fields[-1] * _ADDRESS_BYTES
        opening = cls(fields[4], raw[end:])
        opening.hops, opening.service, opening.version = fields[1:4]
        opening.target_latency_ms, opening.wait_limit_ms = fields[5:7]
        opening.timeout_ms, opening.priority = fields[7:9]
        opening.idempotent = bool(fields[9])
        cold_per_s, warm_up_s = fields[-5:-3]
        opening.warm_up = (cold_per_s / _MS_PER_S, warm_up_s / _MS_PER_S)
        opening.best, opening.best_wait_ms = fields[-3:-1]
        opening.candidates = unpack_addresses(raw[start:end])
        return opening

    @property
    def best_wait_s(self) -> float | None:
        """The shortest expected wait so far in seconds, None without one."""
        if self.best_wait_ms == MAX_WAIT_MS:
            return None
        return self.best_wait_ms / _MS_PER_S

    @property
    def exceeds_limit(self) -> bool:
        """Whether the shortest expected wait exceeds the allowed one."""
        return self.wait_limit_ms < self.best_wait_ms < MAX_WAIT_MS

    def pop_next(self) -> str:
        """Remove the next candidate; return its address as text."""
        return inet_ntoa(self.candidates.pop(0))

    def pack(self) -> bytes:
        """Return the encoded datagram."""
        head = _OPENING_HEADER.pack(
            OPEN,
            self.hops,
            self.service,
            self.version,
            self.entry,
            self.target_latency_ms,
            self.wait_limit_ms,
            min(self.timeout_ms, _MAX_AGE_MS),
            self.priority,
            self.idempotent,
            *map(_to_thousandths, self.warm_up),
            self.best,
            self.best_wait_ms,
            len(self.candidates),
        )
        return head + b''.join(self.candidates) + self.packet


def pack_flow_note(
    kind: int,
    key: bytes,
    number: int,
    reason: int = 0,
    sequence: int | None = None,
) -> bytes:
    """Return a datagram with a note about one flow.

    Args:
        kind: HELD, ABSENT, REFUSED or QUEUED.
        key: flow key.
        number: the host's initial sequence number, 0 if unknown.
        reason: reason of a refusal, see ``admission.reasons``; with HELD
            whether the flow is established at the host; with ABSENT OTHER_FLOW
            or 0.
        sequence: the sequence number of a packet that its client sent, which
            tells it from other flows of the key; None if unknown.
    """
    is_known = sequence is not None
    return _FLOW_NOTE.pack(kind, key, number, reason, is_known, sequence or 0)


def read_flow_note(raw: bytes) -> tuple[bytes, int, int]:
    """Return flow key, initial sequence number and reason of a note.

    Raises:
        DatagramError: the datagram is truncated.
    """
    _, key, number, reason, *_ = unpack(_FLOW_NOTE, raw)
    return key, number, reason


def read_note_sequence(raw: bytes) -> int | None:
    """Return the client's sequence number in a note, None if unknown.

    Raises:
        DatagramError: the datagram is truncated.
    """
    is_known, sequence = unpack(_FLOW_NOTE, raw)[-2:]
    return sequence if is_known else None


def pack_flows(kind: int, flows: list[tuple[bytes, int]]) -> bytes:
    """Return a datagram that names several flows.

    Args:
        kind: FLOW_QUERY, NOT_HELD or HELD_UNKNOWN.
        flows: flow key and the sequence number of one of the client's packets,
            for each flow, MAX_FLOWS at most.
    """
    return bytes((kind,)) + b''.join(
        _FLOW.pack(key, sequence) for key, sequence in flows
    )


def read_flows(raw: bytes) -> list[tuple[bytes, int]]:
    """Return the flow keys of a datagram, each with a sequence number.

    Raises:
        DatagramError: the last one is truncated.
    """
    flows: list[tuple[bytes, int]] = [
        _FLOW.unpack(part) for part in split_evenly(raw[1:], _FLOW.size)
    ]
    return flows


class Status:
    """Host status sent by a sidecar.

    Attributes:
        service: digest of the service.
        data_centre: digest of the data centre.
        state: 0 if the host accepts new flows, otherwise the reason why not,
            see ``admission.reasons``.
        slots: number of requests that the host processes concurrently.
        busy: number of requests in progress, expected and queued.
        flows: number of open flows.
        version: newest configuration version that the sidecar has received.
        record_age_ms: age of the host's record from the store, in
            milliseconds.
        trusted: whether there is no reason to prefer other hosts, see
            ``OwnHost.is_trusted``.
        interval_ms: time until the next status update to the same entry, in
            milliseconds.
        processing_ms: mean processing time of a request in milliseconds, 0 if
            unknown.
    """

    __slots__ = (
        'busy',
        'data_centre',
        'flows',
        'interval_ms',
        'processing_ms',
        'record_age_ms',
        'service',
        'slots',
        'state',
        'trusted',
        'version',
    )

    def __init__(self, service: int, data_centre: int) -> None:
        """Create the status of a host of which nothing else is known."""
        self.service = service
        self.data_centre = data_centre
        self.state = 0
        self.slots = 1
        self.busy = 0
        self.flows = 0
        self.version = 0
        self.record_age_ms = _MAX_AGE_MS
        self.trusted = False
        self.interval_ms = 0
        self.processing_ms = 0

    @property
    def has_record(self) -> bool:
        """Whether the sidecar has a record of its host from the store."""
        return self.record_age_ms < _MAX_AGE_MS

    @classmethod
    def read(cls, raw: bytes) -> Status:
        """Decode a datagram.

        Raises:
            DatagramError: the datagram is truncated.
        """
        fields = unpack_whole(_STATUS, raw)
        status = cls(fields[1], fields[2])
        (
            status.state,
            status.slots,
            status.busy,
            status.flows,
            status.version,
            status.record_age_ms,
        ) = fields[3:9]
        status.trusted = bool(fields[9])
        status.interval_ms, status.processing_ms = fields[10:]
        return status

    def pack(self) -> bytes:
        """Return the encoded datagram."""
        return _STATUS.pack(
            STATUS,
            self.service,
            self.data_centre,
            self.state,
            self.slots,
            self.busy,
            self.flows,
            self.version,
            min(self.record_age_ms, _MAX_AGE_MS),
            self.trusted,
            min(self.interval_ms, _MAX_INTERVAL_MS),
            min(self.processing_ms, _MAX_INTERVAL_MS),
        )


class Announcement:
    """Announcement of an entry: its version and the age of its state.

    Attributes:
        stopping: whether the entry is about to stop.
        version: version of the configuration in force.
        operator_age_s: seconds since the store confirmed the operator keys.
        hosts_age_s: seconds since the store confirmed the host records.
        hosts_digest: digest of the addresses in that listing.
        era: newest era of the store that the entry has heard of.
    """

    __slots__ = (
        'era',
        'hosts_age_s',
        'hosts_digest',
        'operator_age_s',
        'stopping',
        'version',
    )

    def __init__(self) -> None:
        """Create an announcement without version and with maximum ages."""
        self.stopping = False
        self.version = 0
        self.operator_age_s = _MAX_AGE_MS / _MS_PER_S
        self.hosts_age_s = _MAX_AGE_MS / _MS_PER_S
        self.hosts_digest = 0
        self.era = 0

    @classmethod
    def read(cls, raw: bytes) -> Announcement:
        """Decode a datagram.

        Raises:
            DatagramError: the datagram is truncated.
        """
        fields = unpack_whole(_ANNOUNCEMENT, raw)
        announcement = cls()
        announcement.stopping = bool(fields[1])
        announcement.version = fields[2]
        announcement.operator_age_s = fields[3] / _MS_PER_S
        announcement.hosts_age_s = fields[4] / _MS_PER_S
        announcement.hosts_digest, announcement.era = fields[5:7]
        return announcement

    def pack(self) -> bytes:
        """Return the encoded datagram."""
        return _ANNOUNCEMENT.pack(
            ANNOUNCEMENT,
            self.stopping,
            self.version,
            _to_thousandths(self.operator_age_s),
            _to_thousandths(self.hosts_age_s),
            self.hosts_digest,
            self.era,
        )


class Record:
    """State of a host and its data centre according to the store.

    Attributes:
        flags: bit mask of REGISTERED, DRAINING, EVACUATED and OPERATOR_READ.
        service: digest of the service in the host's record.
        age_s: seconds since the store confirmed the record.
        slots: number of requests that the host processes concurrently.
        position: position of the store at the read of the hosts.
        born_ms: start of the host's incarnation, 0 if unknown.
        cold_s: remaining warm-up time of the host, in seconds.
        cold_per_s: requests a second that a cold host of the service accepts.
        operator_position: position of the store at the read of the operator
            keys.
        operator_age_s: seconds since the store confirmed the operator keys.
        version: version of the configuration in force.
        idle_timeout_s: time after which hosts may discard idle flows by that
            configuration, in seconds, None if it is not stated.
    """

    __slots__ = (
        'age_s',
        'born_ms',
        'cold_per_s',
        'cold_s',
        'flags',
        'idle_timeout_s',
        'operator_age_s',
        'operator_position',
        'position',
        'service',
        'slots',
        'version',
    )

    def __init__(self) -> None:
        """Create a record of a host that is not in the store."""
        self.flags = 0
        self.service = 0
        self.age_s: float = 0
        self.slots = 1
        self.position = StorePosition()
        self.born_ms = 0
        self.cold_s: float = 0
        self.cold_per_s: float = 0
        self.operator_position = StorePosition()
        self.operator_age_s = _MAX_AGE_MS / _MS_PER_S
        self.version = 0
        self.idle_timeout_s: float | None = None

    @classmethod
    def read(cls, raw: bytes) -> Record:
        """Decode a datagram.

        Raises:
            DatagramError: the datagram is truncated.
        """
        fields = unpack_whole(_RECORD, raw)
        record = cls()
        record.flags, record.service = fields[1:3]
        record.age_s = fields[3] / _MS_PER_S
        record.slots = fields[4]
        record.position = StorePosition(*fields[5:7])
        record.born_ms = fields[7]
        record.cold_s = fields[8] / _MS_PER_S
        record.cold_per_s = fields[9] / _MS_PER_S
        record.operator_position = StorePosition(*fields[-5:-3])
        record.operator_age_s = fields[-3] / _MS_PER_S
        record.version, idle_timeout_ms = fields[-2:]
        if idle_timeout_ms < _MAX_AGE_MS:
            record.idle_timeout_s = idle_timeout_ms / _MS_PER_S
        return record

    def pack(self) -> bytes:
        """Return the encoded datagram."""
        idle_timeout_ms = _MAX_AGE_MS
        if self.idle_timeout_s is not None:
            idle_timeout_ms = _to_thousandths(self.idle_timeout_s)
        return _RECORD.pack(
            RECORD,
            self.flags,
            self.service,
            _to_thousandths(self.age_s),
            self.slots,
            self.position.era,
            self.position.revision,
            self.born_ms,
            _to_thousandths(self.cold_s),
            _to_thousandths(self.cold_per_s),
            self.operator_position.era,
            self.operator_position.revision,
            _to_thousandths(self.operator_age_s),
            self.version,
            idle_timeout_ms,
        )


class EntryCapacity:
    """Capacity of an entry and whether it is in rotation.

    Attributes:
        data_centre: digest of the data centre.
        capacity: packets per second that the entry can carry, 0 if unknown.
        serving: whether the entry is ready and in rotation.
        stopping: whether the entry is about to stop.
        interval_ms: time until the next message to the same entry, in
            milliseconds; 0 to an entry of another data centre, which gets no
            further ones.
    """

    __slots__ = (
        'capacity',
        'data_centre',
        'interval_ms',
        'serving',
        'stopping',
    )

    def __init__(self, data_centre: int) -> None:
        """Create a message of an entry of which nothing else is known."""
        self.data_centre = data_centre
        self.capacity = 0
        self.serving = False
        self.stopping = False
        self.interval_ms = 0

    @classmethod
    def read(cls, raw: bytes) -> EntryCapacity:
        """Decode a datagram.

        Raises:
            DatagramError: the datagram does not have the length of a message.
        """
        fields = unpack_whole(_ENTRY_CAPACITY, raw)
        message = cls(fields[1])
        message.capacity = fields[2]
        message.serving = bool(fields[3] & _IN_ROTATION)
        message.stopping = bool(fields[3] & _STOPPING)
        message.interval_ms = fields[4]
        return message

    def pack(self) -> bytes:
        """Return the encoded datagram."""
        flags = _IN_ROTATION if self.serving else 0
        if self.stopping:
            flags |= _STOPPING
        return _ENTRY_CAPACITY.pack(
            ENTRY_CAPACITY,
            self.data_centre,
            min(self.capacity, _MAX_CAPACITY),
            flags,
            min(self.interval_ms, _MAX_INTERVAL_MS),
        )


def wait_ms(seconds: float) -> int:
    """Return a wait in milliseconds, capped below MAX_WAIT_MS."""
    return min(int(seconds * _MS_PER_S), MAX_WAIT_MS - 1)


def pack_addresses(kind: int, *groups: list[bytes]) -> bytes:
    """Return a datagram with lists of addresses, each after its length."""
    parts = [bytes((kind,))]
    for group in groups:
        parts.append(len(group).to_bytes(_COUNT_BYTES, 'big'))
        parts.extend(group)
    return b''.join(parts)


def unpack_addresses(raw: bytes) -> list[bytes]:
    """Split concatenated addresses.

    Raises:
        DatagramError: the last one is truncated.
    """
    return split_evenly(raw, _ADDRESS_BYTES)


def read_peers(raw: bytes) -> tuple[list[bytes], list[bytes]]:
    """Return the addresses of entries and of sidecars in a PEERS datagram.

    Raises:
        DatagramError: the datagram is not as long as its lists.
    """
    entries, rest = _cut_addresses(raw[1:])
    sidecars, rest = _cut_addresses(rest)
    if rest:
        raise DatagramError(f'{len(rest)} bytes follow the addresses')
    return entries, sidecars


def _cut_addresses(raw: bytes) -> tuple[list[bytes], bytes]:
    """Return the addresses of a list behind its length, and what follows."""
    end = _COUNT_BYTES + (
        int.from_bytes(raw[:_COUNT_BYTES], 'big') * _ADDRESS_BYTES
    )
    if len(raw) < end:
        raise DatagramError(f'list of {len(raw)} bytes is too short')
    return unpack_addresses(raw[_COUNT_BYTES:end]), raw[end:]


def pack_hello(flags: int, data_centre: int) -> bytes:
    """Return a HELLO datagram.

    Args:
        flags: bit mask of FROM_SIDECAR, WANTS_PEERS and WANTS_RECORD.
        data_centre: digest of the sender's data centre.
    """
    return _HELLO.pack(HELLO, flags, data_centre)


def read_hello(raw: bytes) -> tuple[int, int]:
    """Return flags and data centre of a HELLO datagram.

    Raises:
        DatagramError: the datagram is truncated.
    """
    _, flags, data_centre = unpack_whole(_HELLO, raw)
    return flags, data_centre


def pack_record_request(sidecar: bytes) -> bytes:
    """Return a RECORD_REQUEST datagram for a sidecar's packed address."""
    return bytes((RECORD_REQUEST,)) + sidecar


def read_record_request(raw: bytes) -> bytes:
    """Return the sidecar's packed address of a RECORD_REQUEST datagram.

    Raises:
        DatagramError: the datagram is truncated.
    """
    if len(raw) != 1 + _ADDRESS_BYTES:
        raise DatagramError(f'datagram of {len(raw)} bytes has another length')
    return raw[1:]


def pack_listing(
    digest_of_all: int,
    age_s: float,
    index: int,
    count: int,
    addresses: list[bytes],
) -> bytes:
    """Return a datagram with one piece of a listing of the hosts.

    Args:
        digest_of_all: digest of all addresses in the listing.
        age_s: seconds since the store confirmed it.
        index: number of the piece, from 0.
        count: number of pieces.
        addresses: the addresses in this piece, MAX_LISTED at most.
    """
    head = _LISTING.pack(
        LISTING, digest_of_all, _to_thousandths(age_s), index, count
    )
    return head + b''.join(addresses)


def read_listing(raw: bytes) -> tuple[int, float, int, int, list[bytes]]:
    """Return digest, age, index, count and addresses of a listing's piece.

    Raises:
        DatagramError: the datagram is truncated.
    """
    _, digest_of_all, age_ms, index, count = unpack(_LISTING, raw)
    check_piece(index, count)
    addresses = unpack_addresses(raw[_LISTING.size :])
    return digest_of_all, age_ms / _MS_PER_S, index, count, addresses


def pack_piece(version: int, index: int, count: int, piece: bytes) -> bytes:
    """Return a datagram with one piece of a configuration."""
    return _PIECE.pack(CONFIGURATION, version, index, count) + piece


def read_piece(raw: bytes) -> tuple[int, int, int, bytes]:
    """Return version, index, number of pieces and the piece itself.

    Raises:
        DatagramError: the datagram is truncated.
    """
    _, version, index, count = unpack(_PIECE, raw)
    check_piece(index, count)
    return version, index, count, raw[_PIECE.size :]


def _to_thousandths(amount: float) -> int:
    return min(_MAX_AGE_MS, max(0, int(amount * _MS_PER_S)))
