"""A stand-in for the platform: configuration service and live list."""

import asyncio
import json
from typing import Any

from aiohttp import web

from siskinbank.util import canonical_json, hex_digest

__all__ = ('PlatformStandIn',)

_MAX_WAIT_SECONDS = 60


class PlatformStandIn:
    """Serves what is published through its admin paths.

    Attributes:
        calls: number of calls to its API.
        down: whether its API answers with errors.
    """

    def __init__(self) -> None:
        """Initialize a platform with nothing published."""
        self._manifest: dict[str, Any] = {'generation': 0, 'sections': {}}
        self._sections: dict[str, str] = {}
        self._instances: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self.calls = 0
        self.down = False

    def application(self) -> web.Application:
        """Return the HTTP application to serve."""
        app = web.Application(middlewares=[self._count_call])
        app.router.add_get('/v1/manifest', self._get_manifest)
        app.router.add_get('/v1/sections/{name:.+}', self._get_section)
        app.router.add_get('/v1/instances', self._get_instances)
        app.router.add_put('/admin/configuration', self._put_configuration)
        app.router.add_put('/admin/instances', self._put_instances)
        app.router.add_put('/admin/down', self._put_down)
        app.router.add_get('/admin/calls', self._get_calls)
        return app

    async def publish(self, published: dict[str, Any]) -> None:
        """Publish a manifest and its sections."""
        async with self._changed:
            self._manifest = published['manifest']
            self._sections = published['sections']
            self._changed.notify_all()

    @web.middleware
    async def _count_call(
        self,
        request: web.Request,
        handler: Any,
    ) -> web.StreamResponse:
        if request.path.startswith('/v1/'):
            self.calls += 1
            if self.down:
                raise web.HTTPServiceUnavailable
        answer: web.StreamResponse = await handler(request)
        return answer

    async def _get_manifest(self, request: web.Request) -> web.Response:
        after = request.query.get('after')
        wait = min(float(request.query.get('wait', '0')), _MAX_WAIT_SECONDS)
        if after is not None and wait:
            await self._wait_change(int(after), wait)
        return web.json_response(self._manifest)

    async def _wait_change(self, after: int, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(
                    lambda: self._manifest['generation'] != after,
                )
        except TimeoutError:
            return

    async def _get_section(self, request: web.Request) -> web.Response:
        section = self._sections.get(request.match_info['name'])
        if section is None:
            raise web.HTTPNotFound
        return web.Response(text=section, content_type='application/json')

    async def _get_instances(self, request: web.Request) -> web.Response:
        raw = canonical_json(self._instances)
        etag = f'"{hex_digest(raw)}"'
        if request.headers.get('If-None-Match') == etag:
            return web.Response(status=304, headers={'ETag': etag})
        answer = web.Response(
            body=raw,
            content_type='application/json',
            headers={'ETag': etag},
        )
        answer.enable_compression()
        return answer

    async def _put_configuration(self, request: web.Request) -> web.Response:
        await self.publish(json.loads(await request.text()))
        return web.Response(status=204)

    async def _put_instances(self, request: web.Request) -> web.Response:
        self._instances = await request.json()
        return web.Response(status=204)

    async def _put_down(self, request: web.Request) -> web.Response:
        self.down = bool(await request.json())
        return web.Response(status=204)

    async def _get_calls(self, _request: web.Request) -> web.Response:
        return web.json_response({'calls': self.calls})
