"""The health endpoint of an upstream stand-in, with faults."""

import asyncio
import enum
import secrets
import time
from typing import Any

from aiohttp import web

__all__ = ('HealthEndpoint', 'HealthMode')

_INCARNATION_BYTES = 4
_HANG_SECONDS = 3600
_LAG_SECONDS = 10


class HealthMode(enum.StrEnum):
    """How the endpoint answers.

    ``true`` reports the true state. ``says_cold`` and ``says_bad`` report a
    state that is not the true one, ``lags`` reports the state before a restart
    for the first seconds after it, and ``hangs`` does not answer.
    """

    true = 'true'
    says_cold = 'says-cold'
    says_bad = 'says-bad'
    lags = 'lags'
    hangs = 'hangs'


class HealthEndpoint:
    """Reports state, incarnation and uptime at ``/health``.

    ``PUT /health?mode=MODE`` sets the mode, and ``PUT /health?restart=1``
    starts a new incarnation.
    """

    def __init__(self) -> None:
        """Initialize the first incarnation, which reports its true state."""
        self.mode = HealthMode.true
        self._previous_state: dict[str, Any] = {'status': 'ok'}
        self.restart()

    def add_to(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get('/health', self._report)
        app.router.add_put('/health', self._change)

    def restart(self) -> None:
        """Start a new incarnation."""
        self._incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._started = time.monotonic()

    async def _change(self, request: web.Request) -> web.Response:
        mode = request.query.get('mode')
        if mode is not None:
            try:
                self.mode = HealthMode(mode)
            except ValueError as error:
                raise web.HTTPBadRequest(text=str(error)) from error
        if 'restart' in request.query:
            self._previous_state = self._state()
            self.restart()
        return web.json_response(self._state())

    async def _report(self, _request: web.Request) -> web.Response:
        state = self._state()
        if self.mode is HealthMode.hangs:
            await asyncio.sleep(_HANG_SECONDS)
        if self.mode is HealthMode.lags and state['uptime'] < _LAG_SECONDS:
            state = self._previous_state
        if self.mode is HealthMode.says_cold:
            state['status'] = 'cold'
        if self.mode is HealthMode.says_bad:
            return web.json_response({'status': 'bad'}, status=503)
        return web.json_response(state)

    def _state(self) -> dict[str, Any]:
        return {
            'status': 'ok',
            'incarnation': self._incarnation,
            'uptime': time.monotonic() - self._started,
        }
