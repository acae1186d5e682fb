"""Tests of the decision whether an entry is in rotation."""

import unittest

from siskinbank.choice.entry_rotation import (
    EntryRotation,
    EntryState,
    best_count,
    packet_rate,
)

FAST = packet_rate(100_000, 2)
MEDIUM = packet_rate(30_000, 2)
SLOW = packet_rate(5_000, 2)
OWN = bytes((10, 0, 0, 200))
# Longer than the condition for leaving must hold, in seconds.
HOLD_S = 3.1


class TestPacketRate(unittest.TestCase):
    """Capacity from the limits of the settings."""

    def test_smaller_limit(self) -> None:
        """The limit that binds; unknown ones do not."""
        cases = (
            (0, 0, 0),
            (5_000, 0, 507),
            (100_000, 2.15, 10_154),
            (5_000, 0.387, 507),
            (1, 0, 1),
        )
        for link_kbps, cores, expected in cases:
            with self.subTest(link_kbps=link_kbps, cores=cores):
                self.assertEqual(packet_rate(link_kbps, cores), expected)
        self.assertLess(packet_rate(100_000, 0.1), packet_rate(100_000, 0))
        self.assertGreater(packet_rate(0, 0.1), 0)


class TestBestCount(unittest.TestCase):
    """How many of the best entries should be in rotation."""

    def test_cases(self) -> None:
        """Unequal links of the design page, ties and unknown capacities."""
        cases: tuple[tuple[str, list[int], int], ...] = (
            ('alone', [SLOW], 1),
            ('equal', [FAST for _ in range(6)], 6),
            ('two fast, one medium, three slow', _mix(2, 1, 3), 3),
            ('two fast, seven slow', _mix(2, 0, 7), 9),
            ('six fast, two slow', _mix(6, 0, 2), 6),
            ('one fast, one slow', _mix(1, 0, 1), 1),
            ('twice as fast: a tie keeps both', [200, 100], 2),
            ('a small gain', [100, 100, 100, 70], 4),
            ('a gain of a quarter', [100, 100, 100, 60], 3),
            ('half at least', [1000, 10, 1, 1, 1], 5),
            ('half of an odd number, rounded up', [900, 900, 10], 2),
            ('all unknown', [0, 0, 0], 3),
            ('unknown and equal', [0, 100, 100], 3),
            ('unknown counts as the highest known', [0, 100, 5], 2),
        )
        for name, capacities, expected in cases:
            with self.subTest(name=name):
                self.assertEqual(best_count(capacities), expected)


class TestDecision(unittest.TestCase):
    """One slow entry and the reports that it gets."""

    def setUp(self) -> None:
        """Create a slow entry that is in rotation."""
        self.now = 1000.0
        self.rotation = EntryRotation(OWN)
        self.rotation.own.capacity = SLOW

    def test_leaves_after_hold(self) -> None:
        """Two fast entries replace it, but only after three seconds."""
        self.report(1, 2)
        self.decide()
        self.now += 2.4
        self.decide()
        self.assertTrue(self.rotation.in_rotation)
        self.report(1, 2)
        self.now += HOLD_S - 2.4
        self.decide()
        self.assertFalse(self.rotation.in_rotation)

    def test_returns_at_once(self) -> None:
        """Failures of a better entry that others depend on."""
        cases = (
            ('silent', {'age_s': 3.1}),
            ('stopping', {'stopping': True}),
            ('out of rotation', {'serving': False}),
            ('slow', {'capacity': 1}),
        )
        for name, change in cases:
            with self.subTest(name=name):
                self.setUp()
                self.leave()
                self.report(1, **change)
                self.decide()
                self.assertTrue(self.rotation.in_rotation)

    def test_longer_interval(self) -> None:
        """Three announced intervals, if that is longer than 2.5 s."""
        self.leave()
        self.report(1, 2, interval_s=2)
        self.now += 5.9
        self.decide()
        self.assertFalse(self.rotation.in_rotation)
        self.now += 0.2
        self.decide()
        self.assertTrue(self.rotation.in_rotation)

    def test_stays(self) -> None:
        """Cases in which it must not leave although two others are faster."""
        for name in ('alone', 'unknown own', 'unlocated', 'only one'):
            with self.subTest(name=name):
                self.setUp()
                if name == 'unknown own':
                    self.rotation.own.capacity = 0
                if name != 'alone':
                    self.report(1)
                    self.report(2, serving=name != 'only one')
                unlocated = 2 if name == 'unlocated' else 0
                for _ in range(20):
                    self.now += 0.1
                    self.decide(unlocated)
                self.now += 2
                self.decide(unlocated)
                self.assertTrue(self.rotation.in_rotation)

    def test_unlocated_entries_do_not_bring_it_back(self) -> None:
        """Entries of other data centres start, and this one stays out."""
        self.leave()
        self.decide(unlocated=5)
        self.assertFalse(self.rotation.in_rotation)

    def test_flapping_neighbour(self) -> None:
        """A better entry leaves and returns every second; this one stays."""
        for turn in range(60):
            self.report(1)
            self.report(2, serving=turn % 4 < 2)
            self.decide()
            self.assertTrue(self.rotation.in_rotation)
            self.now += 0.5

    def test_stall(self) -> None:
        """The condition must hold anew after this process did not run."""
        self.report(1, 2)
        self.decide()
        self.now += HOLD_S
        self.rotation.restart_hold()
        self.report(1, 2)
        self.decide()
        self.assertTrue(self.rotation.in_rotation)

    def test_dead_entries_count_for_a_minute(self) -> None:
        """Routers count them too, so at least half includes them."""
        self.leave()
        self.report(3, capacity=MEDIUM, age_s=59)
        self.rotation.sweep(self.now)
        self.assertEqual(self.rotation.describe(self.now)['known'], 4)
        self.now += 2
        self.rotation.sweep(self.now)
        self.assertEqual(self.rotation.describe(self.now)['known'], 3)

    def test_description(self) -> None:
        """Inputs and the age of the oldest, as logged."""
        self.report(1)
        self.report(2, age_s=1.5)
        self.assertEqual(
            self.rotation.describe(self.now),
            {
                'capacity': SLOW,
                'rank': 3,
                'known': 3,
                'wanted': 2,
                'in_rotation': 2,
                'age_ms': 1500,
            },
        )

    def leave(self) -> None:
        """Let the entry leave, as two fast ones are in rotation."""
        self.report(1, 2)
        self.decide()
        self.now += HOLD_S
        self.report(1, 2)
        self.decide()
        self.assertFalse(self.rotation.in_rotation)

    def decide(self, unlocated: int = 0) -> None:
        """Decide by the reports so far."""
        self.rotation.decide(self.now, unlocated)

    def report(
        self,
        *numbers: int,
        capacity: int = FAST,
        serving: bool = True,
        stopping: bool = False,
        interval_s: float = 1,
        age_s: float = 0,
    ) -> None:
        """Let other entries report."""
        for number in numbers:
            packed = bytes((10, 0, 0, number))
            state = EntryState(packed, capacity, self.now - age_s)
            state.serving = serving
            state.stopping = stopping
            state.interval_s = interval_s
            self.rotation.note(state)


def _mix(fast: int, medium: int, slow: int) -> list[int]:
    counts = ((FAST, fast), (MEDIUM, medium), (SLOW, slow))
    return [rate for rate, count in counts for _ in range(count)]
