"""Tunnel a connection's bytes through a stream between processes.

A TLS stream cannot be closed in one direction only. Each chunk is therefore
prefixed with its length, and an empty chunk marks the end of one direction. A
stream that ends without it was interrupted, and the connection is reset.
"""

import asyncio
import socket
import struct

from siskinbank.wire.streams import MessageStream

__all__ = ('pump_both',)

_CHUNK_BYTES = 64 * 1024
_LENGTH = struct.Struct('!I')
#: Linger time 0: closing discards unsent bytes and sends a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)


async def pump_both(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    stream: MessageStream,
) -> None:
    """Copy in both directions until both sides have ended, then close both.

    Args:
        reader: the bytes that the connection's peer sends.
        writer: the other direction of the connection.
        stream: the stream to the process at the other end.
    """
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_copy_to_stream(reader, stream.writer))
            group.create_task(_copy_from_stream(stream.reader, writer))
    except* (OSError, EOFError):
        _reset(writer)
        stream.writer.transport.abort()
    finally:
        writer.close()
        stream.writer.close()


async def _copy_to_stream(
    reader: asyncio.StreamReader,
    stream_writer: asyncio.StreamWriter,
) -> None:
    while chunk := await reader.read(_CHUNK_BYTES):
        stream_writer.write(_LENGTH.pack(len(chunk)) + chunk)
        await stream_writer.drain()
    stream_writer.write(_LENGTH.pack(0))
    await stream_writer.drain()


async def _copy_from_stream(
    stream_reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Copy from the stream to the connection.

    Raises:
        EOFError: the stream was interrupted.
        ConnectionError: a chunk is too large.
    """
    while size := _LENGTH.unpack(await stream_reader.readexactly(_LENGTH.size))[
        0
    ]:
        if size > _CHUNK_BYTES:
            raise ConnectionError(f'chunk of {size} bytes is too large')
        writer.write(await stream_reader.readexactly(size))
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close with a reset, so that the other side sees no regular end."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()
