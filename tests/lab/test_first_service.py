"""Tests of the README's first service with an ordinary HTTP server."""

from tests.first_service import LOOPBACK, FirstServiceCase, fetch_with_retries


class TestFirstService(FirstServiceCase):
    """An HTTP server as upstream, through ``http`` and ``tcp``."""

    def test_page_is_complete(self) -> None:
        """A large page is unchanged through both ingresses."""
        for port in self.ports[6:8]:
            with self.subTest(port):
                page = fetch_with_retries(f'http://{LOOPBACK}:{port}/page')
                self.assertEqual(page, self.page)
