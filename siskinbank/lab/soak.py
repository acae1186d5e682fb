"""Soak: a small fleet under load and seeded faults, checked throughout."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from siskinbank.lab.disturbances import Fault
from siskinbank.lab.fleet import Fleet, FleetPlan
from siskinbank.lab.promises import Evidence, PromiseTally, judge
from siskinbank.lab.soak_faults import FaultScript

__all__ = ('SoakReport', 'run_soak')

_PLAN = FleetPlan(
    site='gr-north',
    data_centres=('gr-north-a', 'gr-north-b', 'gr-north-c'),
    entries=3,
    services={'matcher': 3, 'catalogue': 3},
    cold_slots=1,
)
_ROUND_SECONDS = 20
_CALLERS_SECONDS = 45
_SETTLE_SECONDS = 2
_POLL_SECONDS = 0.5
_POLL_TIMEOUT_SECONDS = 1
_IN_FORCE_SECONDS = 11
_MINUTE_SECONDS = 60
_RESENT_SHARE = 0.2
#: More at once than all upstreams have slots, so that some are refused.
_BURST = 60
_SEEDS_A_RUN = 1000

Say = Callable[[str], None]


@dataclass(slots=True)
class SoakReport:
    """One line for each promise."""

    seed: int
    tallies: list[PromiseTally]
    faults: dict[str, int]
    started_at: float

    @property
    def holds(self) -> bool:
        """Whether there were chances and no violation."""
        checked = any(tally.chances for tally in self.tallies)
        return checked and not any(tally.violations for tally in self.tallies)

    def lines(self) -> list[str]:
        """Return the report for a terminal."""
        lines = [f'soak, seed {self.seed}, started at {self.started_at:.1f}']
        lines.extend(
            f'  {count} times {fault}' for fault, count in self.faults.items()
        )
        for tally in self.tallies:
            lines.append(tally.line())
            lines.extend(f'  {example}' for example in tally.examples)
        return lines


async def run_soak(minutes: float, seed: int, say: Say) -> SoakReport:
    """Disturb a fleet under load for a while and judge what was seen.

    Raises:
        TimeoutError: a process did not start or end in time.
    """
    fleet = Fleet(_PLAN, log_level='ERROR')
    soak = _Soak(fleet, seed, say)
    try:
        await fleet.start()
        await soak.run(minutes * _MINUTE_SECONDS)
    finally:
        await fleet.stop()
    faults = {fault.value: len(soak.script.done.of(fault)) for fault in Fault}
    return SoakReport(seed, judge(soak.evidence), faults, soak.started_at)


@dataclass(slots=True)
class _Known:
    """What one process had in force when it was last asked."""

    generation: int = 0
    silent_at: float = 0
    late: set[int] = field(default_factory=set)


class _Soak:
    def __init__(self, fleet: Fleet, seed: int, say: Say) -> None:
        self._fleet = fleet
        self._seed = seed
        self.started_at = time.time()
        self.script = FaultScript(
            fleet,
            seed,
            lambda line: say(f'{time.time() - self.started_at:6.1f} s  {line}'),
            self._remember_upstream,
        )
        self.evidence = Evidence(fleet, self.script.done)

    async def run(self, seconds: float) -> None:
        """Run load, faults and watches, and collect what was seen."""
        self.started_at = time.time()
        watches = [
            asyncio.create_task(self._watch(name, port))
            for name, port in self._fleet.admin_ports().items()
        ]
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.script.run(seconds))
                group.create_task(self._load(seconds))
            await asyncio.sleep(_SETTLE_SECONDS)
        finally:
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
        for name in self._fleet.hosts:
            await self._remember_upstream(name)
        self.evidence.exit_codes = self.script.exit_codes

    async def _remember_upstream(self, name: str) -> None:
        """Keep an upstream's word at the end of its life."""
        self.evidence.upstreams.append(await self._fleet.stats(name))

    async def _load(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            left = min(until - time.monotonic(), _ROUND_SECONDS)
            await self._load_once(self._seed * _SEEDS_A_RUN + number, left)
            number += 1

    async def _load_once(self, seed: int, seconds: float) -> None:
        fleet = self._fleet
        await fleet.start_callers(seconds, seed, _RESENT_SHARE, _BURST)
        raw = await fleet.processes.output('callers', _CALLERS_SECONDS)
        report = json.loads(raw)
        self.evidence.flows.extend(report['flows'])
        self.evidence.requests.extend(report['requests'])

    async def _watch(self, name: str, port: int) -> None:
        """Ask one process again and again what it has in force."""
        known = _Known()
        timeout = aiohttp.ClientTimeout(total=_POLL_TIMEOUT_SECONDS)
        url = f'http://127.0.0.1:{port}/status'
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(_POLL_SECONDS)
                status = await _ask(session, url)
                if status is None:
                    known.silent_at = time.time()
                else:
                    self._check(name, status, known)

    def _check(
        self,
        name: str,
        status: dict[str, Any],
        known: _Known,
    ) -> None:
        generation = status['generation']
        evidence = self.evidence
        if generation:
            evidence.reverts.check(
                holds=generation >= known.generation,
                example=(name, known.generation, generation),
            )
        self._check_in_force(name, generation, known)
        known.generation = max(generation, known.generation)

    def _check_in_force(
        self, name: str, generation: int, known: _Known
    ) -> None:
        """Check that what was published is in force in time."""
        tally = self.evidence.in_force
        for number, published_at in self.script.publications:
            if number <= known.generation or number in known.late:
                continue
            if generation >= number:
                tally.check(holds=True)
            elif self._is_late(published_at, known):
                known.late.add(number)
                tally.check(holds=False, example=(name, number, generation))

    def _is_late(self, published_at: float, known: _Known) -> bool:
        """Whether a process had the time to learn of a publication.

        The time does not run while the platform is down or stale, or while
        the process itself does not answer.
        """
        script = self.script
        if not script.platform_ok:
            return False
        since = max(published_at, script.platform_ok_since, known.silent_at)
        return time.time() - since > _IN_FORCE_SECONDS


async def _ask(
    session: aiohttp.ClientSession,
    url: str,
) -> dict[str, Any] | None:
    """Return a status document, or None if there is no answer."""
    try:
        async with session.get(url) as answer:
            status: dict[str, Any] = await answer.json()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    return status
