"""Tests of calls to the store and of its answers."""

import json
import unittest

from siskinbank.platform.documents import Unreadable
from siskinbank.platform.encoding import Item, encode_page, read_call
from siskinbank.platform.store import (
    HOSTS,
    OPERATOR,
    changes_path,
    key_path,
    page_path,
    read_change,
    read_page,
    read_watch,
)


class TestPaths(unittest.TestCase):
    """What is asked, as the store reads it."""

    def test_listing(self) -> None:
        """With the key to go on after, escaped."""
        call = read_call(page_path(HOSTS, 'servers/a b&c=ä', stale=True))
        self.assertEqual(call.kind, 'list')
        self.assertEqual(call.prefix, HOSTS)
        self.assertEqual(call.after, 'servers/a b&c=ä')
        self.assertTrue(call.stale)
        self.assertFalse(read_call(page_path(HOSTS)).stale)

    def test_one_item(self) -> None:
        """By its key; the answer is that item."""
        call = read_call(key_path('op/config'))
        self.assertEqual((call.kind, call.prefix), ('read', 'op/config'))
        item = Item('op/config', b'{}', 7).document()
        change = read_change(json.dumps({**item, 'At': 9}).encode())
        self.assertEqual((change.key, change.content), ('op/config', b'{}'))
        self.assertEqual(change.revision, 7)

    def test_watch(self) -> None:
        """With a revision, and whole milliseconds to wait."""
        call = read_call(changes_path(OPERATOR, 41, 1.0004))
        self.assertEqual((call.kind, call.after), ('watch', '41'))
        self.assertEqual(call.wait_s, 1)


class TestAnswers(unittest.TestCase):
    """What comes back."""

    def test_pages(self) -> None:
        """Items, whether there are more, and the store's revision."""
        items = [Item('op/x', b'\x00\xff', 4), Item('op/y', None, 5)]
        page = read_page(encode_page(items, 9, more=True))
        self.assertEqual((page.revision, page.more), (9, True))
        found = [(row.key, row.content, row.revision) for row in page.changes]
        self.assertEqual(found, [('op/x', b'\x00\xff', 4), ('op/y', None, 5)])

    def test_watch(self) -> None:
        """Changes, or none."""
        page = read_watch(encode_page([], 9, watch=True))
        self.assertEqual((page.changes, page.revision), ([], 9))

    def test_what_is_no_answer(self) -> None:
        """Each is refused as a whole."""
        for body in (
            b'',
            b'{}',
            b'{"items": {}, "At": 1}',
            b'{"items": [], "At": "1"}',
            b'{"items": [{"Key": 1}], "At": 1}',
            b'{"items": [{"Key": "a", "Rev": 1, "Value": "!"}], "At": 1}',
        ):
            with self.subTest(body=body), self.assertRaises(Unreadable):
                read_page(body)
