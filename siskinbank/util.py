"""Small helpers that have no better home."""

import hashlib
import json
from typing import Any
from urllib.parse import urlsplit

__all__ = (
    'canonical_json',
    'digest64',
    'hex_digest',
    'parse_address',
    'parse_url',
)

_DIGEST_BYTES = 16
_NUMBER_BYTES = 8
_MAX_PORT = 65535


def digest64(text: str) -> int:
    """Return a 64-bit number that stands for ``text`` on every machine."""
    digest = hashlib.blake2b(text.encode(), digest_size=_NUMBER_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def hex_digest(raw: bytes) -> str:
    """Return the digest under which sections are compared."""
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).hexdigest()


def canonical_json(document: Any) -> bytes:
    """Return the one byte form of a JSON document."""
    text = json.dumps(document, sort_keys=True, separators=(',', ':'))
    return text.encode()


def parse_url(text: str) -> str:
    """Return an HTTP URL as it is.

    Raises:
        ValueError: the text is no such URL; the message says what is.
    """
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError(f'{text!r} is no URL; write http://IP:PORT')
    return text


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:PORT``.

    Raises:
        ValueError: the text has another form; the message says which.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not host:
        raise ValueError(f'{text!r} is no address; write IP:PORT')
    if not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f'{text!r} has a bad port; write 0 to {_MAX_PORT}')
    return host, int(port)
