"""Bodies in numbered parts, each sender within the credit of its receiver.

Requests share one stream. A receiver that is slow for one of them grants it
no more credit, so that the stream stays free for the others and memory stays
bounded.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from siskinbank.kernel.reasons import Drop
from siskinbank.wire.messages import Message
from siskinbank.wire.request_messages import BodyPart, Credit

__all__ = (
    'CHUNK_BYTES',
    'START_BYTES',
    'WINDOW_BYTES',
    'BodyCutError',
    'BodyReader',
    'SendWindow',
    'send_body',
)

#: The most bytes of one body that may be on their way.
WINDOW_BYTES = 256 * 1024
#: The most bytes of a request's body that may come before it is admitted.
START_BYTES = 64 * 1024
#: The most bytes in one part.
CHUNK_BYTES = 64 * 1024


class BodyCutError(Exception):
    """A body ended before its end mark."""


class SendWindow:
    """The bytes of one body that may still be sent."""

    def __init__(self, size: int = WINDOW_BYTES) -> None:
        """Start with credit for ``size`` bytes."""
        self._left = size
        self._changed = asyncio.Event()

    def give(self, size: int) -> None:
        """Add the credit that the receiver granted."""
        self._left += max(size, 0)
        self._changed.set()

    async def take(self, wanted: int) -> int:
        """Return how many of ``wanted`` bytes may be sent, at least one."""
        while self._left <= 0:
            self._changed.clear()
            await self._changed.wait()
        taken = min(wanted, self._left)
        self._left -= taken
        return taken


class BodyReader:
    """The parts of one body as they come in."""

    def __init__(self, number: int, post: Callable[[Message], None]) -> None:
        """Read the body of request ``number``; ``post`` grants credit."""
        self._number = number
        self._post = post
        self._left = WINDOW_BYTES
        self._expected = 0
        self._parts: deque[BodyPart] = deque()
        self._changed = asyncio.Event()
        self._failure: Exception | None = None
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the end mark has come."""
        return self._ended

    def put(self, part: BodyPart) -> Drop | None:
        """Take the next part; return why it is refused."""
        if self._ended or part.part != self._expected:
            return Drop.malformed
        if len(part.content) > self._left:
            return Drop.over_credit
        self._left -= len(part.content)
        self._expected += 1
        self._ended = part.last
        self._parts.append(part)
        self._changed.set()
        return None

    def fail(self, error: Exception) -> None:
        """Let readers fail once they have read what came."""
        if self._failure is None and not self._ended:
            self._failure = error
            self._changed.set()

    async def read(self) -> bytes:
        """Return the next bytes; none at the end of the body.

        Raises:
            BodyCutError: the body will never be whole.
        """
        while True:
            await self._wait()
            if not self._parts:
                return b''
            part = self._parts.popleft()
            if part.content:
                self._grant(part)
                return part.content

    async def _wait(self) -> None:
        """Wait for a part or the end."""
        while not self._parts and not self._ended:
            if self._failure is not None:
                raise BodyCutError(str(self._failure)) from self._failure
            self._changed.clear()
            await self._changed.wait()

    def _grant(self, part: BodyPart) -> None:
        if part.last:
            return
        self._left += len(part.content)
        self._post(Credit(self._number, len(part.content)))


async def send_body(
    number: int,
    read: Callable[[], Awaitable[bytes]],
    send: Callable[[Message], Awaitable[None]],
    window: SendWindow,
) -> None:
    """Send a body in parts within the window, and its end mark.

    Args:
        number: the request's number.
        read: returns the next bytes, none at the end.
        send: sends one message.
        window: the receiver's credit.
    """
    part = 0
    while chunk := await read():
        rest = memoryview(chunk)
        while rest:
            size = await window.take(min(len(rest), CHUNK_BYTES))
            await send(BodyPart(number, part, False, bytes(rest[:size])))
            rest = rest[size:]
            part += 1
    await send(BodyPart(number, part, True, b''))
