"""Messages of the dissemination between the system's own processes."""

import dataclasses

from siskinbank.wire.messages import Message, message

__all__ = (
    'FRESH',
    'REPLY_WANTED',
    'Announce',
    'Ask',
    'Bucket',
    'Buckets',
    'Piece',
)

#: The receiver is to answer with an announcement of its own.
REPLY_WANTED = 0x01
#: The sender has itself heard from others within its lease.
FRESH = 0x02


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Announce(Message):
    """What the sender has in force and believes, as digests and news.

    ``epoch`` is the sender's own life, which only grows. ``echo`` repeats the
    ``nonce`` of the announcement that this one answers. ``digest`` is the
    16-byte digest of the manifest in force, ``refused`` the generation and
    digest of the newest invalid one. ``ages`` are lists of a data centre's
    name, the milliseconds since anyone heard from it, and those since one of
    its readers reached the platform. ``records`` and ``words`` are news of
    instances; ``laggards`` are lists of name, generation and age in
    milliseconds.
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
    words: list  # type: ignore[type-arg]
    laggards: list  # type: ignore[type-arg]


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Ask(Message):
    """Asks for the pieces of a compressed document from ``first`` on."""

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
    """The digests of all buckets of the sender's roster, one after another."""

    kind = 83
    digests: bytes


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Bucket(Message):
    """All records of one bucket; ``wanted`` asks for the receiver's."""

    kind = 84
    index: int
    wanted: bool
    records: list  # type: ignore[type-arg]
