"""Listening sockets that are closed without cutting off callers."""

import asyncio
import ctypes
import select
import socket
import struct

__all__ = ('accept_waiting', 'listen')

_BACKLOG = 128
#: Limit if connections cannot be accepted, for want of descriptors.
_ACCEPT_SECONDS = 4.0
#: Longest round trip of a caller whose handshake has begun.
_HANDSHAKE_SECONDS = 0.5

#: Option of `linux/socket.h`, which `socket` has no name for.
_SO_ATTACH_FILTER = 26
#: Classic BPF, as (code, jump if true, jump if false, operand): drops TCP
#: segments with SYN and without ACK.
_DROP_SYN = (
    (0x30, 0, 0, 13),  # load the byte of the TCP flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x02),  # is it SYN alone?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # pass
)


def listen(address: str, port: int) -> socket.socket:
    """Return a listening socket.

    Raises:
        OSError: the address could not be bound.
    """
    sock = socket.create_server((address, port), backlog=_BACKLOG)
    sock.setblocking(False)
    return sock


async def accept_waiting(sock: socket.socket) -> None:
    """Let the event loop accept the connections that wait in the backlog.

    To their callers they are open, and closing the socket would reset them.
    From now on the kernel ignores new callers; they try again after a second
    and are refused by then.
    """
    _ignore_new_callers(sock)
    await asyncio.sleep(_HANDSHAKE_SECONDS)
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    loop = asyncio.get_running_loop()
    until = loop.time() + _ACCEPT_SECONDS
    while poll.poll(0) and loop.time() < until:
        await asyncio.sleep(0)


def _ignore_new_callers(sock: socket.socket) -> None:
    # A backlog of length 0 isn't enough: it holds one caller, who may come
    # between the last look at it and the closing of the socket.
    program = b''.join(struct.pack('=HBBI', *line) for line in _DROP_SYN)
    buffer = ctypes.create_string_buffer(program)
    sock.setsockopt(
        socket.SOL_SOCKET,
        _SO_ATTACH_FILTER,
        struct.pack('HP', len(_DROP_SYN), ctypes.addressof(buffer)),
    )
