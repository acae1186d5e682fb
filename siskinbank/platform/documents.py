"""JSON as the platform writes it, read without the weight of ``json``."""

from __future__ import annotations

from _json import make_scanner

__all__ = ('Unreadable', 'decode', 'number_in', 'text_in', 'whole_in')


# Numbers beyond this are no counts, times or revisions.
_MOST = 1 << 62


class Unreadable(ValueError):
    """A document or a field that does not hold what it should."""


class _Context:
    """The settings of the scanner, under the names that it looks for."""

    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int
    parse_constant = float


_scan = make_scanner(_Context())  # type: ignore[arg-type]


def decode(raw: bytes) -> dict[str, object]:
    """Read one JSON object.

    Raises:
        Unreadable: the bytes are no JSON object.
    """
    try:
        document, _ = _scan(raw.decode().strip(), 0)
    except (ValueError, StopIteration, RecursionError) as error:
        raise Unreadable(f'no JSON: {error}') from None
    if not isinstance(document, dict):
        raise Unreadable('no JSON object')
    return document


def text_in(document: dict[str, object], name: str) -> str:
    """Return a field that holds text.

    Raises:
        Unreadable: the field is missing or holds something else.
    """
    found = document.get(name)
    if not isinstance(found, str):
        raise Unreadable(f'{name} is no text')
    return found


def whole_in(document: dict[str, object], name: str) -> int:
    """Return a field that holds a whole number from 0 on, never a boolean.

    Raises:
        Unreadable: the field is missing or holds something else.
    """
    found = document.get(name)
    if not isinstance(found, int) or isinstance(found, bool):
        raise Unreadable(f'{name} is no whole number')
    if not 0 <= found <= _MOST:
        raise Unreadable(f'{name} is out of range')
    return found


def number_in(document: dict[str, object], name: str, default: float) -> float:
    """Return a field that holds a number from 0 on, or the default.

    Raises:
        Unreadable: the field holds something else.
    """
    found = document.get(name, default)
    if not isinstance(found, int | float) or isinstance(found, bool):
        raise Unreadable(f'{name} is no number')
    if not 0 <= found <= _MOST:
        raise Unreadable(f'{name} is out of range')
    return float(found)
