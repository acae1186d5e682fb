"""Requests to the upstream beside this process."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiohttp
from yarl import URL

from siskinbank.wire.headers import DEADLINE_HEADER
from siskinbank.wire.request_messages import RequestHead

__all__ = ('UpstreamClient',)

_CONNECT_SECONDS = 2
_MAX_CONNECTIONS = 0
_LENGTH = 'Content-Length'


class UpstreamClient:
    """Sends requests to one upstream.

    Work that may run only once goes over a connection of its own: a kept one
    may be closed by the upstream at the moment of sending, and nobody could
    say then whether the request was read.
    """

    def __init__(self, base: str) -> None:
        """Send to the upstream at the URL ``base``."""
        self._base = base.rstrip('/')
        self._kept = _open_session(force_close=False)
        self._single = _open_session(force_close=True)

    def ask(
        self,
        head: RequestHead,
        left: float,
        read: Callable[[], Awaitable[bytes]],
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send one request; use as a context, leaving it early cancels.

        Args:
            head: the request.
            left: the seconds until its deadline.
            read: returns the next bytes of its body, none at the end.
        """
        session = self._kept if head.idempotent else self._single
        headers = [(name, text) for name, text in head.headers]
        headers.append((DEADLINE_HEADER, f'{max(left, 0):.3f}'))
        if head.length > 0:
            headers.append((_LENGTH, str(head.length)))
        context: Any = session.request(
            head.method,
            URL(f'{self._base}{head.target}', encoded=True),
            headers=headers,
            data=_chunks(read) if head.length else None,
            allow_redirects=False,
            skip_auto_headers=('User-Agent', 'Content-Type', 'Accept'),
        )
        return context  # type: ignore[no-any-return]

    async def close(self) -> None:
        """Close the connections."""
        await self._kept.close()
        await self._single.close()


def _open_session(*, force_close: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=_MAX_CONNECTIONS,
            force_close=force_close,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_SECONDS,
        ),
    )


async def _chunks(
    read: Callable[[], Awaitable[bytes]],
) -> AsyncIterator[bytes]:
    while chunk := await read():
        yield chunk
