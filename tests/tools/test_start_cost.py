"""Tests of the measure of a start."""

import unittest

from tools.start_cost import Part, cost, first_request_s, parts

REPORT = """import time: self [us] | cumulative | imported package
import time:       152 |        152 |   zlib
not a line of it
import time:       643 |        700 | siskinbank.relay.http
"""


class TestStartCost(unittest.IsolatedAsyncioTestCase):
    """Part by part."""

    def test_parts(self) -> None:
        """The largest first, anything else left out."""
        wanted = [Part('siskinbank.relay.http', 643), Part('zlib', 152)]
        self.assertEqual(parts(REPORT), wanted)

    def test_cost(self) -> None:
        """A module costs more than none."""
        self.assertGreater(cost('import asyncio'), cost('pass'))

    async def test_first_request(self) -> None:
        """Both programs serve again; the fleet bounds the time."""
        for role in ('entry', 'sidecar'):
            self.assertGreater(await first_request_s(role), 0)
