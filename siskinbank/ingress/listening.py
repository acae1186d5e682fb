"""Listening sockets that are closed without cutting off callers."""

import asyncio
import select
import socket

__all__ = ('accept_waiting', 'listen')

_BACKLOG = 128
_ACCEPT_SECONDS = 4.0


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
    The caller of this function must close it without awaiting in between.
    """
    # The kernel ignores new callers while the queue is full; they try again
    # after a second and are refused.
    sock.listen(0)
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    loop = asyncio.get_running_loop()
    # A queue of length 0 still holds one new caller at a time.
    until = loop.time() + _ACCEPT_SECONDS
    while poll.poll(0) and loop.time() < until:
        await asyncio.sleep(0)
