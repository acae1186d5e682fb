"""Tests of the configuration in force."""

import unittest

from siskinbank.platform.documents import DocumentError
from siskinbank.platform.encoding import RouteDocument, encode_configuration
from siskinbank.tracking.configuration import Configuration


def raw(version: int) -> bytes:
    """Return a configuration with one route."""
    return encode_configuration(version, [RouteDocument('a', ('1.2.3.4', 80))])


class TestConfiguration(unittest.TestCase):
    """Only complete newer versions are applied."""

    def test_newer_versions_only(self) -> None:
        """In any order, from the store or from peers."""
        configuration = Configuration()
        for version, applied in ((5, True), (5, False), (3, False), (9, True)):
            self.assertEqual(configuration.apply(raw(version)), applied)
        other = Configuration()
        self.assertTrue(other.apply_packed(configuration.packed))
        self.assertEqual((other.version, len(other.routes)), (9, 1))

    def test_damaged_documents_are_rejected(self) -> None:
        """The configuration in force is kept."""
        configuration = Configuration()
        configuration.apply(raw(5))
        for damaged in (b'', b'x', configuration.packed[:-4]):
            with (
                self.subTest(damaged=damaged),
                self.assertRaises(DocumentError),
            ):
                configuration.apply_packed(damaged)
        with self.assertRaises(DocumentError):
            configuration.apply(raw(6)[:-1])
        self.assertEqual(configuration.version, 5)
