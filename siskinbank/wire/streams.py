"""Framing of messages on a byte stream, with length and sequence number.

The sequence number counts the messages of one direction from 0. A message that
arrives twice or late is dropped. A gap means that a message was lost and ends
the stream. So higher layers never receive duplicate or reordered messages.
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
from siskinbank.wire.stream_keys import StreamKeys

__all__ = ('MessageStream',)

#: Length of the message in bytes, and its sequence number.
_HEADER = struct.Struct('!IQ')


class MessageStream:
    """Reads and writes messages on one connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        keys: StreamKeys | None = None,
    ) -> None:
        """Initialize the stream on an open connection.

        Args:
            reader: the bytes that the other process sends.
            writer: the other direction.
            keys: the keys of the connection; None without authentication.
        """
        self.reader = reader
        self.writer = writer
        self.dropped = 0
        self._keys = keys
        self._next_sent = 0
        self._next_received = 0

    @property
    def withdrawn(self) -> bool:
        """Whether a key of the stream is no longer valid."""
        return self._keys is not None and self._keys.withdrawn

    @property
    def superseded(self) -> bool:
        """Whether this process would open the stream with another key now."""
        return self._keys is not None and self._keys.superseded

    def post(self, sent: Message) -> None:
        """Write one message without waiting; for short and rare messages."""
        raw = encode(sent)
        self.writer.write(_HEADER.pack(len(raw), self._next_sent) + raw)
        self._next_sent += 1

    async def send(self, sent: Message) -> None:
        """Write one message and wait until the write buffer has drained."""
        self.post(sent)
        await self.writer.drain()

    async def receive(self) -> Message | None:
        """Return the next message, or None at the end of the stream.

        Raises:
            MessageError: the bytes are not a message, a message is missing, or
                the stream ended inside a message.
        """
        while True:
            header = await self._read_header()
            if header is None:
                return None
            raw = await self._read_body(header[0])
            if header[1] > self._next_received:
                raise MessageError(f'message {self._next_received} is missing')
            if header[1] == self._next_received:
                self._next_received += 1
                return decode(raw)
            self.dropped += 1

    async def close(self) -> None:
        """Close the connection; errors of a lost connection are ignored."""
        self.writer.close()
        try:
            await self.writer.wait_closed()
        except OSError:
            return

    async def _read_header(self) -> tuple[int, int] | None:
        try:
            header = await self.reader.readexactly(_HEADER.size)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise MessageError(
                    'stream ended inside the length or number of a message'
                ) from error
            return None
        size, number = _HEADER.unpack(header)
        if size > MAX_MESSAGE_BYTES:
            raise MessageError(f'message of {size} bytes is too long')
        return size, number

    async def _read_body(self, size: int) -> bytes:
        try:
            return await self.reader.readexactly(size)
        except asyncio.IncompleteReadError as error:
            raise MessageError('stream ended inside a message') from error
