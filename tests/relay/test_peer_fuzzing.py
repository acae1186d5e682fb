"""Random datagrams for all handlers of real entries and sidecars."""

import random
import unittest
from types import SimpleNamespace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import SYN
from siskinbank.relay import messages
from siskinbank.relay.entry import Entry
from siskinbank.relay.loop import Loop
from siskinbank.relay.meters import Meters
from siskinbank.relay.sidecar import Sidecar

PEER = '10.0.0.9'
EXAMPLES = 1000


def make_node(role: str) -> Any:
    """Return the environment of a process with sockets on loopback only."""
    ip = f'127.{random.randrange(1, 250)}.{random.randrange(250)}.1'
    return SimpleNamespace(
        loop=Loop(),
        log=lambda *_, **_fields: None,
        meters=Meters(),
        handlers={},
        packed_ip=bytes(map(int, ip.split('.'))),
        settings=SimpleNamespace(
            ip=ip,
            data_centre='a',
            instance=role,
            service='matcher',
            seeds=('10.0.0.1',),
            store=('127.0.0.1', 1),
            packet_port=31000,
            peer_port=31001,
            link_kbps=0,
            cores=0,
            flow_lifetime_s=60.0,
            outbound_address=(ip, 31002),
            host_address=(ip, 31003),
        ),
        send=lambda _ip, _datagram: None,
        receive_pending=lambda: True,
        stop=lambda: None,
        reset_flow=lambda *_, **_inputs: None,
    )


class TestHandlers(unittest.TestCase):
    """One malformed message must not have more effect than being dropped."""

    @classmethod
    def setUpClass(cls) -> None:
        """Create an entry and a sidecar."""
        cls.nodes = [make_node('entry'), make_node('sidecar')]
        cls.programs = [Entry(cls.nodes[0]), Sidecar(cls.nodes[1])]

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes(self, rest: bytes) -> None:
        """After each kind of message."""
        for node in self.nodes:
            for kind in node.handlers:
                self.handle(node, bytes((kind,)) + rest)

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.data())
    def test_damaged_messages(self, found: st.DataObject) -> None:
        """Valid messages, cut off or with a few bytes changed."""
        valid = found.draw(st.sampled_from(_valid_messages()))
        end = found.draw(st.integers(1, len(valid)))
        damaged = bytearray(valid[:end])
        for _ in range(found.draw(st.integers(0, 4))):
            position = found.draw(st.integers(0, len(damaged) - 1))
            damaged[position] = found.draw(st.integers(0, 255))
        for node in self.nodes:
            if damaged[0] in node.handlers:
                self.handle(node, bytes(damaged))

    def handle(self, node: Any, datagram: bytes) -> None:
        """Handle a datagram; only the error for malformed ones is allowed."""
        node.loop.now += 0.001
        try:
            node.handlers[datagram[0]](datagram, PEER)
        except messages.DatagramError:
            return


def _valid_messages() -> list[bytes]:
    packet = Packet(('100.64.0.1', 9), ('198.18.0.1', 443), SYN).write()
    key = bytes(12)
    opening = messages.Opening(bytes(4), packet)
    opening.candidates = [bytes((10, 0, 0, 1)), bytes((10, 0, 0, 2))]
    return [
        opening.pack(),
        messages.pack_forward(packet),
        messages.pack_search(packet),
        messages.pack_relayed(bytes(4), [bytes((10, 0, 0, 3))], packet),
        messages.pack_flow_note(messages.HELD, key, 7, 1),
        messages.pack_flow_note(messages.REFUSED, key, 7, 2) + packet,
        messages.pack_flow_note(messages.ABSENT, key, 7) + packet,
        messages.pack_flows(messages.FLOW_QUERY, [(key, 7), (key, 8)]),
        messages.pack_flows(messages.NOT_HELD, [(key, 7)]),
        messages.pack_flows(messages.HELD_UNKNOWN, [(key, 7)]),
        messages.Status(7, 8).pack(),
        messages.Announcement().pack(),
        messages.EntryCapacity(messages.digest('a')).pack(),
        messages.Record().pack(),
        messages.pack_hello(messages.WANTS_PEERS, 7),
        messages.pack_hello(messages.FROM_SIDECAR | messages.WANTS_RECORD, 7),
        messages.pack_addresses(messages.PEERS, [bytes(4)], [bytes(4)]),
        messages.pack_listing(7, 0.5, 0, 2, [bytes(4)]),
        messages.pack_record_request(bytes(4)),
        messages.pack_piece(9, 0, 1, b'piece'),
        bytes((messages.CONFIGURATION_REQUEST,)),
        bytes((messages.LISTING_REQUEST,)),
    ]
