"""Base of tests with real processes."""

import tempfile
import unittest
from pathlib import Path

from siskinbank.lab.rig.fleet import Program, RelayFleet


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Two entries and three hosts, each with its sidecar.

    Attributes:
        fleet: the fleet, which ends with the test.
    """

    async def asyncSetUp(self) -> None:
        """Create a fleet and start it."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = RelayFleet(Path(folder.name))
        self.addAsyncCleanup(self.fleet.close)
        await self.prepare()

    @property
    def programs(self) -> list[Program]:
        """All processes."""
        return [*self.fleet.entries, *self.fleet.sidecars]

    async def prepare(self) -> None:
        """Bring the fleet to the state in which the tests begin."""
        await self.start_fleet()

    async def start_fleet(self) -> None:
        """Start the processes and wait until they serve."""
        await self.fleet.open()
        await self.fleet.wait_until_ready()
