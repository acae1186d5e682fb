"""Tests of what is read from the logs of a fleet."""

import unittest

from siskinbank.lab.rig.beliefs import (
    belief_lines,
    last_value,
    version_regressions,
)

LOG = """1.000 R100 process.start instance=a
1.100 R210 configuration.taken version=5 before=0
1.200 R300 flow.placed flow=f version=5
1.300 R100 process.start instance=a
1.400 R210 configuration.taken version=4 before=0
1.500 R220 host.changed flags=9 born_ms=1
1.600 R220 host.changed flags=13 born_ms=1
1.7"""


class TestBeliefs(unittest.TestCase):
    """A log of two incarnations, whose last line is incomplete."""

    def test_last_value(self) -> None:
        """The last event since the start counts."""
        self.assertEqual(last_value(LOG, 'host.changed', 'flags'), '13')
        self.assertEqual(last_value(LOG, 'configuration.taken', 'version'), '4')
        self.assertEqual(last_value(LOG, 'flow.placed', 'version'), '')

    def test_version_regressions(self) -> None:
        """Another incarnation may know an older version."""
        self.assertEqual(version_regressions(LOG), [])
        placed = f'{LOG}\n1.800 R300 flow.placed flow=f version=3'
        self.assertEqual(
            version_regressions(placed), ['flow.placed: 3 after 4']
        )

    def test_belief_lines(self) -> None:
        """Without the decisions on flows."""
        lines = belief_lines('entry-0', LOG)
        self.assertEqual(len(lines), 6)
        self.assertEqual(lines[0], '1.000 entry-0 process.start instance=a')
