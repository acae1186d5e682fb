"""An upstream for experiments with requests, in this very process."""

import asyncio
import enum
import random
from collections import Counter

from aiohttp import web

from siskinbank.config.site import Address
from siskinbank.wire.headers import KEY_HEADER

__all__ = ('Behaviour', 'RequestUpstream')

_POLL_SECONDS = 0.05


class Behaviour(enum.StrEnum):
    """What the upstream does with a request after it has run."""

    answer = 'answer'
    drop = 'drop'
    cut = 'cut'
    hang = 'hang'


class RequestUpstream:
    """Runs requests within its slots and echoes their bodies.

    ``runs`` counts the runs of each key, ``served`` the answers that were
    finished, ``cancelled`` the runs whose caller left.
    """

    def __init__(self, name: str, slots: int, rng: random.Random) -> None:
        """Run at most ``slots`` requests at a time; the others wait."""
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
        self._site: web.TCPSite | None = None
        self._open = 0

    async def start(self, address: Address) -> None:
        """Listen.

        Raises:
            OSError: the address could not be bound.
        """
        server = web.Server(
            self._answer,
            handler_cancellation=True,
            access_log=None,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, *address, reuse_address=True)
        await self._site.start()

    async def drain(self) -> None:
        """Stop as planned: take no more connections and finish what runs."""
        if self._site is not None:
            await self._site.stop()
        while self._open:
            await asyncio.sleep(_POLL_SECONDS)
        await self.stop()

    async def stop(self) -> None:
        """Stop at once, as a process that is killed."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.arrivals += 1
        self.headers.append(dict(request.headers))
        self._open += 1
        try:
            async with self._slots:
                return await self._run(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._open -= 1

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.content.read()
        key = request.headers.get(KEY_HEADER, '')
        self.runs[key] += 1
        pause = self.work_seconds * self._rng.uniform(0.5, 1.5)
        await asyncio.sleep(pause)
        if self.behaviour is Behaviour.hang:
            await asyncio.Event().wait()
        if self.behaviour is Behaviour.drop:
            _abort(request)
        headers = {'X-Host': self.name, 'X-Key': key}
        if self.behaviour is Behaviour.cut:
            return await self._cut(request, body, headers)
        self.served += 1
        return web.Response(body=body, headers=headers)

    async def _cut(
        self,
        request: web.BaseRequest,
        body: bytes,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Answer with half of a body."""
        response = web.StreamResponse(headers=headers)
        response.content_length = len(body) + 1
        await response.prepare(request)
        await response.write(body)
        _abort(request)
        return response


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
