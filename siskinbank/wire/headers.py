"""Validation and filtering of HTTP headers and request targets."""

import re
from collections.abc import Mapping, Sequence
from typing import Any

__all__ = (
    'DEADLINE_HEADER',
    'IDEMPOTENT_HEADER',
    'KEY_HEADER',
    'MAX_HEADERS',
    'MAX_HEADER_BYTES',
    'OUTCOME_HEADER',
    'TICKET_HEADER',
    'forwarded_headers',
    'header_problem',
    'is_token',
    'target_problem',
)

KEY_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'Siskinbank-Deadline'
IDEMPOTENT_HEADER = 'Siskinbank-Idempotent'
TICKET_HEADER = 'Siskinbank-Ticket'
OUTCOME_HEADER = 'Siskinbank-Outcome'

#: Maximum number of headers of one request or response.
MAX_HEADERS = 128
#: Maximum size of these headers together, in bytes.
#: Longer names are cut in descriptions of errors.
_MAX_SHOWN_CHARACTERS = 32
MAX_HEADER_BYTES = 32_768
_MAX_TARGET_BYTES = 8 * 1024

#: Hop-by-hop headers (RFC 9110, section 7.6.1), and others that apply to one
#: connection only.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
#: Headers that each hop sets itself.
_REWRITTEN = frozenset(
    (
        DEADLINE_HEADER.lower(),
        OUTCOME_HEADER.lower(),
        TICKET_HEADER.lower(),
    ),
)
_TOKEN = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FIELD_VALUE = re.compile('[\t\x20-\x7e\x80-\U0010ffff]*')
_TARGET = re.compile('(/[\x21-\x7e\x80-\U0010ffff]*|[*])')


def is_token(text: str) -> bool:
    """Return whether a text is a token (RFC 9110), such as a method."""
    return _TOKEN.fullmatch(text) is not None


def forwarded_headers(headers: Mapping[str, str]) -> list[list[str]]:
    """Return the headers to forward, without hop-by-hop headers.

    Values that are not in UTF-8 are read as ISO-8859-1, as HTTP used to define
    them, since messages hold valid text only.
    """
    connection_options = headers.get('Connection', '').lower().split(',')
    excluded = (
        _HOP_BY_HOP | _REWRITTEN | {name.strip() for name in connection_options}
    )
    return [
        [name, _valid_text(text)]
        for name, text in headers.items()
        if name.lower() not in excluded
    ]


def _valid_text(text: str) -> str:
    """Return a header value in which the parser has escaped no bytes."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return text.encode(errors='surrogateescape').decode('iso-8859-1')
    return text


def header_problem(headers: Sequence[Any]) -> str | None:
    """Return why the headers of a received message are invalid, or None.

    A peer must not be able to inject what an HTTP parser would have refused:
    line breaks, names that are not tokens, and hop-by-hop headers.
    """
    if len(headers) > MAX_HEADERS:
        return f'{len(headers)} headers exceed the limit'
    size = 0
    for pair in headers:
        if not _is_pair(pair):
            return 'header is not a pair of strings'
        name, text = pair
        size += len(name) + len(text)
        if not is_token(name) or not _FIELD_VALUE.fullmatch(text):
            return f'bad header {name[:_MAX_SHOWN_CHARACTERS]!r}'
        if name.lower() in _HOP_BY_HOP:
            return f'header {name!r} applies to one connection'
    return f'{size} bytes of headers' if size > MAX_HEADER_BYTES else None


def target_problem(method: str, target: str) -> str | None:
    """Return why the method or target in a message is invalid, or None."""
    if not is_token(method) or method.upper() == 'CONNECT':
        return 'bad method'
    if len(target) > _MAX_TARGET_BYTES or not _TARGET.fullmatch(target):
        return 'bad target'
    return None


def _is_pair(pair: Any) -> bool:
    return (
        isinstance(pair, list)
        and len(pair) == 2
        and all(isinstance(text, str) for text in pair)
    )
