"""Non-blocking UDP sockets."""

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

__all__ = ('connect_udp_socket', 'open_udp_socket', 'read_datagrams')

_NONBLOCKING_UDP = SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC
# Holds the datagrams that the busiest process receives in half a second.
_RECEIVE_BUFFER_BYTES = 1_048_576
# Datagrams read from one socket before other sockets are served.
_MAX_READS_PER_TURN = 64


def open_udp_socket(address: tuple[str, int]) -> socket:
    """Open a UDP socket bound to an address.

    Raises:
        OSError: the address cannot be bound.
    """
    udp_socket = socket(AF_INET, _NONBLOCKING_UDP)
    udp_socket.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    udp_socket.bind(address)
    return udp_socket


def connect_udp_socket(address: tuple[str, int]) -> socket:
    """Open a UDP socket connected to one receiver.

    A connected socket reports an error if the receiver's port is closed.
    """
    udp_socket = socket(AF_INET, _NONBLOCKING_UDP)
    udp_socket.connect(address)
    return udp_socket


def read_datagrams(
    udp_socket: socket,
    max_bytes: int,
    on_datagram: Callable[[bytes, tuple[str, int]], None],
) -> bool:
    """Read pending datagrams, up to the limit of one turn.

    Args:
        udp_socket: socket to read from.
        max_bytes: size in bytes beyond which a datagram is truncated.
        on_datagram: called with each datagram and its sender's address.

    Returns:
        Whether the socket was read until it was empty.
    """
    receive = udp_socket.recvfrom
    for _ in range(_MAX_READS_PER_TURN):
        try:
            datagram, sender = receive(max_bytes)
        except BlockingIOError:
            return True
        except OSError:
            # An error of an earlier datagram, reported once.
            return False
        on_datagram(datagram, sender)
    return False
