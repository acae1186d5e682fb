"""Tests of back-off and retry budget."""

import random
import unittest

from siskinbank.coordination.backoff import Backoff
from siskinbank.coordination.budget import RetryBudget
from siskinbank.kernel.clock import FakeClock

NEW_REQUESTS = 1000


class TestBackoff(unittest.TestCase):
    """Pauses grow up to the cap, with jitter."""

    def test_ranges(self) -> None:
        """Each pause lies within its range and differs from the others."""
        for seed in range(20):
            backoff = Backoff(base=0.1, cap=1, rng=random.Random(seed))
            pauses = [backoff.next_pause() for _ in range(10)]
            for number, pause in enumerate(pauses):
                with self.subTest(seed=seed, number=number):
                    self.assertLessEqual(pause, min(1, 0.1 * 2**number))
            self.assertEqual(len(set(pauses)), len(pauses))
            backoff.reset()
            self.assertLessEqual(backoff.next_pause(), 0.1)


class TestRetryBudget(unittest.TestCase):
    """Retries are limited to a share of new requests."""

    def test_share(self) -> None:
        """If every request fails, a tenth as many are retried."""
        budget = RetryBudget(FakeClock())
        taken = 0
        for _ in range(NEW_REQUESTS):
            budget.note_fresh()
            taken += budget.take()
        self.assertLessEqual(taken, NEW_REQUESTS * 0.1 + 1)
        self.assertGreaterEqual(taken, NEW_REQUESTS * 0.1 - 1)

    def test_floor_and_burst(self) -> None:
        """Rare requests get tokens over time, up to the burst limit."""
        clock = FakeClock()
        budget = RetryBudget(clock, floor=0.1, burst=3)
        self.assertTrue(budget.take())
        self.assertFalse(budget.take())
        clock.advance(10)
        self.assertTrue(budget.take())
        clock.advance(1000)
        self.assertEqual(sum(budget.take() for _ in range(10)), 3)
