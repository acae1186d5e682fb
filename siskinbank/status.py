"""The admin endpoint: what one process believes, and its metrics."""

from typing import Any

from aiohttp import web

from siskinbank import __version__
from siskinbank.kernel.process import ProcessContext
from siskinbank.platform.view import FleetView
from siskinbank.settings import ProcessSettings

__all__ = ('describe', 'start_admin')

_EXPOSITION = 'text/plain; version=0.0.4; charset=utf-8'


def describe(
    process: ProcessContext,
    settings: ProcessSettings,
    view: FleetView,
) -> dict[str, Any]:
    """Return the status document of a process."""
    site = view.site
    return {
        'name': process.name,
        'role': process.role,
        'version': __version__,
        'data_centre': settings.data_centre,
        'keys': [key.fingerprint for key in settings.keys.keys],
        'stopping': process.stopping.is_set(),
        'site': site.name if site else None,
        'generation': view.generation,
        'services': sorted(site.services) if site else [],
        'instances': len(view.instances),
        'live_list_age_seconds': view.list_age,
        'counts': process.metrics.counts,
        'times_seconds': process.metrics.times,
    }


async def start_admin(node: Any) -> None:
    """Serve ``/status`` and ``/metrics``.

    Raises:
        OSError: the address could not be bound.
    """
    process: ProcessContext = node.process

    async def status(_request: web.Request) -> web.Response:
        return web.json_response(
            describe(process, node.settings, node.view),
        )

    async def metrics(_request: web.Request) -> web.Response:
        return web.Response(
            body=process.metrics.exposition(),
            headers={'Content-Type': _EXPOSITION},
        )

    app = web.Application()
    app.router.add_get('/status', status)
    app.router.add_get('/metrics', metrics)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, *node.settings.admin).start()
    process.on_close(runner.cleanup)
