"""Request paths and response decoding for calls to the platform's store."""

from __future__ import annotations

from binascii import Error as Base64Error
from binascii import a2b_base64

from siskinbank.platform.documents import (
    DocumentError,
    decode,
    flag_field,
    integer_field,
    object_rows,
    text_field,
)

__all__ = (
    'CONFIGURATION_KEY',
    'Change',
    'ERA_HEADER',
    'EVACUATIONS_PREFIX',
    'HOSTS_PREFIX',
    'OPERATOR_PREFIX',
    'Page',
    'key_path',
    'page_path',
    'read_change',
    'read_era',
    'read_page',
    'read_watch',
    'watch_path',
)

# Key prefix of host records; the host id follows.
HOSTS_PREFIX = 'servers/'
# Key prefix of all keys that the operator writes.
OPERATOR_PREFIX = 'op/'
CONFIGURATION_KEY = 'op/config'
# Header of all responses of the store, with the number of its era: it rises by
# one when the store comes back from an older copy.
ERA_HEADER = 'Store-Era'
# Eras of more digits don't fit into the messages between processes.
_MAX_ERA_DIGITS = 9
EVACUATIONS_PREFIX = 'op/evacuate/'

# Characters of a key that are not percent-encoded in a query.
_UNQUOTED_CHARACTERS = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/',
)


class Change:
    """One item of a listing, or the change of an item in a watch.

    Attributes:
        key: key of the item.
        content: value of the item, None if it was removed.
        revision: store revision of the item's last change.
    """

    __slots__ = ('content', 'key', 'revision')

    def __init__(self, key: str, content: bytes | None, revision: int) -> None:
        """Create a change."""
        self.key = key
        self.content = content
        self.revision = revision


class Page:
    """One page of a listing, or the changes since a revision.

    Attributes:
        changes: the items or changes.
        revision: the store's revision at the time of the response.
        more: whether the listing continues after the last item.
    """

    __slots__ = ('changes', 'more', 'revision')

    def __init__(
        self,
        changes: list[Change],
        revision: int,
        more: bool,
    ) -> None:
        """Create a page."""
        self.changes = changes
        self.revision = revision
        self.more = more


def key_path(key: str) -> str:
    """Return the request path for one item."""
    return f'/api/kv-key?Key={_quote(key)}'


def page_path(prefix: str, after: str = '', stale: bool = False) -> str:
    """Return the request path for a page of a listing.

    Args:
        prefix: prefix of the listed keys.
        after: last key of the previous page.
        stale: allow a cheaper response that may be seconds old.
    """
    path = f'/api/kv-range?Prefix={_quote(prefix)}'
    if after:
        # Here `after` is a key; in a watch it is a revision.
        path = f'{path}&after={_quote(after)}'
    return f'{path}&StaleOk=1' if stale else path


def watch_path(prefix: str, revision: int, wait_s: float) -> str:
    """Return the request path that waits for changes after a revision."""
    wait_ms = int(wait_s * 1000)
    return (
        f'/api/kv-watch?Prefix={_quote(prefix)}'
        f'&after={revision}&WaitMs={wait_ms}'
    )


def read_era(header: str) -> int:
    """Return the era in a header, 0 if the store does not state a usable one."""
    if len(header) > _MAX_ERA_DIGITS or not header.isascii():
        return 0
    return int(header) if header.isdecimal() else 0


def read_change(body: bytes) -> Change:
    """Decode the response with one item.

    Raises:
        DocumentError: the body is not an item.
    """
    return _parse_change(decode(body))


def read_page(body: bytes) -> Page:
    """Decode a page of a listing.

    Raises:
        DocumentError: the body is not a page of a listing.
    """
    document = decode(body)
    changes = _parse_changes(document, 'items')
    more = flag_field(document, 'HasMore')
    if more and not changes:
        raise DocumentError('an empty page says that more follows')
    return Page(changes, integer_field(document, 'At'), more)


def read_watch(body: bytes) -> Page:
    """Decode the response of a watch.

    Raises:
        DocumentError: the body is not a list of changes.
    """
    document = decode(body)
    return Page(
        _parse_changes(document, 'events'), integer_field(document, 'At'), False
    )


def _parse_changes(document: dict[str, object], name: str) -> list[Change]:
    return [_parse_change(row) for row in object_rows(document, name)]


def _parse_change(row: dict[str, object]) -> Change:
    key = text_field(row, 'Key')
    revision = integer_field(row, 'Rev')
    if 'Removed' in row and flag_field(row, 'Removed'):
        return Change(key, None, revision)
    try:
        content = a2b_base64(text_field(row, 'Value'), strict_mode=True)
    except Base64Error as error:
        raise DocumentError(f'{key} holds invalid base64: {error}') from None
    return Change(key, content, revision)


def _quote(text: str) -> str:
    return ''.join(
        char if char in _UNQUOTED_CHARACTERS else _percent_encode(char)
        for char in text
    )


def _percent_encode(char: str) -> str:
    return ''.join(f'%{byte:02X}' for byte in char.encode())
