"""Goodput under a load of three times the capacity of the upstreams."""

import asyncio
import random
import statistics
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from siskinbank.lab.experiment import ExperimentReport, at_least, at_most
from siskinbank.lab.faulty_link import LinkFaults
from siskinbank.lab.naive_rig import NaiveRig
from siskinbank.lab.request_log import Attempt, send_attempt
from siskinbank.lab.request_rig import RequestRig
from siskinbank.lab.request_upstream import RequestUpstream
from siskinbank.lab.virtual_loop import run_virtual

__all__ = ('measure_overload',)

_ENTRIES = 3
_HOSTS = 4
_SLOTS = 3
_WORK_SECONDS = 0.6
_DEADLINE_SECONDS = 2.4
#: Time limit of each attempt of a naive proxy.
_NAIVE_TIMEOUT_SECONDS = 1.2
_LOAD_FACTOR = 3
_RAMP_UP_SECONDS = 1.0
_MIN_GOODPUT = 0.9
_QUANTILES = 100
#: A refusal must leave half of the deadline for another attempt.
_MAX_REFUSAL_SECONDS = _DEADLINE_SECONDS / 2


@dataclass(slots=True)
class _Tally:
    """Outcomes of the measured requests.

    Attributes:
        answered: number of answers within the deadline.
        late: number of answers after the deadline.
        refusal_seconds: seconds until each outcome other than an answer.
    """

    answered: int = 0
    late: int = 0
    refusal_seconds: list[float] = field(default_factory=list)


def measure_overload(seed: int, seconds: float) -> ExperimentReport:
    """Measure goodput relative to the capacity of the upstreams.

    Args:
        seed: seed of the runs.
        seconds: duration of the load after the ramp-up.
    """
    results = run_virtual(_measure(seed, seconds, naive=False))
    naive_results = run_virtual(_measure(seed, seconds, naive=True))
    return ExperimentReport(
        'overload',
        seed,
        results,
        naive_results,
        [
            at_least(
                'goodput at 3 times load', _MIN_GOODPUT, results['goodput']
            ),
            at_most(
                'seconds to a refusal, 99th percentile',
                _MAX_REFUSAL_SECONDS,
                results['refusal_seconds_p99'],
            ),
            at_least('refusals', 1, results['refused']),
        ],
    )


async def _measure(seed: int, seconds: float, *, naive: bool) -> dict[str, Any]:
    rng = random.Random(seed)
    if naive:
        naive_rig = NaiveRig(rng, _SLOTS, _NAIVE_TIMEOUT_SECONDS)
        await naive_rig.start(_ENTRIES, _HOSTS, LinkFaults())
        try:
            upstreams = naive_rig.upstreams
            return await _generate_load(
                upstreams, naive_rig.urls(), rng, seconds
            )
        finally:
            await naive_rig.stop()
    rig = RequestRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS)
    try:
        upstreams = [host.upstream for host in rig.hosts.values()]
        return await _generate_load(upstreams, list(rig.urls()), rng, seconds)
    finally:
        await rig.stop()


async def _generate_load(
    upstreams: list[RequestUpstream],
    urls: list[str],
    rng: random.Random,
    seconds: float,
) -> dict[str, Any]:
    for upstream in upstreams:
        upstream.work_seconds = _WORK_SECONDS
    capacity = len(upstreams) * _SLOTS / _WORK_SECONDS
    tally = _Tally()
    loop_time = asyncio.get_running_loop().time
    async with aiohttp.ClientSession() as session:
        async with asyncio.TaskGroup() as group:
            started = loop_time()
            number = 0
            next_send = started
            while loop_time() - started < seconds + _RAMP_UP_SECONDS:
                number += 1
                url = rng.choice(urls)
                attempt = Attempt(
                    f'load-{number}',
                    url,
                    b'load',
                    idempotent=True,
                    deadline=_DEADLINE_SECONDS,
                )
                is_measured = loop_time() - started >= _RAMP_UP_SECONDS
                group.create_task(
                    _send(session, attempt, tally, is_measured=is_measured)
                )
                next_send += rng.expovariate(_LOAD_FACTOR * capacity)
                await asyncio.sleep(max(next_send - loop_time(), 0))
            elapsed = loop_time() - started - _RAMP_UP_SECONDS
    return {
        'goodput': tally.answered / (capacity * elapsed),
        'offered': number / ((elapsed + _RAMP_UP_SECONDS) * capacity),
        'answered': tally.answered,
        'late': tally.late,
        'refused': len(tally.refusal_seconds),
        'refusal_seconds_p99': _percentile_99(tally.refusal_seconds),
        'runs': sum(stand_in.runs.total() for stand_in in upstreams),
    }


async def _send(
    session: aiohttp.ClientSession,
    attempt: Attempt,
    tally: _Tally,
    *,
    is_measured: bool,
) -> None:
    loop_time = asyncio.get_running_loop().time
    started = loop_time()
    outcome = await send_attempt(session, attempt)
    elapsed = loop_time() - started
    if not is_measured:
        return
    if outcome != 'answered':
        tally.refusal_seconds.append(elapsed)
    elif elapsed <= attempt.deadline:
        tally.answered += 1
    else:
        tally.late += 1


def _percentile_99(seconds: list[float]) -> float:
    if len(seconds) < 2:
        return sum(seconds)
    return statistics.quantiles(seconds, n=_QUANTILES)[-1]
