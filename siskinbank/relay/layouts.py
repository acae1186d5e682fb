"""Decoding of the fixed parts of datagrams, and of lists in them."""

from __future__ import annotations

from struct import error as StructError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from _struct import Struct
    from typing import Any

__all__ = (
    'DatagramError',
    'check_piece',
    'split_evenly',
    'unpack',
    'unpack_whole',
)


class DatagramError(ValueError):
    """A datagram is truncated or has an invalid format."""


def unpack(layout: Struct, raw: bytes) -> tuple[Any, ...]:
    """Return the fields at the begin of a datagram.

    Raises:
        DatagramError: the datagram is truncated.
    """
    try:
        return layout.unpack_from(raw)
    except StructError:
        raise DatagramError(
            f'datagram of {len(raw)} bytes is too short'
        ) from None


def unpack_whole(layout: Struct, raw: bytes) -> tuple[Any, ...]:
    """Return the fields of a datagram that holds nothing else.

    Raises:
        DatagramError: the datagram has another length.
    """
    if len(raw) != layout.size:
        raise DatagramError(f'datagram of {len(raw)} bytes has another length')
    return unpack(layout, raw)


def split_evenly(raw: bytes, size: int) -> list[bytes]:
    """Split a list of elements of one size, in bytes.

    Raises:
        DatagramError: the last element is truncated.
    """
    if len(raw) % size:
        raise DatagramError(f'{len(raw)} bytes are no multiple of {size}')
    return [raw[start : start + size] for start in range(0, len(raw), size)]


def check_piece(index: int, count: int) -> None:
    """Check the number of a piece, from 0, against that of all pieces.

    Raises:
        DatagramError: there is no such piece.
    """
    if index >= count:
        raise DatagramError(f'piece {index} of {count}')
