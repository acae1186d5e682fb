"""Tests of leases against a plain dictionary of expiry times."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.coordination import FakeClock, Leases

STEPS = st.lists(
    st.tuples(st.sampled_from(('renew', 'release', 'wait')), st.integers(0, 5)),
    max_size=60,
)


class TestLeases(unittest.TestCase):
    """Values are held exactly until their leases end."""

    @given(STEPS)
    def test_against_dictionary(self, steps: list[tuple[str, int]]) -> None:
        """The table holds the same keys as the dictionary."""
        clock = FakeClock()
        ended: list[int] = []
        leases: Leases[int, int] = Leases(
            3, 4, clock, lambda key, _held: ended.append(key)
        )
        ends: dict[int, float] = {}
        for step, number in steps:
            if step == 'wait':
                clock.advance(number)
            elif step == 'release':
                leases.release(number)
                ends.pop(number, None)
            else:
                room = number in ends or len(ends) < 4
                self.assertEqual(leases.renew(number, number), room)
                if room:
                    ends[number] = clock.now + 3
            ends = {key: end for key, end in ends.items() if end > clock.now}
            held = {key for key in range(6) if leases.get(key) is not None}
            self.assertEqual(held, set(ends))
            self.assertEqual(len(leases), len(ends))
        clock.advance(4)
        leases.expire()
        self.assertLessEqual(set(ends), set(ended))

    def test_rejects_invalid_arguments(self) -> None:
        """The lease time and the capacity must be positive."""
        for seconds, capacity in ((0, 1), (-1, 1), (1, 0)):
            with self.subTest(seconds=seconds), self.assertRaises(ValueError):
                Leases(seconds, capacity)
