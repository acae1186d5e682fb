"""Carry a connection's bytes through a stream between our processes.

A stream in TLS cannot be closed one way only. So each piece goes behind its
length, and an empty piece says that one direction has ended. A stream that
ends without it was cut, and the connection is cut likewise.
"""

import asyncio
import socket
import struct

from siskinbank.wire.streams import MessageStream

__all__ = ('pump_both',)

_CHUNK_BYTES = 64 * 1024
_LENGTH = struct.Struct('!I')
#: Linger for no time: closing drops what is unsent and sends a reset.
_RESET = struct.pack('ii', 1, 0)


async def pump_both(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    stream: MessageStream,
) -> None:
    """Copy both ways until both sides have ended, then close both.

    Args:
        reader: what the connection sends.
        writer: the connection's other direction.
        stream: the stream to the process at the other end.
    """
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_pump_in(reader, stream.writer))
            group.create_task(_pump_out(stream.reader, writer))
    except* (OSError, EOFError):
        _reset(writer)
        stream.writer.transport.abort()
    finally:
        writer.close()
        stream.writer.close()


async def _pump_in(
    reader: asyncio.StreamReader,
    sealed: asyncio.StreamWriter,
) -> None:
    while chunk := await reader.read(_CHUNK_BYTES):
        sealed.write(_LENGTH.pack(len(chunk)) + chunk)
        await sealed.drain()
    sealed.write(_LENGTH.pack(0))
    await sealed.drain()


async def _pump_out(
    opened: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Copy to the connection.

    Raises:
        EOFError: the stream was cut.
        ConnectionError: a piece is too large.
    """
    while size := _LENGTH.unpack(await opened.readexactly(_LENGTH.size))[0]:
        if size > _CHUNK_BYTES:
            raise ConnectionError(f'piece of {size} bytes')
        writer.write(await opened.readexactly(size))
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close so that the other side sees a cut, not an end."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()
