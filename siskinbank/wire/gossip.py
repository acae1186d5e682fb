"""Gossip messages between siskinbank processes."""

import dataclasses

from siskinbank.wire.messages import Message, message

__all__ = (
    'Announce',
    'Bucket',
    'Buckets',
    'FRESH',
    'Piece',
    'PieceRequest',
    'REPLY_WANTED',
)

#: The sender requests an announcement in reply.
REPLY_WANTED = 0x01
#: The sender is fresh: it may act on its known state.
FRESH = 0x02


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Announce(Message):
    """Announces the configuration in force and the known state of the sender.

    ``epoch`` is the incarnation of the sender and only increases. ``echo``
    repeats the ``nonce`` of the announcement that this one answers.
    ``digest`` is the 16-byte digest of the manifest in force, ``refused`` the
    generation and digest of the newest invalid one. ``roster`` is the digest
    of the sender's roster. ``ages`` holds lists of a data centre's name, the
    milliseconds since any process last received a message from it, and the
    milliseconds since one of its readers last reached the platform.
    ``records`` and ``statuses`` hold changed records and member statuses of
    instances. ``lagging`` holds lists of the name of a lagging process, its
    generation and the milliseconds since it was last seen.
    """

    kind = 80
    name: str
    epoch: int
    flags: int
    nonce: int
    echo: int
    generation: int
    digest: bytes
    refused: list  # type: ignore[type-arg]
    roster: bytes
    ages: list  # type: ignore[type-arg]
    records: list  # type: ignore[type-arg]
    statuses: list  # type: ignore[type-arg]
    lagging: list  # type: ignore[type-arg]


@message
@dataclasses.dataclass(frozen=True, slots=True)
class PieceRequest(Message):
    """Requests the pieces of a compressed document from ``first`` on."""

    kind = 81
    digest: bytes
    first: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Piece(Message):
    """One piece of a compressed document; ``total`` counts all its pieces."""

    kind = 82
    digest: bytes
    index: int
    total: int
    content: bytes


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Buckets(Message):
    """The concatenated digests of all buckets of the sender's roster."""

    kind = 83
    digests: bytes


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Bucket(Message):
    """All records of one roster bucket.

    ``wanted`` requests the receiver's records of the bucket.
    """

    kind = 84
    index: int
    wanted: bool
    records: list  # type: ignore[type-arg]
