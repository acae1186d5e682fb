"""Tests of the event catalogue."""

import io
import json
import unittest
from pathlib import Path

import logbook

from siskinbank.kernel import events

_PAGE = Path(__file__).parents[2] / 'docs' / 'EVENTS.md'


class TestCatalogue(unittest.TestCase):
    """Tests of the catalogue and its documentation page."""

    def test_page_is_current(self) -> None:
        """docs/EVENTS.md is the page generated from the catalogue."""
        page = _PAGE.read_text(encoding='utf-8')
        self.assertEqual(page, f'{events.catalogue_page()}\n')

    def test_numbers_are_unique(self) -> None:
        """Each event has its own number."""
        numbers = [event.number for event in events.CATALOGUE]
        self.assertEqual(len(numbers), len(set(numbers)))


class TestLines(unittest.TestCase):
    """Tests of the two log formats."""

    def setUp(self) -> None:
        """Capture the log output."""
        self.written = io.StringIO()
        self.addCleanup(self.remove_handler)

    def remove_handler(self) -> None:
        """Remove the handler that the test has added."""
        logbook.Handler.stack_manager.pop_application()

    def test_json(self) -> None:
        """A JSON line contains the event number and the fields."""
        events.set_up_logging('INFO', 'json', self.written)
        events.EventLog('entry', 'e1').write(
            events.CONFIGURATION_ADOPTED, generation=7
        )
        line = json.loads(self.written.getvalue())
        self.assertEqual((line['event'], line['generation']), (200, 7))

    def test_text(self) -> None:
        """A text line contains the event number and the fields."""
        events.set_up_logging('INFO', 'text', self.written)
        events.EventLog('entry', 'e1').write(
            events.CONFIGURATION_ADOPTED, generation=7
        )
        self.assertIn('E200 [entry e1]', self.written.getvalue())
        self.assertIn('generation=7', self.written.getvalue())
