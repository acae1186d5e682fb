"""Decoding of JSON documents with the scanner of the ``_json`` module.

The ``json`` package is not imported, which saves memory.
"""

from __future__ import annotations

from _json import make_scanner
from _socket import AF_INET, inet_pton

__all__ = (
    'DocumentError',
    'decode',
    'flag_field',
    'integer_field',
    'number_field',
    'object_rows',
    'port_number',
    'split_address',
    'text_field',
)


# Maximum of all numbers in documents: counts, times and revisions.
_NUMBER_BITS = 62
_MAX_NUMBER = 1 << _NUMBER_BITS
_MAX_PORT = 0xFFFF
_MAX_PORT_DIGITS = 5
# Insignificant white space of JSON; ``str.strip`` alone removes other characters.
_WHITE_SPACE = ' \t\n\r'


class DocumentError(ValueError):
    """A document or a field is malformed."""


def _unique_members(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return an object of which each name occurs once."""
    members = dict(pairs)
    if len(members) != len(pairs):
        raise DocumentError('a name occurs twice in an object')
    return members


def _refuse_constant(name: str) -> float:
    """Refuse a constant that the scanner knows and JSON doesn't."""
    raise DocumentError(f'{name} is not JSON')


class _ScannerOptions:
    """The scanner's options, under the attribute names that it reads."""

    strict = True
    object_hook = None
    parse_float = float
    parse_int = int

    def __init__(self) -> None:
        self.object_pairs_hook = _unique_members
        self.parse_constant = _refuse_constant


_scan = make_scanner(_ScannerOptions())  # type: ignore[arg-type]


def decode(raw: bytes) -> dict[str, object]:
    """Decode a JSON object in UTF-8 by RFC 8259.

    Objects in which a name occurs twice are refused as well: readers disagree on
    their meaning.

    Raises:
        DocumentError: the bytes are not one JSON object.
    """
    try:
        text = raw.decode().strip(_WHITE_SPACE)
        document, end = _scan(text, 0)
    except (ValueError, StopIteration, RecursionError) as error:
        raise DocumentError(f'invalid JSON: {error}') from None
    if end != len(text):
        raise DocumentError('invalid JSON: more follows the document')
    if not isinstance(document, dict):
        raise DocumentError('document is not a JSON object')
    return document


def text_field(document: dict[str, object], name: str) -> str:
    """Return the value of a string field.

    Raises:
        DocumentError: the field is missing or not a string that UTF-8 can
            encode, as one with an unpaired surrogate.
    """
    value = document.get(name)
    if not isinstance(value, str):
        raise DocumentError(f'{name} is not text')
    try:
        value.encode()
    except UnicodeEncodeError:
        raise DocumentError(f'{name} holds an unpaired surrogate') from None
    return value


def integer_field(document: dict[str, object], name: str) -> int:
    """Return the value of an integer field, 0 or more; booleans are refused.

    Raises:
        DocumentError: the field is missing, not an integer or out of range.
    """
    value = document.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        raise DocumentError(f'{name} is not a whole number')
    if not 0 <= value <= _MAX_NUMBER:
        raise DocumentError(f'{name} is out of range')
    return value


def flag_field(document: dict[str, object], name: str) -> bool:
    """Return the value of a boolean field.

    Raises:
        DocumentError: the field is missing or not a boolean.
    """
    value = document.get(name)
    if not isinstance(value, bool):
        raise DocumentError(f'{name} is neither true nor false')
    return value


def number_field(
    document: dict[str, object], name: str, default: float
) -> float:
    """Return the value of a number field, 0 or more, or the default.

    Raises:
        DocumentError: the field is not a number or out of range.
    """
    value = document.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise DocumentError(f'{name} is not a number')
    if not 0 <= value <= _MAX_NUMBER:
        raise DocumentError(f'{name} is out of range')
    return float(value)


def object_rows(
    document: dict[str, object], name: str
) -> list[dict[str, object]]:
    """Return the value of a field that is a list of objects.

    Raises:
        DocumentError: the field is missing or something else.
    """
    rows = document.get(name)
    if not isinstance(rows, list):
        raise DocumentError(f'{name} is not a list')
    for row in rows:
        if not isinstance(row, dict):
            raise DocumentError(
                f'{name} holds an element that is not an object'
            )
    return rows


def port_number(value: object) -> int:
    """Return a port given as a number or as decimal digits.

    Raises:
        DocumentError: the value is not a port.
    """
    if isinstance(value, str) and value.isascii() and value.isdecimal():
        value = int(value) if len(value) <= _MAX_PORT_DIGITS else 0
    if not isinstance(value, int) or isinstance(value, bool):
        raise DocumentError(f'{value!r} is not a port')
    if not 0 < value <= _MAX_PORT:
        raise DocumentError(f'port {value} is out of range')
    return value


def split_address(text: str) -> tuple[str, int]:
    """Return IPv4 address and port of an address with a port.

    Raises:
        DocumentError: the text is not such an address.
    """
    ip, _, port = text.rpartition(':')
    try:
        inet_pton(AF_INET, ip)
    except (OSError, ValueError):
        raise DocumentError(f'{text!r} is not an IPv4 address') from None
    return ip, port_number(port)
