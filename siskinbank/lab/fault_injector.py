"""Inject seeded faults and planned changes into a running fleet."""

import asyncio
import copy
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from siskinbank.lab.disturbances import Disturbance, Disturbances, Fault
from siskinbank.lab.fleet import Fleet

__all__ = ('FaultInjector',)

# Pairs are ranges (minimum, maximum) from which a value is drawn.
_FAULT_INTERVAL_SECONDS = (0.5, 2.5)
#: Time between a failure or stop and the matching change of the live list.
_LIST_LAG_SECONDS = (0.3, 1.5)
_RESTART_DELAY_SECONDS = (1.0, 3.0)
_PAUSE_SECONDS = (0.3, 2.5)
_DRAINING_OR_LEAVING_SECONDS = (4.0, 7.0)
_DATA_CENTRE_OUT_SECONDS = (6.0, 10.0)
_PLATFORM_FAULT_SECONDS = (2.0, 6.0)
_STOP_TIMEOUT_SECONDS = 60
_HOST_WEIGHTS = (0.5, 1, 2)

Publish = Callable[[], Awaitable[None]]


class FaultInjector:
    """Selects faults by seed and injects them, several at a time.

    At most one entry, one host of each service, one data centre and the
    platform are disturbed at once, so that there is always capacity to serve.

    Attributes:
        disturbances: faults injected so far.
        exit_codes: exit codes of the entries that were stopped as planned.
        publications: published generations with their times in seconds
            since 1970.
        platform_ok_since: end of the last platform fault in seconds since
            1970.
        platform_ok: whether the platform is reachable and up to date.
    """

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        write_line: Callable[[str], None],
        before_kill: Callable[[str], Awaitable[None]],
    ) -> None:
        """Initialize the injector.

        Args:
            fleet: fleet to disturb.
            seed: seed of the faults.
            write_line: called with one line for each fault.
            before_kill: awaited with the name of a host before it is killed.
        """
        self.disturbances = Disturbances()
        self.exit_codes: list[int | None] = []
        self.publications: list[tuple[int, float]] = []
        self.platform_ok_since: float = 0
        self.platform_ok = True
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._write_line = write_line
        self._before_kill = before_kill
        self._disturbed_targets: set[str] = set()
        self._earlier_documents: list[dict[str, Any]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._publishing = asyncio.Lock()

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, then wait until all have ended.

        Each fault is attempted once, in random order, before any is repeated.
        A fault is skipped if its target is already disturbed.
        """
        until = time.monotonic() + seconds
        fault_factories = (
            self._kill_entry,
            self._pause_entry,
            self._stop_entry,
            self._kill_host,
            self._pause_sidecar,
            self._drain_host,
            self._mark_host_leaving,
            self._evacuate_data_centre,
            self._stop_platform,
            self._make_platform_stale,
            self._change_weight,
        )
        remaining: list[Callable[[], Awaitable[None] | None]] = []
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(*_FAULT_INTERVAL_SECONDS))
            remaining = remaining or self._rng.sample(
                fault_factories, len(fault_factories)
            )
            self._start(remaining.pop())
        if self._tasks:
            await asyncio.gather(*self._tasks)

    def _start(self, factory: Callable[[], Awaitable[None] | None]) -> None:
        work = factory()
        if work is None:
            return
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

    def _exclusive(
        self,
        target: str,
        fault: Fault,
        name: str,
        work: Callable[[Disturbance], Awaitable[None]],
    ) -> Awaitable[None] | None:
        """Return an awaitable that runs ``work`` and records the fault.

        No other fault of the target is injected until the work has ended.
        Returns None if the target is already disturbed.
        """
        if target in self._disturbed_targets:
            return None
        self._disturbed_targets.add(target)

        async def run() -> None:
            disturbance = self.disturbances.add(fault, name, time.time())
            self._write_line(f'{fault}: {name}')
            try:
                await work(disturbance)
            finally:
                disturbance.end = time.time()
                self._disturbed_targets.discard(target)

        return run()

    async def _sleep_random(self, seconds_range: tuple[float, float]) -> None:
        await asyncio.sleep(self._rng.uniform(*seconds_range))

    def _pick_entry(self) -> str:
        return self._rng.choice(sorted(self._fleet.entries))

    def _pick_host(self) -> tuple[str, str]:
        name = self._rng.choice(sorted(self._fleet.hosts))
        return name, f'host of {self._fleet.hosts[name].service}'

    def _kill_entry(self) -> Awaitable[None] | None:
        name = self._pick_entry()
        fleet = self._fleet

        async def work(_disturbance: Disturbance) -> None:
            fleet.processes.signal(name, signal.SIGKILL)
            await self._sleep_random(_LIST_LAG_SECONDS)
            await fleet.remove_instance(name)
            await self._sleep_random(_RESTART_DELAY_SECONDS)
            await fleet.processes.wait(name, _STOP_TIMEOUT_SECONDS)
            await fleet.start_entry(name)
            await self._wait_until_serving(name)
            await fleet.set_instance_state(name, 'live')

        return self._exclusive('entry', Fault.entry_killed, name, work)

    def _pause_entry(self) -> Awaitable[None] | None:
        name = self._pick_entry()
        return self._exclusive(
            'entry',
            Fault.entry_paused,
            name,
            lambda _disturbance: self._pause(name),
        )

    def _pause_sidecar(self) -> Awaitable[None] | None:
        name, target = self._pick_host()
        return self._exclusive(
            target,
            Fault.sidecar_paused,
            name,
            lambda _disturbance: self._pause(name),
        )

    async def _pause(self, name: str) -> None:
        processes = self._fleet.processes
        processes.signal(name, signal.SIGSTOP)
        try:
            await self._sleep_random(_PAUSE_SECONDS)
        finally:
            processes.signal(name, signal.SIGCONT)

    def _stop_entry(self) -> Awaitable[None] | None:
        name = self._pick_entry()
        fleet = self._fleet

        async def work(_disturbance: Disturbance) -> None:
            await fleet.set_instance_state(name, 'leaving')
            await self._sleep_random(_LIST_LAG_SECONDS)
            fleet.processes.signal(name, signal.SIGTERM)
            exit_code = await fleet.processes.wait(name, _STOP_TIMEOUT_SECONDS)
            self.exit_codes.append(exit_code)
            await fleet.start_entry(name)
            await self._wait_until_serving(name)
            await fleet.set_instance_state(name, 'live')

        return self._exclusive('entry', Fault.entry_stopped, name, work)

    def _kill_host(self) -> Awaitable[None] | None:
        name, target = self._pick_host()
        fleet = self._fleet
        process_names = (name, f'upstream-{name}')

        async def work(_disturbance: Disturbance) -> None:
            await self._before_kill(name)
            for process_name in process_names:
                fleet.processes.signal(process_name, signal.SIGKILL)
            await self._sleep_random(_LIST_LAG_SECONDS)
            await fleet.remove_instance(name)
            await self._sleep_random(_RESTART_DELAY_SECONDS)
            for process_name in process_names:
                await fleet.processes.wait(process_name, _STOP_TIMEOUT_SECONDS)
            await fleet.start_upstream(name)
            await fleet.wait_upstream(name)
            await fleet.start_sidecar(name)
            await self._wait_until_serving(name)
            await fleet.set_instance_state(name, 'live')

        return self._exclusive(target, Fault.host_killed, name, work)

    def _drain_host(self) -> Awaitable[None] | None:
        name, target = self._pick_host()

        async def work(disturbance: Disturbance) -> None:
            async with self._publishing:
                await self._publish_and_record(
                    lambda: self._fleet.drain_host(name),
                )
                disturbance.start = time.time()
            await self._sleep_random(_DRAINING_OR_LEAVING_SECONDS)
            disturbance.end = time.time()
            async with self._publishing:
                await self._publish_and_record(
                    lambda: self._fleet.drain_host(name, 'active'),
                )

        return self._exclusive(target, Fault.host_drained, name, work)

    def _mark_host_leaving(self) -> Awaitable[None] | None:
        name, target = self._pick_host()

        async def work(disturbance: Disturbance) -> None:
            async with self._publishing:
                await self._fleet.set_instance_state(name, 'leaving')
                disturbance.start = time.time()
            await self._sleep_random(_DRAINING_OR_LEAVING_SECONDS)
            disturbance.end = time.time()
            await self._fleet.set_instance_state(name, 'live')

        return self._exclusive(target, Fault.host_leaving, name, work)

    def _evacuate_data_centre(self) -> Awaitable[None] | None:
        name = self._rng.choice(self._fleet.plan.data_centres)

        async def work(disturbance: Disturbance) -> None:
            async with self._publishing:
                await self._publish_and_record(
                    lambda: self._fleet.set_data_centre_state(name, 'out'),
                )
                disturbance.start = time.time()
            await self._sleep_random(_DATA_CENTRE_OUT_SECONDS)
            disturbance.end = time.time()
            async with self._publishing:
                await self._publish_and_record(
                    lambda: self._fleet.set_data_centre_state(name, 'in'),
                )

        return self._exclusive('data centre', Fault.data_centre_out, name, work)

    def _change_weight(self) -> Awaitable[None] | None:
        name, _target = self._pick_host()
        weight = self._rng.choice(_HOST_WEIGHTS)
        document = self._fleet.document

        async def work(_disturbance: Disturbance) -> None:
            service = self._fleet.hosts[name].service
            hosts = document['services'][service]['hosts']

            async def publish() -> None:
                hosts[name]['weight'] = weight
                await self._fleet.publish()

            async with self._publishing:
                await self._publish_and_record(publish)

        return self._exclusive(
            'change', Fault.configuration_changed, name, work
        )

    def _stop_platform(self) -> Awaitable[None] | None:
        fleet = self._fleet

        async def work(_disturbance: Disturbance) -> None:
            async with self._publishing:
                self.platform_ok = False
                await fleet.set_platform_down(down=True)
                await self._sleep_random(_PLATFORM_FAULT_SECONDS)
                await fleet.set_platform_down(down=False)
                self._mark_platform_ok()

        return self._exclusive(
            'platform', Fault.platform_down, 'platform', work
        )

    def _make_platform_stale(self) -> Awaitable[None] | None:
        fleet = self._fleet

        async def work(_disturbance: Disturbance) -> None:
            async with self._publishing:
                if not self._earlier_documents:
                    return
                newest = copy.deepcopy(fleet.published())
                self.platform_ok = False
                await fleet.publish(self._rng.choice(self._earlier_documents))
                await self._sleep_random(_PLATFORM_FAULT_SECONDS)
                await fleet.publish(newest)
                self._mark_platform_ok()

        return self._exclusive(
            'platform', Fault.platform_stale, 'platform', work
        )

    def _mark_platform_ok(self) -> None:
        self.platform_ok = True
        self.platform_ok_since = time.time()

    async def _publish_and_record(self, publish: Publish) -> None:
        """Publish one generation and record when.

        The document before it is kept for ``_make_platform_stale``.
        """
        self._earlier_documents.append(copy.deepcopy(self._fleet.published()))
        await publish()
        self.publications.append((self._fleet.generation, time.time()))

    async def _wait_until_serving(self, name: str) -> None:
        """Wait until a restarted process has a configuration in force.

        Raises:
            TimeoutError: the process had none in time.
        """
        await self._fleet.wait_generation(
            self._fleet.admin_ports()[name],
            min_generation=1,
        )
