"""Incarnation numbers, which identify one run of a host's process."""

import secrets

from siskinbank.util import digest64

__all__ = ('make_incarnation', 'same_host')

_RANDOM_BITS = 32


def make_incarnation(host: str) -> int:
    """Return a 64-bit number for a new incarnation of a host.

    The upper 32 bits are derived from the host's name, the lower 32 bits are
    random.
    """
    random_part = secrets.randbits(_RANDOM_BITS)
    return digest64(host) >> _RANDOM_BITS << _RANDOM_BITS | random_part


def same_host(one: int, other: int) -> bool:
    """Return whether two incarnations belong to the same host."""
    return one >> _RANDOM_BITS == other >> _RANDOM_BITS
