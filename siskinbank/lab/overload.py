"""Answers in time while three times the load comes that upstreams can do."""

import asyncio
import random
import statistics
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from siskinbank.lab.experiment import ExperimentReport, at_least, at_most
from siskinbank.lab.faulty_link import LinkFaults
from siskinbank.lab.naive_requests import NaiveRig
from siskinbank.lab.request_log import Attempt, attempt
from siskinbank.lab.request_rig import RequestRig
from siskinbank.lab.request_upstream import RequestUpstream

__all__ = ('measure_overload',)

_ENTRIES = 3
_HOSTS = 4
_SLOTS = 3
# Slow work: all parts share one process, which must not be the bottleneck.
_WORK_SECONDS = 0.6
_DEADLINE_SECONDS = 2.4
_NAIVE_TIMEOUT_SECONDS = 1.2
_TIMES = 3
_RAMP_SECONDS = 1.0
_LEAST_GOODPUT = 0.9
_PERCENT = 100
#: A refusal is fast when half of the deadline is left for another try.
_REFUSED_SECONDS = _DEADLINE_SECONDS / 2


@dataclass(slots=True)
class _Tally:
    """Answers in time and refusals, with their times in seconds."""

    answered: int = 0
    late: int = 0
    refusals: list[float] = field(default_factory=list)


def measure_overload(seed: int, seconds: float) -> ExperimentReport:
    """Measure goodput against what the upstreams can do."""
    ours = asyncio.run(_measure(seed, seconds, naive=False))
    naive = asyncio.run(_measure(seed, seconds, naive=True))
    return ExperimentReport(
        'overload',
        seed,
        ours,
        naive,
        [
            at_least(
                'goodput at 3 times load', _LEAST_GOODPUT, ours['goodput']
            ),
            at_most(
                'seconds to a refusal, 99th percentile',
                _REFUSED_SECONDS,
                ours['refusal_seconds_p99'],
            ),
            at_least('refusals', 1, ours['refused']),
        ],
    )


async def _measure(seed: int, seconds: float, *, naive: bool) -> dict[str, Any]:
    rng = random.Random(seed)
    if naive:
        proxies = NaiveRig(rng, _SLOTS, _NAIVE_TIMEOUT_SECONDS)
        await proxies.start(_ENTRIES, _HOSTS, LinkFaults())
        try:
            upstreams = proxies.upstreams
            return await _load(upstreams, proxies.urls(), rng, seconds)
        finally:
            await proxies.stop()
    rig = RequestRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS)
    try:
        upstreams = [host.upstream for host in rig.hosts.values()]
        return await _load(upstreams, list(rig.urls()), rng, seconds)
    finally:
        await rig.stop()


async def _load(
    upstreams: list[RequestUpstream],
    urls: list[str],
    rng: random.Random,
    seconds: float,
) -> dict[str, Any]:
    for upstream in upstreams:
        upstream.work_seconds = _WORK_SECONDS
    able = len(upstreams) * _SLOTS / _WORK_SECONDS
    tally = _Tally()
    async with aiohttp.ClientSession() as session:
        async with asyncio.TaskGroup() as group:
            began = time.monotonic()
            number = 0
            due = began
            while time.monotonic() - began < seconds + _RAMP_SECONDS:
                number += 1
                url = rng.choice(urls)
                sent = Attempt(
                    f'load-{number}',
                    url,
                    b'load',
                    idempotent=True,
                    deadline=_DEADLINE_SECONDS,
                )
                counts = time.monotonic() - began >= _RAMP_SECONDS
                group.create_task(_send(session, sent, tally, counts=counts))
                # By a fixed schedule, so that a busy machine offers no less.
                due += rng.expovariate(_TIMES * able)
                await asyncio.sleep(max(due - time.monotonic(), 0))
            elapsed = time.monotonic() - began - _RAMP_SECONDS
    return {
        'goodput': tally.answered / (able * elapsed),
        'offered': number / ((elapsed + _RAMP_SECONDS) * able),
        'answered': tally.answered,
        'late': tally.late,
        'refused': len(tally.refusals),
        'refusal_seconds_p99': _percentile(tally.refusals),
        'runs': sum(stand_in.runs.total() for stand_in in upstreams),
    }


async def _send(
    session: aiohttp.ClientSession,
    sent: Attempt,
    tally: _Tally,
    *,
    counts: bool,
) -> None:
    began = time.monotonic()
    outcome = await attempt(session, sent)
    elapsed = time.monotonic() - began
    if not counts:
        return
    if outcome != 'answered':
        tally.refusals.append(elapsed)
    elif elapsed <= sent.deadline:
        tally.answered += 1
    else:
        tally.late += 1


def _percentile(seconds: list[float]) -> float:
    if len(seconds) < 2:
        return sum(seconds)
    return statistics.quantiles(seconds, n=_PERCENT)[-1]
