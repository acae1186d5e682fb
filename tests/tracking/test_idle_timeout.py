"""Tests of how long hosts may keep idle flows."""

import unittest

from siskinbank.tracking.idle_timeout import IdleTimeout


class TestIdleTimeout(unittest.TestCase):
    """The operator states a timeout and changes it."""

    def assert_times(
        self, timeout: IdleTimeout, now: float, shortest: float, longest: float
    ) -> None:
        """Check both times at a moment."""
        found = (timeout.shortest_s(now), timeout.longest_s(now))
        self.assertEqual(found, (shortest, longest))

    def test_before_a_statement(self) -> None:
        """A host may keep a flow for its whole lifetime."""
        self.assert_times(IdleTimeout(60), 0, 15, 60)
        self.assert_times(IdleTimeout(10), 0, 10, 10)

    def test_first_statement(self) -> None:
        """It is in force at once, up to the lifetime."""
        for stated_s, expected in ((15, 15), (0, 0), (90, 60), (None, 60)):
            timeout = IdleTimeout(60)
            timeout.note(stated_s, 100)
            self.assert_times(timeout, 100, expected, expected)

    def test_raised(self) -> None:
        """Hosts keep flows longer at once, or once they know."""
        timeout = IdleTimeout(60)
        timeout.note(15, 100)
        timeout.note(40, 110)
        self.assert_times(timeout, 110, 15, 40)
        self.assert_times(timeout, 126, 40, 40)

    def test_lowered(self) -> None:
        """Flows that were idle before may be kept for the old time."""
        timeout = IdleTimeout(60)
        timeout.note(40, 100)
        timeout.note(15, 110)
        self.assert_times(timeout, 149, 15, 40)
        self.assert_times(timeout, 151, 15, 15)

    def test_changes_in_quick_succession(self) -> None:
        """The longest of them counts."""
        timeout = IdleTimeout(60)
        for second, stated_s in enumerate((40, 15, 30, 15, 15)):
            timeout.note(stated_s, 100 + second)
        self.assertEqual(timeout.longest_s(140), 40)
        self.assertEqual(timeout.longest_s(144), 15)

    def test_statement_is_withdrawn(self) -> None:
        """Nothing shorter than the lifetime is known then."""
        timeout = IdleTimeout(60)
        timeout.note(15, 100)
        timeout.note(None, 110)
        self.assert_times(timeout, 110, 15, 60)


if __name__ == '__main__':
    unittest.main()
