"""Tests of the table of hosts that an entry keeps."""

import unittest

from siskinbank.relay.messages import Status
from siskinbank.tracking.hosts import HostTable

FIRST, SECOND = '10.0.0.1', '10.0.0.2'
# Time without an update after which a host is removed, in seconds.
EXPIRY_S = 60.0


class TestOrdered(unittest.TestCase):
    """The sequence of all hosts that is not copied for each reader."""

    def test_follows_the_table(self) -> None:
        """Guards against copies of packets that go to hosts which are gone."""
        table = HostTable()
        table.update_status(FIRST, Status(1, 1), 0)
        table.update_status(SECOND, Status(1, 1), EXPIRY_S)
        self.assertEqual(list(table.ordered), table.all())
        self.assertEqual([host.ip for host in table.ordered], [FIRST, SECOND])
        table.update_status(SECOND, Status(2, 1), EXPIRY_S)
        self.assertEqual(list(table.ordered), table.all())
        table.sweep(EXPIRY_S + 1)
        self.assertEqual([host.ip for host in table.ordered], [SECOND])
