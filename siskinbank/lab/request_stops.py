"""Requests interrupted by planned stops of entry, sidecar and upstream."""

import asyncio
import random
from typing import Any

import aiohttp

from siskinbank.lab.faulty_link import LinkFaults
from siskinbank.lab.naive_rig import NaiveRig
from siskinbank.lab.request_log import (
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    UNRESOLVED,
    Attempt,
    RequestLog,
    make_body,
    send_attempt,
)
from siskinbank.lab.request_rig import RequestRig
from siskinbank.sidecar.primary_hosts import SETTLE_SECONDS

__all__ = ('measure_stops',)

_ENTRIES = 3
_HOSTS = 4
_SLOTS = 6
_REQUESTS = 150
_REQUEST_INTERVAL_SECONDS = 0.02
_WORK_SECONDS = 0.1
_STOP_INTERVAL_SECONDS = 0.5


async def measure_stops(seed: int, *, naive: bool) -> dict[str, Any]:
    """Stop one entry, sidecar and upstream under load; no link has faults.

    A request counts as cut if its caller gets neither an answer nor a definite
    refusal: the connection breaks, or the outcome is unknown.

    Args:
        seed: seed of the run.
        naive: whether to measure naive proxies instead of siskinbank. There
            are no sidecars then; one proxy and one upstream are stopped.
    """
    rng = random.Random(seed)
    log = await (_run_naive(rng) if naive else _run_siskinbank(rng))
    counts = log.counts()
    return {
        'stop_answered': counts['answered'],
        'stop_not_run': counts['not-run'],
        'stop_unsettled': counts[UNRESOLVED],
        'cut_by_stops': counts[CONNECTION_LOST] + counts['unknown'],
    }


async def _run_siskinbank(rng: random.Random) -> RequestLog:
    rig = RequestRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS)
    rig.clock_offset += SETTLE_SECONDS + 1
    for host in rig.hosts.values():
        host.upstream.work_seconds = _WORK_SECONDS
    try:
        stops = asyncio.create_task(_stop_one_by_one(rig))
        log = await _send_requests(list(rig.urls()), rng)
        await stops
        return log
    finally:
        await rig.stop()


async def _stop_one_by_one(rig: RequestRig) -> None:
    await asyncio.sleep(_STOP_INTERVAL_SECONDS)
    entry_drain = asyncio.create_task(rig.drain_entry(0))
    await asyncio.sleep(_STOP_INTERVAL_SECONDS)
    first, second = list(rig.hosts)[:2]
    await rig.drain_sidecar(first)
    await rig.start_sidecar(first)
    await asyncio.sleep(_STOP_INTERVAL_SECONDS)
    rig.hosts[second].state = 'draining'
    rig.publish()
    await asyncio.sleep(2 * _WORK_SECONDS)
    await rig.hosts[second].upstream.drain()
    await entry_drain


async def _run_naive(rng: random.Random) -> RequestLog:
    rig = NaiveRig(rng, _SLOTS, timeout=2)
    await rig.start(_ENTRIES, _HOSTS, LinkFaults())
    for upstream in rig.upstreams:
        upstream.work_seconds = _WORK_SECONDS
    try:
        load = asyncio.create_task(_send_requests(rig.urls(), rng))
        await asyncio.sleep(_STOP_INTERVAL_SECONDS)
        await rig.proxies[0].stop()
        await asyncio.sleep(_STOP_INTERVAL_SECONDS)
        await rig.upstreams[0].stop()
        return await load
    finally:
        await rig.stop()


async def _send_requests(urls: list[str], rng: random.Random) -> RequestLog:
    log = RequestLog()
    async with aiohttp.ClientSession() as session:
        async with asyncio.TaskGroup() as group:
            for number in range(_REQUESTS):
                key = f'stop-{number}'
                group.create_task(_send(session, urls, key, log, rng))
                await asyncio.sleep(_REQUEST_INTERVAL_SECONDS)
    return log


async def _send(
    session: aiohttp.ClientSession,
    urls: list[str],
    key: str,
    log: RequestLog,
    rng: random.Random,
) -> None:
    """Send a request; try the next URL after a refused connection."""
    body = make_body(key, rng)
    idempotent = rng.randrange(2) == 0
    for url in rng.sample(urls, len(urls)):
        attempt = Attempt(key, url, body, idempotent)
        outcome = await send_attempt(session, attempt)
        if outcome != CONNECTION_REFUSED:
            log.record(key, outcome, idempotent=idempotent)
            return
