"""Tests of the head of a packet."""

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
    answer_key,
    begins_request,
    client_address,
    describe,
    not_bounced,
    problem_of,
    read_answer,
    request_id,
    reset_for,
    route_key,
)

CLIENT = ('100.64.0.7', 40001)
SERVICE = ('198.18.0.1', 443)
# The example of the platform's page for the format.
EXAMPLE = bytes.fromhex(
    'a1b2c3d5112233440000000004644000 07c61200019c4101bb000000000000'.replace(
        ' ', ''
    ),
)
EXAMPLE_RESET = bytes.fromhex(
    '00000000000000000000000020c61200016440000701bb9c41000000000000',
)


class TestHead(unittest.TestCase):
    """Reading and writing."""

    def test_the_published_example(self) -> None:
        """A SYN, and the reset that answers it."""
        self.assertIsNone(problem_of(EXAMPLE))
        packet = Packet.read(EXAMPLE)
        self.assertEqual((packet.source, packet.target), (CLIENT, SERVICE))
        self.assertEqual((packet.flags, packet.number), (SYN, 0x11223344))
        self.assertEqual(reset_for(EXAMPLE), EXAMPLE_RESET)

    def test_both_ways_name_one_flow(self) -> None:
        """A host's packet has the key of the client's."""
        there = Packet(CLIENT, SERVICE, ACK).write()
        back = Packet(SERVICE, CLIENT, ACK).write()
        key = there[FLOW_KEY]
        self.assertEqual(answer_key(back), key)
        self.assertEqual(client_address(key), CLIENT[0])
        self.assertEqual(route_key(key), bytes((198, 18, 0, 1, 1, 187)))
        self.assertEqual(describe(key), '100.64.0.7:40001-198.18.0.1:443')

    def test_a_reset_repeats_what_the_client_acknowledged(self) -> None:
        """Clients take it only near that number."""
        raw = Packet(CLIENT, SERVICE, ACK, 5, 0xFFFFFFF0, b'data').write()
        reset = Packet.read(reset_for(raw))
        self.assertEqual((reset.flags, reset.number), (RST, 0xFFFFFFF0))
        self.assertEqual((reset.source, reset.target), (SERVICE, CLIENT))
        self.assertEqual((reset.checksum, reset.content), (0, b''))

    def test_a_bounced_packet_becomes_the_client_s_again(self) -> None:
        """Only the mark is taken off."""
        raw = Packet(CLIENT, SERVICE, ACK, 5, 6, b'data').write()
        bounced = bytearray(raw)
        bounced[12] |= BOUNCED
        self.assertEqual(not_bounced(bytes(bounced)), raw)

    def test_what_cannot_be_a_client_s(self) -> None:
        """Each for its reason."""
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
                self.assertEqual(problem_of(raw), problem)

    def test_what_clients_send(self) -> None:
        """All their flags pass."""
        for flags in (0, SYN, ACK, FIN | ACK, RST, RST | ACK):
            with self.subTest(flags=flags):
                packet = Packet(CLIENT, SERVICE, flags).write()
                self.assertIsNone(problem_of(packet))

    @given(st.binary(max_size=1300))
    def test_any_datagram(self, raw: bytes) -> None:
        """What passes can be worked on."""
        if problem_of(raw) is None:
            describe(raw[FLOW_KEY])
            reset_for(raw)
            begins_request(raw)
            request_id(raw)


class TestContent(unittest.TestCase):
    """What a sidecar reads of the requests inside."""

    def test_requests_and_answers(self) -> None:
        """Begin of a request with its id, begin of an answer."""
        raw = Packet(CLIENT, SERVICE, ACK, content=request_bytes('r7')).write()
        self.assertTrue(begins_request(raw))
        self.assertEqual(request_id(raw), 'r7')
        answer = Packet(SERVICE, CLIENT, ACK, content=answer_bytes('r7', 'i'))
        found = read_answer(answer.write())
        self.assertIsNotNone(found)
        self.assertEqual(found and found.status, '200')
        self.assertTrue(found and found.executed)

    def test_other_content(self) -> None:
        """The middle of a body begins nothing."""
        raw = Packet(CLIENT, SERVICE, ACK, content=b'xx POST').write()
        self.assertFalse(begins_request(raw))
        self.assertIsNone(read_answer(raw))
        self.assertEqual(request_id(raw), '-')
