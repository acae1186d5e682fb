"""Tests of the event catalogue."""

import io
import json
import unittest
from pathlib import Path

import logbook

from siskinbank.kernel import events

_PAGE = Path(__file__).parents[2] / 'docs' / 'EVENTS.md'


class TestCatalogue(unittest.TestCase):
    """The catalogue and its page."""

    def test_page_agrees(self) -> None:
        """The page in the docs is the one that the catalogue makes."""
        page = _PAGE.read_text(encoding='utf-8')
        self.assertEqual(page, f'{events.catalogue_page()}\n')

    def test_numbers_are_unique(self) -> None:
        """No number stands for two events."""
        numbers = [event.number for event in events.CATALOGUE]
        self.assertEqual(len(numbers), len(set(numbers)))


class TestLines(unittest.TestCase):
    """The two forms of a log line."""

    def setUp(self) -> None:
        """Catch what is written."""
        self.written = io.StringIO()
        self.addCleanup(self.drop_handlers)

    def drop_handlers(self) -> None:
        """Take the test's handler off again."""
        logbook.Handler.stack_manager.pop_application()

    def test_json(self) -> None:
        """A JSON line carries number and fields."""
        events.set_up_logging('INFO', 'json', self.written)
        events.EventLog('entry', 'e1').write(events.ADOPTED, generation=7)
        line = json.loads(self.written.getvalue())
        self.assertEqual((line['event'], line['generation']), (200, 7))

    def test_text(self) -> None:
        """A text line carries number and fields."""
        events.set_up_logging('INFO', 'text', self.written)
        events.EventLog('entry', 'e1').write(events.ADOPTED, generation=7)
        self.assertIn('E200 [entry e1]', self.written.getvalue())
        self.assertIn('generation=7', self.written.getvalue())
