"""Tests of the measurement of start costs."""

import unittest

from tools.start_cost import (
    ImportTime,
    parse_import_times,
    processor_time_s,
    time_to_first_request_s,
)

REPORT = """import time: self [us] | cumulative | imported package
import time:       152 |        152 |   zlib
not a line of it
import time:       643 |        700 | siskinbank.relay.http
"""


class TestStartCost(unittest.IsolatedAsyncioTestCase):
    """Tests of processor, import and start times."""

    def test_parse_import_times(self) -> None:
        """Modules are sorted by descending time; other lines are skipped."""
        expected = [
            ImportTime('siskinbank.relay.http', 643),
            ImportTime('zlib', 152),
        ]
        self.assertEqual(parse_import_times(REPORT), expected)

    def test_processor_time(self) -> None:
        """An import takes more processor time than none."""
        self.assertGreater(
            processor_time_s('import asyncio'), processor_time_s('pass')
        )

    async def test_first_request(self) -> None:
        """Both processes serve again; the fleet limits the waiting time."""
        for role in ('entry', 'sidecar'):
            self.assertGreater(await time_to_first_request_s(role), 0)
