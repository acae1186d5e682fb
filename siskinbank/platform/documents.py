"""Decoding of JSON documents with the scanner of the ``_json`` module.

The ``json`` package is not imported, which saves memory.
"""

from __future__ import annotations

from _json import make_scanner
from _socket import AF_INET, inet_pton

__all__ = (
    'DocumentError',
    'decode',
    'integer_field',
    'number_field',
    'port_number',
    'split_address',
    'text_field',
)


# Maximum of all numbers in documents: counts, times and revisions.
_NUMBER_BITS = 62
_MAX_NUMBER = 1 << _NUMBER_BITS
_MAX_PORT = 0xFFFF
_MAX_PORT_DIGITS = 5


class DocumentError(ValueError):
    """A document or a field is malformed."""


class _ScannerOptions:
    """The scanner's options, under the attribute names that it reads."""

    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int
    parse_constant = float


_scan = make_scanner(_ScannerOptions())  # type: ignore[arg-type]


def decode(raw: bytes) -> dict[str, object]:
    """Decode a JSON object.

    Raises:
        DocumentError: the bytes are not a JSON object.
    """
    try:
        document, _ = _scan(raw.decode().strip(), 0)
    except (ValueError, StopIteration, RecursionError) as error:
        raise DocumentError(f'invalid JSON: {error}') from None
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
