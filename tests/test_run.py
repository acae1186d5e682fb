"""Tests of the handling of known and new failures."""

import unittest

from tests.run import ResultRecorder, parse_known_red, summarize

LIST = '# a comment\ntest: tests.a.B.c\ncommand: x\n'


class TestSummary(unittest.TestCase):
    """Tests of the list of known failures and of the exit code."""

    def test_reads_list(self) -> None:
        """Only lines with `test:` list tests."""
        self.assertEqual(parse_known_red(LIST), {'tests.a.B.c'})

    def test_exit_codes(self) -> None:
        """Only listed failures are tolerated; an empty run always fails."""
        for run, failed, known, code in (
            (2, set(), set(), 0),
            (2, {'a'}, {'a'}, 0),
            (2, {'a'}, set(), 1),
            (2, {'a', 'b'}, {'a'}, 1),
            (0, set(), set(), 1),
        ):
            with self.subTest(run=run, failed=failed, known=known):
                started = {'a', 'b', 'c'} if run else set()
                results = ResultRecorder(started, set(), failed)
                self.assertEqual(summarize(results, known)[1], code)
