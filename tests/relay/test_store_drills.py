"""Drills of the store with real processes, among other faults.

By hand, with other seeds and more rounds of faults::

    STORE_DRILL_SEEDS=1-20 STORE_DRILL_ROUNDS=3 .venv/bin/python -m nose2 \\
        --config unittest.cfg tests.relay.test_store_drills
"""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

from siskinbank.lab.rig.drill import StoreDrill
from siskinbank.lab.rig.fleet import RelayFleet
from tests.seeds import seeds_to_run

_SEEDS = seeds_to_run('STORE_DRILL_SEEDS', range(1, 3))
_ROUNDS = int(os.environ.get('STORE_DRILL_ROUNDS', '1'))
# Number of fleets that run at the same time.
_MAX_PARALLEL = 3


class TestDrills(unittest.TestCase):
    """The store comes back from older copies."""

    def test_beliefs_agree_with_the_store(self) -> None:
        """No version regresses, and restrictions in force are kept."""
        drills = asyncio.run(_run_drills())
        for seed, drill in zip(_SEEDS, drills, strict=True):
            with self.subTest(seed=seed):
                text = '\n'.join(drill.history)
                self.assertEqual(drill.trace.violations, [], text)
                # The drill does what it is for.
                self.assertEqual(text.count(' restore '), 2 * _ROUNDS)
                self.assertIn(' in force ', text)


async def _run_drills() -> list[StoreDrill]:
    limit = asyncio.Semaphore(_MAX_PARALLEL)
    return await asyncio.gather(*(_run_drill(seed, limit) for seed in _SEEDS))


async def _run_drill(seed: int, limit: asyncio.Semaphore) -> StoreDrill:
    async with limit:
        with tempfile.TemporaryDirectory() as folder:
            fleet = RelayFleet(Path(folder))
            try:
                await fleet.open()
                await fleet.wait_until_ready()
                drill = StoreDrill(fleet, seed, _ROUNDS)
                await drill.run()
            finally:
                await fleet.close()
    return drill
