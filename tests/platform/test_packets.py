"""Tests of packet headers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.platform.encoding import Packet, answer_bytes, request_bytes
from siskinbank.platform.packets import (
    ACK,
    BOUNCED,
    FIN,
    FLOW_KEY,
    RST,
    SYN,
    begins_request,
    build_reset,
    clear_bounced,
    client_address,
    describe_flow,
    packet_problem,
    read_answer,
    request_id,
    reverse_flow_key,
    route_key,
)

CLIENT = ('100.64.0.7', 40001)
SERVICE = ('198.18.0.1', 443)
# The example in the platform's description of the packet format.
EXAMPLE = bytes.fromhex(
    'a1b2c3d5112233440000000004644000 07c61200019c4101bb000000000000'.replace(
        ' ', ''
    ),
)
EXAMPLE_RESET = bytes.fromhex(
    '00000000000000000000000020c61200016440000701bb9c41000000000000',
)


class TestHeader(unittest.TestCase):
    """Decoding and encoding of packet headers."""

    def test_published_example(self) -> None:
        """A SYN is decoded, and its reset matches the example."""
        self.assertIsNone(packet_problem(EXAMPLE))
        packet = Packet.read(EXAMPLE)
        self.assertEqual((packet.source, packet.target), (CLIENT, SERVICE))
        self.assertEqual((packet.flags, packet.number), (SYN, 0x11223344))
        self.assertEqual(build_reset(EXAMPLE), EXAMPLE_RESET)

    def test_both_directions_have_one_flow_key(self) -> None:
        """A host's packet has the flow key of the client's packets."""
        from_client = Packet(CLIENT, SERVICE, ACK).write()
        from_host = Packet(SERVICE, CLIENT, ACK).write()
        key = from_client[FLOW_KEY]
        self.assertEqual(reverse_flow_key(from_host), key)
        self.assertEqual(client_address(key), CLIENT[0])
        self.assertEqual(route_key(key), bytes((198, 18, 0, 1, 1, 187)))
        self.assertEqual(describe_flow(key), '100.64.0.7:40001-198.18.0.1:443')

    def test_reset_repeats_acknowledged_number(self) -> None:
        """Clients accept a reset only near the number they acknowledged."""
        raw = Packet(CLIENT, SERVICE, ACK, 5, 0xFFFFFFF0, b'data').write()
        reset = Packet.read(build_reset(raw))
        self.assertEqual((reset.flags, reset.number), (RST, 0xFFFFFFF0))
        self.assertEqual((reset.source, reset.target), (SERVICE, CLIENT))
        self.assertEqual((reset.checksum, reset.content), (0, b''))

    def test_clear_bounced(self) -> None:
        """Only the bounced flag is removed from the packet."""
        raw = Packet(CLIENT, SERVICE, ACK, 5, 6, b'data').write()
        bounced = bytearray(raw)
        bounced[12] |= BOUNCED
        self.assertEqual(clear_bounced(bytes(bounced)), raw)

    def test_invalid_client_packets(self) -> None:
        """Each invalid packet is refused with its reason."""
        good = Packet(CLIENT, SERVICE, ACK, content=b'data').write()
        for problem, raw in (
            ('short', b''),
            ('short', good[:30]),
            ('length', good[:-1]),
            ('length', good + b'x'),
            ('flags', Packet(CLIENT, SERVICE, 0x48).write()),
            ('forged', Packet(CLIENT, SERVICE, ACK | BOUNCED).write()),
            ('forged', Packet(CLIENT, SERVICE, SYN | ACK).write()),
        ):
            with self.subTest(problem=problem, raw=raw):
                self.assertEqual(packet_problem(raw), problem)

    def test_valid_client_flags(self) -> None:
        """All flags that clients use are valid."""
        for flags in (0, SYN, ACK, FIN | ACK, RST, RST | ACK):
            with self.subTest(flags=flags):
                packet = Packet(CLIENT, SERVICE, flags).write()
                self.assertIsNone(packet_problem(packet))

    @given(st.binary(max_size=1300))
    def test_any_datagram(self, raw: bytes) -> None:
        """A datagram that is valid can be processed further."""
        if packet_problem(raw) is None:
            describe_flow(raw[FLOW_KEY])
            build_reset(raw)
            begins_request(raw)
            request_id(raw)


class TestContent(unittest.TestCase):
    """Reading of HTTP requests and responses in packets."""

    def test_requests_and_answers(self) -> None:
        """The start of a request with its id, and of a response."""
        raw = Packet(CLIENT, SERVICE, ACK, content=request_bytes('r7')).write()
        self.assertTrue(begins_request(raw))
        self.assertEqual(request_id(raw), 'r7')
        answer = Packet(SERVICE, CLIENT, ACK, content=answer_bytes('r7', 'i'))
        found = read_answer(answer.write())
        self.assertIsNotNone(found)
        self.assertEqual(found and found.status, '200')
        self.assertTrue(found and found.executed)

    def test_other_content(self) -> None:
        """Data inside a body starts neither a request nor a response."""
        raw = Packet(CLIENT, SERVICE, ACK, content=b'xx POST').write()
        self.assertFalse(begins_request(raw))
        self.assertIsNone(read_answer(raw))
        self.assertEqual(request_id(raw), '-')
