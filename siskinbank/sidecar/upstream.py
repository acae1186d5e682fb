"""HTTP client for the local upstream."""

import select
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from siskinbank.wire.headers import DEADLINE_HEADER
from siskinbank.wire.request_messages import RequestHead

__all__ = ('UpstreamClient',)

_CONNECT_TIMEOUT_SECONDS = 2
#: 0 means no limit; the slots bound the number of requests.
_MAX_CONNECTIONS = 0
_LENGTH_HEADER = 'Content-Length'


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
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
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
            self._known.add(connection.protocol)
        return connection


def _has_input(connection: Connection) -> bool:
    """Return whether bytes or an end of stream wait on an idle connection."""
    protocol = connection.protocol
    transport = connection.transport
    if protocol is None or transport is None or protocol.should_close:
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info('socket'), select.POLLIN)
    return bool(poll.poll(0))


def _open_session(*, force_close: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=_CheckedConnector(
            limit=_MAX_CONNECTIONS,
            force_close=force_close,
        ),
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
