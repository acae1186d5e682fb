"""Datagrams between entries and sidecars.

The first byte says what a datagram is. Addresses travel as 4 bytes, names of
services and data centres as 32-bit digests, ages in milliseconds, so that no
two clocks are compared.
"""

from __future__ import annotations

from _socket import inet_ntoa
from _struct import Struct
from struct import error as StructError
from zlib import crc32

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

__all__ = (
    'ABSENT',
    'ASK_CONFIGURATION',
    'ASK_FLOWS',
    'CARRY',
    'CONFIGURATION',
    'DRAINING',
    'FLOW_NOTE_BYTES',
    'HELD',
    'HELLO',
    'KEPT',
    'MOST_WAIT_MS',
    'MOST_KEYS',
    'MOST_RELAYED',
    'Malformed',
    'NEWS',
    'NOT_HELD',
    'News',
    'OPEN',
    'OPERATOR',
    'OUT',
    'Opening',
    'PEERS',
    'RECORD',
    'RELAYED',
    'REGISTERED',
    'REFUSED',
    'Record',
    'SEARCH',
    'STATUS',
    'Status',
    'UNSURE',
    'carry',
    'digest',
    'flow_note',
    'pack_addresses',
    'pack_keys',
    'pack_piece',
    'read_flow_note',
    'read_keys',
    'read_peers',
    'read_piece',
    'read_relayed',
    'relayed',
    'search',
    'unpack_addresses',
    'wait_ms',
)

# A client's first packet, with the candidates that may take its flow.
OPEN = 1
# A packet of a flow that the host is known to hold.
CARRY = 2
# A packet of a flow that any of several hosts may hold.
SEARCH = 3
# A sidecar's notes to an entry: its host holds a flow, does not hold it, or
# nobody may take it now; see also KEPT.
HELD = 4
ABSENT = 5
REFUSED = 6
# What a sidecar says of its host; who is there; what versions are known.
STATUS = 7
HELLO = 8
PEERS = 9
NEWS = 10
# What the store says of a host, for its sidecar.
RECORD = 11
ASK_CONFIGURATION = 12
CONFIGURATION = 13
# Which of some flows a host holds, by key; which it does not hold, and of
# which its sidecar cannot tell, as it began after the host.
ASK_FLOWS = 14
NOT_HELD = 15
UNSURE = 16
# A note as well: the sidecar keeps a first packet until a slot is free.
KEPT = 17
# A packet of a flow that is looked for, to be handed on to other hosts.
RELAYED = 18

# Flags of a record: the host has an entry, says that it drains, stands in a
# data centre that was taken out; the operator's part is known.
REGISTERED = 1
DRAINING = 2
OUT = 4
OPERATOR = 8

# The longest wait that a message can state, in milliseconds.
MOST_WAIT_MS = 0xFFFF

_ADDRESS_BYTES = 4
_KEY_BYTES = 12
# Keys in one datagram: fits any link unbroken.
MOST_KEYS = 90
# Hosts that one sidecar hands a packet on to: a few ms of its work.
MOST_RELAYED = 64
_MS = 1000
_MAX_AGE_MS = 0xFFFFFFFF

_OPENING = Struct('!BBIQ4sHH4sHB')
_FLOW_NOTE = Struct('!B12sIB')
_STATUS = Struct('!BIIBHHHQIB')
_NEWS = Struct('!BBQII')
_RECORD = Struct('!BBIIHQQIIQQ')
_PIECE = Struct('!BQHH')
_RELAYED = Struct('!B4sB')

FLOW_NOTE_BYTES = _FLOW_NOTE.size

_CARRY_HEAD = bytes((CARRY,))
_SEARCH_HEAD = bytes((SEARCH,))


class Malformed(ValueError):
    """A datagram that no process of this system sends."""


def digest(name: str) -> int:
    """Return the number that stands for a name on the wire."""
    return crc32(name.encode())


def carry(packet: bytes) -> bytes:
    """Wrap a packet of a known flow."""
    return _CARRY_HEAD + packet


def search(packet: bytes) -> bytes:
    """Wrap a packet whose flow's host is looked for."""
    return _SEARCH_HEAD + packet


def relayed(entry: bytes, others: list[bytes], packet: bytes) -> bytes:
    """Write a packet whose flow's host is looked for, to be handed on.

    Args:
        entry: address of the entry that wants to know.
        others: addresses of hosts to hand it on to, MOST_RELAYED at most.
        packet: the client's packet.
    """
    head = _RELAYED.pack(RELAYED, entry, len(others))
    return head + b''.join(others) + packet


def read_relayed(raw: bytes) -> tuple[bytes, list[bytes], bytes]:
    """Return the entry, the hosts to hand a packet on to, and the packet.

    Raises:
        Malformed: the datagram is cut short.
    """
    _, entry, count = _unpack(_RELAYED, raw)
    start = _RELAYED.size
    end = start + count * _ADDRESS_BYTES
    return entry, unpack_addresses(raw[start:end]), raw[end:]


class Opening:
    """A first packet on its way to a host.

    Attributes:
        hops: how many sidecars have passed it on.
        service: digest of the service that may take it.
        version: the configuration that the entry read this from.
        entry: address of the entry that wants to know who took it.
        aim_ms: latency that the client expects of its request.
        limit_ms: how long it may wait at a host.
        best: address of the host with the shortest wait met so far.
        best_wait_ms: that wait, MOST_WAIT_MS while none was met.
        candidates: addresses to pass it on to, the best first.
        packet: the client's packet.
    """

    __slots__ = (
        'aim_ms',
        'best',
        'best_wait_ms',
        'candidates',
        'entry',
        'hops',
        'limit_ms',
        'packet',
        'service',
        'version',
    )

    def __init__(self, entry: bytes, packet: bytes) -> None:
        """Begin with a packet that has met no host yet."""
        self.entry = entry
        self.packet = packet
        self.hops = 0
        self.service = 0
        self.version = 0
        self.aim_ms = 0
        self.limit_ms = 0
        self.best = entry
        self.best_wait_ms = MOST_WAIT_MS
        self.candidates: list[bytes] = []

    @classmethod
    def read(cls, raw: bytes) -> Opening:
        """Read a datagram.

        Raises:
            Malformed: it is cut short.
        """
        fields = _unpack(_OPENING, raw)
        start = _OPENING.size
        end = start + fields[-1] * _ADDRESS_BYTES
        opening = cls(fields[4], raw[end:])
        opening.hops, opening.service, opening.version = fields[1:4]
        opening.aim_ms, opening.limit_ms = fields[5:7]
        opening.best, opening.best_wait_ms = fields[7:9]
        opening.candidates = unpack_addresses(raw[start:end])
        return opening

    @property
    def best_wait_s(self) -> float | None:
        """The shortest wait met so far, None while none was met."""
        if self.best_wait_ms == MOST_WAIT_MS:
            return None
        return self.best_wait_ms / _MS

    @property
    def is_hopeless(self) -> bool:
        """Whether even the shortest wait is too long."""
        return self.limit_ms < self.best_wait_ms < MOST_WAIT_MS

    def pop_next(self) -> str:
        """Take out the next candidate and return its address as text."""
        return inet_ntoa(self.candidates.pop(0))

    def pack(self) -> bytes:
        """Return the datagram."""
        head = _OPENING.pack(
            OPEN,
            self.hops,
            self.service,
            self.version,
            self.entry,
            self.aim_ms,
            self.limit_ms,
            self.best,
            self.best_wait_ms,
            len(self.candidates),
        )
        return head + b''.join(self.candidates) + self.packet


def flow_note(kind: int, key: bytes, number: int, reason: int = 0) -> bytes:
    """Write a note about one flow.

    Args:
        kind: HELD, ABSENT, REFUSED or KEPT.
        key: the flow's key.
        number: the host's first sequence number, 0 if none is known.
        reason: why a flow was refused, see ``admission.reasons``; with HELD
            whether the host has worked on the flow.
    """
    return _FLOW_NOTE.pack(kind, key, number, reason)


def read_flow_note(raw: bytes) -> tuple[bytes, int, int]:
    """Return a flow's key, the host's sequence number and the reason.

    Raises:
        Malformed: the datagram is cut short.
    """
    _, key, number, reason = _unpack(_FLOW_NOTE, raw)
    return key, number, reason


def pack_keys(kind: int, keys: list[bytes]) -> bytes:
    """Write a datagram about several flows.

    Args:
        kind: ASK_FLOWS, NOT_HELD or UNSURE.
        keys: the flows' keys, MOST_KEYS at most.
    """
    return bytes((kind,)) + b''.join(keys)


def read_keys(raw: bytes) -> list[bytes]:
    """Return the keys of a datagram about several flows."""
    starts = range(1, len(raw) - _KEY_BYTES + 1, _KEY_BYTES)
    return [raw[start : start + _KEY_BYTES] for start in starts]


class Status:
    """What a sidecar says of its host.

    Attributes:
        service: digest of the service.
        data_centre: digest of the data centre.
        state: 0 if it takes new flows, else the reason why not, see
            ``admission.reasons``.
        slots: requests that the host works on at a time.
        busy: requests in progress.
        flows: open flows.
        version: the newest configuration that the sidecar has heard of.
        record_age_ms: age of what the store says of the host.
        trusted: nothing speaks for other hosts, see ``OwnHost.is_trusted``.
    """

    __slots__ = (
        'busy',
        'data_centre',
        'flows',
        'record_age_ms',
        'service',
        'slots',
        'state',
        'trusted',
        'version',
    )

    def __init__(self, service: int, data_centre: int) -> None:
        """Describe a host of which nothing else is known."""
        self.service = service
        self.data_centre = data_centre
        self.state = 0
        self.slots = 1
        self.busy = 0
        self.flows = 0
        self.version = 0
        self.record_age_ms = _MAX_AGE_MS
        self.trusted = False

    @classmethod
    def read(cls, raw: bytes) -> Status:
        """Read a datagram.

        Raises:
            Malformed: it is cut short.
        """
        fields = _unpack(_STATUS, raw)
        status = cls(fields[1], fields[2])
        (
            status.state,
            status.slots,
            status.busy,
            status.flows,
            status.version,
            status.record_age_ms,
        ) = fields[3:-1]
        status.trusted = bool(fields[-1])
        return status

    def pack(self) -> bytes:
        """Return the datagram."""
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
        )


class News:
    """Which versions an entry knows, and how old that knowledge is.

    Attributes:
        stopping: the entry is about to stop.
        version: the configuration in force.
        operator_age_s: time since the store confirmed what the operator wrote.
        hosts_age_s: time since the store confirmed the hosts' entries.
    """

    __slots__ = (
        'hosts_age_s',
        'operator_age_s',
        'stopping',
        'version',
    )

    def __init__(self) -> None:
        """Know nothing."""
        self.stopping = False
        self.version = 0
        self.operator_age_s = _MAX_AGE_MS / _MS
        self.hosts_age_s = _MAX_AGE_MS / _MS

    @classmethod
    def read(cls, raw: bytes) -> News:
        """Read a datagram.

        Raises:
            Malformed: it is cut short.
        """
        fields = _unpack(_NEWS, raw)
        news = cls()
        news.stopping = bool(fields[1])
        news.version = fields[2]
        news.operator_age_s = fields[3] / _MS
        news.hosts_age_s = fields[4] / _MS
        return news

    def pack(self) -> bytes:
        """Return the datagram."""
        return _NEWS.pack(
            NEWS,
            self.stopping,
            self.version,
            _age_ms(self.operator_age_s),
            _age_ms(self.hosts_age_s),
        )


class Record:
    """What the store says of a host and the operator of its data centre.

    Attributes:
        flags: bits, see the constants of this module.
        service: digest of the service in the host's entry.
        age_s: time since the store confirmed this.
        slots: requests that the host works on at a time.
        revision: store revision of the read.
        born_ms: start of the host's life, 0 if unknown.
        cold_s: for how much longer the host is cold.
        cold_per_s: requests a second that a cold host of the service bears.
        operator_revision: store revision of what the operator wrote.
        version: the configuration in force.
    """

    __slots__ = (
        'age_s',
        'born_ms',
        'cold_per_s',
        'cold_s',
        'flags',
        'operator_revision',
        'revision',
        'service',
        'slots',
        'version',
    )

    def __init__(self) -> None:
        """Say nothing of the host."""
        self.flags = 0
        self.service = 0
        self.age_s: float = 0
        self.slots = 1
        self.revision = 0
        self.born_ms = 0
        self.cold_s: float = 0
        self.cold_per_s: float = 0
        self.operator_revision = 0
        self.version = 0

    @classmethod
    def read(cls, raw: bytes) -> Record:
        """Read a datagram.

        Raises:
            Malformed: it is cut short.
        """
        fields = _unpack(_RECORD, raw)
        record = cls()
        record.flags, record.service = fields[1:3]
        record.age_s = fields[3] / _MS
        record.slots, record.revision, record.born_ms = fields[4:7]
        record.cold_s = fields[7] / _MS
        record.cold_per_s = fields[8] / _MS
        record.operator_revision, record.version = fields[9:11]
        return record

    def pack(self) -> bytes:
        """Return the datagram."""
        return _RECORD.pack(
            RECORD,
            self.flags,
            self.service,
            _age_ms(self.age_s),
            self.slots,
            self.revision,
            self.born_ms,
            _age_ms(self.cold_s),
            _age_ms(self.cold_per_s),
            self.operator_revision,
            self.version,
        )


def wait_ms(seconds: float) -> int:
    """Return a wait as messages state it."""
    return min(int(seconds * _MS), MOST_WAIT_MS - 1)


def pack_addresses(kind: int, *groups: list[bytes]) -> bytes:
    """Write lists of addresses, each with its length before it."""
    parts = [bytes((kind,))]
    for group in groups:
        parts.append(len(group).to_bytes(2, 'big'))
        parts.extend(group)
    return b''.join(parts)


def unpack_addresses(raw: bytes) -> list[bytes]:
    """Split a run of addresses."""
    steps = range(0, len(raw), _ADDRESS_BYTES)
    return [raw[step : step + _ADDRESS_BYTES] for step in steps]


def read_peers(raw: bytes) -> tuple[list[bytes], list[bytes]]:
    """Return the addresses of entries and of sidecars in a PEERS datagram."""
    split = 3 + int.from_bytes(raw[1:3], 'big') * _ADDRESS_BYTES
    whole = len(raw) - len(raw[split + 2 :]) % _ADDRESS_BYTES
    return unpack_addresses(raw[3:split]), unpack_addresses(
        raw[split + 2 : whole]
    )


def pack_piece(version: int, index: int, count: int, piece: bytes) -> bytes:
    """Write one piece of a configuration."""
    return _PIECE.pack(CONFIGURATION, version, index, count) + piece


def read_piece(raw: bytes) -> tuple[int, int, int, bytes]:
    """Return version, index, count of pieces and one piece.

    Raises:
        Malformed: the datagram is cut short.
    """
    _, version, index, count = _unpack(_PIECE, raw)
    return version, index, count, raw[_PIECE.size :]


def _age_ms(seconds: float) -> int:
    return min(_MAX_AGE_MS, max(0, int(seconds * _MS)))


def _unpack(layout: Struct, raw: bytes) -> tuple[Any, ...]:
    try:
        return layout.unpack_from(raw)
    except StructError:
        raise Malformed(f'{len(raw)} bytes are too few') from None
