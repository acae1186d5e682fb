"""Soak test: check invariants of a small fleet under load and seeded faults.

The fleet runs as separate processes on loopback.
"""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from siskinbank.lab.disturbances import Fault
from siskinbank.lab.fault_injector import FaultInjector
from siskinbank.lab.fleet import Fleet, FleetPlan
from siskinbank.lab.invariants import Evidence, InvariantTally, check_invariants

__all__ = ('SoakReport', 'run_soak')

_FLEET_PLAN = FleetPlan(
    site='gr-north',
    data_centres=('gr-north-a', 'gr-north-b', 'gr-north-c'),
    entries=3,
    services={'matcher': 3, 'catalogue': 3},
    cold_slots=1,
)
_LOAD_ROUND_SECONDS = 20
_CALLERS_TIMEOUT_SECONDS = 45
_SETTLE_SECONDS = 2
_POLL_INTERVAL_SECONDS = 0.5
_POLL_TIMEOUT_SECONDS = 1
_MAX_IN_FORCE_SECONDS = 11
_SECONDS_PER_MINUTE = 60
_RESENT_REQUESTS_SHARE = 0.2
#: More concurrent requests than all upstreams have slots for, so that some
#: are refused.
_BURST_REQUESTS = 60
#: Number of callers' seeds for each soak seed; each round of load uses one.
_CALLER_SEEDS_PER_RUN = 1000

LineWriter = Callable[[str], None]


@dataclass(slots=True)
class SoakReport:
    """Result of a soak run.

    Attributes:
        seed: seed of the faults and of the callers.
        tallies: one result for each invariant.
        faults: number of injected faults of each kind.
        started_at: start of the run in seconds since 1970.
    """

    seed: int
    tallies: list[InvariantTally]
    faults: dict[str, int]
    started_at: float

    @property
    def holds(self) -> bool:
        """Return whether invariants were checked and none was violated."""
        checked = any(tally.check_count for tally in self.tallies)
        return checked and not any(tally.violations for tally in self.tallies)

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        lines = [f'soak, seed {self.seed}, started at {self.started_at:.1f}']
        lines.extend(
            f'  {count} times {fault}' for fault, count in self.faults.items()
        )
        for tally in self.tallies:
            lines.append(tally.line())
            lines.extend(f'  {example}' for example in tally.examples)
        return lines


async def run_soak(
    minutes: float, seed: int, write_line: LineWriter
) -> SoakReport:
    """Inject faults into a fleet under load and check the invariants.

    Args:
        minutes: duration of the load.
        seed: seed of the faults and of the callers.
        write_line: called with each line of progress.

    Raises:
        TimeoutError: a process did not start or stop in time.
    """
    fleet = Fleet(_FLEET_PLAN, log_level='ERROR')
    soak = _SoakRun(fleet, seed, write_line)
    try:
        await fleet.start()
        await soak.run(minutes * _SECONDS_PER_MINUTE)
    finally:
        await fleet.stop()
    faults = {
        fault.value: len(soak.injector.disturbances.of_kind(fault))
        for fault in Fault
    }
    return SoakReport(
        seed, check_invariants(soak.evidence), faults, soak.started_at
    )


@dataclass(slots=True)
class _ProcessState:
    """Configuration state of one process, from its status responses.

    Attributes:
        generation: highest generation that the process reported.
        unanswered_at: time of the last poll without a response, in seconds
            since 1970.
        late_generations: generations that were not in force in time.
    """

    generation: int = 0
    unanswered_at: float = 0
    late_generations: set[int] = field(default_factory=set)


class _SoakRun:
    def __init__(self, fleet: Fleet, seed: int, write_line: LineWriter) -> None:
        self._fleet = fleet
        self._seed = seed
        self.started_at = time.time()
        self.injector = FaultInjector(
            fleet,
            seed,
            lambda line: write_line(
                f'{time.time() - self.started_at:6.1f} s  {line}'
            ),
            self._collect_stats,
        )
        self.evidence = Evidence(fleet, self.injector.disturbances)

    async def run(self, seconds: float) -> None:
        """Run load, faults and status polls, and collect the evidence."""
        self.started_at = time.time()
        pollers = [
            asyncio.create_task(self._poll(name, port))
            for name, port in self._fleet.admin_ports().items()
        ]
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.injector.run(seconds))
                group.create_task(self._run_load(seconds))
            await asyncio.sleep(_SETTLE_SECONDS)
        finally:
            for poller in pollers:
                poller.cancel()
            await asyncio.gather(*pollers, return_exceptions=True)
        for name in self._fleet.hosts:
            await self._collect_stats(name)
        self.evidence.exit_codes = self.injector.exit_codes

    async def _collect_stats(self, name: str) -> None:
        """Record an upstream's statistics before it is killed or stopped."""
        self.evidence.upstreams.append(await self._fleet.stats(name))

    async def _run_load(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            remaining = min(until - time.monotonic(), _LOAD_ROUND_SECONDS)
            await self._run_callers(
                self._seed * _CALLER_SEEDS_PER_RUN + number, remaining
            )
            number += 1

    async def _run_callers(self, seed: int, seconds: float) -> None:
        fleet = self._fleet
        await fleet.start_callers(
            seconds, seed, _RESENT_REQUESTS_SHARE, _BURST_REQUESTS
        )
        raw = await fleet.processes.output('callers', _CALLERS_TIMEOUT_SECONDS)
        report = json.loads(raw)
        self.evidence.flows.extend(report['flows'])
        self.evidence.requests.extend(report['requests'])

    async def _poll(self, name: str, port: int) -> None:
        """Poll the generation that one process has in force."""
        state = _ProcessState()
        timeout = aiohttp.ClientTimeout(total=_POLL_TIMEOUT_SECONDS)
        url = f'http://127.0.0.1:{port}/status'
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
                status = await _get_status(session, url)
                if status is None:
                    state.unanswered_at = time.time()
                else:
                    self._check_generation(name, status, state)

    def _check_generation(
        self,
        name: str,
        status: dict[str, Any],
        state: _ProcessState,
    ) -> None:
        generation = status['generation']
        evidence = self.evidence
        if generation:
            evidence.reverts.check(
                holds=generation >= state.generation,
                example=(name, state.generation, generation),
            )
        self._check_in_force(name, generation, state)
        state.generation = max(generation, state.generation)

    def _check_in_force(
        self, name: str, generation: int, state: _ProcessState
    ) -> None:
        """Check that each published generation is in force in time."""
        tally = self.evidence.in_force
        for number, published_at in self.injector.publications:
            if number <= state.generation or number in state.late_generations:
                continue
            if generation >= number:
                tally.check(holds=True)
            elif self._is_late(published_at, state):
                state.late_generations.add(number)
                tally.check(holds=False, example=(name, number, generation))

    def _is_late(self, published_at: float, state: _ProcessState) -> bool:
        """Return whether a process is past the deadline for a publication.

        A process cannot learn of a publication while the platform is down or
        stale, or while the process does not respond; the deadline counts from
        the end of the last such period if that is after the publication.
        """
        injector = self.injector
        if not injector.platform_ok:
            return False
        since = max(
            published_at, injector.platform_ok_since, state.unanswered_at
        )
        return time.time() - since > _MAX_IN_FORCE_SECONDS


async def _get_status(
    session: aiohttp.ClientSession,
    url: str,
) -> dict[str, Any] | None:
    """Return a status document, or None if there is no response."""
    try:
        async with session.get(url) as response:
            status: dict[str, Any] = await response.json()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    return status
