"""Typed control messages, and their msgpack form."""

import dataclasses
from typing import Any, ClassVar, TypeVar

import msgpack

__all__ = (
    'MAX_MESSAGE_BYTES',
    'Message',
    'MessageError',
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
