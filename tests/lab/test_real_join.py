"""Real processes: starting from peers, and leaving by one's own word."""

import asyncio
import functools
import signal
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from siskinbank.lab.fleet import Fleet, FleetPlan

_LIMIT_SECONDS = 60
_PAUSE_SECONDS = 0.2
PLAN = FleetPlan('join', ('a', 'b'), 2, {'matcher': 3})


async def until(
    ask: Callable[[], Awaitable[dict[str, Any]]],
    holds: Callable[[dict[str, Any]], bool],
) -> dict[str, Any]:
    """Ask again until the answer is as wanted."""
    while True:
        try:
            answer = await ask()
        except (OSError, aiohttp.ClientError):
            answer = {}
        if answer and holds(answer):
            return answer
        await asyncio.sleep(_PAUSE_SECONDS)


class TestRealProcesses(unittest.IsolatedAsyncioTestCase):
    """The platform is down; peers know."""

    async def test_start_from_peers_and_leave(self) -> None:
        """A restarted entry serves what its peers have in force."""
        fleet = Fleet(PLAN)
        try:
            async with asyncio.timeout(_LIMIT_SECONDS):
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
            url = f'{fleet.platform}/admin/down'
            async with session.put(url, data='true') as put:
                self.assertEqual(put.status, 204)
        fleet.processes.signal('entry-1', signal.SIGKILL)
        await fleet.processes.wait('entry-1', _LIMIT_SECONDS)
        await fleet.start_entry('entry-1')
        status = await until(
            lambda: fleet.status('entry-1'),
            lambda answer: answer['generation'] == 1 and answer['fresh'],
        )
        self.assertEqual(status['fleet_lowest_generation'], 1)

    async def _stop_sidecar(self, fleet: Fleet) -> None:
        fleet.processes.signal('matcher-1', signal.SIGTERM)
        for entry in fleet.entries:
            await until(
                functools.partial(fleet.status, entry),
                lambda answer: 'matcher-1' in answer['leaving'],
            )
