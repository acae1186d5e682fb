"""Measures at-most-once execution while links and processes fail."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from siskinbank.coordination.client import RequestClient, Work
from siskinbank.lab.experiment import ExperimentReport, at_least, at_most
from siskinbank.lab.faulty_link import LinkFaults
from siskinbank.lab.naive_rig import NaiveRig
from siskinbank.lab.request_faults import RequestFaultInjector
from siskinbank.lab.request_log import (
    CONNECTION_LOST,
    Attempt,
    RequestLog,
    make_body,
    send_attempt,
)
from siskinbank.lab.request_rig import RequestRig
from siskinbank.lab.request_stops import measure_stops
from siskinbank.lab.retry_storm import measure_retry_storm
from siskinbank.lab.virtual_loop import run_virtual
from siskinbank.sidecar.primary_hosts import SETTLE_SECONDS
from siskinbank.wire.headers import KEY_HEADER, TICKET_HEADER

__all__ = ('measure_requests',)

_ENTRIES = 3
_HOSTS = 5
_SLOTS = 6
_REQUEST_INTERVAL_SECONDS = 0.02
#: Requests are sent by ``RequestClient``, as copies with a ticket, or as copies
#: with a key only.
_REQUEST_KINDS = 3
_MAX_COPIES = 3
_MAX_COPY_DELAY_SECONDS = 1.5
#: Faults of the links between entries and sidecars, per frame.
_FRAME_FAULTS = LinkFaults(
    lose=0.001,
    double=0.01,
    reorder=0.001,
    cut=0.001,
    delay=0.002,
)
#: Faults of the naive proxies' links, per read of a byte stream.
_STREAM_FAULTS = LinkFaults(cut=0.001, delay=0.002)
_MAX_RUNS_PER_KEY = 1
_MAX_AMPLIFICATION = 1.2


@dataclass(slots=True)
class _LoadGenerator:
    """Sends requests, some of them several times.

    Attributes:
        urls: base URLs of the entries or proxies.
        rng: draws bodies, copies, delays and URLs.
        session: session for requests that ``RequestClient`` does not send.
        use_tickets: whether ``RequestClient`` sends a third of the requests and
            another third have tickets; otherwise all have a key only.
        log: outcomes of the requests.
    """

    urls: list[str]
    rng: random.Random
    session: aiohttp.ClientSession
    use_tickets: bool
    log: RequestLog = field(default_factory=RequestLog)

    async def run(self, keys: int, label: str) -> None:
        """Send requests at a fixed rate and wait for the outcomes.

        Args:
            keys: number of requests, each with its own key.
            label: prefix of the keys.
        """
        clock = asyncio.get_running_loop().time
        async with RequestClient(self.urls, self.rng, clock) as client:
            async with asyncio.TaskGroup() as group:
                for number in range(keys):
                    key = f'{label}-{number}'
                    group.create_task(self._send(client, key, number))
                    await asyncio.sleep(_REQUEST_INTERVAL_SECONDS)

    async def _send(
        self,
        client: RequestClient,
        key: str,
        number: int,
    ) -> None:
        kind = number % _REQUEST_KINDS
        body = make_body(key, self.rng)
        if kind == 0 and self.use_tickets:
            await self._send_with_client(client, key, body)
        elif kind == 1 and self.use_tickets:
            ticket = await self._request_ticket(key)
            if ticket:
                await self._send_copies(key, body, ticket)
        else:
            await self._send_copies(key, body, '')

    async def _send_with_client(
        self,
        client: RequestClient,
        key: str,
        body: bytes,
    ) -> None:
        outcome = await client.send(Work('POST', '/match', body, key=key))
        tag = outcome.tag
        if tag == 'answered' and getattr(outcome, 'body', b'') != body:
            tag = 'crossed'
        self.log.record(key, tag, idempotent=False)

    async def _send_copies(self, key: str, body: bytes, ticket: str) -> None:
        """Send copies of one request, which may overlap in time."""
        copies = self.rng.randint(1, _MAX_COPIES)
        async with asyncio.TaskGroup() as group:
            for number in range(copies):
                delay = (
                    self.rng.uniform(0, _MAX_COPY_DELAY_SECONDS)
                    if number
                    else 0
                )
                group.create_task(self._send_copy(key, body, ticket, delay))

    async def _send_copy(
        self,
        key: str,
        body: bytes,
        ticket: str,
        delay: float,
    ) -> None:
        await asyncio.sleep(delay)
        url = self.rng.choice(self.urls)
        attempt = Attempt(key, url, body, ticket=ticket)
        outcome = await send_attempt(self.session, attempt)
        self.log.record(key, outcome, idempotent=False)

    async def _request_ticket(self, key: str) -> str:
        url = self.rng.choice(self.urls)
        headers = {KEY_HEADER: key, TICKET_HEADER: 'new'}
        try:
            async with self.session.post(url, headers=headers) as response:
                return response.headers.get(TICKET_HEADER, '')
        except (aiohttp.ClientError, OSError):
            self.log.record(key, CONNECTION_LOST, idempotent=False)
            return ''


def measure_requests(seed: int, keys: int) -> ExperimentReport:
    """Measure the request path and naive proxies with the same seed.

    Args:
        seed: seed of all runs.
        keys: number of requests, each with its own key, under faults.
    """
    results = run_virtual(_run_seeded(seed, keys, _measure_siskinbank))
    naive_results = run_virtual(_run_seeded(seed, keys, _measure_naive))
    results.update(run_virtual(measure_stops(seed, naive=False)))
    naive_results.update(run_virtual(measure_stops(seed, naive=True)))
    results.update(run_virtual(measure_retry_storm(seed, naive=False)))
    naive_results.update(run_virtual(measure_retry_storm(seed, naive=True)))
    return ExperimentReport(
        'requests',
        seed,
        results,
        naive_results,
        [
            at_most(
                'runs for each key',
                _MAX_RUNS_PER_KEY,
                results['runs_for_a_key'],
            ),
            at_most('false "not run"', 0, results['false_not_run']),
            at_most('answers not whole or crossed', 0, results['bad_answers']),
            at_most(
                'requests cut by planned stops', 0, results['cut_by_stops']
            ),
            at_most(
                'retry amplification',
                _MAX_AMPLIFICATION,
                results['amplification'],
            ),
            at_least('requests answered', 1, results['answered']),
            at_least('requests in planned stops', 1, results['stop_answered']),
        ],
    )


async def _run_seeded(
    seed: int,
    keys: int,
    measure: Callable[[random.Random, int], Awaitable[dict[str, Any]]],
) -> dict[str, Any]:
    return await measure(random.Random(seed), keys)


async def _measure_siskinbank(rng: random.Random, keys: int) -> dict[str, Any]:
    rig = RequestRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS, _FRAME_FAULTS)
    rig.clock_offset += SETTLE_SECONDS + 1
    injector = RequestFaultInjector(rig, rng)
    try:
        async with aiohttp.ClientSession() as session:
            load = _LoadGenerator(
                list(rig.urls()), rng, session, use_tickets=True
            )
            for number in range(2):
                injection = asyncio.create_task(injector.run())
                await load.run(keys // 2, f'round-{number}')
                injection.cancel()
                await injector.restore()
                rig.clock_offset += SETTLE_SECONDS + 1
        upstreams = [host.upstream for host in rig.hosts.values()]
        return {
            **load.log.summarise(upstreams),
            'faults': dict(injector.fault_counts),
        }
    finally:
        await rig.stop()


async def _measure_naive(rng: random.Random, keys: int) -> dict[str, Any]:
    rig = NaiveRig(rng, _SLOTS)
    await rig.start(_ENTRIES, _HOSTS, _STREAM_FAULTS)
    try:
        async with aiohttp.ClientSession() as session:
            load = _LoadGenerator(rig.urls(), rng, session, use_tickets=False)
            injection = asyncio.create_task(rig.inject_faults())
            await load.run(keys, 'naive')
            injection.cancel()
        return load.log.summarise(rig.upstreams)
    finally:
        await rig.stop()
