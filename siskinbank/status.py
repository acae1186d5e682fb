"""The admin endpoint: known state and metrics of one process."""

from typing import Any

from aiohttp import web

from siskinbank import __version__
from siskinbank.directory.view import FleetView
from siskinbank.kernel.process import ProcessContext
from siskinbank.peers.gossip import Gossip
from siskinbank.peers.readers import READERS_PER_DATA_CENTRE, reader_rank
from siskinbank.settings import ProcessSettings

__all__ = ('describe', 'start_admin')

_MAX_GONE_LISTED = 20
_METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


def describe(
    process: ProcessContext,
    settings: ProcessSettings,
    view: FleetView,
    gossip: Gossip,
) -> dict[str, Any]:
    """Return the status document of a process."""
    site = view.site
    now = process.timers.now
    lagging = gossip.lagging.lowest(view.generation, now)
    rank = reader_rank(
        gossip.roster,
        settings.data_centre,
        process.name,
        gossip.statuses,
    )
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
        'fresh': view.fresh,
        'isolated': gossip.freshness.isolated,
        'heard_age_seconds': gossip.freshness.age,
        'fleet_lowest_generation': min(
            [
                view.generation,
                *(lagging_process.generation for lagging_process in lagging),
            ],
        ),
        'lagging': {
            lagging_process.name: lagging_process.generation
            for lagging_process in lagging
        },
        'refused_generation': gossip.store.refused[0],
        'findings': gossip.store.findings,
        'instances': len(gossip.roster),
        'leaving': sorted(view.leaving),
        'gone': sorted(view.gone)[:_MAX_GONE_LISTED],
        'gone_count': len(view.gone),
        'reads_platform': rank is not None and rank < READERS_PER_DATA_CENTRE,
        'live_list_age_seconds': gossip.ages.read_age(
            settings.data_centre,
            now,
        ),
        'counts': process.metrics.counts,
        'times_seconds': process.metrics.times,
    }


async def start_admin(node: Any) -> None:
    """Start the HTTP server for ``/status`` and ``/metrics``.

    Raises:
        OSError: the address could not be bound.
    """
    process: ProcessContext = node.process

    async def status(_request: web.Request) -> web.Response:
        return web.json_response(
            describe(process, node.settings, node.view, node.gossip),
        )

    async def metrics(_request: web.Request) -> web.Response:
        return web.Response(
            body=process.metrics.exposition(),
            headers={'Content-Type': _METRICS_CONTENT_TYPE},
        )

    app = web.Application()
    app.router.add_get('/status', status)
    app.router.add_get('/metrics', metrics)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, *node.settings.admin).start()
    process.on_close(runner.cleanup)
