"""Tests of inner packets and envelopes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.lab.standins.packets import ACK, SYN, Flow, make_packet
from siskinbank.wire.envelopes import Envelope
from siskinbank.wire.packets import (
    pack_address,
    parse_inner,
    unpack_address,
)

FLOW = Flow('10.1.2.3', 4000, '10.0.0.9', 443)
PACKET = make_packet(FLOW, SYN, b'hello')


class TestInnerPacket(unittest.TestCase):
    """Parsing of inner packets."""

    def test_reads_fields(self) -> None:
        """Ports and flags are parsed."""
        packet = parse_inner(PACKET)
        assert packet is not None
        self.assertEqual(packet.target_port, 443)
        self.assertTrue(packet.first)

    def test_key_depends_on_flow_only(self) -> None:
        """All packets of a flow have the same number, whatever their flags."""
        first = parse_inner(PACKET)
        later = parse_inner(make_packet(FLOW, ACK))
        other = parse_inner(make_packet(FLOW.reverse(), ACK))
        assert first and later and other
        self.assertEqual(first.key, later.key)
        self.assertNotEqual(first.key, other.key)

    def test_truncated_packets(self) -> None:
        """A packet truncated at any byte is refused."""
        for size in range(0, len(PACKET)):
            with self.subTest(size):
                self.assertIsNone(parse_inner(PACKET[:size]))

    @given(st.binary(max_size=80))
    def test_random_bytes(self, random_bytes: bytes) -> None:
        """Any bytes are parsed or refused."""
        packet = parse_inner(random_bytes)
        if packet is not None:
            self.assertLessEqual(len(packet.raw), len(random_bytes))


class TestEnvelope(unittest.TestCase):
    """Packing and unpacking of envelopes."""

    def test_round_trip(self) -> None:
        """Unpacking a packed envelope returns an equal envelope."""
        candidates = tuple(
            pack_address(('127.0.0.1', port)) for port in (1, 2, 65535)
        )
        sent = Envelope(
            1, 2, 3, 4, 5, 6, pack_address(('127.0.0.9', 8)), candidates, PACKET
        )
        self.assertEqual(Envelope.unpack(sent.pack()), sent)

    @given(st.binary(max_size=120))
    def test_random_bytes(self, random_bytes: bytes) -> None:
        """Any bytes are unpacked or refused."""
        envelope = Envelope.unpack(random_bytes)
        if envelope is not None:
            self.assertLess(len(envelope.raw), len(random_bytes))

    def test_addresses(self) -> None:
        """Unpacking a packed address returns the address."""
        address = ('10.20.30.40', 7100)
        self.assertEqual(unpack_address(pack_address(address)), address)
