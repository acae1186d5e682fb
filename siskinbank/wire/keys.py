"""Seal and open datagrams with keys that can rotate without a gap."""

import hashlib
import hmac
from collections.abc import Sequence
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
_FINGERPRINT = b'siskinbank-key'
_FINGERPRINT_BYTES = 6
_LEAST_DIFFERENT_BYTES = 16
_HEAD_BYTES = 1 + MAC_BYTES


@dataclass(frozen=True, slots=True)
class Key:
    """One shared key and the number that datagrams carry for it."""

    ident: int
    secret: bytes

    @property
    def text(self) -> str:
        """The key as it is written in settings."""
        return f'{self.ident}:{self.secret.hex()}'

    @property
    def fingerprint(self) -> str:
        """The number and a digest that tells keys apart and shows none."""
        digest = hashlib.blake2b(
            key=self.secret,
            person=_FINGERPRINT,
            digest_size=_FINGERPRINT_BYTES,
        )
        return f'{self.ident}:{digest.hexdigest()}'

    @property
    def is_weak(self) -> bool:
        """Whether the key has too few different bytes to be random.

        A random key has fewer than 16 different ones with a probability
        below 1e-9.
        """
        return len(set(self.secret)) < _LEAST_DIFFERENT_BYTES

    def __repr__(self) -> str:
        """Return the fingerprint, so that no log shows the key."""
        return f'Key({self.fingerprint})'


def parse_keys(text: str) -> list[Key]:
    """Read keys written as ``ID:HEX,ID:HEX``; the first one seals.

    Raises:
        ValueError: the text has another form; the message never shows keys.
    """
    parts = text.split(',')
    return [
        _parse_key(f'key {number}', part.strip())
        for number, part in enumerate(parts, start=1)
    ]


def _parse_key(label: str, text: str) -> Key:
    ident, separator, secret = text.partition(':')
    if not separator or not ident.isdigit() or int(ident) > MAX_KEY_ID:
        raise ValueError(f'{label}: write ID:HEX, ID from 0 to {MAX_KEY_ID}')
    try:
        raw = bytes.fromhex(secret)
    except ValueError:
        raise ValueError(f'{label}: not hexadecimal') from None
    if len(raw) != KEY_BYTES:
        raise ValueError(f'{label}: {len(raw)} bytes, not {KEY_BYTES}')
    return Key(int(ident), raw)


class KeyRing:
    """The one or two keys that are valid now."""

    def __init__(self, keys: Sequence[Key]) -> None:
        """Seal with the first key and open with any.

        Raises:
            ValueError: no key, more than two, or two with one number.
        """
        self.source: str | None = None
        self.replace(keys)

    @property
    def keys(self) -> tuple[Key, ...]:
        """The keys that are valid now; the first one seals."""
        return self._keys

    def replace(self, keys: Sequence[Key]) -> None:
        """Let other keys be valid from now on.

        Raises:
            ValueError: no key, more than two, or two with one number; the
                keys before stay valid.
        """
        if not 1 <= len(keys) <= _MAX_KEYS:
            raise ValueError(f'{len(keys)} keys given, not one or two')
        if len({key.ident for key in keys}) != len(keys):
            raise ValueError('two keys with one number')
        self._keys = tuple(keys)
        self._sealing = keys[0].ident.to_bytes(1, 'big')
        self._macs = {
            key.ident: hashlib.blake2b(key=key.secret, digest_size=MAC_BYTES)
            for key in keys
        }
        self._sealer = self._macs[keys[0].ident]

    def seal(self, body: bytes) -> bytes:
        """Return the body behind its key number and code."""
        mac = self._sealer.copy()
        mac.update(body)
        return b''.join((self._sealing, mac.digest(), body))

    def seal_parts(self, head: bytes, tail: bytes) -> bytes:
        """Return ``head + tail`` sealed, with one copy less."""
        mac = self._sealer.copy()
        mac.update(head)
        mac.update(tail)
        return b''.join((self._sealing, mac.digest(), head, tail))

    def open(self, datagram: bytes) -> bytes | None:
        """Return the body of a sealed datagram, or None when it is not ours."""
        if len(datagram) <= _HEAD_BYTES:
            return None
        known = self._macs.get(datagram[0])
        if known is None:
            return None
        body = datagram[_HEAD_BYTES:]
        mac = known.copy()
        mac.update(body)
        if hmac.compare_digest(mac.digest(), datagram[1:_HEAD_BYTES]):
            return body
        return None
