"""Transfer of bodies in numbered parts with credit-based flow control.

Requests share one stream. A receiver that is slow on one request grants no
more credit for it. So the stream is not blocked for the other requests, and
memory stays bounded.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from siskinbank.kernel.reasons import Drop
from siskinbank.wire.messages import Message
from siskinbank.wire.request_messages import BodyPart, Credit

__all__ = (
    'BodyReader',
    'BodyTruncatedError',
    'CHUNK_BYTES',
    'INITIAL_CREDIT_BYTES',
    'SendWindow',
    'WINDOW_BYTES',
    'send_body',
)

#: Maximum number of outstanding bytes of one body.
WINDOW_BYTES = 262_144
#: Maximum number of bytes of a request's body sent before admission.
INITIAL_CREDIT_BYTES = 65_536
#: Maximum number of bytes in one part.
CHUNK_BYTES = 65_536


class BodyTruncatedError(Exception):
    """A body was truncated before its end mark."""


class SendWindow:
    """The credit of the sender of one body."""

    def __init__(self, size: int = WINDOW_BYTES) -> None:
        """Initialize the window with a credit of ``size`` bytes."""
        self._credit = size
        self._changed = asyncio.Event()

    def add_credit(self, size: int) -> None:
        """Add credit that the receiver granted, in bytes."""
        self._credit += max(size, 0)
        self._changed.set()

    async def reserve(self, wanted: int) -> int:
        """Wait for credit and use up to ``wanted`` bytes of it.

        Returns:
            The number of bytes that may be sent, at least one.
        """
        while self._credit <= 0:
            self._changed.clear()
            await self._changed.wait()
        reserved = min(wanted, self._credit)
        self._credit -= reserved
        return reserved


class BodyReader:
    """Receives the parts of one body."""

    def __init__(self, number: int, post: Callable[[Message], None]) -> None:
        """Initialize the reader of a body.

        Args:
            number: the request's number.
            post: sends a message, used to grant credit.
        """
        self._number = number
        self._post = post
        self._credit = WINDOW_BYTES
        self._next_part = 0
        self._parts: deque[BodyPart] = deque()
        self._changed = asyncio.Event()
        self._failure: Exception | None = None
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the end mark has been received."""
        return self._ended

    def put(self, part: BodyPart) -> Drop | None:
        """Add the next part; return why it is refused, or None."""
        if self._ended or part.part != self._next_part:
            return Drop.malformed
        if len(part.content) > self._credit:
            return Drop.over_credit
        self._credit -= len(part.content)
        self._next_part += 1
        self._ended = part.last
        self._parts.append(part)
        self._changed.set()
        return None

    def fail(self, error: Exception) -> None:
        """Make ``read`` fail after the parts that were received."""
        if self._failure is None and not self._ended:
            self._failure = error
            self._changed.set()

    async def read(self) -> bytes:
        """Return the next bytes, or no bytes at the end of the body.

        Raises:
            BodyTruncatedError: the rest of the body will not be received.
        """
        while True:
            await self._wait_for_part()
            if not self._parts:
                return b''
            part = self._parts.popleft()
            if part.content:
                self._grant(part)
                return part.content

    async def _wait_for_part(self) -> None:
        """Wait for a part or the end of the body."""
        while not self._parts and not self._ended:
            if self._failure is not None:
                raise BodyTruncatedError(str(self._failure)) from self._failure
            self._changed.clear()
            await self._changed.wait()

    def _grant(self, part: BodyPart) -> None:
        if part.last:
            return
        self._credit += len(part.content)
        self._post(Credit(self._number, len(part.content)))


async def send_body(
    number: int,
    read: Callable[[], Awaitable[bytes]],
    send: Callable[[Message], Awaitable[None]],
    window: SendWindow,
) -> None:
    """Send a body in parts within the window, then its end mark.

    Args:
        number: the request's number.
        read: returns the next bytes, or no bytes at the end.
        send: sends one message.
        window: the credit granted by the receiver.
    """
    part = 0
    while chunk := await read():
        rest = memoryview(chunk)
        while rest:
            size = await window.reserve(min(len(rest), CHUNK_BYTES))
            await send(BodyPart(number, part, False, bytes(rest[:size])))
            rest = rest[size:]
            part += 1
    await send(BodyPart(number, part, True, b''))
