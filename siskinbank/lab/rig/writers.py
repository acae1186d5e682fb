"""Operator and hosts of a fleet, which write to its store."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from siskinbank.lab.rig.drill_trace import DrillTrace
from siskinbank.lab.rig.fleet import TARGET, RelayFleet
from siskinbank.lab.rig.store import StoreCopy
from siskinbank.platform.encoding import RouteDocument
from siskinbank.platform.store import CONFIGURATION_KEY, EVACUATIONS_PREFIX
from siskinbank.relay.messages import DRAINING, EVACUATED

__all__ = ('Restriction', 'StoreWriters', 'published_target')

_SERVICE = 'matcher'
_FIRST_PORT = 8440
_HEARTBEAT_S = 0.8
_DRAIN_S = (0.3, 1.5)
_DATA_CENTRES = 'ab'


@dataclass
class Restriction:
    """An evacuation or a drain.

    Attributes:
        name: text for the trace.
        flag: its flag in the records of the sidecars.
        indexes: indexes of its hosts.
        previous_end: time when the last one of the same name ended.
        accepted: number of flows that each host had accepted when all their
            sidecars knew of the restriction; empty before.
    """

    name: str
    flag: int
    indexes: list[int]
    previous_end: float
    accepted: list[int] = field(default_factory=list)


class StoreWriters:
    """Writes what the operator and the hosts have to say.

    Nothing is written while the store is away. What a copy of the store lacks
    is written again: by hosts with their next heartbeats, by the operator on
    request.

    Attributes:
        publications: number of published configurations.
        evacuation: the evacuation in force, if any.
        drain: the drain in force, if any.
        present: set while the store accepts writes.
    """

    def __init__(self, fleet: RelayFleet, trace: DrillTrace) -> None:
        """Create the writers of a fleet."""
        self.publications = 0
        self.evacuation: Restriction | None = None
        self.drain: Restriction | None = None
        self.present = asyncio.Event()
        self.present.set()
        self._fleet = fleet
        self._trace = trace
        self._contents: dict[str, bytes | None] = {}
        self._born_ms = [1 for _ in fleet.hosts]
        self._ends: dict[str, float] = {}
        self._lock = asyncio.Lock()

    @property
    def restrictions(self) -> list[Restriction]:
        """The restrictions in force."""
        return [one for one in (self.evacuation, self.drain) if one]

    async def publish(self) -> None:
        """Publish a route in place of that of the publication before."""
        await self.present.wait()
        async with self._lock:
            self.publications += 1
            routes = (TARGET, published_target(self.publications))
            version = await self._fleet.publish(
                [RouteDocument(_SERVICE, route) for route in routes]
            )
            self._remember(CONFIGURATION_KEY)
        self._trace.note('publish', version=version)

    async def change_evacuation(self, rng: random.Random) -> None:
        """Evacuate a data centre, or take back the evacuation in force."""
        name = rng.choice(_DATA_CENTRES)
        await self.present.wait()
        if self.evacuation:
            name, self.evacuation = self.evacuation.name, None
            self._ends[name] = time.monotonic()
            self._trace.note('take back', data_centre=name)
            await self._write_evacuation(name, None)
            return
        await self._write_evacuation(name, b'{}')
        indexes = [
            index
            for index in range(len(self._fleet.hosts))
            if self._fleet.data_centre(index) == name
        ]
        self.evacuation = self._restriction(name, EVACUATED, indexes)
        self._trace.note('evacuate', data_centre=name)

    async def drain_host(self, rng: random.Random) -> None:
        """Drain a host, which starts again some time later."""
        index = rng.randrange(len(self._fleet.hosts))
        duration_s = rng.uniform(*_DRAIN_S)
        if self.drain:
            return
        name = f'host-{index}'
        self.drain = self._restriction(name, DRAINING, [index])
        self._trace.note('drain', host=index)
        await self._register(index)
        await asyncio.sleep(duration_s)
        self.drain = None
        self._ends[name] = time.monotonic()
        self._born_ms[index] += 1
        self._trace.note('host started again', host=index)
        await self._register(index)

    async def restore_store(
        self, copy: StoreCopy, *, close_connections: bool
    ) -> None:
        """Let the store come back from a copy and accept writes again."""
        async with self._lock:
            await self._fleet.store.restore(
                copy, close_connections=close_connections
            )
            self.present.set()

    async def write_again(self) -> None:
        """Write what the operator wrote and a copy of the store lacks."""
        store = self._fleet.store
        for key in sorted(self._contents):
            if store.get(key) != self._contents[key]:
                self._trace.note('write again', key=key)
                await store.put(key, self._contents[key])

    async def write_heartbeats(self) -> None:
        """Let the hosts write their records until cancelled."""
        while True:
            for index in range(len(self._fleet.hosts)):
                await self._register(index)
            await asyncio.sleep(_HEARTBEAT_S)

    def _restriction(
        self, name: str, flag: int, indexes: list[int]
    ) -> Restriction:
        previous_end = self._ends.get(name, 0)
        return Restriction(name, flag, indexes, previous_end)

    async def _write_evacuation(self, name: str, content: bytes | None) -> None:
        key = f'{EVACUATIONS_PREFIX}{name}'
        async with self._lock:
            await self._fleet.store.put(key, content)
            self._remember(key)

    async def _register(self, index: int) -> None:
        await self.present.wait()
        drain = self.drain
        await self._fleet.register(
            index,
            draining=drain is not None and index in drain.indexes,
            born_ms=self._born_ms[index],
        )

    def _remember(self, key: str) -> None:
        self._contents[key] = self._fleet.store.get(key)


def published_target(number: int) -> tuple[str, int]:
    """Return the address of the route of a publication."""
    return TARGET[0], _FIRST_PORT + number
