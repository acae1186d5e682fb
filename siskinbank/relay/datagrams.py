"""UDP sockets that never wait."""

from __future__ import annotations

from _socket import (
    AF_INET,
    SO_RCVBUF,
    SOCK_CLOEXEC,
    SOCK_DGRAM,
    SOCK_NONBLOCK,
    SOL_SOCKET,
    socket,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('connect_datagrams', 'open_datagrams', 'read_datagrams')

_DATAGRAMS = SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC
# Room for half a second of the busiest process's datagrams.
_RECEIVE_BUFFER_BYTES = 1 << 20
# Datagrams read from one socket before the others get their turn.
_READS_A_TURN = 64


def open_datagrams(address: tuple[str, int]) -> socket:
    """Open a socket at an address.

    Raises:
        OSError: the address cannot be had.
    """
    datagrams = socket(AF_INET, _DATAGRAMS)
    datagrams.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    datagrams.bind(address)
    return datagrams


def connect_datagrams(address: tuple[str, int]) -> socket:
    """Open a socket to one receiver, which reports when nobody listens."""
    datagrams = socket(AF_INET, _DATAGRAMS)
    datagrams.connect(address)
    return datagrams


def read_datagrams(
    datagrams: socket,
    longest: int,
    take: Callable[[bytes, tuple[str, int]], None],
) -> None:
    """Hand on what has come, until the socket is empty or the turn is over.

    Args:
        datagrams: where to read.
        longest: bytes of the longest datagram to read whole.
        take: called with each datagram and the address of its sender.
    """
    receive = datagrams.recvfrom
    for _ in range(_READS_A_TURN):
        try:
            datagram, sender = receive(longest)
        except OSError:
            # Nothing left, or an error report for an earlier datagram.
            return
        take(datagram, sender)
