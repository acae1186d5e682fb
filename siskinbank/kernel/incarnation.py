"""Numbers that tell one life of a host from its earlier and later ones."""

import secrets

from siskinbank.util import digest64

__all__ = ('make_incarnation', 'same_host')

_LIFE_BITS = 32


def make_incarnation(host: str) -> int:
    """Return a 64-bit number: the host's name above, a random life below."""
    life = secrets.randbits(_LIFE_BITS)
    return digest64(host) >> _LIFE_BITS << _LIFE_BITS | life


def same_host(one: int, other: int) -> bool:
    """Whether two incarnations are of one host."""
    return one >> _LIFE_BITS == other >> _LIFE_BITS
