"""Seeded faults and planned changes for a running fleet."""

import asyncio
import copy
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from siskinbank.lab.disturbances import Disturbance, Disturbances, Fault
from siskinbank.lab.fleet import Fleet

__all__ = ('FaultScript',)

_GAP_SECONDS = (0.5, 2.5)
_LIST_LAG_SECONDS = (0.3, 1.5)
_DOWN_SECONDS = (1.0, 3.0)
_PAUSE_SECONDS = (0.3, 2.5)
_DRAINED_SECONDS = (4.0, 7.0)
_OUT_SECONDS = (6.0, 10.0)
_PLATFORM_SECONDS = (2.0, 6.0)
_STOP_SECONDS = 60
_WEIGHTS = (0.5, 1, 2)

Change = Callable[[], Awaitable[None]]


class FaultScript:
    """Picks faults by seed and carries them out, several at a time.

    At most one entry, one host of each service, one data centre and the
    platform are disturbed at once, so that something always can serve.
    """

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        say: Callable[[str], None],
        before_kill: Callable[[str], Awaitable[None]],
    ) -> None:
        """Disturb ``fleet``; ``before_kill`` may look at a host first."""
        self.done = Disturbances()
        self.exit_codes: list[int | None] = []
        self.publications: list[tuple[int, float]] = []
        self.platform_ok_since: float = 0
        self.platform_ok = True
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._say = say
        self._before_kill = before_kill
        self._busy: set[str] = set()
        self._past: list[dict[str, Any]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._publishing = asyncio.Lock()

    async def run(self, seconds: float) -> None:
        """Disturb the fleet for a while, then wait until all is well again."""
        until = time.monotonic() + seconds
        makers = (
            self._kill_entry,
            self._pause_entry,
            self._stop_entry,
            self._kill_host,
            self._pause_sidecar,
            self._drain_host,
            self._leave_host,
            self._take_out,
            self._stop_platform,
            self._make_stale,
            self._change,
        )
        bag: list[Callable[[], Awaitable[None] | None]] = []
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(*_GAP_SECONDS))
            bag = bag or self._rng.sample(makers, len(makers))
            self._start(bag.pop())
        if self._tasks:
            await asyncio.gather(*self._tasks)

    def _start(self, make: Callable[[], Awaitable[None] | None]) -> None:
        work = make()
        if work is None:
            return
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

    def _guarded(
        self,
        place: str,
        fault: Fault,
        name: str,
        work: Callable[[Disturbance], Awaitable[None]],
    ) -> Awaitable[None] | None:
        """Return the work on a place, or None while it is disturbed."""
        if place in self._busy:
            return None
        self._busy.add(place)

        async def run() -> None:
            noted = self.done.add(fault, name, time.time())
            self._say(f'{fault}: {name}')
            try:
                await work(noted)
            finally:
                noted.end = time.time()
                self._busy.discard(place)

        return run()

    async def _sleep(self, span: tuple[float, float]) -> None:
        await asyncio.sleep(self._rng.uniform(*span))

    def _any_entry(self) -> str:
        return self._rng.choice(sorted(self._fleet.entries))

    def _any_host(self) -> tuple[str, str]:
        name = self._rng.choice(sorted(self._fleet.hosts))
        return name, f'host of {self._fleet.hosts[name].service}'

    def _kill_entry(self) -> Awaitable[None] | None:
        name = self._any_entry()
        fleet = self._fleet

        async def work(_noted: Disturbance) -> None:
            fleet.processes.signal(name, signal.SIGKILL)
            await self._sleep(_LIST_LAG_SECONDS)
            await fleet.remove_instance(name)
            await self._sleep(_DOWN_SECONDS)
            await fleet.processes.wait(name, _STOP_SECONDS)
            await fleet.start_entry(name)
            await self._serving(name)
            await fleet.set_instance_state(name, 'live')

        return self._guarded('entry', Fault.entry_killed, name, work)

    def _pause_entry(self) -> Awaitable[None] | None:
        name = self._any_entry()
        return self._guarded(
            'entry',
            Fault.entry_paused,
            name,
            lambda _noted: self._pause(name),
        )

    def _pause_sidecar(self) -> Awaitable[None] | None:
        name, place = self._any_host()
        return self._guarded(
            place,
            Fault.sidecar_paused,
            name,
            lambda _noted: self._pause(name),
        )

    async def _pause(self, name: str) -> None:
        processes = self._fleet.processes
        processes.signal(name, signal.SIGSTOP)
        try:
            await self._sleep(_PAUSE_SECONDS)
        finally:
            processes.signal(name, signal.SIGCONT)

    def _stop_entry(self) -> Awaitable[None] | None:
        name = self._any_entry()
        fleet = self._fleet

        async def work(_noted: Disturbance) -> None:
            await fleet.set_instance_state(name, 'leaving')
            await self._sleep(_LIST_LAG_SECONDS)
            fleet.processes.signal(name, signal.SIGTERM)
            code = await fleet.processes.wait(name, _STOP_SECONDS)
            self.exit_codes.append(code)
            await fleet.start_entry(name)
            await self._serving(name)
            await fleet.set_instance_state(name, 'live')

        return self._guarded('entry', Fault.entry_stopped, name, work)

    def _kill_host(self) -> Awaitable[None] | None:
        name, place = self._any_host()
        fleet = self._fleet
        names = (name, f'upstream-{name}')

        async def work(_noted: Disturbance) -> None:
            await self._before_kill(name)
            for killed in names:
                fleet.processes.signal(killed, signal.SIGKILL)
            await self._sleep(_LIST_LAG_SECONDS)
            await fleet.remove_instance(name)
            await self._sleep(_DOWN_SECONDS)
            for killed in names:
                await fleet.processes.wait(killed, _STOP_SECONDS)
            await fleet.start_upstream(name)
            await fleet.wait_upstream(name)
            await fleet.start_sidecar(name)
            await self._serving(name)
            await fleet.set_instance_state(name, 'live')

        return self._guarded(place, Fault.host_killed, name, work)

    def _drain_host(self) -> Awaitable[None] | None:
        name, place = self._any_host()

        async def work(noted: Disturbance) -> None:
            async with self._publishing:
                await self._publish_with(
                    lambda: self._fleet.drain_host(name),
                )
                noted.start = time.time()
            await self._sleep(_DRAINED_SECONDS)
            noted.end = time.time()
            async with self._publishing:
                await self._publish_with(
                    lambda: self._fleet.drain_host(name, 'active'),
                )

        return self._guarded(place, Fault.host_drained, name, work)

    def _leave_host(self) -> Awaitable[None] | None:
        name, place = self._any_host()

        async def work(noted: Disturbance) -> None:
            async with self._publishing:
                await self._fleet.set_instance_state(name, 'leaving')
                noted.start = time.time()
            await self._sleep(_DRAINED_SECONDS)
            noted.end = time.time()
            await self._fleet.set_instance_state(name, 'live')

        return self._guarded(place, Fault.host_leaving, name, work)

    def _take_out(self) -> Awaitable[None] | None:
        name = self._rng.choice(self._fleet.plan.data_centres)

        async def work(noted: Disturbance) -> None:
            async with self._publishing:
                await self._publish_with(
                    lambda: self._fleet.set_data_centre(name, 'out'),
                )
                noted.start = time.time()
            await self._sleep(_OUT_SECONDS)
            noted.end = time.time()
            async with self._publishing:
                await self._publish_with(
                    lambda: self._fleet.set_data_centre(name, 'in'),
                )

        return self._guarded('data centre', Fault.centre_out, name, work)

    def _change(self) -> Awaitable[None] | None:
        name, _place = self._any_host()
        weight = self._rng.choice(_WEIGHTS)
        document = self._fleet.document

        async def work(_noted: Disturbance) -> None:
            service = self._fleet.hosts[name].service
            hosts = document['services'][service]['hosts']

            async def publish() -> None:
                hosts[name]['weight'] = weight
                await self._fleet.publish()

            async with self._publishing:
                await self._publish_with(publish)

        return self._guarded('change', Fault.changed, name, work)

    def _stop_platform(self) -> Awaitable[None] | None:
        fleet = self._fleet

        async def work(_noted: Disturbance) -> None:
            async with self._publishing:
                self.platform_ok = False
                await fleet.set_platform_down(down=True)
                await self._sleep(_PLATFORM_SECONDS)
                await fleet.set_platform_down(down=False)
                self._platform_is_ok()

        return self._guarded('platform', Fault.platform_down, 'platform', work)

    def _make_stale(self) -> Awaitable[None] | None:
        fleet = self._fleet

        async def work(_noted: Disturbance) -> None:
            async with self._publishing:
                if not self._past:
                    return
                newest = copy.deepcopy(fleet.published())
                self.platform_ok = False
                await fleet.publish(self._rng.choice(self._past))
                await self._sleep(_PLATFORM_SECONDS)
                await fleet.publish(newest)
                self._platform_is_ok()

        return self._guarded('platform', Fault.platform_stale, 'platform', work)

    def _platform_is_ok(self) -> None:
        self.platform_ok = True
        self.platform_ok_since = time.time()

    async def _publish_with(self, publish: Change) -> None:
        """Publish one generation; the one before may come back later."""
        self._past.append(copy.deepcopy(self._fleet.published()))
        await publish()
        self.publications.append((self._fleet.generation, time.time()))

    async def _serving(self, name: str) -> None:
        """Wait until a process that was started again follows some generation.

        Raises:
            TimeoutError: it was not in time.
        """
        await self._fleet.wait_generation(
            self._fleet.admin_ports()[name],
            min_generation=1,
        )
