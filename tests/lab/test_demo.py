"""Run the demo as a test of the whole path under failures."""

import asyncio
import unittest

from siskinbank.lab.demo import run_demo

_TIMEOUT_SECONDS = 90


class TestDemo(unittest.TestCase):
    """Test the demo with separate processes, real callers and three faults."""

    def test_holds(self) -> None:
        """Check that the invariants of the demo hold."""

        async def run() -> None:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                demo = await run_demo(lambda _line: None)
            self.assertEqual(demo.broken, [])
            self.assertEqual(demo.wrong_outcomes, [])
            self.assertEqual(demo.wrong_service, 0)
            self.assertEqual(demo.packets_while_out, 0)
            self.assertTrue(demo.holds, demo.line())

        asyncio.run(run())
