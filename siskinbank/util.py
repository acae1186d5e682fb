"""Digests, canonical JSON and address parsing."""

import functools
import hashlib
import json
from typing import Any
from urllib.parse import urlsplit

__all__ = (
    'canonical_json',
    'digest64',
    'hex_digest',
    'name_digest',
    'parse_address',
    'parse_json',
    'parse_url',
)

_DIGEST_BYTES = 16
_DIGEST64_BYTES = 8
_MAX_PORT = 65535
#: Names whose digest is kept: more than the largest deployment has processes,
#: 3,610.
_MAX_CACHED_NAMES = 8192


def digest64(text: str) -> int:
    """Return a 64-bit digest of ``text``, the same on every machine."""
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST64_BYTES)
    return int.from_bytes(digest.digest(), 'big')


@functools.lru_cache(_MAX_CACHED_NAMES)
def name_digest(name: str) -> int:
    """Return ``digest64`` of a host, service or instance.

    It is kept, as packets and messages need those of the same names.
    """
    return digest64(name)


def hex_digest(raw: bytes) -> str:
    """Return the hexadecimal digest that identifies a document."""
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).hexdigest()


def canonical_json(document: Any) -> bytes:
    """Return the canonical JSON encoding of a document."""
    text = json.dumps(document, sort_keys=True, separators=(',', ':'))
    return text.encode()


def parse_json(raw: bytes) -> Any:
    """Parse a JSON document from outside, in UTF-8 by RFC 8259.

    Raises:
        ValueError: the bytes are not JSON, nested too deeply, or hold an object
            in which a name occurs twice.
    """
    try:
        return json.loads(
            raw.decode(),
            object_pairs_hook=_unique_members,
            parse_constant=_refuse_constant,
        )
    except RecursionError as error:
        raise ValueError('nested too deeply') from error


def _unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise ValueError('a name occurs twice in an object')
    return members


def _refuse_constant(name: str) -> float:
    raise ValueError(f'{name} is not JSON')


def parse_url(text: str) -> str:
    """Validate an HTTP URL and return it unchanged.

    Raises:
        ValueError: the text is not an HTTP URL; the message gives the format.
    """
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError(f'{text!r} is not an HTTP URL; write http://IP:PORT')
    return text


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into address and port.

    Raises:
        ValueError: the text is malformed; the message gives the format.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not host:
        raise ValueError(f'{text!r} is not an address; write IP:PORT')
    if not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(
            f'{text!r} has an invalid port; write 0 to {_MAX_PORT}'
        )
    return host, int(port)
