"""The HTTP headers that are read, passed on or held back."""

from collections.abc import Mapping

__all__ = (
    'DEADLINE_HEADER',
    'IDEMPOTENT_HEADER',
    'KEY_HEADER',
    'forwarded_headers',
)

KEY_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'Siskinbank-Deadline'
IDEMPOTENT_HEADER = 'Siskinbank-Idempotent'

#: Headers that belong to one connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
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


def forwarded_headers(headers: Mapping[str, str]) -> list[list[str]]:
    """Return the headers that go beyond this connection."""
    named = headers.get('Connection', '').lower().split(',')
    held = _HOP_BY_HOP | {name.strip() for name in named}
    return [
        [name, text]
        for name, text in headers.items()
        if name.lower() not in held
    ]
