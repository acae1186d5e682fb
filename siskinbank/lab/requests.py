"""Runs for each key, refusals and answers while links and processes fail."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from siskinbank.coordination.client import RequestClient, Work
from siskinbank.lab.experiment import ExperimentReport, at_least, at_most
from siskinbank.lab.faulty_link import LinkFaults
from siskinbank.lab.naive_requests import NaiveRig
from siskinbank.lab.request_faults import Disturber
from siskinbank.lab.request_log import (
    LOST,
    Attempt,
    RequestLog,
    attempt,
    body_of,
)
from siskinbank.lab.request_rig import RequestRig
from siskinbank.lab.request_stops import measure_stops
from siskinbank.lab.request_storm import measure_storm
from siskinbank.lab.virtual_loop import run_virtual
from siskinbank.sidecar.primary_hosts import SETTLE_SECONDS
from siskinbank.wire.headers import KEY_HEADER, TICKET_HEADER

__all__ = ('measure_requests',)

_ENTRIES = 3
_HOSTS = 5
_SLOTS = 6
_PACE_SECONDS = 0.02
_KINDS = 3
_MAX_COPIES = 3
_COPY_SECONDS = 1.5
_FAULTS = LinkFaults(
    lose=0.001,
    double=0.01,
    reorder=0.001,
    cut=0.001,
    delay=0.002,
)
_RAW_FAULTS = LinkFaults(cut=0.001, delay=0.002)
_MOST_RUNS = 1
_MOST_WORK = 1.2


@dataclass(slots=True)
class _Load:
    """Callers that send each request more than once."""

    urls: list[str]
    rng: random.Random
    session: aiohttp.ClientSession
    tickets: bool
    log: RequestLog = field(default_factory=RequestLog)

    async def run(self, keys: int, label: str) -> None:
        """Send ``keys`` requests at an even pace and wait for their ends."""
        clock = asyncio.get_running_loop().time
        async with RequestClient(self.urls, self.rng, clock) as client:
            async with asyncio.TaskGroup() as group:
                for number in range(keys):
                    key = f'{label}-{number}'
                    group.create_task(self._send(client, key, number))
                    await asyncio.sleep(_PACE_SECONDS)

    async def _send(
        self,
        client: RequestClient,
        key: str,
        number: int,
    ) -> None:
        kind = number % _KINDS
        body = body_of(key, self.rng)
        if kind == 0 and self.tickets:
            await self._send_by_client(client, key, body)
        elif kind == 1 and self.tickets:
            ticket = await self._take_ticket(key)
            if ticket:
                await self._send_copies(key, body, ticket)
        else:
            await self._send_copies(key, body, '')

    async def _send_by_client(
        self,
        client: RequestClient,
        key: str,
        body: bytes,
    ) -> None:
        outcome = await client.send(Work('POST', '/match', body, key=key))
        tag = outcome.tag
        if tag == 'answered' and getattr(outcome, 'body', b'') != body:
            tag = 'crossed'
        self.log.note(key, tag, idempotent=False)

    async def _send_copies(self, key: str, body: bytes, ticket: str) -> None:
        """Send copies of one request, some of them at the same time."""
        copies = self.rng.randint(1, _MAX_COPIES)
        async with asyncio.TaskGroup() as group:
            for number in range(copies):
                pause = self.rng.uniform(0, _COPY_SECONDS) if number else 0
                group.create_task(self._send_copy(key, body, ticket, pause))

    async def _send_copy(
        self,
        key: str,
        body: bytes,
        ticket: str,
        pause: float,
    ) -> None:
        await asyncio.sleep(pause)
        url = self.rng.choice(self.urls)
        sent = Attempt(key, url, body, ticket=ticket)
        outcome = await attempt(self.session, sent)
        self.log.note(key, outcome, idempotent=False)

    async def _take_ticket(self, key: str) -> str:
        url = self.rng.choice(self.urls)
        headers = {KEY_HEADER: key, TICKET_HEADER: 'new'}
        try:
            async with self.session.post(url, headers=headers) as answer:
                return answer.headers.get(TICKET_HEADER, '')
        except (aiohttp.ClientError, OSError):
            self.log.note(key, LOST, idempotent=False)
            return ''


def measure_requests(seed: int, keys: int) -> ExperimentReport:
    """Measure the request path and a naive proxy on the same seed."""
    ours = run_virtual(_measure(seed, keys, _faulty))
    naive = run_virtual(_measure(seed, keys, _faulty_naive))
    ours.update(run_virtual(measure_stops(seed, naive=False)))
    naive.update(run_virtual(measure_stops(seed, naive=True)))
    ours.update(run_virtual(measure_storm(seed, naive=False)))
    naive.update(run_virtual(measure_storm(seed, naive=True)))
    return ExperimentReport(
        'requests',
        seed,
        ours,
        naive,
        [
            at_most('runs for each key', _MOST_RUNS, ours['runs_for_a_key']),
            at_most('false "not run"', 0, ours['false_not_run']),
            at_most('answers not whole or crossed', 0, ours['bad_answers']),
            at_most('requests cut by planned stops', 0, ours['cut_by_stops']),
            at_most('retry amplification', _MOST_WORK, ours['amplification']),
            at_least('requests answered', 1, ours['answered']),
            at_least('requests in planned stops', 1, ours['stop_answered']),
        ],
    )


async def _measure(
    seed: int,
    keys: int,
    measure: Callable[[random.Random, int], Awaitable[dict[str, Any]]],
) -> dict[str, Any]:
    return await measure(random.Random(seed), keys)


async def _faulty(rng: random.Random, keys: int) -> dict[str, Any]:
    rig = RequestRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS, _FAULTS)
    rig.skew += SETTLE_SECONDS + 1
    disturber = Disturber(rig, rng)
    try:
        async with aiohttp.ClientSession() as session:
            load = _Load(list(rig.urls()), rng, session, tickets=True)
            for number in range(2):
                trouble = asyncio.create_task(disturber.run())
                await load.run(keys // 2, f'round-{number}')
                trouble.cancel()
                await disturber.mend()
                rig.skew += SETTLE_SECONDS + 1
        upstreams = [host.upstream for host in rig.hosts.values()]
        return {**load.log.figures(upstreams), 'faults': dict(disturber.done)}
    finally:
        await rig.stop()


async def _faulty_naive(rng: random.Random, keys: int) -> dict[str, Any]:
    rig = NaiveRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS, _RAW_FAULTS)
    try:
        async with aiohttp.ClientSession() as session:
            load = _Load(rig.urls(), rng, session, tickets=False)
            trouble = asyncio.create_task(rig.disturb())
            await load.run(keys, 'naive')
            trouble.cancel()
        return load.log.figures(rig.upstreams)
    finally:
        await rig.stop()
