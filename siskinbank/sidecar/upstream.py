"""HTTP client for the local upstream."""

import asyncio
import select
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from siskinbank.wire.bodies import CHUNK_BYTES
from siskinbank.wire.headers import DEADLINE_HEADER
from siskinbank.wire.request_messages import RequestHead

__all__ = ('UpstreamAnswer', 'UpstreamClient')

_CONNECT_TIMEOUT_SECONDS = 2
#: 0 means no limit; the slots bound the number of requests.
_MAX_CONNECTIONS = 0
_LENGTH_HEADER = 'Content-Length'
_BODILESS_STATUSES = frozenset((204, 304))


class UpstreamAnswer(aiohttp.ClientResponse):
    """Answer of an upstream, whose end is checked."""

    def __init__(self, *given: Any, **options: Any) -> None:
        """Initialize an answer that is not yet received."""
        super().__init__(*given, **options)
        self._connection_end: asyncio.Future[None] | None = None

    async def start(self, connection: Connection) -> 'UpstreamAnswer':
        """Receive the head of the answer."""
        assert connection.protocol is not None
        self._connection_end = connection.protocol.closed
        await super().start(connection)
        return self

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, or no bytes at its end.

        Raises:
            aiohttp.ClientPayloadError: the body is incomplete.
        """
        chunk = await self.content.read(CHUNK_BYTES)
        if not chunk and self._ends_with_connection() and self._was_reset():
            raise aiohttp.ClientPayloadError('connection was reset')
        return chunk

    def _ends_with_connection(self) -> bool:
        """Return whether only a regular close marks the end of the body."""
        if self.method == 'HEAD' or self.status in _BODILESS_STATUSES:
            return False
        coding = self.headers.get('Transfer-Encoding', '').lower()
        return self.content_length is None and 'chunked' not in coding

    def _was_reset(self) -> bool:
        end = self._connection_end
        if end is None or not end.done():
            return False
        return end.cancelled() or end.exception() is not None


class UpstreamClient:
    """Sends requests to one upstream.

    A request that isn't idempotent gets a connection of its own: the upstream
    may close a reused one at the moment of sending, and then it is unknown
    whether the request was read.
    """

    def __init__(self, base: str) -> None:
        """Initialize a client of the upstream at the URL ``base``."""
        self._base = base.rstrip('/')
        self._keep_alive_session = _open_session(force_close=False)
        self._single_use_session = _open_session(force_close=True)

    def send(
        self,
        head: RequestHead,
        left: float,
        read: Callable[[], Awaitable[bytes]],
    ) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send one request.

        The result is an asynchronous context manager of the response; leaving
        it early cancels the request.

        Args:
            head: the request.
            left: the seconds until its deadline.
            read: returns the next bytes of its body, empty at the end.
        """
        session = (
            self._keep_alive_session
            if head.idempotent
            else self._single_use_session
        )
        headers = [(name, text) for name, text in head.headers]
        headers.append((DEADLINE_HEADER, f'{max(left, 0):.3f}'))
        if head.length > 0:
            headers.append((_LENGTH_HEADER, str(head.length)))
        context: Any = session.request(
            head.method,
            URL(f'{self._base}{head.target}', encoded=True),
            headers=headers,
            data=_read_chunks(read) if head.length else None,
            allow_redirects=False,
            skip_auto_headers=('User-Agent', 'Content-Type', 'Accept'),
        )
        return context  # type: ignore[no-any-return]

    async def close(self) -> None:
        """Close all connections."""
        await self._keep_alive_session.close()
        await self._single_use_session.close()


class _CheckedConnector(aiohttp.TCPConnector):
    """Connector that reuses only connections without unread bytes.

    Bytes that no request waits for, such as a second copy of an answer, would
    be read as the answer to the next request on the connection.
    """

    def __init__(self, *, limit: int, force_close: bool) -> None:
        super().__init__(limit=limit, force_close=force_close)
        self._known: weakref.WeakSet[ResponseHandler] = weakref.WeakSet()

    async def connect(self, *given: Any, **options: Any) -> Connection:
        """Return a connection for a request, from the pool or a new one."""
        connection = await super().connect(*given, **options)
        while connection.protocol in self._known and _has_input(connection):
            connection.close()
            connection = await super().connect(*given, **options)
        if connection.protocol is not None:
            self._add_known(connection.protocol)
        return connection

    def _add_known(self, protocol: ResponseHandler) -> None:
        if protocol in self._known:
            return
        self._known.add(protocol)
        # The future exists only if it was asked for before the end.
        if protocol.closed is not None:
            protocol.closed.add_done_callback(_retrieve_error)


def _has_input(connection: Connection) -> bool:
    """Return whether bytes or an end of stream wait on an idle connection."""
    protocol = connection.protocol
    transport = connection.transport
    if protocol is None or transport is None or protocol.should_close:
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info('socket'), select.POLLIN)
    return bool(poll.poll(0))


def _retrieve_error(done: asyncio.Future[None]) -> None:
    """Mark an error as seen; it is reported to a request, if one is open."""
    if not done.cancelled():
        done.exception()


def _open_session(*, force_close: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=_CheckedConnector(
            limit=_MAX_CONNECTIONS,
            force_close=force_close,
        ),
        response_class=UpstreamAnswer,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_SECONDS,
        ),
    )


async def _read_chunks(
    read: Callable[[], Awaitable[bytes]],
) -> AsyncIterator[bytes]:
    while chunk := await read():
        yield chunk
