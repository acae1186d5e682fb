"""Tests of the parser of JSON from outside."""

import unittest

from siskinbank.util import parse_json


class TestParseJson(unittest.TestCase):
    """Texts that RFC 8259 allows, and others."""

    def test_json(self) -> None:
        """All kinds of values, with white space around."""
        raw = b' \t\r\n{"a": [1, 2.5, null, true, "x"]}\n'
        self.assertEqual(parse_json(raw), {'a': [1, 2.5, None, True, 'x']})

    def test_no_json(self) -> None:
        """Guards against documents that readers understand differently."""
        for raw in (
            b'',
            b'{} x',
            b'{"a": 1, "a": 2}',
            b'[{"a": {"b": 1, "b": 1}}]',
            b'NaN',
            b'[Infinity]',
            b'[-Infinity]',
            b'\xef\xbb\xbf{}',
            '{}'.encode('utf-16'),
            b'\x0c{}',
            b'[' * 100_000,
        ):
            with self.subTest(raw=raw[:20]), self.assertRaises(ValueError):
                parse_json(raw)


if __name__ == '__main__':
    unittest.main()
