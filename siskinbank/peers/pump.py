"""Tunnel a connection's bytes through a stream between processes.

A TLS stream cannot be closed in one direction only. Each chunk is therefore
prefixed with its length, and an empty chunk marks the end of one direction. A
stream that ends without it was interrupted, and the connection is reset.
"""

import asyncio
import struct

from siskinbank.peers.linger import close_with_fin, close_with_reset
from siskinbank.wire.streams import MessageStream

__all__ = ('pump_both',)

_CHUNK_BYTES = 65_536
_LENGTH = struct.Struct('!I')


async def pump_both(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    stream: MessageStream,
    *,
    wait_for_close: bool = False,
) -> None:
    """Copy in both directions until both sides have ended, then close both.

    Args:
        reader: the bytes that the connection's peer sends.
        writer: the other direction of the connection.
        stream: the stream to the process at the other end.
        wait_for_close: whether to close the stream only after the other
            process has done so, which it does when its connection has taken
            all bytes. Closing a TLS stream earlier limits the time for that.
    """
    close_with_reset(writer.transport)
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_copy_to_stream(reader, stream.writer))
            group.create_task(_copy_from_stream(stream.reader, writer))
        await _flush(writer)
        close_with_fin(writer.transport)
        if wait_for_close:
            await stream.reader.read(1)
        await stream.close()
    # Closed transports of uvloop raise RuntimeError.
    except* (OSError, EOFError, RuntimeError):
        writer.transport.abort()
        stream.writer.transport.abort()
    finally:
        writer.close()
        stream.writer.close()


async def _flush(writer: asyncio.StreamWriter) -> None:
    """Wait until the write buffer is empty, as the process may end then."""
    if not writer.transport.is_closing():
        writer.transport.set_write_buffer_limits(high=0)
    await writer.drain()


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
