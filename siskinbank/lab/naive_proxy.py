"""Naive proxy for comparison, which retries all failed requests."""

import asyncio
import contextlib
import random
from collections.abc import Sequence
from typing import Any

from aiohttp import ClientError, ClientSession, web

from siskinbank.config.site import Address
from siskinbank.wire.headers import forwarded_headers

__all__ = ('NaiveProxy',)

_MAX_ATTEMPTS = 3
_SERVICE_UNAVAILABLE = 503


class NaiveProxy:
    """Forwards requests to random upstreams and retries after a failure.

    It retries after each timeout and connection error, also if the request may
    have run.
    """

    def __init__(
        self,
        upstream_addresses: Sequence[Address],
        timeout: float,
        rng: random.Random,
    ) -> None:
        """Create a stopped proxy.

        Args:
            upstream_addresses: addresses of the upstreams or their links.
            timeout: time limit of each attempt in seconds.
            rng: chooses the upstreams.
        """
        self._upstream_addresses = upstream_addresses
        self._timeout = timeout
        self._rng = rng
        self._session: ClientSession | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self, address: Address) -> None:
        """Start to listen on an address.

        Raises:
            OSError: the address could not be bound.
        """
        self._session = ClientSession(auto_decompress=False)
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0)
        await self._runner.setup()
        await web.TCPSite(self._runner, *address).start()

    async def stop(self) -> None:
        """Stop immediately."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        for _ in range(_MAX_ATTEMPTS):
            with contextlib.suppress(ClientError, TimeoutError, OSError):
                async with asyncio.timeout(self._timeout):
                    return await self._forward(request, body)
        return web.Response(status=_SERVICE_UNAVAILABLE)

    async def _forward(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.Response:
        host, port = self._rng.choice(self._upstream_addresses)
        session: Any = self._session
        async with session.request(
            request.method,
            f'http://{host}:{port}{request.path_qs}',
            headers=forwarded_headers(request.headers),
            data=body,
        ) as response:
            return web.Response(
                status=response.status,
                body=await response.read(),
                headers=dict(forwarded_headers(response.headers)),
            )
