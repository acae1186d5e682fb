"""A naive proxy to compare with: on a time-out it asks the next upstream."""

import asyncio
import contextlib
import random
from collections.abc import Sequence
from typing import Any

from aiohttp import ClientError, ClientSession, web

from siskinbank.config.site import Address
from siskinbank.wire.headers import forwarded_headers

__all__ = ('NaiveProxy',)

_TRIES = 3
_UNAVAILABLE = 503


class NaiveProxy:
    """Forwards to a random upstream, and on failure to another one."""

    def __init__(
        self,
        hosts: Sequence[Address],
        timeout: float,
        rng: random.Random,
    ) -> None:
        """Forward to ``hosts`` with ``timeout`` seconds for each try."""
        self._hosts = hosts
        self._timeout = timeout
        self._rng = rng
        self._session: ClientSession | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self, address: Address) -> None:
        """Listen.

        Raises:
            OSError: the address could not be bound.
        """
        self._session = ClientSession(auto_decompress=False)
        server = web.Server(self._serve, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0)
        await self._runner.setup()
        await web.TCPSite(self._runner, *address).start()

    async def stop(self) -> None:
        """Stop at once."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        for _ in range(_TRIES):
            with contextlib.suppress(ClientError, TimeoutError, OSError):
                async with asyncio.timeout(self._timeout):
                    return await self._forward(request, body)
        return web.Response(status=_UNAVAILABLE)

    async def _forward(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.Response:
        host, port = self._rng.choice(self._hosts)
        session: Any = self._session
        async with session.request(
            request.method,
            f'http://{host}:{port}{request.path_qs}',
            headers=forwarded_headers(request.headers),
            data=body,
        ) as answer:
            return web.Response(
                status=answer.status,
                body=await answer.read(),
                headers=dict(forwarded_headers(answer.headers)),
            )
