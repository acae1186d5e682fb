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
from siskinbank.wire.bodies import INITIAL_CREDIT_BYTES, BodyReader, SendWindow
from siskinbank.wire.messages import Message, MessageError
from siskinbank.wire.request_messages import (
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
    ResponseHead,
    TicketIssued,
)
from siskinbank.wire.streams import MessageStream

__all__ = ('Exchange', 'LinkLostError', 'RequestLink', 'RequestLinks')

_CONNECT_TIMEOUT_SECONDS = 1
_PING_TIMEOUT_SECONDS = 1
_IDLE_TIMEOUT_SECONDS = 60
_OFFSET_WINDOW_SECONDS = 60

Reply = ResponseHead | Refused | Failed | TicketIssued | KeyFenced


class LinkLostError(Exception):
    """The stream to the sidecar ended, or could not be opened."""


class Exchange:
    """One request on a link and the messages received for it."""

    def __init__(self, link: 'RequestLink', number: int) -> None:
        """Create the exchange whose messages on ``link`` have ``number``."""
        self.number = number
        self.window = SendWindow(INITIAL_CREDIT_BYTES)
        self.body = BodyReader(number, link.post)
        self.reply: asyncio.Future[Reply] = asyncio.Future()
        self._link = link

    def handle(self, received: Message) -> Drop | None:
        """Handle a message from the link; return why it is dropped, or None."""
        if isinstance(received, BodyPart):
            return self._handle_part(received)
        if isinstance(received, Credit):
            self.window.add_credit(received.size)
            return None
        return self._handle_reply(received)

    def fail(self, error: Exception) -> None:
        """Fail the reply and the body, as no more messages will arrive."""
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
        """Close the request; cancel it at the sidecar if unfinished."""
        self._link.remove_exchange(self.number, finished=finished)

    def _handle_reply(self, received: Message) -> Drop | None:
        if not isinstance(received, Reply):
            return Drop.malformed
        if not self.reply.done():
            self.reply.set_result(received)
            return None
        self.body.fail(LinkLostError(type(received).__name__))
        return None if isinstance(received, Failed) else Drop.malformed

    def _handle_part(self, part: BodyPart) -> Drop | None:
        reason = Drop.malformed if not self.reply.done() else None
        reason = reason or self.body.put(part)
        if reason is not None:
            self.fail(LinkLostError(reason.value))
        return reason


class RequestLink:
    """The stream of requests to one sidecar."""

    def __init__(
        self,
        stream: MessageStream,
        opened: LinkOpened,
        clock: Clock,
        count: Callable[[Drop], None],
    ) -> None:
        """Initialize with an open stream."""
        self.host = opened.host
        self.incarnation = opened.incarnation
        self.leaving = False
        self.lost = False
        self.last_used = clock()
        self._stream = stream
        self._clock = clock
        self._count = count
        self._numbers = itertools.count(1)
        self._exchanges: dict[int, Exchange] = {}
        self._received_any = asyncio.Event()
        self._offset = -math.inf
        self._previous_offset = -math.inf
        self._offset_since = clock()
        self.update_clock_offset(opened.clock)

    @property
    def busy(self) -> bool:
        """Whether requests are open."""
        return bool(self._exchanges)

    def update_clock_offset(self, remote: float) -> None:
        """Update the clock offset with a time that the sidecar sent.

        The message was in transit for a while, so the sidecar's clock shows at
        least this time. The largest offset of the last minutes is the closest
        estimate with which no deadline is converted to a later one.
        """
        now = self._clock()
        if now - self._offset_since > _OFFSET_WINDOW_SECONDS:
            self._previous_offset = self._offset
            self._offset = -math.inf
            self._offset_since = now
        self._offset = max(self._offset, remote - now)

    def to_remote_time(self, due: float) -> float:
        """Convert a time of this process to the sidecar's clock."""
        return due + max(self._offset, self._previous_offset)

    def open(self) -> Exchange:
        """Open an exchange with the next number.

        Raises:
            LinkLostError: the stream has ended; nothing was sent.
        """
        if self.lost:
            raise LinkLostError('the link is lost')
        exchange = Exchange(self, next(self._numbers))
        self._exchanges[exchange.number] = exchange
        return exchange

    def remove_exchange(self, number: int, *, finished: bool) -> None:
        """Remove an exchange; later messages for it are dropped."""
        self._exchanges.pop(number, None)
        self.last_used = self._clock()
        if not finished:
            self.post(Cancel(number))
        self._end_if_idle()

    def post(self, sent: Message) -> None:
        """Send one short message if the link is still open."""
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
        """Send a ping; return whether any message arrived in time."""
        self._received_any.clear()
        self.post(Ping(0))
        try:
            async with asyncio.timeout(_PING_TIMEOUT_SECONDS):
                await self._received_any.wait()
        except TimeoutError:
            return False
        return not self.lost

    def end(self) -> None:
        """Close the stream."""
        self.lost = True
        self._stream.writer.close()

    def check_keys(self) -> None:
        """Open no more requests if the keys of the stream are out of use."""
        if self._stream.withdrawn or self._stream.superseded:
            self.leaving = True
            self._end_if_idle()

    async def run(self) -> None:
        """Dispatch received messages to exchanges until the stream ends."""
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
                exchange.fail(LinkLostError('the sidecar closed the link'))

    def _dispatch(self, received: Message) -> None:
        self._received_any.set()
        if isinstance(received, Ping):
            return
        if isinstance(received, GoAway):
            self._handle_go_away(received)
            return
        number = getattr(received, 'number', None)
        exchange = self._exchanges.get(number) if number is not None else None
        if exchange is None:
            self._count(Drop.late)
            return
        if isinstance(received, ResponseHead):
            self.update_clock_offset(received.clock)
        reason = exchange.handle(received)
        if reason is not None:
            self._count(reason)

    def _handle_go_away(self, go_away: GoAway) -> None:
        """Keep accepted requests; fail the others, which will never be run."""
        self.leaving = True
        for number, exchange in list(self._exchanges.items()):
            if number > go_away.last:
                exchange.handle(Refused(number, Refusal.draining.value, 1))
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        if self.leaving and not self._exchanges:
            self.end()


class RequestLinks:
    """The request links of a process, one for each sidecar in use."""

    def __init__(self, process: ProcessContext, streams: PeerStreams) -> None:
        """Initialize without links; they run as tasks of ``process``."""
        self.streams = streams
        self._process = process
        self._links: dict[Address, RequestLink] = {}
        self._locks: dict[Address, asyncio.Lock] = {}
        self._backoffs: dict[Address, Backoff] = {}
        self._retry_at: dict[Address, float] = {}
        process.timers.every(_IDLE_TIMEOUT_SECONDS, self._close_idle)
        streams.subscribe(self._check_keys)

    async def get(self, address: Address) -> RequestLink:
        """Return the link to a sidecar; connect if there is none.

        Raises:
            LinkLostError: the sidecar is unreachable, or was and the back-off
                has not ended; nothing was sent to it.
        """
        async with self._locks.setdefault(address, asyncio.Lock()):
            link = self._links.get(address)
            if link is None or link.lost or link.leaving:
                self._check_backoff(address)
                link = await self._connect(address)
                self._links[address] = link
            return link

    def _check_backoff(self, address: Address) -> None:
        if self._process.timers.now < self._retry_at.get(address, 0):
            raise LinkLostError('the sidecar was unreachable; backing off')

    async def _connect(self, address: Address) -> RequestLink:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                link = await self._open(address)
        except (OSError, MessageError) as error:
            backoff = self._backoffs.setdefault(address, Backoff())
            pause = backoff.next_pause()
            self._retry_at[address] = self._process.timers.now + pause
            raise LinkLostError(str(error)) from error
        self._backoffs.pop(address, None)
        self._retry_at.pop(address, None)
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
            raise MessageError('the sidecar did not open a request link')
        if stream.withdrawn:
            stream.writer.close()
            raise MessageError('the key of the link was withdrawn')
        timers = self._process.timers
        return RequestLink(
            stream,
            opened,
            lambda: timers.now,
            self._process.metrics.count,
        )

    def _check_keys(self) -> None:
        for link in self._links.values():
            link.check_keys()

    def _close_idle(self) -> None:
        now = self._process.timers.now
        for address, link in list(self._links.items()):
            idle = (
                not link.busy and now - link.last_used > _IDLE_TIMEOUT_SECONDS
            )
            if link.lost or idle:
                del self._links[address]
                link.end()
