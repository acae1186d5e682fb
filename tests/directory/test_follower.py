"""Tests of following the platform while reads end with unexpected errors."""

import asyncio
import random
import unittest
from collections.abc import Collection
from typing import cast

import logbook

from siskinbank.config.sections import Manifest
from siskinbank.directory.client import PlatformClient
from siskinbank.directory.follower import PlatformFollower
from siskinbank.directory.live import Instance, Role
from siskinbank.directory.store import DocumentStore
from siskinbank.kernel.events import HANDLER_FAILED
from siskinbank.kernel.process import ProcessContext
from siskinbank.lab.request_rig import wait_until
from siskinbank.peers.gossip import Gossip, Identity

_ADDRESS = ('127.0.0.1', 7100)
#: The start delay is at most 1.5 s, and so is the wait for peers.
_SECONDS = 10


class FaultyClient:
    """A client of the platform some of whose calls fail unexpectedly."""

    def __init__(self) -> None:
        """Initialize without failures."""
        self.list_transfer_bytes = 0
        self.failing: Collection[tuple[str, int]] = ()
        self.calls = {'watch': 0, 'instances': 0}

    async def watch(self, _after: int) -> Manifest:
        """Return a manifest without a change, after some time."""
        self._call('watch')
        await asyncio.sleep(0.1)
        return Manifest(0, {})

    async def instances(self) -> list[Instance]:
        """Return the live list."""
        self._call('instances')
        return [Instance('entry-1', Role.entry, 'a', _ADDRESS)]

    def _call(self, name: str) -> None:
        self.calls[name] += 1
        if (name, self.calls[name]) in self.failing:
            raise KeyError(f'{name} {self.calls[name]}')


class TestFollower(unittest.IsolatedAsyncioTestCase):
    """A process that is the only reader of the platform."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Create the follower of a process without peers."""
        self.process = ProcessContext('entry', 'entry-1')
        self.addAsyncCleanup(self.process.close)
        self.client = FaultyClient()
        gossip = Gossip(
            Identity('entry-1', 'entry', 'a', _ADDRESS, 1),
            DocumentStore(self.process.log, self.process.metrics),
            self.process.timers,
            lambda _message, _address: None,
            self.process.log,
            self.process.metrics,
            random.Random(1),
        )
        self.follower = PlatformFollower(
            cast(PlatformClient, self.client),
            gossip,
            self.process.log,
            self.process.metrics,
        )

    async def follow(self, *failing: tuple[str, int]) -> list[str]:
        """Follow the platform until all reads went on; return the errors."""
        self.client.failing = failing
        log = logbook.TestHandler()
        with log:
            task = self.process.start_task(self.follower.run())
            await wait_until(
                lambda: task.done() or self._went_on(), seconds=_SECONDS
            )
            self.assertFalse(task.done())
        return [
            record.extra['fields']['error']
            for record in log.records
            if record.extra['number'] == HANDLER_FAILED.number
        ]

    async def test_error_at_the_start(self) -> None:
        """The first read of the live list fails, and the process joins."""
        errors = await self.follow(('instances', 1))
        self.assertEqual(errors, ["KeyError('instances 1')"])

    async def test_error_of_the_configuration(self) -> None:
        """Two reads of the configuration fail, and it is followed again."""
        errors = await self.follow(('watch', 2), ('watch', 3))
        self.assertEqual(errors, ["KeyError('watch 2')", "KeyError('watch 3')"])

    async def test_error_of_the_list(self) -> None:
        """A read of the live list fails, and both are followed again."""
        errors = await self.follow(('instances', 2))
        self.assertEqual(errors, ["KeyError('instances 2')"])

    def _went_on(self) -> bool:
        calls = self.client.calls
        return calls['watch'] > 4 and calls['instances'] > 2
