"""Tests of control messages."""

import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from siskinbank.wire.flow_messages import Moved, Owner
from siskinbank.wire.messages import Message, MessageError, decode, encode
from siskinbank.wire.request_messages import BodyPart, RequestHead

MESSAGES: tuple[Message, ...] = (
    Owner(b'f' * 13, b'abcdef', 2**64 - 1, 7),
    Moved(1, b'abcdef', 2, 7, 30, bytes(16)),
    RequestHead(1, 2, 'k', 't', True, 2.5, True, 'GET', '/', 0, [['a', 'b']]),
    BodyPart(1, 0, True, b''),
)
BAD = (
    b'',
    b'\xc1',
    msgpack.packb({}),
    msgpack.packb([]),
    msgpack.packb([9999]),
    msgpack.packb([[]]),
    msgpack.packb([2, 1]),
    msgpack.packb([2, 'x', b'abcdef', 1, 1]),
    msgpack.packb([2, True, b'abcdef', 1, 1]),
    msgpack.packb([2, b'f', b'abcdef', True, 1]),
)


class TestMessages(unittest.TestCase):
    """Encoding and decoding."""

    def test_round_trip(self) -> None:
        """Decoding an encoded message returns an equal message."""
        for sent in MESSAGES:
            with self.subTest(sent):
                self.assertEqual(decode(encode(sent)), sent)

    def test_refuses_malformed(self) -> None:
        """Wrong kinds, field counts and types are refused."""
        for raw in BAD:
            with self.subTest(raw), self.assertRaises(MessageError):
                decode(raw)

    @given(st.binary(max_size=200))
    def test_random_bytes(self, random_bytes: bytes) -> None:
        """Any bytes are decoded or raise MessageError."""
        try:
            received = decode(random_bytes)
        except MessageError:
            return
        self.assertIsInstance(received, Message)
