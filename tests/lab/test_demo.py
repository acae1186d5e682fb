"""The demo as a test: the whole path under failure."""

import asyncio
import unittest

from siskinbank.lab.demo import run_demo

_LIMIT_SECONDS = 90


class TestDemo(unittest.TestCase):
    """Separate processes, real callers, three failures."""

    def test_holds(self) -> None:
        """What must hold has held."""

        async def run() -> None:
            async with asyncio.timeout(_LIMIT_SECONDS):
                demo = await run_demo(lambda _line: None)
            self.assertEqual(demo.broken, [])
            self.assertEqual(demo.untrue, [])
            self.assertEqual(demo.wrong_service, 0)
            self.assertEqual(demo.packets_while_out, 0)
            self.assertTrue(demo.holds, demo.line())

        asyncio.run(run())
