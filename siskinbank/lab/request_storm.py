"""Work offered to upstreams that all fail."""

import asyncio
import random
from typing import Any

import aiohttp

from siskinbank.lab.faulty_link import LinkFaults
from siskinbank.lab.naive_requests import NaiveRig
from siskinbank.lab.request_log import Attempt, attempt
from siskinbank.lab.request_rig import RequestRig
from siskinbank.lab.request_upstream import Behaviour, RequestUpstream

__all__ = ('measure_storm',)

_ENTRIES = 3
_HOSTS = 4
_SLOTS = 20
_FRESH = 400
_PACE_SECONDS = 0.007


async def measure_storm(seed: int, *, naive: bool) -> dict[str, Any]:
    """Return the work offered to the upstreams for each fresh request."""
    rng = random.Random(seed)
    arrivals = await (_storm_naive(rng) if naive else _storm_ours(rng))
    return {'amplification': arrivals / _FRESH}


async def _storm_ours(rng: random.Random) -> int:
    rig = RequestRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS)
    try:
        upstreams = [host.upstream for host in rig.hosts.values()]
        return await _storm(upstreams, list(rig.urls()), rng)
    finally:
        await rig.stop()


async def _storm_naive(rng: random.Random) -> int:
    rig = NaiveRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS, LinkFaults())
    try:
        return await _storm(rig.upstreams, rig.urls(), rng)
    finally:
        await rig.stop()


async def _storm(
    upstreams: list[RequestUpstream],
    urls: list[str],
    rng: random.Random,
) -> int:
    for upstream in upstreams:
        upstream.behaviour = Behaviour.drop
    async with aiohttp.ClientSession() as session:
        async with asyncio.TaskGroup() as group:
            for number in range(_FRESH):
                sent = Attempt(
                    f'storm-{number}',
                    rng.choice(urls),
                    b'storm',
                    idempotent=True,
                )
                group.create_task(attempt(session, sent))
                await asyncio.sleep(_PACE_SECONDS)
    return sum(stand_in.arrivals for stand_in in upstreams)
