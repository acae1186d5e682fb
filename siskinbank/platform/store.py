"""Calls to the platform's store: paths to ask for, and answers decoded."""

from __future__ import annotations

from binascii import Error as Base64Error
from binascii import a2b_base64

from siskinbank.platform.documents import Unreadable, decode, text_in, whole_in

__all__ = (
    'CONFIGURATION_KEY',
    'EVACUATIONS',
    'HOSTS',
    'OPERATOR',
    'Change',
    'Page',
    'changes_path',
    'key_path',
    'page_path',
    'read_change',
    'read_page',
    'read_watch',
)

# The hosts' own entries, by host id.
HOSTS = 'servers/'
# All that the operator writes.
OPERATOR = 'op/'
CONFIGURATION_KEY = 'op/config'
EVACUATIONS = 'op/evacuate/'

_SAFE = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/',
)


class Change:
    """One item, as it lies in the store or as it was changed.

    Attributes:
        key: its name.
        content: its bytes, None if it was removed.
        revision: the revision of its last change.
    """

    __slots__ = ('content', 'key', 'revision')

    def __init__(self, key: str, content: bytes | None, revision: int) -> None:
        """Fill in all fields."""
        self.key = key
        self.content = content
        self.revision = revision


class Page:
    """Part of a listing, or the changes since a revision.

    Attributes:
        changes: the items.
        revision: the store's revision at the time.
        more: whether the listing goes on after the last item.
    """

    __slots__ = ('changes', 'more', 'revision')

    def __init__(
        self,
        changes: list[Change],
        revision: int,
        more: bool,
    ) -> None:
        """Fill in all fields."""
        self.changes = changes
        self.revision = revision
        self.more = more


def key_path(key: str) -> str:
    """Return the path that reads one item."""
    return f'/api/kv-key?Key={_quoted(key)}'


def page_path(prefix: str, after: str = '', stale: bool = False) -> str:
    """Return the path that lists items.

    Args:
        prefix: how their keys begin.
        after: the last key of the page before.
        stale: take a cheap answer that may be seconds old.
    """
    path = f'/api/kv-range?Prefix={_quoted(prefix)}'
    if after:
        # Here `after` is a key; in a watch it is a revision.
        path = f'{path}&after={_quoted(after)}'
    return f'{path}&StaleOk=1' if stale else path


def changes_path(prefix: str, revision: int, wait_s: float) -> str:
    """Return the path that waits for changes after a revision."""
    wait_ms = int(wait_s * 1000)
    return (
        f'/api/kv-watch?Prefix={_quoted(prefix)}'
        f'&after={revision}&WaitMs={wait_ms}'
    )


def read_change(body: bytes) -> Change:
    """Decode one item.

    Raises:
        Unreadable: the body holds none.
    """
    return _change(decode(body))


def read_page(body: bytes) -> Page:
    """Decode a page of a listing.

    Raises:
        Unreadable: the body is none.
    """
    document = decode(body)
    more = bool(document.get('HasMore'))
    return Page(_changes(document, 'items'), whole_in(document, 'At'), more)


def read_watch(body: bytes) -> Page:
    """Decode the changes that a watch returned.

    Raises:
        Unreadable: the body holds none.
    """
    document = decode(body)
    return Page(_changes(document, 'events'), whole_in(document, 'At'), False)


def _changes(document: dict[str, object], name: str) -> list[Change]:
    rows = document.get(name)
    if not isinstance(rows, list):
        raise Unreadable(f'{name} is no list')
    return [_change(row) for row in rows if isinstance(row, dict)]


def _change(row: dict[str, object]) -> Change:
    key = text_in(row, 'Key')
    revision = whole_in(row, 'Rev')
    if row.get('Removed'):
        return Change(key, None, revision)
    try:
        content = a2b_base64(text_in(row, 'Value'), strict_mode=True)
    except Base64Error as error:
        raise Unreadable(f'{key} holds no base64: {error}') from None
    return Change(key, content, revision)


def _quoted(text: str) -> str:
    return ''.join(char if char in _SAFE else _percent(char) for char in text)


def _percent(char: str) -> str:
    return ''.join(f'%{byte:02X}' for byte in char.encode())
