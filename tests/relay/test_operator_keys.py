"""Tests with real processes: each sidecar follows the operator's keys.

All tests guard against an evacuation of which a sidecar does not hear, although
the store answers it.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from siskinbank.lab.rig.fleet import Program, RelayFleet
from siskinbank.platform.store import EVACUATIONS_PREFIX
from siskinbank.relay import messages

# Limits of the platform, in seconds: until an evacuation is in force, and the
# time without a disruption after which it counts.
_EVACUATION_S = 5.0
_CONTACT_S = 4.0
# Longer than it takes a sidecar to read the store in place of the entries, in
# seconds.
_PARTITION_S = 6.0
_FLAGS = ' host.changed flags='


class TestOperatorKeys(unittest.IsolatedAsyncioTestCase):
    """Two entries and three hosts, each with its sidecar."""

    async def asyncSetUp(self) -> None:
        """Start the fleet."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = RelayFleet(Path(folder.name))
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.open()
        await self.fleet.wait_until_ready()

    def is_evacuated(self, program: Program) -> bool:
        """Return whether a sidecar goes by an evacuation, from its log."""
        _, found, rest = program.log.rpartition(_FLAGS)
        return bool(found) and bool(
            int(rest.split()[0]) & messages.EVACUATED,
        )

    async def set_evacuated(self, is_evacuated: bool) -> None:
        """Evacuate the first data centre or take it back, and check that."""
        name = self.fleet.data_centre(0)
        content = b'{}' if is_evacuated else None
        await self.fleet.store.put(f'{EVACUATIONS_PREFIX}{name}', content)
        sidecars = [
            sidecar
            for index, sidecar in enumerate(self.fleet.sidecars)
            if self.fleet.data_centre(index) == name
        ]
        async with asyncio.timeout(_EVACUATION_S):
            while any(
                self.is_evacuated(sidecar) != is_evacuated
                for sidecar in sidecars
            ):
                await asyncio.sleep(0.05)

    async def test_entries_are_away(self) -> None:
        """Before and after restarts of the sidecars and an outage."""
        for entry in self.fleet.entries:
            entry.kill()
        await asyncio.sleep(_PARTITION_S)
        await self.set_evacuated(True)
        await self.set_evacuated(False)
        self.fleet.store.unavailable = True
        await asyncio.sleep(_PARTITION_S)
        self.fleet.store.unavailable = False
        await asyncio.sleep(_CONTACT_S)
        await self.set_evacuated(True)
        for sidecar in self.fleet.sidecars:
            sidecar.kill()
            sidecar.start()
        await asyncio.sleep(_CONTACT_S)
        await self.set_evacuated(False)
        await self.set_evacuated(True)
