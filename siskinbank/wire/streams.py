"""Messages over a byte stream, each behind its length."""

import asyncio
import struct

from siskinbank.wire.messages import (
    MAX_MESSAGE_BYTES,
    Message,
    MessageError,
    decode,
    encode,
)

__all__ = ('MessageStream',)

_LENGTH = struct.Struct('!I')


class MessageStream:
    """Reads and writes messages on one connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take over an open connection."""
        self.reader = reader
        self.writer = writer

    async def send(self, sent: Message) -> None:
        """Write one message and wait while the receiver is slow."""
        raw = encode(sent)
        self.writer.write(_LENGTH.pack(len(raw)) + raw)
        await self.writer.drain()

    async def receive(self) -> Message | None:
        """Return the next message, or None at the end of the stream.

        Raises:
            MessageError: the bytes are no message, or the stream was cut
                inside one.
        """
        try:
            lead = await self.reader.readexactly(_LENGTH.size)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise MessageError('cut inside a length') from error
            return None
        size = int.from_bytes(lead, 'big')
        if size > MAX_MESSAGE_BYTES:
            raise MessageError(f'{size} bytes')
        try:
            raw = await self.reader.readexactly(size)
        except asyncio.IncompleteReadError as error:
            raise MessageError('cut inside a message') from error
        return decode(raw)

    async def close(self) -> None:
        """Close the connection; errors of a lost link are no news here."""
        self.writer.close()
        try:
            await self.writer.wait_closed()
        except OSError:
            return
