"""Checks what the processes of a fleet believe and do during a drill."""

import asyncio
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass

from siskinbank.lab.rig.beliefs import (
    belief_lines,
    last_value,
    version_regressions,
)
from siskinbank.lab.rig.client import ClientStandIn, FlowFailed
from siskinbank.lab.rig.drill_trace import DrillTrace
from siskinbank.lab.rig.fleet import Program, RelayFleet
from siskinbank.lab.rig.writers import (
    Restriction,
    StoreWriters,
    published_target,
)
from siskinbank.relay.messages import OPERATOR_READ, REGISTERED

__all__ = ('APPLY_S', 'SETTLING_S', 'DrillChecks')

#: Limit of the platform from a change to its effect, in seconds.
APPLY_S = 3.0
#: Time in which sidecars keep what a copy of the store lacks, in seconds.
SETTLING_S = 5.0
_POLL_S = 0.1
_REQUEST_PAUSE_S = 0.05
_START_TIMEOUT_S = 10.0
_MAX_WAITING_PACKETS = 64


@dataclass
class _Observer:
    """What a client has seen of one incarnation of its entry.

    Attributes:
        newest: number of the newest publication whose route was served.
    """

    newest: int = 0


class DrillChecks:
    """Invariants of a fleet, seen from its clients, hosts and logs."""

    def __init__(
        self, fleet: RelayFleet, writers: StoreWriters, trace: DrillTrace
    ) -> None:
        """Create the checks; violations go to the trace."""
        self._fleet = fleet
        self._writers = writers
        self._trace = trace
        self._observers = [_Observer() for _ in fleet.clients]

    def note_killed(self, index: int) -> None:
        """Note that an entry was killed; another incarnation follows."""
        self._observers[index] = _Observer()

    async def send_requests(self, index: int) -> None:
        """Request the last two routes through an entry until cancelled.

        An entry must not serve an older route after a newer one.
        """
        step = 0
        while True:
            step += 1
            number = max(1, self._writers.publications - step % 2)
            observer = self._observers[index]
            newest = observer.newest
            if await _is_served(self._fleet.clients[index], number):
                if observer is self._observers[index] and number < newest:
                    self._trace.violate(
                        f'entry-{index} served route {number} after {newest}'
                    )
                observer.newest = max(observer.newest, number)
            await asyncio.sleep(_REQUEST_PAUSE_S)

    async def watch_restrictions(self) -> None:
        """Check that evacuations and drains in force are kept."""
        while True:
            for restriction in self._writers.restrictions:
                if restriction.accepted:
                    self._check_accepted(restriction)
                elif self._is_in_force(restriction):
                    await self._begin_watch(restriction)
            await asyncio.sleep(_POLL_S)

    async def wait_until_started(self) -> None:
        """Wait until all processes know what the store holds."""
        await self._wait_until(
            lambda: not any(self._differences()), 'a process has not started'
        )

    async def wait_until_in_force(self) -> None:
        """Wait until all sidecars know of the restrictions."""
        await self._wait_until(
            lambda: all(one.accepted for one in self._writers.restrictions),
            'a restriction is not in force',
        )

    async def wait_until_agreed(self, settled_at: float) -> None:
        """Wait until all processes believe what the store holds now.

        Args:
            settled_at: time by which nothing that the copy lacked is kept any
                more; beliefs must agree after it.
        """
        # A process may hear of the last era only after the faults.
        deadline = time.monotonic() + APPLY_S + SETTLING_S
        while True:
            now = time.monotonic()
            differences = list(self._differences())
            if not differences and now > settled_at:
                self._trace.note('agreed')
                return
            if now > deadline:
                for difference in differences:
                    self._trace.violate(difference)
                return
            await asyncio.sleep(_POLL_S)

    async def check_routes(self) -> None:
        """Check that each entry serves the last published route only."""
        last = self._writers.publications
        for client in self._fleet.clients:
            await self._check_last_route(client, last)
            for number in range(1, last):
                if await _is_served(client, number):
                    self._trace.violate(f'{client.entry} serves route {number}')

    def history(self) -> list[str]:
        """Return the trace and what the processes logged, by time."""
        lines = self._trace.lines.copy()
        for program in (*self._fleet.entries, *self._fleet.sidecars):
            lines.extend(belief_lines(program.settings.name, program.log))
        return sorted(lines)

    def check_logs(self) -> None:
        """Check that no process ended, failed or went back to a version."""
        self.check_faults()
        for program in (*self._fleet.entries, *self._fleet.sidecars):
            if not _is_running(program):
                self._trace.violate(f'{program.settings.name} has ended')

    def check_faults(self) -> None:
        """Check that no process failed or went back to a version."""
        for program in (*self._fleet.entries, *self._fleet.sidecars):
            name, log = program.settings.name, program.log
            for regression in version_regressions(log):
                self._trace.violate(f'{name}: {regression}')
            if ' process.fault ' in log:
                self._trace.violate(f'{name}: process.fault')

    async def _check_last_route(self, client: ClientStandIn, last: int) -> None:
        deadline = time.monotonic() + APPLY_S
        while not await _is_served(client, last):
            if time.monotonic() > deadline:
                self._trace.violate(f'{client.entry} refuses route {last}')
                return

    async def _wait_until(
        self, check: Callable[[], bool], failure: str
    ) -> None:
        deadline = time.monotonic() + _START_TIMEOUT_S
        while not check():
            if time.monotonic() > deadline:
                self._trace.violate(failure)
                return
            await asyncio.sleep(_POLL_S)

    def _is_in_force(self, restriction: Restriction) -> bool:
        """Return whether all sidecars know of it, not of an earlier one."""
        if time.monotonic() < restriction.previous_end + APPLY_S:
            return False
        return all(
            self._flags(index) & restriction.flag
            for index in restriction.indexes
        )

    async def _begin_watch(self, restriction: Restriction) -> None:
        # First packets sent before may still wait in the hosts' sockets, which
        # are read packet by packet.
        for _ in range(_MAX_WAITING_PACKETS):
            await asyncio.sleep(0)
        self._trace.note('in force', name=restriction.name)
        restriction.accepted = self._count_accepted(restriction)

    def _check_accepted(self, restriction: Restriction) -> None:
        before = restriction.accepted
        restriction.accepted = self._count_accepted(restriction)
        if restriction.accepted != before:
            self._trace.violate(
                f'{restriction.name}: flows at hosts '
                f'{restriction.indexes}: {before}, {restriction.accepted}'
            )

    def _count_accepted(self, restriction: Restriction) -> list[int]:
        """Return the number of flows of each host, without copies."""
        hosts = self._fleet.hosts
        return [
            len(set(hosts[index].accepted)) for index in restriction.indexes
        ]

    def _differences(self) -> Iterator[str]:
        """Yield where a process believes other than the store says."""
        version = str(self._fleet.version)
        for entry in self._fleet.entries:
            known = last_value(entry.log, 'configuration.taken', 'version')
            if known != version:
                yield f'{entry.settings.name}: version {known}, not {version}'
        for index in range(len(self._fleet.hosts)):
            flags, expected = self._flags(index), self._expected_flags(index)
            if flags != expected:
                yield f'side-{index}: flags {flags}, not {expected}'

    def _expected_flags(self, index: int) -> int:
        flags = REGISTERED | OPERATOR_READ
        for restriction in self._writers.restrictions:
            if index in restriction.indexes:
                flags |= restriction.flag
        return flags

    def _flags(self, index: int) -> int:
        """Return the flags of a sidecar's record."""
        log = self._fleet.sidecars[index].log
        return int(last_value(log, 'host.changed', 'flags') or 0)


def _is_running(program: Program) -> bool:
    return program.process is not None and program.process.poll() is None


async def _is_served(client: ClientStandIn, number: int) -> bool:
    with suppress(FlowFailed):
        await client.request(published_target(number), f'drill-{number}')
        return True
    return False
