"""Tests of header validation and filtering between HTTP and streams."""

import unittest
from typing import Any

from siskinbank.wire.headers import (
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    forwarded_headers,
    header_problem,
    target_problem,
)

BAD_HEADERS: tuple[list[Any], ...] = (
    [['a', 'b\r\nInjected: yes']],
    [['a', 'b\nInjected: yes']],
    [['a', 'b\0c']],
    [['a\r\nInjected', 'yes']],
    [['a b', 'c']],
    [['', 'c']],
    [['a:', 'c']],
    [['Transfer-Encoding', 'chunked']],
    [['content-length', '5']],
    [['Connection', 'close']],
    [['Upgrade', 'h2c']],
    [['a', 5]],
    [['a']],
    ['ab'],
    [['a', 'x' * (MAX_HEADER_BYTES + 1)]],
    [['a', 'x'] for _ in range(MAX_HEADERS + 1)],
)
BAD_TARGETS = (
    ('GET', ''),
    ('GET', 'http://elsewhere/'),
    ('GET', '/ HTTP/1.1\r\nInjected: yes'),
    ('GET', '/a b'),
    ('GET', f'/{"x" * 10_000}'),
    ('GET\r\n', '/'),
    ('G ET', '/'),
    ('', '/'),
    ('CONNECT', '/'),
)


class TestHeaders(unittest.TestCase):
    """Validation and removal of headers."""

    def test_bad_headers(self) -> None:
        """Headers that an HTTP parser would refuse are refused."""
        for headers in BAD_HEADERS:
            with self.subTest(str(headers)[:60]):
                self.assertIsNotNone(header_problem(headers))

    def test_good_headers(self) -> None:
        """Ordinary headers are valid, also with non-ASCII values."""
        good = [['Accept', '*/*'], ['X-Name', 'Þórr\tx'], ['x-empty', '']]
        self.assertIsNone(header_problem(good))

    def test_targets(self) -> None:
        """Invalid methods and targets are refused, valid ones are not."""
        for method, target in BAD_TARGETS:
            with self.subTest((method, target[:40])):
                self.assertIsNotNone(target_problem(method, target))
        self.assertIsNone(target_problem('PATCH', '/a?b=%20c'))
        self.assertIsNone(target_problem('OPTIONS', '*'))

    def test_hop_by_hop_headers_are_removed(self) -> None:
        """Hop-by-hop headers and those named by Connection are removed."""
        given = {
            'Connection': 'close, X-Private',
            'X-Private': '1',
            'Transfer-Encoding': 'chunked',
            'Siskinbank-Ticket': 't',
            'Siskinbank-Outcome': 'answered',
            'Accept': '*/*',
        }
        self.assertEqual(forwarded_headers(given), [['Accept', '*/*']])
