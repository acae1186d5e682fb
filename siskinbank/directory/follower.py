"""Read the platform where this process's rank asks for it."""

import asyncio
import random

from siskinbank.config.sections import Manifest
from siskinbank.kernel import events
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Ignored
from siskinbank.peers.gossip import Gossip
from siskinbank.peers.readers import (
    READ_SECONDS,
    READERS,
    read_interval,
    reader_rank,
)
from siskinbank.directory.backoff import Backoff
from siskinbank.directory.client import PlatformClient, PlatformError
from siskinbank.directory.listing import ListReader

__all__ = ('Follower',)

_LOOK_SECONDS = 0.5
_JOIN_POLL_SECONDS = 0.1
_LEAST_WAIT_SECONDS = 0.2
_MOST_WAIT_SECONDS = 1.5
#: Bytes a second that one reader may spend on the live list.
_LIST_RATE = 20_000


class Follower:
    """Reads changed sections and the live list and feeds the gossip."""

    def __init__(
        self,
        client: PlatformClient,
        gossip: Gossip,
        log: events.EventLog,
        metrics: Metrics,
    ) -> None:
        """Feed ``gossip`` from ``client``."""
        self._client = client
        self._gossip = gossip
        self._log = log
        self._metrics = metrics
        self._lists = ListReader(lambda: gossip.now)
        self._rng = random.Random()
        self._reading = False
        self._alone = False
        self._held = False
        self._lost = False

    async def run(self) -> None:
        """Join, then follow until cancelled."""
        await self._join()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_configuration())
            group.create_task(self._follow_instances())

    async def _join(self) -> None:
        """Learn of peers, and ask them before the platform is believed."""
        backoff = Backoff(self._rng)
        wait = self._rng.uniform(_LEAST_WAIT_SECONDS, _MOST_WAIT_SECONDS)
        await asyncio.sleep(wait)
        while not len(self._gossip.roster) and not self._has_configuration():
            if await self._read_list():
                break
            await asyncio.sleep(backoff.next())
        while not self._gossip.joined:
            await asyncio.sleep(_JOIN_POLL_SECONDS)

    def _has_configuration(self) -> bool:
        return self._gossip.store.in_force[0] > 0

    def _interval(self) -> float | None:
        gossip = self._gossip
        identity = gossip.identity
        rank = reader_rank(
            gossip.roster,
            identity.data_centre,
            identity.name,
            gossip.words,
        )
        reading = rank is not None and rank < READERS
        if reading and not self._reading:
            self._log.write(events.READING, rank=rank)
        self._reading = reading
        self._alone = rank is None and not self._has_configuration()
        return read_interval(
            rank,
            gossip.read_age,
            max(len(gossip.roster), len(gossip.seeds)),
            self._rng,
        )

    async def _turn(self) -> float:
        """Wait until this process is to read; return the interval.

        Whoever falls back waits for its interval first: readers may have
        come back by then.
        """
        while True:
            interval = self._interval()
            if interval is not None and (self._reading or self._alone):
                return interval
            await asyncio.sleep(interval or _LOOK_SECONDS)
            if interval is not None and self._interval() is not None:
                return interval

    async def _follow_configuration(self) -> None:
        backoff = Backoff(self._rng)
        seen = 0
        while True:
            await self._turn()
            try:
                if self._reading:
                    manifest = await self._client.watch(seen)
                else:
                    manifest = await self._client.manifest()
                await self._take(manifest)
            except PlatformError as error:
                self._note_lost(error)
                await asyncio.sleep(backoff.next())
                continue
            self._note_served()
            seen = manifest.generation
            backoff.reset()

    async def _take(self, manifest: Manifest) -> None:
        store = self._gossip.store
        key = manifest.key
        if not store.wants(key):
            return
        store.put_raw(manifest.raw)
        missing = set(store.missing(key))
        for name, digest in manifest.sections.items():
            if bytes.fromhex(digest) in missing:
                store.put_raw(await self._client.section(name, digest))
        self._gossip.offer(key)

    async def _follow_instances(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            await self._turn()
            if await self._read_list():
                backoff.reset()
                cost = self._client.list_octets / _LIST_RATE
                least = max(READERS * READ_SECONDS, cost)
                await asyncio.sleep(least * self._rng.uniform(0.8, 1.2))
            else:
                await asyncio.sleep(backoff.next())

    async def _read_list(self) -> bool:
        try:
            instances = await self._client.instances()
        except PlatformError as error:
            self._note_lost(error)
            return False
        self._note_served()
        news = self._lists.read(instances, self._gossip.roster)
        if self._lists.held:
            self._metrics.count(Ignored.list_held)
            if not self._held:
                self._log.write(events.LIST_HELD, listed=len(instances))
        self._held = self._lists.held
        self._gossip.take_records(news)
        return True

    def _note_served(self) -> None:
        self._lost = False
        self._gossip.note_read()

    def _note_lost(self, error: PlatformError) -> None:
        """Log the first failure of a row."""
        if not self._lost:
            self._log.write(events.PLATFORM_LOST, error=error)
        self._lost = True
