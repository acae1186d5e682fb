"""Base class, registry and msgpack encoding of control messages."""

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
    """Bytes are not a valid message."""


class Message:
    """Base class of all messages; subclasses are frozen data classes."""

    kind: ClassVar[int]


MessageT = TypeVar('MessageT', bound=type[Message])

_KINDS: dict[int, type[Message]] = {}
_FIELDS: dict[type[Message], dict[str, Any]] = {}


def message(cls: MessageT) -> MessageT:
    """Register a message class under its ``kind``."""
    message_class = _KINDS.setdefault(cls.kind, cls)
    if message_class is not cls:
        raise ValueError(
            f'{cls.__name__} has the same kind as {message_class.__name__}'
        )
    return cls


def encode(sent: Message) -> bytes:
    """Encode a message as a msgpack list of its kind and its fields."""
    names = _field_types(type(sent))
    packed: bytes = msgpack.packb(
        [sent.kind, *(getattr(sent, name) for name in names)],
    )
    return packed


def decode(raw: bytes) -> Message:
    """Decode one message.

    Raises:
        MessageError: the bytes are malformed, too many, or of unknown kind.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise MessageError(f'message of {len(raw)} bytes is too long')
    try:
        parts = msgpack.unpackb(raw)
    except (ValueError, msgpack.UnpackException) as error:
        raise MessageError(str(error)) from error
    return from_parts(parts)


def from_parts(parts: Any) -> Message:
    """Create a message from an unpacked list.

    Raises:
        MessageError: the list does not match a message class.
    """
    if not isinstance(parts, list) or not parts:
        raise MessageError('message is not a list of kind and fields')
    kind = parts[0]
    message_class = _KINDS.get(kind) if isinstance(kind, int) else None
    if message_class is None:
        raise MessageError(f'unknown message kind {kind!r}')
    _check_fields(message_class, parts[1:])
    return message_class(*parts[1:])


def _check_fields(message_class: type[Message], given: list[Any]) -> None:
    fields = _field_types(message_class)
    if len(given) != len(fields):
        raise MessageError(
            f'{len(given)} fields do not match {message_class.__name__}'
        )
    for name, content in zip(fields, given, strict=True):
        allowed = fields[name]
        if not isinstance(content, allowed) or _is_unexpected_bool(
            content, allowed
        ):
            raise MessageError(
                f'{message_class.__name__}.{name} has a wrong type'
            )


def _field_types(message_class: type[Message]) -> dict[str, Any]:
    """Return the types of the fields of a message class, in order."""
    types = _FIELDS.get(message_class)
    if types is None:
        fields = dataclasses.fields(message_class)  # type: ignore[arg-type]
        types = {field.name: _TYPES[field.type] for field in fields}
        _FIELDS[message_class] = types
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


def _is_unexpected_bool(given: Any, allowed: Any) -> bool:
    return isinstance(given, bool) and allowed is not bool
