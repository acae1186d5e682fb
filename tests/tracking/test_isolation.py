"""Tests of the decision whether an entry hears most hosts."""

import unittest

from siskinbank.relay.loop import NEVER
from siskinbank.tracking.isolation import Witnesses, heard_by_half

HOSTS = 3200
SAMPLE = 32


class TestHeardByHalf(unittest.TestCase):
    """The time since which half of the hosts have been heard."""

    def test_half(self) -> None:
        """More than half of the hosts must be silent for isolation."""
        for heard_at, expected in (
            ([], NEVER),
            ([5], 5),
            ([5, NEVER], 5),
            ([5, 4, NEVER], 4),
            ([5, NEVER, NEVER], NEVER),
            ([2, 5, 3, 4], 4),
        ):
            self.assertEqual(heard_by_half(heard_at), expected, heard_at)


class TestWitnesses(unittest.TestCase):
    """The sample of hosts."""

    def setUp(self) -> None:
        """Draw a sample of many hosts."""
        self.ips = [
            f'10.0.{index >> 8}.{index & 255}' for index in range(HOSTS)
        ]
        self.witnesses = Witnesses()
        self.sample = self.witnesses.select(self.ips, 0)

    def test_bounded(self) -> None:
        """Probing it is cheap, however many hosts there are."""
        self.assertEqual(len(self.sample), SAMPLE)

    def test_kept_while_hosts_answer(self) -> None:
        """Probes of a sample that changes at each scan would prove nothing."""
        self.assertEqual(self.witnesses.select(self.ips, 1), self.sample)

    def test_drawn_anew(self) -> None:
        """An unlucky sample of dead hosts must not delay resets for long."""
        other = self.witnesses.select(self.ips, 6)
        self.assertLess(len(other & self.sample), SAMPLE // 2)

    def test_old_sample(self) -> None:
        """The few of its hosts that are left don't stand for all."""
        self.assertEqual(self.witnesses.current(5), self.sample)
        self.assertEqual(self.witnesses.current(60), frozenset())
