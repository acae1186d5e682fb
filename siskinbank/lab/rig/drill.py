"""A store that comes back from older copies, among other faults."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine

from siskinbank.lab.rig.drill_checks import SETTLING_S, DrillChecks
from siskinbank.lab.rig.drill_trace import DrillTrace
from siskinbank.lab.rig.fleet import RelayFleet
from siskinbank.lab.rig.store import StoreCopy, StoreStandIn
from siskinbank.lab.rig.writers import StoreWriters

__all__ = ('StoreDrill',)

_COPY_INTERVAL_S = 0.25
_COPY_COUNT = 12
# Ranges of durations, in seconds.
_FAULT_S = (0.3, 1.5)
_PAUSE_S = (0.2, 0.5)
_AWAY_S = (0.1, 1.0)
_WRITE_AGAIN_S = (0, 2.0)
# A slow store answers in a third of a second.
_SLOW_S = (0.1, 0.4)
_LOSS_RATE = 0.3
_MAX_OTHER_WRITES = 8


class StoreDrill:
    """Faults and checks of one fleet.

    The seed determines faults, their order, durations and targets; the
    scheduling of the processes stays free.

    Attributes:
        trace: what happened.
        history: the trace and what the processes logged, by time, after the
            run.
    """

    def __init__(self, fleet: RelayFleet, seed: int, rounds: int = 1) -> None:
        """Create a drill.

        Args:
            fleet: fleet that serves its clients.
            seed: seed of all random choices.
            rounds: number of rounds, each with all faults and two returns of
                the store.
        """
        self.trace = DrillTrace()
        self.history: list[str] = []
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._rounds = rounds
        self._writers = StoreWriters(fleet, self.trace)
        self._checks = DrillChecks(fleet, self._writers, self.trace)
        self._copies: list[StoreCopy] = []
        self._restore_lock = asyncio.Lock()
        self._settled_at: float = 0

    async def run(self) -> None:
        """Run the faults, and check beliefs and effects until they settle."""
        checks = self._checks
        background = [
            asyncio.create_task(work)
            for work in (
                self._writers.write_heartbeats(),
                self._keep_copies(),
                checks.watch_restrictions(),
                *map(checks.send_requests, range(len(self._fleet.clients))),
            )
        ]
        try:
            await self._run_faults()
            await checks.wait_until_agreed(self._settled_at)
            await checks.check_routes()
        finally:
            for task in background:
                task.cancel()
            results = await asyncio.gather(*background, return_exceptions=True)
        for fault in results:
            if not isinstance(fault, asyncio.CancelledError):
                self.trace.violate(f'drill: {fault!r}')
        checks.check_logs()
        self.history = checks.history()

    async def _run_faults(self) -> None:
        await self._checks.wait_until_started()
        await self._writers.publish()
        await self._writers.change_evacuation(self._rng)
        await self._checks.wait_until_in_force()
        faults: tuple[
            Callable[[random.Random], Coroutine[None, None, None]], ...
        ] = (
            self._restore,
            self._restore,
            self._slow_down,
            self._lose_answers,
            self._compact,
            self._refuse_machines,
            self._restart_entry,
            self._writers.change_evacuation,
            self._writers.drain_host,
            self._publish,
        )
        running: list[asyncio.Task[None]] = []
        for _ in range(self._rounds):
            for fault in self._rng.sample(faults, len(faults)):
                # Faults overlap: each draws from numbers of its own.
                rng = random.Random(self._rng.random())
                running.append(asyncio.create_task(fault(rng)))
                await asyncio.sleep(self._rng.uniform(*_PAUSE_S))
        await asyncio.gather(*running)

    async def _restore(self, rng: random.Random) -> None:
        """Let the store go away and come back from an older copy."""
        store = self._fleet.store
        away_s = rng.uniform(*_AWAY_S)
        write_again_s = rng.uniform(*_WRITE_AGAIN_S)
        other_writes = rng.randrange(_MAX_OTHER_WRITES)
        close_connections = rng.choice((False, True))
        leave = rng.choice((_close, _silence, _refuse))
        age = rng.random()
        async with self._restore_lock:
            self._writers.present.clear()
            self.trace.note('away')
            come_back = leave(store)
            await asyncio.sleep(away_s)
            index = int(age * len(self._copies))
            copy = self._copies[index]
            # Later copies are of a history that is gone.
            self._copies = self._copies[: index + 1]
            come_back()
            await self._writers.restore_store(
                copy, close_connections=close_connections
            )
            self.trace.note('restore', revision=copy.revision, era=store.era)
            self._settled_at = time.monotonic() + SETTLING_S
            for number in range(other_writes):
                await store.put(f'other/{number}', b'{}')
            await asyncio.sleep(write_again_s)
            await self._writers.write_again()

    async def _slow_down(self, rng: random.Random) -> None:
        store = self._fleet.store
        store.delay_s = rng.uniform(*_SLOW_S)
        self.trace.note('slow', delay_s=f'{store.delay_s:.2f}')
        await asyncio.sleep(rng.uniform(*_FAULT_S))
        store.delay_s = 0
        self.trace.note('slow ended')

    async def _lose_answers(self, rng: random.Random) -> None:
        store = self._fleet.store
        duration_s = rng.uniform(*_FAULT_S)
        self.trace.note('lose')
        store.loses_answer = lambda: rng.random() < _LOSS_RATE
        await asyncio.sleep(duration_s)
        store.loses_answer = bool
        self.trace.note('lose ended')

    async def _compact(self, _rng: random.Random) -> None:
        self._fleet.store.compact()
        self.trace.note('compact')

    async def _refuse_machines(self, rng: random.Random) -> None:
        programs = [*self._fleet.entries, *self._fleet.sidecars]
        refused = rng.sample(programs, rng.randrange(1, len(programs)))
        self.trace.note(
            'refuse', machines=[program.settings.name for program in refused]
        )
        addresses = {program.settings.ip for program in refused}
        self._fleet.store.busy = addresses.__contains__
        await asyncio.sleep(rng.uniform(*_FAULT_S))
        self._fleet.store.busy = lambda ip: False
        self.trace.note('refuse ended')

    async def _restart_entry(self, rng: random.Random) -> None:
        index = rng.randrange(len(self._fleet.entries))
        entry = self._fleet.entries[index]
        self.trace.note('kill', entry=entry.settings.name)
        code = entry.kill()
        if code is not None:
            self.trace.violate(f'{entry.settings.name} ended with {code}')
        self._checks.note_killed(index)
        await asyncio.sleep(rng.uniform(*_FAULT_S))
        entry.start()
        self.trace.note('start', entry=entry.settings.name)

    async def _publish(self, _rng: random.Random) -> None:
        await self._writers.publish()

    async def _keep_copies(self) -> None:
        while True:
            if self._writers.present.is_set():
                self._copies.append(self._fleet.store.copy())
                self._copies = self._copies[-_COPY_COUNT:]
            await asyncio.sleep(_COPY_INTERVAL_S)


def _close(store: StoreStandIn) -> Callable[[], None]:
    """Close all connections; return what opens the store again."""
    store.away = True
    store.close_connections()
    return lambda: setattr(store, 'away', False)


def _silence(store: StoreStandIn) -> Callable[[], None]:
    """Let the store not answer; return what lets it answer again."""
    store.silent = True
    return lambda: setattr(store, 'silent', False)


def _refuse(store: StoreStandIn) -> Callable[[], None]:
    """Let the store refuse all calls; return what ends that."""
    store.unavailable = True
    return lambda: setattr(store, 'unavailable', False)
