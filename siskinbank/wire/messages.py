"""Typed control messages, and their msgpack form."""

import dataclasses
from typing import Any, ClassVar, TypeVar

import msgpack

__all__ = (
    'MAX_MESSAGE_BYTES',
    'Message',
    'MessageError',
    'Moved',
    'Owner',
    'Started',
    'decode',
    'encode',
    'message',
)

MAX_MESSAGE_BYTES = 2 * 1024 * 1024


class MessageError(ValueError):
    """Bytes that are no message of ours."""


class Message:
    """Base of all messages; subclasses are frozen data classes."""

    kind: ClassVar[int]


MessageT = TypeVar('MessageT', bound=type[Message])

_KINDS: dict[int, type[Message]] = {}
_FIELDS: dict[type[Message], dict[str, Any]] = {}


def message(cls: MessageT) -> MessageT:
    """Register a message class under its ``kind``."""
    known = _KINDS.setdefault(cls.kind, cls)
    if known is not cls:
        raise ValueError(f'{cls.__name__} has the kind of {known.__name__}')
    return cls


def encode(sent: Message) -> bytes:
    """Return the msgpack form: a list of the kind and the fields in order."""
    names = _field_types(type(sent))
    packed: bytes = msgpack.packb(
        [sent.kind, *(getattr(sent, name) for name in names)],
    )
    return packed


def decode(raw: bytes) -> Message:
    """Read one message.

    Raises:
        MessageError: the bytes are malformed, too many, or of no known kind.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise MessageError(f'{len(raw)} bytes')
    try:
        parts = msgpack.unpackb(raw)
    except (ValueError, msgpack.UnpackException) as error:
        raise MessageError(str(error)) from error
    return from_parts(parts)


def from_parts(parts: Any) -> Message:
    """Make a message of an unpacked list.

    Raises:
        MessageError: the list fits no message class.
    """
    if not isinstance(parts, list) or not parts:
        raise MessageError('not a list')
    kind = parts[0]
    known = _KINDS.get(kind) if isinstance(kind, int) else None
    if known is None:
        raise MessageError(f'unknown kind {kind!r}')
    _check_fields(known, parts[1:])
    return known(*parts[1:])


def _check_fields(known: type[Message], given: list[Any]) -> None:
    fields = _field_types(known)
    if len(given) != len(fields):
        raise MessageError(f'{len(given)} fields for {known.__name__}')
    for name, content in zip(fields, given, strict=True):
        allowed = fields[name]
        if not isinstance(content, allowed) or _is_bad_bool(content, allowed):
            raise MessageError(f'{known.__name__}.{name}')


def _field_types(known: type[Message]) -> dict[str, Any]:
    """Return the fields of a message class with their types, in order."""
    types = _FIELDS.get(known)
    if types is None:
        fields = dataclasses.fields(known)  # type: ignore[arg-type]
        types = {field.name: _TYPES[field.type] for field in fields}
        _FIELDS[known] = types
    return types


_TYPES: dict[Any, type | tuple[type, ...]] = {
    int: int,
    str: str,
    bytes: bytes,
    bool: bool,
    float: (int, float),
    list: list,
    dict: dict,
}


def _is_bad_bool(given: Any, allowed: Any) -> bool:
    return isinstance(given, bool) and allowed is not bool


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Owner(Message):
    """Tells an entry which host owns a flow.

    ``flow`` is its 13 bytes, ``address`` the owner's 6-byte address.
    """

    kind = 2
    flow: bytes
    address: bytes
    incarnation: int
    generation: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Moved(Message):
    """Tells a sidecar that the sender owns flows which rank it high.

    ``flows`` are 64-bit flow numbers, 8 bytes each. The receiver passes their
    packets on until the lease ends.
    """

    kind = 3
    service: int
    address: bytes
    incarnation: int
    generation: int
    lease_seconds: float
    flows: bytes


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Started(Message):
    """Tells the sidecars of a service that the sender lost its memory."""

    kind = 30
    service: int
    address: bytes
    incarnation: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenTunnel(Message):
    """Asks a sidecar to take one plain TCP connection."""

    kind = 10
    service: int
    caller: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TunnelOpened(Message):
    """The sidecar has connected; bytes follow both ways."""

    kind = 11


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Refused(Message):
    """The work with this number was not run and will not be."""

    kind = 12
    number: int
    reason: str
    retry_after: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequests(Message):
    """Starts a stream of numbered requests."""

    kind = 13
    sender: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead(Message):
    """Starts one request.

    ``due`` is the deadline in seconds on the sidecar's own clock, for the
    answer's end if ``bounded``, else for its start; ``length`` is the size of
    the body in bytes, -1 when the caller did not say it.
    """

    kind = 14
    number: int
    service: int
    key: str
    ticket: str
    idempotent: bool
    due: float
    bounded: bool
    method: str
    target: str
    length: int
    headers: list  # type: ignore[type-arg]


@message
@dataclasses.dataclass(frozen=True, slots=True)
class BodyPart(Message):
    """One part of a body; ``part`` counts from 0, ``last`` is the end mark."""

    kind = 15
    number: int
    part: int
    last: bool
    content: bytes


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead(Message):
    """Starts one answer; the body's parts follow.

    ``length`` is the declared size of the body, -1 when it is not known;
    ``clock`` is the sidecar's clock in seconds.
    """

    kind = 16
    number: int
    status: int
    length: int
    clock: float
    headers: list  # type: ignore[type-arg]


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Failed(Message):
    """The request may have run; its answer cannot be had.

    ``retry_after`` is in seconds, 0 when asking again does not help.
    """

    kind = 17
    number: int
    reason: str
    retry_after: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(Message):
    """Nobody waits for this request any more."""

    kind = 18
    number: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened(Message):
    """The sidecar's answer to ``OpenRequests``.

    ``clock`` is the sidecar's clock in seconds when this was sent.
    """

    kind = 40
    host: str
    incarnation: int
    clock: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Credit(Message):
    """The sender of a body may send ``size`` bytes more of it."""

    kind = 41
    number: int
    size: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class GoAway(Message):
    """The sidecar stops: requests above ``last`` were not and won't be run."""

    kind = 42
    last: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class IssueTicket(Message):
    """Asks for a ticket that lets one request run here once."""

    kind = 43
    number: int
    service: int
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TicketIssued(Message):
    """A ticket, and the seconds for which it is good."""

    kind = 44
    number: int
    ticket: str
    good_for: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Ping(Message):
    """Asks for a sign of life; it comes back as it is."""

    kind = 47
    number: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class FenceKey(Message):
    """Asks a former home of a key never to run it from now on."""

    kind = 45
    number: int
    service: int
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class KeyFenced(Message):
    """The key did not run here in this life, and will not."""

    kind = 46
    number: int
