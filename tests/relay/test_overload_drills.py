"""Drills of demand above the capacity with real processes, among faults.

By hand, with other seeds::

    OVERLOAD_DRILL_SEEDS=1-30 .venv/bin/python -m nose2 \\
        --config unittest.cfg tests.relay.test_overload_drills
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from siskinbank.lab.rig.overload_checks import check_overload
from siskinbank.lab.rig.overload_drill import OverloadDrill, overload_fleet
from tests.seeds import seeds_to_run

_SEEDS = seeds_to_run('OVERLOAD_DRILL_SEEDS', range(6, 7))


class TestDrills(unittest.TestCase):
    """Entries, sidecars and hosts fail while slots are scarce."""

    def test_invariants(self) -> None:
        """Each invariant holds and could have failed."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                drill = asyncio.run(_run_drill(seed))
                tallies = check_overload(drill.evidence)
                lines = drill.trace.lines.copy()
                for tally in tallies:
                    lines.extend((tally.line(), *tally.examples))
                text = '\n'.join((f'seed {seed}', *lines))
                self.assertEqual(drill.trace.violations, [], text)
                for checked in tallies:
                    self.assertEqual(checked.violations, 0, text)
                    self.assertGreater(checked.check_count, 0, text)


async def _run_drill(seed: int) -> OverloadDrill:
    with tempfile.TemporaryDirectory() as folder:
        fleet = overload_fleet(Path(folder))
        try:
            await fleet.open()
            await fleet.wait_until_ready()
            drill = OverloadDrill(fleet, seed)
            await drill.run()
        finally:
            await fleet.close()
    return drill
