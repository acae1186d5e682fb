"""Tests of the processes with an older generation."""

import unittest

from siskinbank.lab.virtual_fleet import VirtualFleet
from siskinbank.peers.lagging import LaggingProcesses

_FLEET_SIZE = 5
_EXPIRE_SECONDS = 15


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

    def test_report_that_was_under_way(self) -> None:
        """Guards against a report that a later message overtook.

        Its age is stated as of its sending.
        """
        lagging = LaggingProcesses('entry-1')
        lagging.note('host-1', 1, 1, 102)
        lagging.merge([['host-1', 0, 0]], 1, 102.2)
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

    def test_outdated_reports_are_corrected(self) -> None:
        """Guards against a peer that passes on what it saw at a start.

        The peer has not met the process since, so its report would last until
        it expires.
        """
        peer = LaggingProcesses('host-2')
        peer.note('host-1', 0, 1, 100)
        entry = LaggingProcesses('entry-1')
        entry.note('host-1', 1, 1, 102)
        self.assertEqual(entry.parts(1, 103), [])
        entry.merge(peer.parts(1, 103), 1, 103)
        self.assertEqual(entry.lowest(1, 103), [])
        corrections = entry.parts(1, 103)
        self.assertEqual(corrections, [['host-1', 1, 1000]])
        peer.merge(corrections, 1, 103)
        self.assertEqual(peer.lowest(1, 103), [])
        # The peer corrects those to whom it had passed the report on.
        self.assertEqual(peer.parts(1, 103), corrections)

    def test_corrections_end(self) -> None:
        """Once no peer holds the report, however often the process is met."""
        lagging = LaggingProcesses('entry-1')
        lagging.note('host-1', 0, 1, 100)
        lagging.note('host-1', 1, 1, 101)
        lagging.note('host-1', 1, 1, 114)
        self.assertEqual(len(lagging.parts(1, 114)), 1)
        self.assertEqual(lagging.parts(1, 100 + _EXPIRE_SECONDS), [])

    def test_process_that_lags_again_is_not_corrected(self) -> None:
        """It was restarted after it had caught up, or did not follow."""
        lagging = LaggingProcesses('entry-1')
        lagging.note('host-1', 0, 1, 100)
        lagging.note('host-1', 1, 1, 101)
        self.assertEqual(lagging.parts(2, 102), [])
        lagging.note('host-1', 0, 1, 102)
        self.assertEqual(lagging.parts(1, 102), [['host-1', 0, 0]])


class TestRestarts(unittest.TestCase):
    """Load pattern: processes are restarted while the platform is down."""

    def test_nobody_reports_a_start(self) -> None:
        """Guards against a wrong lowest generation for 15 s after a restart.

        With and without loss of the messages that show the new state.
        """
        for seed in range(40):
            fleet = VirtualFleet(_FLEET_SIZE, seed)
            fleet.start()
            fleet.network.loss = 0.3 if seed % 2 else 0
            fleet.platform.down = True
            addresses = [instance.address for instance in fleet.instances]
            for instance in fleet.instances[:-1]:
                node = fleet.restart(instance.name)
                node.gossip.seeds = tuple(addresses)
                fleet.run(4)
            # Less than reports are kept, also since the last start.
            fleet.run(6)
            lagging = {
                process.name
                for node in fleet.running_nodes
                for process in node.gossip.lagging.lowest(1, fleet.clock.now)
            }
            self.assertEqual(lagging, set(), seed)
