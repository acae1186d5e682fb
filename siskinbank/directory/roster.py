"""The roster: the listed instances in a form that peers can compare.

Records are kept in buckets by a hash of the instance's name. Two processes
compare the digests of their buckets and exchange only those that differ. A
record with a higher version replaces one with a lower version; of two with
the same version the one with the higher content wins, everywhere alike.
"""

import functools
import hashlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgpack

from siskinbank.config.site import Address
from siskinbank.directory.live import Instance, InstanceState, Role
from siskinbank.util import digest64
from siskinbank.wire.checks import is_name, is_number
from siskinbank.wire.packets import pack_address, unpack_address

__all__ = (
    'BUCKETS',
    'BUCKET_DIGEST_BYTES',
    'Listing',
    'Record',
    'Roster',
    'RosterIndex',
    'parse_record',
    'record_of',
    'ring_key',
)

BUCKETS = 128
BUCKET_DIGEST_BYTES = 6
_ROOT_BYTES = 8
_MAX_VERSION = 1 << 48
_PACKED_ADDRESS_BYTES = 6
_FIELDS = 6
_ROLES = frozenset(Role)


class Listing:
    """What the list says of an instance, as the numbers that records carry."""

    live = 0
    leaving = 1
    absent = 2


@dataclass(frozen=True, slots=True, order=True)
class Record:
    """One instance as it was last listed; field order decides ties."""

    version: int
    listing: int
    name: str
    role: str
    data_centre: str
    packed: bytes

    @property
    def address(self) -> Address:
        """The instance's address for the system's own processes."""
        return unpack_address(self.packed)

    @property
    def parts(self) -> list[Any]:
        """The record as messages carry it."""
        return [
            self.version,
            self.listing,
            self.name,
            self.role,
            self.data_centre,
            self.packed,
        ]

    @property
    def said(self) -> tuple[int, str, str, bytes]:
        """What the list says, without the version."""
        return self.listing, self.role, self.data_centre, self.packed

    @property
    def instance(self) -> Instance:
        """The record as a line of the live list."""
        leaving = self.listing == Listing.leaving
        return Instance(
            self.name,
            Role(self.role),
            self.data_centre,
            self.address,
            InstanceState.leaving if leaving else InstanceState.live,
        )


def record_of(instance: Instance, version: int) -> Record:
    """Return the record of a listed instance."""
    leaving = instance.state is InstanceState.leaving
    return Record(
        version,
        Listing.leaving if leaving else Listing.live,
        instance.name,
        instance.role.value,
        instance.data_centre,
        pack_address(instance.address),
    )


def parse_record(parts: Any) -> Record | None:
    """Read a record of a message; None when it is malformed."""
    if not isinstance(parts, list) or len(parts) != _FIELDS:
        return None
    version, listing, name, role, centre, packed = parts
    if not (is_number(version, _MAX_VERSION) and is_number(listing, 3)):
        return None
    if not (is_name(name) and is_name(centre) and is_name(role)):
        return None
    if role not in _ROLES:
        return None
    if not isinstance(packed, bytes) or len(packed) != _PACKED_ADDRESS_BYTES:
        return None
    return Record(version, listing, name, str(role), centre, packed)


@dataclass(frozen=True)
class RosterIndex:
    """What is worked out of a roster: peers, and rings by data centre.

    ``rings`` holds the records of each data centre in the order of their
    names' hashes; both leave nobody out, whatever the list says.
    """

    records: tuple[Record, ...]
    rings: Mapping[str, tuple[Record, ...]]
    leaving: frozenset[str]


class _Bucket:
    __slots__ = ('digest', 'records')

    def __init__(self, records: dict[str, Record]) -> None:
        self.records = records
        ordered = [records[name].parts for name in sorted(records)]
        self.digest = hashlib.blake2b(
            msgpack.packb(ordered),
            digest_size=BUCKET_DIGEST_BYTES,
        ).digest()


_EMPTY = _Bucket({})


class Roster:
    """All records; a change makes a new roster that shares the rest."""

    __slots__ = ('_buckets', '_root', '_size')

    def __init__(self, buckets: tuple[_Bucket, ...] | None = None) -> None:
        """Start empty, or from buckets of another roster."""
        self._buckets = buckets or (_EMPTY,) * BUCKETS
        self._size = sum(len(bucket.records) for bucket in self._buckets)
        self._root = hashlib.blake2b(
            self.digests,
            digest_size=_ROOT_BYTES,
        ).digest()

    def __len__(self) -> int:
        """Return the number of records."""
        return self._size

    def __iter__(self) -> Iterator[Record]:
        """Go through all records."""
        for bucket in self._buckets:
            yield from bucket.records.values()

    def __hash__(self) -> int:
        """Hash by content."""
        return hash(self._root)

    def __eq__(self, other: object) -> bool:
        """Compare by content."""
        return isinstance(other, Roster) and self._root == other.root

    @property
    def root(self) -> bytes:
        """The digest over all buckets."""
        return self._root

    @property
    def buckets(self) -> tuple[_Bucket, ...]:
        """All buckets, in order."""
        return self._buckets

    @property
    def digests(self) -> bytes:
        """The digests of all buckets, one after the other."""
        return b''.join(bucket.digest for bucket in self._buckets)

    def get(self, name: str) -> Record | None:
        """Return the record of an instance."""
        return self._buckets[bucket_of(name)].records.get(name)

    def bucket(self, index: int) -> list[Record]:
        """Return the records of one bucket."""
        return list(self._buckets[index].records.values())

    def differing(self, digests: bytes) -> list[int]:
        """Return the buckets whose digests are others than these."""
        size = BUCKET_DIGEST_BYTES
        return [
            index
            for index, bucket in enumerate(self._buckets)
            if bucket.digest != digests[index * size : (index + 1) * size]
        ]

    def merged(
        self, offered: Iterable[Record]
    ) -> tuple['Roster', list[Record]]:
        """Return a roster with what is newer, and the records that were."""
        best: dict[str, Record] = {}
        for record in offered:
            rival = best.get(record.name) or self.get(record.name)
            if rival is None or record > rival:
                best[record.name] = record
        news = list(best.values())
        if not news:
            return self, news
        return self._replace(best), news

    def without(self, names: Iterable[str]) -> 'Roster':
        """Return a roster that has forgotten instances."""
        return self._replace(dict.fromkeys(names))

    @functools.lru_cache(maxsize=4)  # noqa: B019
    def index(self) -> RosterIndex:
        """Return the peers and rings; kept for the last few rosters."""
        ordered = tuple(sorted(self, key=_ring_place))
        rings: dict[str, list[Record]] = {}
        for placed in ordered:
            rings.setdefault(placed.data_centre, []).append(placed)
        frozen = {name: tuple(ring) for name, ring in rings.items()}
        leaving = frozenset(
            record.name
            for record in ordered
            if record.listing == Listing.leaving
        )
        return RosterIndex(ordered, frozen, leaving)

    def _replace(self, records: Mapping[str, Record | None]) -> 'Roster':
        """Return a roster with other records; None forgets one."""
        changed: dict[int, dict[str, Record]] = {}
        for name, record in records.items():
            index = bucket_of(name)
            if index not in changed:
                changed[index] = dict(self._buckets[index].records)
            if record is None:
                changed[index].pop(name, None)
            else:
                changed[index][name] = record
        buckets = list(self._buckets)
        for place, kept in changed.items():
            buckets[place] = _Bucket(kept)
        return Roster(tuple(buckets))


@functools.lru_cache(maxsize=8192)
def ring_key(name: str) -> int:
    """Return an instance's place on the ring of its data centre."""
    return digest64(name)


def _ring_place(record: Record) -> int:
    return ring_key(record.name)


def bucket_of(name: str) -> int:
    """Return the bucket that holds an instance's record."""
    return ring_key(name) % BUCKETS
