"""Requests cut by planned stops of entry, sidecar and upstream."""

import asyncio
import random
from typing import Any

import aiohttp

from siskinbank.lab.faulty_link import LinkFaults
from siskinbank.lab.naive_requests import NaiveRig
from siskinbank.lab.request_log import (
    LOST,
    REFUSED,
    UNSETTLED,
    Attempt,
    RequestLog,
    attempt,
    body_of,
)
from siskinbank.lab.request_rig import RequestRig
from siskinbank.sidecar.primary_hosts import SETTLE_SECONDS

__all__ = ('measure_stops',)

_ENTRIES = 3
_HOSTS = 4
_SLOTS = 6
_KEYS = 150
_PACE_SECONDS = 0.02
_WORK_SECONDS = 0.1
_STEP_SECONDS = 0.5


async def measure_stops(seed: int, *, naive: bool) -> dict[str, Any]:
    """Stop one of each in turn under load; links are sound.

    A request is cut when its caller gets no answer and no true refusal: the
    connection breaks, or the outcome is unknown.
    """
    rng = random.Random(seed)
    log = await (_stop_naive(rng) if naive else _stop_ours(rng))
    counts = log.counts()
    return {
        'stop_answered': counts['answered'],
        'stop_not_run': counts['not-run'],
        'stop_unsettled': counts[UNSETTLED],
        'cut_by_stops': counts[LOST] + counts['unknown'],
    }


async def _stop_ours(rng: random.Random) -> RequestLog:
    rig = RequestRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS)
    rig.skew += SETTLE_SECONDS + 1
    for host in rig.hosts.values():
        host.upstream.work_seconds = _WORK_SECONDS
    try:
        stops = asyncio.create_task(_stop_in_turn(rig))
        log = await _load(list(rig.urls()), rng)
        await stops
        return log
    finally:
        await rig.stop()


async def _stop_in_turn(rig: RequestRig) -> None:
    await asyncio.sleep(_STEP_SECONDS)
    entry = asyncio.create_task(rig.drain_entry(0))
    await asyncio.sleep(_STEP_SECONDS)
    first, second = list(rig.hosts)[:2]
    await rig.drain_sidecar(first)
    await rig.start_sidecar(first)
    await asyncio.sleep(_STEP_SECONDS)
    rig.hosts[second].state = 'draining'
    rig.publish()
    await asyncio.sleep(2 * _WORK_SECONDS)
    await rig.hosts[second].upstream.drain()
    await entry


async def _stop_naive(rng: random.Random) -> RequestLog:
    rig = NaiveRig(rng, _SLOTS, timeout=2)
    await rig.start(_ENTRIES, _HOSTS, LinkFaults())
    for upstream in rig.upstreams:
        upstream.work_seconds = _WORK_SECONDS
    try:
        load = asyncio.create_task(_load(rig.urls(), rng))
        await asyncio.sleep(_STEP_SECONDS)
        await rig.proxies[0].stop()
        await asyncio.sleep(_STEP_SECONDS)
        await rig.upstreams[0].stop()
        return await load
    finally:
        await rig.stop()


async def _load(urls: list[str], rng: random.Random) -> RequestLog:
    log = RequestLog()
    async with aiohttp.ClientSession() as session:
        async with asyncio.TaskGroup() as group:
            for number in range(_KEYS):
                key = f'stop-{number}'
                group.create_task(_send(session, urls, key, log, rng))
                await asyncio.sleep(_PACE_SECONDS)
    return log


async def _send(
    session: aiohttp.ClientSession,
    urls: list[str],
    key: str,
    log: RequestLog,
    rng: random.Random,
) -> None:
    """Send through one entry; another one if it takes no connections."""
    body = body_of(key, rng)
    idempotent = rng.randrange(2) == 0
    for url in rng.sample(urls, len(urls)):
        sent = Attempt(key, url, body, idempotent)
        outcome = await attempt(session, sent)
        if outcome != REFUSED:
            log.note(key, outcome, idempotent=idempotent)
            return
