"""The roster: the listed instances in a form that peers can compare.

Records are grouped into buckets by a hash of the instance's name. Two
processes compare the digests of their buckets and exchange only the buckets
that differ. A record with a higher version replaces one with a lower version.
Of two records with the same version the one that sorts higher wins, so that
all processes make the same choice.
"""

import functools
import hashlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgpack

from siskinbank.config.site import Address
from siskinbank.directory.live import Instance, InstanceState, Role
from siskinbank.util import name_digest
from siskinbank.wire.checks import is_number_below, is_valid_name
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
_ROOT_DIGEST_BYTES = 8
#: Width of a version on the wire.
_VERSION_BITS = 48
_VERSION_LIMIT = 1 << _VERSION_BITS
_PACKED_ADDRESS_BYTES = 6
_FIELDS = 6
_ROLES = frozenset(Role)


class Listing:
    """The listed state of an instance, as the numbers used in records."""

    live = 0
    leaving = 1
    absent = 2


@dataclass(frozen=True, slots=True, order=True)
class Record:
    """An instance as last listed; field order decides which one is newer."""

    version: int
    listing: int
    name: str
    role: str
    data_centre: str
    packed_address: bytes

    @property
    def address(self) -> Address:
        """The address at which siskinbank processes reach the instance."""
        return unpack_address(self.packed_address)

    @property
    def parts(self) -> list[Any]:
        """The record in its message form."""
        return [
            self.version,
            self.listing,
            self.name,
            self.role,
            self.data_centre,
            self.packed_address,
        ]

    @property
    def content(self) -> tuple[int, str, str, bytes]:
        """The listed fields, without version and name."""
        return self.listing, self.role, self.data_centre, self.packed_address

    @property
    def instance(self) -> Instance:
        """The record as an instance of the live list."""
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
    """Parse a record of a message; return None if it is malformed."""
    if not isinstance(parts, list) or len(parts) != _FIELDS:
        return None
    version, listing, name, role, centre, packed_address = parts
    if not (
        is_number_below(version, _VERSION_LIMIT) and is_number_below(listing, 3)
    ):
        return None
    if not (
        is_valid_name(name) and is_valid_name(centre) and is_valid_name(role)
    ):
        return None
    if role not in _ROLES:
        return None
    if (
        not isinstance(packed_address, bytes)
        or len(packed_address) != _PACKED_ADDRESS_BYTES
    ):
        return None
    return Record(version, listing, name, str(role), centre, packed_address)


@dataclass(frozen=True)
class RosterIndex:
    """An index derived from a roster.

    Attributes:
        records: all records, ordered by the hash of their names.
        rings: the records of each data centre in the same order. Like
            ``records`` it includes leaving and absent instances.
        leaving: the names of the instances that are listed as leaving.
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


_EMPTY_BUCKET = _Bucket({})


class Roster:
    """An immutable set of records; changes create a new roster.

    The new roster shares unchanged buckets with the old one.
    """

    __slots__ = ('_buckets', '_root', '_size')

    def __init__(self, buckets: tuple[_Bucket, ...] | None = None) -> None:
        """Create an empty roster, or one with the given buckets."""
        self._buckets = buckets or (_EMPTY_BUCKET,) * BUCKETS
        self._size = sum(len(bucket.records) for bucket in self._buckets)
        self._root = hashlib.blake2b(
            self.digests,
            digest_size=_ROOT_DIGEST_BYTES,
        ).digest()

    def __len__(self) -> int:
        """Return the number of records."""
        return self._size

    def __iter__(self) -> Iterator[Record]:
        """Iterate over all records."""
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
        """The concatenated digests of all buckets."""
        return b''.join(bucket.digest for bucket in self._buckets)

    def get(self, name: str) -> Record | None:
        """Return the record of an instance."""
        return self._buckets[bucket_index_of(name)].records.get(name)

    def bucket(self, index: int) -> list[Record]:
        """Return the records of one bucket."""
        return list(self._buckets[index].records.values())

    def differing(self, digests: bytes) -> list[int]:
        """Return the indexes of the buckets whose digests differ."""
        size = BUCKET_DIGEST_BYTES
        return [
            index
            for index, bucket in enumerate(self._buckets)
            if bucket.digest != digests[index * size : (index + 1) * size]
        ]

    def merged(
        self, offered: Iterable[Record]
    ) -> tuple['Roster', list[Record]]:
        """Return a roster with the newer records, and those records."""
        newest: dict[str, Record] = {}
        for record in offered:
            current = newest.get(record.name) or self.get(record.name)
            if current is None or record > current:
                newest[record.name] = record
        newer = list(newest.values())
        if not newer:
            return self, newer
        return self._replace(newest), newer

    def without(self, names: Iterable[str]) -> 'Roster':
        """Return a roster without the named instances."""
        return self._replace(dict.fromkeys(names))

    @functools.lru_cache(maxsize=4)  # noqa: B019
    def index(self) -> RosterIndex:
        """Return the index; cached for the last few rosters."""
        ordered = tuple(sorted(self, key=_record_ring_key))
        rings: dict[str, list[Record]] = {}
        for ring_record in ordered:
            rings.setdefault(ring_record.data_centre, []).append(ring_record)
        frozen = {name: tuple(ring) for name, ring in rings.items()}
        leaving = frozenset(
            record.name
            for record in ordered
            if record.listing == Listing.leaving
        )
        return RosterIndex(ordered, frozen, leaving)

    def _replace(self, records: Mapping[str, Record | None]) -> 'Roster':
        """Return a roster with replaced records; None removes a record."""
        changed: dict[int, dict[str, Record]] = {}
        for name, record in records.items():
            index = bucket_index_of(name)
            if index not in changed:
                changed[index] = dict(self._buckets[index].records)
            if record is None:
                changed[index].pop(name, None)
            else:
                changed[index][name] = record
        buckets = list(self._buckets)
        for bucket_index, bucket_records in changed.items():
            buckets[bucket_index] = _Bucket(bucket_records)
        return Roster(tuple(buckets))


def ring_key(name: str) -> int:
    """Return the hash that orders an instance on its data centre's ring."""
    return name_digest(name)


def _record_ring_key(record: Record) -> int:
    return ring_key(record.name)


def bucket_index_of(name: str) -> int:
    """Return the index of the bucket of an instance's record."""
    return ring_key(name) % BUCKETS
