"""Tests of the HTTP client's view of responses."""

import unittest

from siskinbank.relay.http import Response


class TestStatusLine(unittest.TestCase):
    """What counts as the response to a request."""

    def test_status(self) -> None:
        """The code stands between two spaces, or at the end of the line."""
        for line in (b'HTTP/1.1 200 OK', b'HTTP/1.1 200 ', b'HTTP/1.0 200'):
            head = line + b'\r\nContent-Length: 0'
            self.assertEqual(Response(head).status, 200, line)

    def test_other_lines(self) -> None:
        """Guards against answers of something that speaks another protocol."""
        for line in (
            b'',
            b'HTTP/1.1 2000 OK',
            b'HTTP/1.1 20',
            b'HTTP/1.1  200 OK',
            b'HTTP/1.1 OK\r\nX: 200',
            b'ICY 200 OK',
            b'HTTP/1.12 200 OK',
        ):
            self.assertEqual(Response(line).status, 0, line)


if __name__ == '__main__':
    unittest.main()
