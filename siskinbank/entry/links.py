"""Streams of numbered requests from an entry to the sidecars."""

import asyncio
import itertools
from collections.abc import AsyncIterator

from siskinbank.config.site import Address
from siskinbank.kernel.process import ProcessContext
from siskinbank.peers.connect import PeerStreams
from siskinbank.wire.messages import (
    AnswerHead,
    BodyPart,
    Cancel,
    Failed,
    Message,
    MessageError,
    OpenRequests,
    Refused,
)
from siskinbank.wire.streams import MessageStream

__all__ = ('Exchange', 'LinkLostError', 'RequestLink', 'RequestLinks')

_CONNECT_SECONDS = 1
_QUEUED_PARTS = 16


class LinkLostError(ConnectionError):
    """The stream to the sidecar ended."""


class Exchange:
    """One request on a link: what comes back for it."""

    def __init__(self, link: 'RequestLink', number: int) -> None:
        """Wait for messages with ``number``."""
        self.number = number
        self._link = link
        self._incoming: asyncio.Queue[Message | None] = asyncio.Queue(
            _QUEUED_PARTS,
        )

    async def put(self, received: Message | None) -> None:
        """Take a message from the link; None when the link is lost."""
        await self._incoming.put(received)

    async def send(self, sent: Message) -> None:
        """Send a message of this request."""
        await self._link.send(sent)

    async def receive(self) -> Message:
        """Return the next message for this request.

        Raises:
            LinkLostError: the link ended.
        """
        received = await self._incoming.get()
        if received is None:
            raise LinkLostError('the sidecar closed the link')
        return received

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the answer's parts up to its end mark.

        Raises:
            LinkLostError: the answer was cut, or its parts are out of order.
        """
        for expected in itertools.count():
            part = await self.receive()
            if not isinstance(part, BodyPart) or part.part != expected:
                raise LinkLostError(f'answer cut: {type(part).__name__}')
            if part.content:
                yield part.content
            if part.last:
                return

    async def close(self, *, finished: bool) -> None:
        """Forget the request; cancel it at the sidecar if unfinished."""
        self._link.forget(self.number)
        if finished:
            return
        try:
            await self._link.send(Cancel(self.number))
        except OSError:
            return


class RequestLink:
    """The stream to one sidecar."""

    def __init__(self, stream: MessageStream) -> None:
        """Take over an open stream."""
        self._stream = stream
        self._numbers = itertools.count(1)
        self._exchanges: dict[int, Exchange] = {}
        self.lost = False

    def open(self) -> Exchange:
        """Start an exchange with a number of its own."""
        exchange = Exchange(self, next(self._numbers))
        self._exchanges[exchange.number] = exchange
        return exchange

    def forget(self, number: int) -> None:
        """Drop what still comes for a request."""
        self._exchanges.pop(number, None)

    async def send(self, sent: Message) -> None:
        """Send one message.

        Raises:
            LinkLostError: the stream has ended.
        """
        if self.lost:
            raise LinkLostError('the link is lost')
        await self._stream.send(sent)

    async def run(self) -> None:
        """Hand received messages to their exchanges until the end."""
        try:
            while True:
                received = await self._stream.receive()
                if received is None:
                    return
                await self._dispatch(received)
        except (OSError, MessageError):
            return
        finally:
            await self._end()

    async def _end(self) -> None:
        self.lost = True
        await self._stream.close()
        for exchange in list(self._exchanges.values()):
            await exchange.put(None)

    async def _dispatch(self, received: Message) -> None:
        if isinstance(received, AnswerHead | BodyPart | Refused | Failed):
            exchange = self._exchanges.get(received.number)
            if exchange is not None:
                await exchange.put(received)


class RequestLinks:
    """One link to each sidecar that was needed so far."""

    def __init__(self, process: ProcessContext, streams: PeerStreams) -> None:
        """Run links as tasks of ``process``."""
        self.streams = streams
        self._process = process
        self._links: dict[Address, RequestLink] = {}
        self._locks: dict[Address, asyncio.Lock] = {}

    async def get(self, address: Address) -> RequestLink:
        """Return the link to a sidecar, connecting if need be.

        Raises:
            OSError: the sidecar cannot be reached.
        """
        async with self._locks.setdefault(address, asyncio.Lock()):
            link = self._links.get(address)
            if link is None or link.lost:
                link = await self._connect(address)
                self._links[address] = link
            return link

    async def _connect(self, address: Address) -> RequestLink:
        async with asyncio.timeout(_CONNECT_SECONDS):
            stream = await self.streams.connect(address)
        await stream.send(OpenRequests(self._process.name))
        link = RequestLink(stream)
        self._process.start_task(link.run())
        return link
