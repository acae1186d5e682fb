"""Connections whose end is a reset until it is known to be regular.

A process that ends closes its sockets, which looks like the regular end of an
answer or flow. A linger time of 0 makes every close a reset.
"""

import asyncio
import socket
import struct

__all__ = ('close_with_fin', 'close_with_reset', 'wait_until_sent')

_LINGER = struct.Struct('ii')
_LINGER_ZERO = _LINGER.pack(1, 0)
_LINGER_OFF = _LINGER.pack(0, 0)
#: How often a write buffer is looked at; its protocol may have other uses for
#: the transport's flow control.
_POLL_SECONDS = 0.05


def close_with_reset(transport: asyncio.BaseTransport | None) -> None:
    """Make a later close of the connection discard unsent bytes and reset."""
    _set_linger(transport, _LINGER_ZERO)


def close_with_fin(transport: asyncio.BaseTransport | None) -> None:
    """Make a later close of the connection a regular end."""
    _set_linger(transport, _LINGER_OFF)


async def wait_until_sent(transport: asyncio.WriteTransport) -> None:
    """Wait until the socket has taken all bytes, or the connection is lost."""
    while transport.get_write_buffer_size():
        await asyncio.sleep(_POLL_SECONDS)


def _set_linger(
    transport: asyncio.BaseTransport | None,
    linger: bytes,
) -> None:
    sock = transport.get_extra_info('socket') if transport else None
    # A socket that is closed already has no descriptor.
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
