"""Health checks of the upstream: TCP probes and its health endpoint."""

import asyncio
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import aiohttp

from siskinbank.admission.health_monitor import (
    Health,
    HealthMonitor,
    LoadReport,
)
from siskinbank.config.site import Address
from siskinbank.sidecar.context import SidecarContext
from siskinbank.util import parse_json

__all__ = (
    'parse_report',
    'probe',
    'probe_address',
    'read_report',
    'start_health_checks',
)

_INTERVAL_SECONDS = 0.3
_PROBE_TIMEOUT_SECONDS = 0.5
_REPORT_TIMEOUT_SECONDS = 0.5
_MAX_REPORT_BYTES = 65_536
_HTTP_PORT = 80
_HTTP_OK = 200
_HEALTH_BY_STATUS = {
    'ok': Health.good,
    'good': Health.good,
    'healthy': Health.good,
    'cold': Health.cold,
    'starting': Health.cold,
    'warming': Health.cold,
}


def start_health_checks(context: SidecarContext) -> None:
    """Start the periodic health checks that the settings enable."""
    start_probe = _skip_overlapping(context, _probe_upstream)
    start_fetch = _skip_overlapping(context, _fetch_report)

    def run_checks() -> None:
        start_probe()
        start_fetch()

    context.process.timers.every(_INTERVAL_SECONDS, run_checks, jitter=0.1)


def _skip_overlapping(
    context: SidecarContext,
    work: Callable[[SidecarContext, HealthMonitor], Awaitable[None]],
) -> Callable[[], None]:
    """Return a function that starts ``work`` unless it is still running."""
    running: set[asyncio.Task[None]] = set()

    async def run(health_monitor: HealthMonitor) -> None:
        await work(context, health_monitor)

    def start() -> None:
        if running or context.admission is None:
            return
        task = context.process.start_task(run(context.admission.health_monitor))
        running.add(task)
        task.add_done_callback(running.discard)

    return start


async def _probe_upstream(
    context: SidecarContext,
    health_monitor: HealthMonitor,
) -> None:
    address = probe_address(context)
    if address is not None:
        await probe(address, health_monitor)


async def _fetch_report(
    context: SidecarContext,
    health_monitor: HealthMonitor,
) -> None:
    url = context.settings.upstream_health
    if url is not None:
        health_monitor.note_report(await read_report(url))


def probe_address(context: SidecarContext) -> Address | None:
    """Return the address to probe, or None if none is set."""
    settings = context.settings
    if settings.upstream_tcp is not None:
        return settings.upstream_tcp
    if settings.upstream_http is None:
        return None
    base = urlsplit(settings.upstream_http)
    return (base.hostname or '', base.port or _HTTP_PORT)


async def probe(address: Address, health_monitor: HealthMonitor) -> None:
    """Open and close one connection; report the result to the monitor."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
            _reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError):
        health_monitor.note_failure()
        return
    health_monitor.note_answer(loop.time() - started)
    writer.close()


async def read_report(url: str) -> LoadReport:
    """Fetch a report from a health endpoint.

    If the request fails or times out, the report says ``Health.silent``.
    """
    timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, allow_redirects=False) as answer,
        ):
            raw = await answer.content.read(_MAX_REPORT_BYTES)
            return parse_report(answer.status, raw)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return LoadReport(Health.silent)


def parse_report(status: int, raw: bytes) -> LoadReport:
    """Return the report in the answer of a health endpoint."""
    try:
        document = parse_json(raw)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        document = {}
    health = _HEALTH_BY_STATUS.get(
        str(document.get('status', 'ok')), Health.bad
    )
    if status != _HTTP_OK and health is Health.good:
        health = Health.bad
    incarnation = document.get('incarnation')
    uptime = document.get('uptime')
    return LoadReport(
        health,
        None if incarnation is None else str(incarnation),
        _seconds(uptime),
    )


def _seconds(uptime: object) -> float | None:
    if not isinstance(uptime, int | float):
        return None
    try:
        return float(uptime)
    except OverflowError:
        return None
