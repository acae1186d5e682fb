"""Follow the platform's configuration and live list.

Only processes whose rank makes them readers read the platform regularly.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from siskinbank.config.sections import Manifest
from siskinbank.directory.backoff import Backoff
from siskinbank.directory.client import PlatformClient, PlatformError
from siskinbank.directory.listing import ListReader
from siskinbank.kernel import events
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Ignored
from siskinbank.peers.gossip import Gossip
from siskinbank.peers.readers import (
    READ_INTERVAL_SECONDS,
    READERS_PER_DATA_CENTRE,
    read_interval,
    reader_rank,
)

__all__ = ('PlatformFollower',)

_RANK_CHECK_INTERVAL_SECONDS = 0.5
#: Range of the factor by which the interval between two lists varies.
_JITTER = (0.8, 1.2)
_JOIN_POLL_INTERVAL_SECONDS = 0.1
_MIN_START_DELAY_SECONDS = 0.2
_MAX_START_DELAY_SECONDS = 1.5
#: Limit on one reader's transfers of the live list.
_LIST_BYTES_PER_SECOND = 20_000


class PlatformFollower:
    """Reads changed sections and the live list and passes them to gossip."""

    def __init__(
        self,
        client: PlatformClient,
        gossip: Gossip,
        log: events.EventLog,
        metrics: Metrics,
    ) -> None:
        """Initialize; what ``client`` reads is passed to ``gossip``."""
        self._client = client
        self._gossip = gossip
        self._log = log
        self._metrics = metrics
        self._list_reader = ListReader(lambda: gossip.now)
        self._rng = random.Random()
        self._reading = False
        self._bootstrapping = False
        self._omissions_held = False
        self._platform_unreachable = False
        self._last_generation = 0

    async def run(self) -> None:
        """Join the fleet, then follow the platform until cancelled."""
        await self._join()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_configuration())
            group.create_task(self._follow_instances())

    async def _join(self) -> None:
        """Discover peers, and wait for their answers.

        Peers are asked before the platform is trusted, since the platform may
        be stale.
        """
        backoff = Backoff(self._rng)
        start_delay = self._rng.uniform(
            _MIN_START_DELAY_SECONDS, _MAX_START_DELAY_SECONDS
        )
        await asyncio.sleep(start_delay)
        while not len(self._gossip.roster) and not self._has_configuration():
            if await self._attempt(self._read_list):
                break
            await asyncio.sleep(backoff.next())
        while not self._gossip.joined:
            await asyncio.sleep(_JOIN_POLL_INTERVAL_SECONDS)

    def _has_configuration(self) -> bool:
        return self._gossip.store.in_force[0] > 0

    def _interval(self) -> float | None:
        gossip = self._gossip
        identity = gossip.identity
        rank = reader_rank(
            gossip.roster,
            identity.data_centre,
            identity.name,
            gossip.statuses,
        )
        reading = rank is not None and rank < READERS_PER_DATA_CENTRE
        if reading and not self._reading:
            self._log.write(events.READING_PLATFORM, rank=rank)
        self._reading = reading
        self._bootstrapping = rank is None and not self._has_configuration()
        return read_interval(
            rank,
            gossip.read_age,
            max(len(gossip.roster), len(gossip.seeds)),
            self._rng,
        )

    async def _wait_for_turn(self) -> float:
        """Wait until this process is to read, and return the interval.

        A fallback process first waits for its interval, since the readers may
        have recovered by then.
        """
        while True:
            interval = self._interval()
            if interval is not None and (self._reading or self._bootstrapping):
                return interval
            await asyncio.sleep(interval or _RANK_CHECK_INTERVAL_SECONDS)
            if interval is not None and self._interval() is not None:
                return interval

    async def _attempt(self, read: Callable[[], Awaitable[None]]) -> bool:
        """Read once; return whether that succeeded.

        Any error is logged, as one that ends the task would leave the process
        with its configuration until it is restarted.
        """
        try:
            await read()
        except PlatformError as error:
            self._note_failure(error)
            return False
        except Exception as error:
            self._log.write_failure(error)
            return False
        return True

    async def _follow_configuration(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            if await self._attempt(self._read_configuration):
                backoff.reset()
            else:
                await asyncio.sleep(backoff.next())

    async def _read_configuration(self) -> None:
        await self._wait_for_turn()
        if self._reading:
            manifest = await self._client.watch(self._last_generation)
        else:
            manifest = await self._client.manifest()
        await self._fetch_document(manifest)
        self._note_success()
        self._last_generation = manifest.generation

    async def _fetch_document(self, manifest: Manifest) -> None:
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
            if await self._attempt(self._read_list_in_turn):
                backoff.reset()
                transfer_seconds = (
                    self._client.list_transfer_bytes / _LIST_BYTES_PER_SECOND
                )
                min_interval = max(
                    READERS_PER_DATA_CENTRE * READ_INTERVAL_SECONDS,
                    transfer_seconds,
                )
                await asyncio.sleep(min_interval * self._rng.uniform(*_JITTER))
            else:
                await asyncio.sleep(backoff.next())

    async def _read_list_in_turn(self) -> None:
        await self._wait_for_turn()
        await self._read_list()

    async def _read_list(self) -> None:
        instances = await self._client.instances()
        self._note_success()
        newer = self._list_reader.read(instances, self._gossip.roster)
        if self._list_reader.held:
            self._metrics.count(Ignored.list_held)
            if not self._omissions_held:
                self._log.write(events.OMISSIONS_HELD, listed=len(instances))
        self._omissions_held = self._list_reader.held
        self._gossip.take_records(newer)

    def _note_success(self) -> None:
        self._platform_unreachable = False
        self._gossip.note_read()

    def _note_failure(self, error: PlatformError) -> None:
        """Log the first of several consecutive failures."""
        if not self._platform_unreachable:
            self._log.write(events.PLATFORM_UNREACHABLE, error=error)
        self._platform_unreachable = True
