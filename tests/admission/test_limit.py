"""Tests of the climbing limit."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.admission.limit import ClimbingLimit
from siskinbank.kernel.clock import FakeClock


class TestClimbingLimit(unittest.TestCase):
    """The climb from cold to full, and the drops."""

    def test_climbs_and_falls(self) -> None:
        """The limit climbs to full and drops to cold at once."""
        clock = FakeClock()
        limit = ClimbingLimit(10, 110, 10, clock)
        seen = []
        for _ in range(3):
            seen.append(limit.limit)
            clock.advance(5)
        limit.restart()
        seen.append(limit.limit)
        self.assertEqual(seen, [10, 60, 110, 10])

    def test_grants_no_more_than_the_limit(self) -> None:
        """Units above the limit are refused until one is returned."""
        limit = ClimbingLimit(2, 2, 0, FakeClock())
        self.assertEqual([limit.take() for _ in range(3)], [True, True, False])
        limit.give_back()
        self.assertTrue(limit.take())

    def test_paces_a_cold_host(self) -> None:
        """A cold host gets its units over a second, not at once."""
        clock = FakeClock()
        limit = ClimbingLimit(100, 100_000, 1e6, clock, paced=True)
        at_once = sum(limit.take() for _ in range(100))
        clock.advance(1)
        self.assertEqual(at_once, 10)
        self.assertLessEqual(
            at_once + sum(limit.take() for _ in range(100)), 100
        )

    def test_trouble_lowers_from_units_in_use(self) -> None:
        """Lowers at once, only once for each trouble, never below cold."""
        clock = FakeClock(100)
        limit = ClimbingLimit(10, 1000, 0, clock)
        for _ in range(100):
            limit.take()
        limit.lower()
        limit.lower()
        self.assertEqual(limit.limit, 1000)
        slow = ClimbingLimit(10, 1000, 1e9, clock)
        slow.lower()
        self.assertEqual(slow.limit, 10)

    def test_trouble_then_climb(self) -> None:
        """After trouble the limit climbs again at the same rate."""
        clock = FakeClock()
        limit = ClimbingLimit(10, 110, 10, clock)
        clock.advance(10)
        for _ in range(100):
            limit.take()
        limit.lower()
        seen = [limit.limit]
        limit.lower()
        clock.advance(1)
        seen.append(limit.limit)
        self.assertEqual(seen, [70, 80])

    def test_blocks_until_restart(self) -> None:
        """An unreachable upstream gets no units; then it is cold."""
        limit = ClimbingLimit(5, 10, 60, FakeClock())
        limit.block()
        self.assertFalse(limit.take())
        limit.restart()
        self.assertEqual(limit.limit, 5)

    def test_retry_after(self) -> None:
        """The retry delay ends when the climb makes room."""
        clock = FakeClock()
        limit = ClimbingLimit(1, 11, 10, clock)
        limit.take()
        clock.advance(limit.retry_after)
        self.assertTrue(limit.take())

    @given(
        st.lists(
            st.sampled_from(
                ['take', 'give', 'restart', 'lower', 'block', 'wait'],
            ),
        ),
        st.integers(1, 20),
        st.integers(1, 40),
    )
    def test_never_exceeds_a_plain_counter(
        self,
        steps: list[str],
        cold: int,
        full: int,
    ) -> None:
        """It never grants what a plain counter below the limit would refuse."""
        clock = FakeClock()
        limit = ClimbingLimit(cold, full, 8, clock, paced=True)
        taken = 0
        for step in steps:
            if step == 'take':
                allowed = taken < limit.limit
                granted = limit.take()
                self.assertLessEqual(granted, allowed)
                taken += granted
            elif step == 'give':
                limit.give_back()
                taken = max(taken - 1, 0)
            elif step == 'wait':
                clock.advance(1)
            else:
                getattr(limit, step)()
            self.assertEqual(limit.used, taken)
            self.assertLessEqual(limit.limit, full)
