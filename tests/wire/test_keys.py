"""Tests of the sealing of datagrams."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.wire.keys import Key, KeyRing, parse_keys

OLD = Key(1, bytes(32))
NEW = Key(2, b'7' * 32)

BAD_KEYS = ('', 'x', '1', f'300:{"0" * 64}', '1:zz', f'1:{"0" * 62}')


class TestKeyRing(unittest.TestCase):
    """Sealing, opening and key rotation."""

    def test_rotation_has_no_gap(self) -> None:
        """Key rings that share one key open each other's datagrams."""
        before = KeyRing([OLD])
        between = KeyRing([OLD, NEW])
        after = KeyRing([NEW, OLD])
        for sender in (before, between, after):
            for receiver in (between, after):
                with self.subTest(sender=sender, receiver=receiver):
                    self.assertEqual(receiver.open(sender.seal(b'x')), b'x')

    def test_unknown_key_is_not_opened(self) -> None:
        """A datagram sealed with an unknown key is not opened."""
        self.assertIsNone(KeyRing([OLD]).open(KeyRing([NEW]).seal(b'x')))

    @given(st.binary(max_size=64))
    def test_random_bytes_are_not_opened(self, random_bytes: bytes) -> None:
        """Random bytes are not opened."""
        self.assertIsNone(KeyRing([OLD]).open(random_bytes))

    @given(st.binary(min_size=1, max_size=64), st.data())
    def test_flipped_bit_is_detected(
        self, body: bytes, draw: st.DataObject
    ) -> None:
        """A datagram with one flipped bit is not opened."""
        ring = KeyRing([OLD])
        sealed = bytearray(ring.seal(body))
        place = draw.draw(st.integers(0, len(sealed) - 1))
        sealed[place] ^= 1
        self.assertIsNone(ring.open(bytes(sealed)))

    def test_rejects_bad_settings(self) -> None:
        """Malformed keys and duplicate key numbers are refused."""
        for text in BAD_KEYS:
            with self.subTest(text), self.assertRaises(ValueError):
                parse_keys(text)
        with self.assertRaises(ValueError):
            KeyRing([OLD, OLD])
