"""Tests of the processes with an older generation."""

import unittest

from siskinbank.peers.lagging import LaggingProcesses


class TestReports(unittest.TestCase):
    """Load pattern: a process starts, and peers report what they saw of it."""

    def test_older_reports_count_no_more(self) -> None:
        """Whether or not this process knew that the other one lagged."""
        for known_before in (True, False):
            lagging = LaggingProcesses('entry-1')
            if known_before:
                lagging.note('host-1', 0, 1, 100)
                self.assertEqual(len(lagging.lowest(1, 100)), 1)
            lagging.note('host-1', 1, 1, 102)
            lagging.merge([['host-1', 0, 2500]], 1, 103)
            self.assertEqual(lagging.lowest(1, 103), [])

    def test_newer_reports_count(self) -> None:
        """A process that was restarted lags again."""
        lagging = LaggingProcesses('entry-1')
        lagging.note('host-1', 1, 1, 102)
        lagging.merge([['host-1', 0, 500]], 1, 103)
        self.assertEqual(lagging.lowest(1, 103)[0].generation, 0)
        # Whoever had caught up with an older generation lags behind a new one.
        lagging.note('host-2', 1, 1, 103)
        lagging.note('host-2', 1, 2, 104)
        names = {process.name for process in lagging.lowest(2, 104)}
        self.assertEqual(names, {'host-1', 'host-2'})
