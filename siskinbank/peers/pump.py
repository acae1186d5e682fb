"""Copy bytes between two connections with back pressure."""

import asyncio

__all__ = ('pump_both',)

_CHUNK_BYTES = 64 * 1024


async def pump_both(
    left_reader: asyncio.StreamReader,
    left_writer: asyncio.StreamWriter,
    right_reader: asyncio.StreamReader,
    right_writer: asyncio.StreamWriter,
) -> None:
    """Copy both ways until both sides have ended, then close both."""
    try:
        await asyncio.gather(
            _pump(left_reader, right_writer),
            _pump(right_reader, left_writer),
        )
    except OSError:
        left_writer.transport.abort()
        right_writer.transport.abort()
    finally:
        left_writer.close()
        right_writer.close()


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while chunk := await reader.read(_CHUNK_BYTES):
        writer.write(chunk)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()
