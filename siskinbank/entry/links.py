"""Streams of numbered requests from an entry to the sidecars."""

import asyncio
import itertools
import math
from collections.abc import Callable

from siskinbank.config.site import Address
from siskinbank.coordination.backoff import Backoff
from siskinbank.kernel.clock import Clock
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.reasons import Drop, Refusal
from siskinbank.peers.connect import PeerStreams
from siskinbank.wire.bodies import START_BYTES, BodyReader, SendWindow
from siskinbank.wire.messages import Message, MessageError
from siskinbank.wire.request_messages import (
    AnswerHead,
    BodyPart,
    Cancel,
    Credit,
    Failed,
    GoAway,
    KeyFenced,
    LinkOpened,
    OpenRequests,
    Ping,
    Refused,
    TicketIssued,
)
from siskinbank.wire.streams import MessageStream

__all__ = ('Exchange', 'LinkLostError', 'RequestLink', 'RequestLinks')

_CONNECT_SECONDS = 1
_ALIVE_SECONDS = 1
_IDLE_SECONDS = 60
_CLOCK_SECONDS = 60

Reply = AnswerHead | Refused | Failed | TicketIssued | KeyFenced


class LinkLostError(Exception):
    """The stream to the sidecar ended, or could not be opened."""


class Exchange:
    """One request on a link: what comes back for it."""

    def __init__(self, link: 'RequestLink', number: int) -> None:
        """Wait for messages with ``number``."""
        self.number = number
        self.window = SendWindow(START_BYTES)
        self.body = BodyReader(number, link.post)
        self.reply: asyncio.Future[Reply] = asyncio.Future()
        self._link = link

    def take(self, received: Message) -> Drop | None:
        """Take a message from the link; return why it is refused."""
        if isinstance(received, BodyPart):
            return self._take_part(received)
        if isinstance(received, Credit):
            self.window.give(received.size)
            return None
        return self._take_reply(received)

    def lose(self, error: Exception) -> None:
        """Note that nothing more will come."""
        self.body.fail(error)
        if not self.reply.done():
            self.reply.set_exception(error)
            self.reply.exception()

    def post(self, sent: Message) -> None:
        """Send a short message of this request without waiting."""
        self._link.post(sent)

    async def send(self, sent: Message) -> None:
        """Send a message of this request.

        Raises:
            LinkLostError: the link ended.
        """
        await self._link.send(sent)

    def close(self, *, finished: bool) -> None:
        """Forget the request; cancel it at the sidecar if unfinished."""
        self._link.forget(self.number, finished=finished)

    def _take_reply(self, received: Message) -> Drop | None:
        if not isinstance(received, Reply):
            return Drop.malformed
        if not self.reply.done():
            self.reply.set_result(received)
            return None
        self.body.fail(LinkLostError(type(received).__name__))
        return None if isinstance(received, Failed) else Drop.malformed

    def _take_part(self, part: BodyPart) -> Drop | None:
        wrong = Drop.malformed if not self.reply.done() else None
        wrong = wrong or self.body.put(part)
        if wrong is not None:
            self.lose(LinkLostError(wrong.value))
        return wrong


class RequestLink:
    """The stream to one sidecar."""

    def __init__(
        self,
        stream: MessageStream,
        opened: LinkOpened,
        clock: Clock,
        count: Callable[[Drop], None],
    ) -> None:
        """Take over an open stream."""
        self.host = opened.host
        self.incarnation = opened.incarnation
        self.leaving = False
        self.lost = False
        self.used_at = clock()
        self._stream = stream
        self._clock = clock
        self._count = count
        self._numbers = itertools.count(1)
        self._exchanges: dict[int, Exchange] = {}
        self._heard = asyncio.Event()
        self._offset = -math.inf
        self._former_offset = -math.inf
        self._offset_since = clock()
        self.learn_clock(opened.clock)

    @property
    def busy(self) -> bool:
        """Whether requests are open."""
        return bool(self._exchanges)

    def learn_clock(self, remote: float) -> None:
        """Note a time that the sidecar sent.

        The message was under way for a while, so the sidecar's clock shows at
        least this much. The largest offset of the last minutes is the nearest
        one that never puts a deadline too late.
        """
        now = self._clock()
        if now - self._offset_since > _CLOCK_SECONDS:
            self._former_offset = self._offset
            self._offset = -math.inf
            self._offset_since = now
        self._offset = max(self._offset, remote - now)

    def to_remote(self, due: float) -> float:
        """Return a time of this process on the sidecar's clock."""
        return due + max(self._offset, self._former_offset)

    def open(self) -> Exchange:
        """Start an exchange with a number of its own.

        Raises:
            LinkLostError: the stream has ended; nothing was sent.
        """
        if self.lost:
            raise LinkLostError('the link is lost')
        exchange = Exchange(self, next(self._numbers))
        self._exchanges[exchange.number] = exchange
        return exchange

    def forget(self, number: int, *, finished: bool) -> None:
        """Drop what still comes for a request."""
        self._exchanges.pop(number, None)
        self.used_at = self._clock()
        if not finished:
            self.post(Cancel(number))
        if self.leaving and not self._exchanges:
            self.end()

    def post(self, sent: Message) -> None:
        """Send one short message if the link still stands."""
        if not self.lost and not self._stream.writer.is_closing():
            self._stream.post(sent)

    async def send(self, sent: Message) -> None:
        """Send one message.

        Raises:
            LinkLostError: the stream has ended.
        """
        if self.lost:
            raise LinkLostError('the link is lost')
        try:
            await self._stream.send(sent)
        except (OSError, RuntimeError) as error:
            raise LinkLostError(str(error)) from error

    async def is_alive(self) -> bool:
        """Ask for a sign of life; whether anything came in time."""
        self._heard.clear()
        self.post(Ping(0))
        try:
            async with asyncio.timeout(_ALIVE_SECONDS):
                await self._heard.wait()
        except TimeoutError:
            return False
        return not self.lost

    def end(self) -> None:
        """Close the stream."""
        self.lost = True
        self._stream.writer.close()

    async def run(self) -> None:
        """Hand received messages to their exchanges until the end."""
        try:
            while (received := await self._stream.receive()) is not None:
                self._dispatch(received)
        except MessageError:
            self._count(Drop.malformed)
        except OSError:
            self._count(Drop.link_lost)
        finally:
            self.end()
            for exchange in list(self._exchanges.values()):
                exchange.lose(LinkLostError('the sidecar closed the link'))

    def _dispatch(self, received: Message) -> None:
        self._heard.set()
        if isinstance(received, Ping):
            return
        if isinstance(received, GoAway):
            self._leave(received)
            return
        number = getattr(received, 'number', None)
        exchange = self._exchanges.get(number) if number is not None else None
        if exchange is None:
            self._count(Drop.late)
            return
        if isinstance(received, AnswerHead):
            self.learn_clock(received.clock)
        wrong = exchange.take(received)
        if wrong is not None:
            self._count(wrong)

    def _leave(self, told: GoAway) -> None:
        """Finish what the sidecar took; the rest was not and won't be run."""
        self.leaving = True
        for number, exchange in list(self._exchanges.items()):
            if number > told.last:
                exchange.take(Refused(number, Refusal.draining.value, 1))
        if not self._exchanges:
            self.end()


class RequestLinks:
    """One link to each sidecar that was needed so far."""

    def __init__(self, process: ProcessContext, streams: PeerStreams) -> None:
        """Run links as tasks of ``process``."""
        self.streams = streams
        self._process = process
        self._links: dict[Address, RequestLink] = {}
        self._locks: dict[Address, asyncio.Lock] = {}
        self._backoffs: dict[Address, Backoff] = {}
        self._closed_until: dict[Address, float] = {}
        process.timers.every(_IDLE_SECONDS, self._close_idle)

    async def get(self, address: Address) -> RequestLink:
        """Return the link to a sidecar, connecting if need be.

        Raises:
            LinkLostError: the sidecar cannot be reached, or could not just
                now; nothing was sent to it.
        """
        async with self._locks.setdefault(address, asyncio.Lock()):
            link = self._links.get(address)
            if link is None or link.lost or link.leaving:
                self._check_pause(address)
                link = await self._connect(address)
                self._links[address] = link
            return link

    def _check_pause(self, address: Address) -> None:
        if self._process.timers.now < self._closed_until.get(address, 0):
            raise LinkLostError('the sidecar was unreachable just now')

    async def _connect(self, address: Address) -> RequestLink:
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                link = await self._open(address)
        except (OSError, MessageError) as error:
            backoff = self._backoffs.setdefault(address, Backoff())
            pause = backoff.next_pause()
            self._closed_until[address] = self._process.timers.now + pause
            raise LinkLostError(str(error)) from error
        self._backoffs.pop(address, None)
        self._closed_until.pop(address, None)
        self._process.start_task(link.run())
        return link

    async def _open(self, address: Address) -> RequestLink:
        stream = await self.streams.connect(address)
        try:
            await stream.send(OpenRequests(self._process.name))
            opened = await stream.receive()
        except BaseException:
            stream.writer.close()
            raise
        if not isinstance(opened, LinkOpened):
            stream.writer.close()
            raise MessageError('no request link')
        timers = self._process.timers
        return RequestLink(
            stream,
            opened,
            lambda: timers.now,
            self._process.metrics.count,
        )

    def _close_idle(self) -> None:
        now = self._process.timers.now
        for address, link in list(self._links.items()):
            idle = not link.busy and now - link.used_at > _IDLE_SECONDS
            if link.lost or idle:
                del self._links[address]
                link.end()
