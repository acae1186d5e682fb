"""Authentication of datagrams with shared keys that can be rotated.

Two keys may be valid at a time, so that a rotation needs no interruption.
"""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from dataclasses import dataclass

__all__ = (
    'KEY_BYTES',
    'MAC_BYTES',
    'MAX_KEY_ID',
    'Key',
    'KeyRing',
    'parse_keys',
)

KEY_BYTES = 32
MAC_BYTES = 12
_MAX_KEYS = 2
MAX_KEY_ID = 255
_FINGERPRINT_PERSON = b'siskinbank-key'
_FINGERPRINT_BYTES = 6
_MIN_DISTINCT_BYTES = 16
_HEADER_BYTES = 1 + MAC_BYTES


@dataclass(frozen=True, slots=True)
class Key:
    """One shared key, and its number in the header of datagrams."""

    ident: int
    secret: bytes

    @property
    def text(self) -> str:
        """The key in the form used in settings, ``ID:HEX``."""
        return f'{self.ident}:{self.secret.hex()}'

    @property
    def fingerprint(self) -> str:
        """The number and a digest that identifies the key but hides it."""
        digest = hashlib.blake2b(
            key=self.secret,
            person=_FINGERPRINT_PERSON,
            digest_size=_FINGERPRINT_BYTES,
        )
        return f'{self.ident}:{digest.hexdigest()}'

    @property
    def is_weak(self) -> bool:
        """Whether the key has too few distinct byte values to be random.

        A random key has fewer than 16 distinct values with a probability
        below 1e-9.
        """
        return len(set(self.secret)) < _MIN_DISTINCT_BYTES

    def __repr__(self) -> str:
        """Return the fingerprint, so that logs do not contain the key."""
        return f'Key({self.fingerprint})'


def parse_keys(text: str) -> list[Key]:
    """Parse keys written as ``ID:HEX,ID:HEX``; the first one seals.

    Raises:
        ValueError: the text is malformed; the message never contains keys.
    """
    parts = text.split(',')
    return [
        _parse_key(f'key {number}', part.strip())
        for number, part in enumerate(parts, start=1)
    ]


def _parse_key(label: str, text: str) -> Key:
    ident, separator, secret = text.partition(':')
    if not separator or not ident.isdigit() or int(ident) > MAX_KEY_ID:
        raise ValueError(f'{label}: expected ID:HEX, ID from 0 to {MAX_KEY_ID}')
    try:
        raw = bytes.fromhex(secret)
    except ValueError:
        raise ValueError(f'{label}: not hexadecimal') from None
    if len(raw) != KEY_BYTES:
        raise ValueError(f'{label}: {len(raw)} bytes, not {KEY_BYTES}')
    return Key(int(ident), raw)


class KeyRing:
    """The one or two keys that are currently valid."""

    def __init__(self, keys: Sequence[Key]) -> None:
        """Initialize the ring; the first key seals and all keys open.

        Raises:
            ValueError: no key, more than two, or two with the same number.
        """
        self.source: str | None = None
        self._subscribers: list[Callable[[], None]] = []
        self.replace(keys)

    @property
    def keys(self) -> tuple[Key, ...]:
        """The keys that are currently valid; the first one seals."""
        return self._keys

    def replace(self, keys: Sequence[Key]) -> None:
        """Replace the valid keys.

        Raises:
            ValueError: no key, more than two, or two with the same number;
                the previous keys stay valid.
        """
        if not 1 <= len(keys) <= _MAX_KEYS:
            raise ValueError(f'{len(keys)} keys given, expected one or two')
        if len({key.ident for key in keys}) != len(keys):
            raise ValueError('two keys have the same number')
        self._keys = tuple(keys)
        self._sealing_ident = keys[0].ident.to_bytes(1, 'big')
        self._macs = {
            key.ident: hashlib.blake2b(key=key.secret, digest_size=MAC_BYTES)
            for key in keys
        }
        self._sealing_mac = self._macs[keys[0].ident]
        for notify in self._subscribers:
            notify()

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` after each replacement of the keys."""
        self._subscribers.append(notify)

    def seal(self, body: bytes) -> bytes:
        """Return the body with the key number and MAC in front of it."""
        mac = self._sealing_mac.copy()
        mac.update(body)
        return b''.join((self._sealing_ident, mac.digest(), body))

    def seal_parts(self, head: bytes, tail: bytes) -> bytes:
        """Return ``head + tail`` sealed, without concatenating them first."""
        mac = self._sealing_mac.copy()
        mac.update(head)
        mac.update(tail)
        return b''.join((self._sealing_ident, mac.digest(), head, tail))

    def open(self, datagram: bytes) -> bytes | None:
        """Return the body of a sealed datagram, or None if no key matches."""
        if len(datagram) <= _HEADER_BYTES:
            return None
        base_mac = self._macs.get(datagram[0])
        if base_mac is None:
            return None
        body = datagram[_HEADER_BYTES:]
        mac = base_mac.copy()
        mac.update(body)
        if hmac.compare_digest(mac.digest(), datagram[1:_HEADER_BYTES]):
            return body
        return None
