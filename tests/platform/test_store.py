"""Tests of calls to the store and of its responses."""

import json
import unittest

from siskinbank.platform.documents import DocumentError
from siskinbank.platform.encoding import Item, encode_page, read_store_call
from siskinbank.platform.store import (
    HOSTS_PREFIX,
    OPERATOR_PREFIX,
    key_path,
    page_path,
    read_change,
    read_page,
    read_watch,
    watch_path,
)


class TestPaths(unittest.TestCase):
    """Request paths, decoded as the store decodes them."""

    def test_listing(self) -> None:
        """A listing continues after an escaped key."""
        call = read_store_call(
            page_path(HOSTS_PREFIX, 'servers/a b&c=ä', stale=True)
        )
        self.assertEqual(call.kind, 'list')
        self.assertEqual(call.prefix, HOSTS_PREFIX)
        self.assertEqual(call.after, 'servers/a b&c=ä')
        self.assertTrue(call.stale)
        self.assertFalse(read_store_call(page_path(HOSTS_PREFIX)).stale)

    def test_one_item(self) -> None:
        """One item is requested by its key and decoded."""
        call = read_store_call(key_path('op/config'))
        self.assertEqual((call.kind, call.prefix), ('read', 'op/config'))
        item = Item('op/config', b'{}', 7).document()
        change = read_change(json.dumps({**item, 'At': 9}).encode())
        self.assertEqual((change.key, change.content), ('op/config', b'{}'))
        self.assertEqual(change.revision, 7)

    def test_watch(self) -> None:
        """A watch has a revision and a wait in whole milliseconds."""
        call = read_store_call(watch_path(OPERATOR_PREFIX, 41, 1.0004))
        self.assertEqual((call.kind, call.after), ('watch', '41'))
        self.assertEqual(call.wait_s, 1)


class TestAnswers(unittest.TestCase):
    """Decoding of responses."""

    def test_pages(self) -> None:
        """Items, revision and the flag for more items are decoded."""
        items = [Item('op/x', b'\x00\xff', 4), Item('op/y', None, 5)]
        page = read_page(encode_page(items, 9, more=True))
        self.assertEqual((page.revision, page.more), (9, True))
        found = [(row.key, row.content, row.revision) for row in page.changes]
        self.assertEqual(found, [('op/x', b'\x00\xff', 4), ('op/y', None, 5)])

    def test_watch(self) -> None:
        """A watch may return no changes."""
        page = read_watch(encode_page([], 9, watch=True))
        self.assertEqual((page.changes, page.revision), ([], 9))

    def test_invalid_pages(self) -> None:
        """A response with any malformed part is refused."""
        for body in (
            b'',
            b'{}',
            b'{"items": {}, "At": 1}',
            b'{"items": [], "At": "1"}',
            b'{"items": [{"Key": 1}], "At": 1}',
            b'{"items": [{"Key": "a", "Rev": 1, "Value": "!"}], "At": 1}',
            b'{"items": [], "At": 1}',
            b'{"items": [], "HasMore": "no", "At": 1}',
            b'{"items": [], "HasMore": true, "At": 1}',
            b'{"items": [7], "HasMore": false, "At": 1}',
            b'{"items": [], "HasMore": false, "At": 1}{}',
            b'{"items": [], "HasMore": false, "At": 1, "At": 2}',
        ):
            with self.subTest(body=body), self.assertRaises(DocumentError):
                read_page(body)

    def test_invalid_changes(self) -> None:
        """Guards against a change that is taken for a removal."""
        for change in (
            b'{"Key": "a", "Rev": 1, "Removed": "no"}',
            b'{"Key": "a", "Rev": 1, "Removed": 1}',
            b'{"Key": "a", "Rev": 1, "Removed": false}',
            b'"a"',
        ):
            body = b'{"events": [' + change + b'], "At": 1}'
            with self.subTest(body=body), self.assertRaises(DocumentError):
                read_watch(body)
