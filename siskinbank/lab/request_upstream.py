"""In-process upstream for experiments with requests."""

import asyncio
import enum
import random
from collections import Counter

from aiohttp import web

from siskinbank.config.site import Address
from siskinbank.wire.headers import KEY_HEADER

__all__ = ('Behaviour', 'RequestUpstream')

_DRAIN_POLL_SECONDS = 0.05


class Behaviour(enum.StrEnum):
    """What the upstream does after it has run a request.

    Attributes:
        answer: send the answer.
        drop: abort the connection without an answer.
        cut: abort the connection before the end of the body.
        hang: never answer.
    """

    answer = 'answer'
    drop = 'drop'
    cut = 'cut'
    hang = 'hang'


class RequestUpstream:
    """Runs a limited number of requests at a time and echoes their bodies.

    Attributes:
        name: name of the host.
        behaviour: what happens to a request after it has run.
        work_seconds: mean run time of a request.
        runs: number of runs by key.
        arrivals: number of requests received.
        served: number of requests answered completely.
        cancelled: number of requests cancelled before they were answered, for
            example by a disconnect.
        headers: headers of each request received.
    """

    def __init__(self, name: str, slots: int, rng: random.Random) -> None:
        """Create a stopped upstream.

        Args:
            name: name of the host, sent in the ``X-Host`` header.
            slots: requests to run at the same time; further ones wait.
            rng: draws the run times.
        """
        self.name = name
        self.behaviour = Behaviour.answer
        self.work_seconds = 0.01
        self.runs: Counter[str] = Counter()
        self.arrivals = 0
        self.served = 0
        self.cancelled = 0
        self.headers: list[dict[str, str]] = []
        self._slots = asyncio.Semaphore(slots)
        self._rng = rng
        self._runner: web.ServerRunner | None = None
        self._listener: web.TCPSite | None = None
        self._active_requests = 0

    async def start(self, address: Address) -> None:
        """Start to listen on an address.

        Raises:
            OSError: the address could not be bound.
        """
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0)
        await self._runner.setup()
        self._listener = web.TCPSite(self._runner, *address, reuse_address=True)
        await self._listener.start()

    async def drain(self) -> None:
        """Stop accepting connections, finish running requests and stop."""
        if self._listener is not None:
            await self._listener.stop()
        while self._active_requests:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
        await self.stop()

    async def stop(self) -> None:
        """Stop immediately, as a killed process does."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.arrivals += 1
        self.headers.append(dict(request.headers))
        self._active_requests += 1
        try:
            async with self._slots:
                return await self._run(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._active_requests -= 1

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.content.read()
        key = request.headers.get(KEY_HEADER, '')
        self.runs[key] += 1
        run_seconds = self.work_seconds * self._rng.uniform(0.5, 1.5)
        await asyncio.sleep(run_seconds)
        if self.behaviour is Behaviour.hang:
            await asyncio.Event().wait()
        if self.behaviour is Behaviour.drop:
            _abort_connection(request)
        headers = {'X-Host': self.name, 'X-Key': key}
        if self.behaviour is Behaviour.cut:
            return await self._send_truncated(request, body, headers)
        self.served += 1
        return web.Response(body=body, headers=headers)

    async def _send_truncated(
        self,
        request: web.BaseRequest,
        body: bytes,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Send fewer bytes than ``Content-Length`` and abort the connection."""
        response = web.StreamResponse(headers=headers)
        response.content_length = len(body) + 1
        await response.prepare(request)
        await response.write(body)
        _abort_connection(request)
        return response


def _abort_connection(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
