"""Tests of the verdict over known and new failures."""

import unittest

from tests.run import Tally, known_red, verdict

LIST = '# a comment\ntest: tests.a.B.c\ncommand: x\n'


class TestVerdict(unittest.TestCase):
    """What CI forgives."""

    def test_reads_list(self) -> None:
        """Only `test:` lines name tests."""
        self.assertEqual(known_red(LIST), {'tests.a.B.c'})

    def test_verdicts(self) -> None:
        """Only listed failures are forgiven; an empty run never passes."""
        for run, failed, known, code in (
            (2, set(), set(), 0),
            (2, {'a'}, {'a'}, 0),
            (2, {'a'}, set(), 1),
            (2, {'a', 'b'}, {'a'}, 1),
            (0, set(), set(), 1),
        ):
            with self.subTest(run=run, failed=failed, known=known):
                started = {'a', 'b', 'c'} if run else set()
                tally = Tally(started, set(), failed)
                self.assertEqual(verdict(tally, known)[1], code)
