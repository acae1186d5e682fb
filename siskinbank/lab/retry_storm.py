"""Retry amplification while all upstreams fail."""

import asyncio
import random
from typing import Any

import aiohttp

from siskinbank.lab.faulty_link import LinkFaults
from siskinbank.lab.naive_rig import NaiveRig
from siskinbank.lab.request_log import Attempt, send_attempt
from siskinbank.lab.request_rig import RequestRig
from siskinbank.lab.request_upstream import Behaviour, RequestUpstream

__all__ = ('measure_retry_storm',)

_ENTRIES = 3
_HOSTS = 4
_SLOTS = 20
_REQUESTS = 400
_REQUEST_INTERVAL_SECONDS = 0.007


async def measure_retry_storm(seed: int, *, naive: bool) -> dict[str, Any]:
    """Return the mean number of requests to upstreams per request of a caller.

    Args:
        seed: seed of the run.
        naive: whether to measure naive proxies instead of siskinbank.
    """
    rng = random.Random(seed)
    arrivals = await (_run_naive(rng) if naive else _run_siskinbank(rng))
    return {'amplification': arrivals / _REQUESTS}


async def _run_siskinbank(rng: random.Random) -> int:
    rig = RequestRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS)
    try:
        upstreams = [host.upstream for host in rig.hosts.values()]
        return await _count_arrivals(upstreams, list(rig.urls()), rng)
    finally:
        await rig.stop()


async def _run_naive(rng: random.Random) -> int:
    rig = NaiveRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS, LinkFaults())
    try:
        return await _count_arrivals(rig.upstreams, rig.urls(), rng)
    finally:
        await rig.stop()


async def _count_arrivals(
    upstreams: list[RequestUpstream],
    urls: list[str],
    rng: random.Random,
) -> int:
    """Send requests while all upstreams fail; return how many reach them."""
    for upstream in upstreams:
        upstream.behaviour = Behaviour.drop
    async with aiohttp.ClientSession() as session:
        async with asyncio.TaskGroup() as group:
            for number in range(_REQUESTS):
                attempt = Attempt(
                    f'storm-{number}',
                    rng.choice(urls),
                    b'storm',
                    idempotent=True,
                )
                group.create_task(send_attempt(session, attempt))
                await asyncio.sleep(_REQUEST_INTERVAL_SECONDS)
    return sum(stand_in.arrivals for stand_in in upstreams)
