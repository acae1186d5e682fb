"""Messages over a byte stream, each behind its length and its number.

The number counts the messages of one direction from 0. A message that comes
twice or late is dropped; a gap means that a message was lost, and ends the
stream. So nothing above this layer ever sees a doubled or reordered message.
"""

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

#: Length of the message in bytes, and its number.
_LEAD = struct.Struct('!IQ')


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
        self.dropped = 0
        self._next_sent = 0
        self._next_received = 0

    def post(self, sent: Message) -> None:
        """Write one message without waiting, for short and rare ones."""
        raw = encode(sent)
        self.writer.write(_LEAD.pack(len(raw), self._next_sent) + raw)
        self._next_sent += 1

    async def send(self, sent: Message) -> None:
        """Write one message and wait while the receiver is slow."""
        self.post(sent)
        await self.writer.drain()

    async def receive(self) -> Message | None:
        """Return the next message, or None at the end of the stream.

        Raises:
            MessageError: the bytes are no message, a message is missing, or
                the stream was cut inside one.
        """
        while True:
            lead = await self._read_lead()
            if lead is None:
                return None
            raw = await self._read_body(lead[0])
            if lead[1] > self._next_received:
                raise MessageError(f'message {self._next_received} is missing')
            if lead[1] == self._next_received:
                self._next_received += 1
                return decode(raw)
            self.dropped += 1

    async def close(self) -> None:
        """Close the connection; errors of a lost link are no news here."""
        self.writer.close()
        try:
            await self.writer.wait_closed()
        except OSError:
            return

    async def _read_lead(self) -> tuple[int, int] | None:
        try:
            lead = await self.reader.readexactly(_LEAD.size)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise MessageError('cut inside a length') from error
            return None
        size, number = _LEAD.unpack(lead)
        if size > MAX_MESSAGE_BYTES:
            raise MessageError(f'{size} bytes')
        return size, number

    async def _read_body(self, size: int) -> bytes:
        try:
            return await self.reader.readexactly(size)
        except asyncio.IncompleteReadError as error:
            raise MessageError('cut inside a message') from error
