"""Tests of joining from peers and announced leaving, with real processes."""

import asyncio
import functools
import signal
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from siskinbank.lab.fleet import Fleet, FleetPlan

_TIMEOUT_SECONDS = 60
_POLL_SECONDS = 0.2
PLAN = FleetPlan('join', ('a', 'b'), 2, {'matcher': 3})


async def poll_until(
    fetch: Callable[[], Awaitable[dict[str, Any]]],
    condition: Callable[[dict[str, Any]], bool],
) -> dict[str, Any]:
    """Poll until the answer fulfils a condition, and return it."""
    while True:
        try:
            answer = await fetch()
        except (OSError, aiohttp.ClientError):
            answer = {}
        if answer and condition(answer):
            return answer
        await asyncio.sleep(_POLL_SECONDS)


class TestRealProcesses(unittest.IsolatedAsyncioTestCase):
    """The platform is down, so processes depend on their peers."""

    async def test_start_from_peers_and_leave(self) -> None:
        """A restarted entry takes over the generation of its peers.

        A sidecar that is stopped announces that it leaves.
        """
        fleet = Fleet(PLAN)
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                await fleet.start_without_hosts()
                for name in fleet.hosts:
                    await fleet.start_sidecar(name)
                for port in fleet.admin_ports().values():
                    await fleet.wait_generation(port)
                await self._restart_entry(fleet)
                await self._stop_sidecar(fleet)
        finally:
            await fleet.stop()

    async def _restart_entry(self, fleet: Fleet) -> None:
        async with aiohttp.ClientSession() as session:
            url = f'{fleet.platform_url}/admin/down'
            async with session.put(url, data='true') as put:
                self.assertEqual(put.status, 204)
        fleet.processes.signal('entry-1', signal.SIGKILL)
        await fleet.processes.wait('entry-1', _TIMEOUT_SECONDS)
        await fleet.start_entry('entry-1')
        status = await poll_until(
            lambda: fleet.status('entry-1'),
            lambda answer: answer['generation'] == 1 and answer['fresh'],
        )
        self.assertEqual(status['fleet_lowest_generation'], 1)

    async def _stop_sidecar(self, fleet: Fleet) -> None:
        fleet.processes.signal('matcher-1', signal.SIGTERM)
        for entry in fleet.entries:
            await poll_until(
                functools.partial(fleet.status, entry),
                lambda answer: 'matcher-1' in answer['leaving'],
            )
