"""Tests of replay protection, compared with a plain set of counts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.keys import Key, KeyRing
from siskinbank.wire.messages import Message
from siskinbank.wire.replay import STAMP_BYTES, ReplayGuard

RING = KeyRing([Key(1, bytes(32))])
PEER = ('127.0.0.1', 1)


class RecordingTransport:
    """A transport that records sent datagrams."""

    def __init__(self) -> None:
        """Initialize without datagrams."""
        self.sent: list[bytes] = []

    def sendto(self, datagram: bytes, _receiver: object) -> None:
        """Record a datagram."""
        self.sent.append(datagram)


class TestReplayGuard(unittest.TestCase):
    """Each message is accepted once, in any order."""

    @given(st.lists(st.integers(0, 200), max_size=60))
    def test_matches_a_set(self, order: list[int]) -> None:
        """Within the window the guard accepts the same as a plain set."""
        sender = ReplayGuard()
        stamps = [sender.stamp() for _ in range(201)]
        guard = ReplayGuard()
        guard.accept(stamps[0])
        seen = {0}
        for number in order:
            self.assertEqual(guard.accept(stamps[number]), number not in seen)
            seen.add(number)

    def test_below_window_is_refused(self) -> None:
        """Messages below the window are unknown and therefore refused."""
        sender = ReplayGuard()
        stamps = [sender.stamp() for _ in range(1100)]
        guard = ReplayGuard()
        self.assertTrue(guard.accept(stamps[1]))
        self.assertTrue(guard.accept(stamps[-1]))
        self.assertFalse(guard.accept(stamps[0]))
        self.assertTrue(guard.accept(stamps[200]))

    def test_sender_count_is_bounded(self) -> None:
        """The number of stored senders is limited."""
        guard = ReplayGuard(max_senders=10)
        for _ in range(50):
            self.assertTrue(guard.accept(ReplayGuard().stamp()))
        self.assertEqual(len(guard), 10)
        self.assertFalse(guard.accept(b'x' * (STAMP_BYTES - 1)))

    def test_socket_drops_replayed_messages(self) -> None:
        """A replayed control datagram is counted and not delivered."""
        transport = RecordingTransport()
        sender = PeerSocket(RING, Metrics())
        sender.attach_transport(transport)  # type: ignore[arg-type]
        sender.send_message(Owner(b'f' * 13, bytes(6), 1, 1), PEER)
        metrics = Metrics()
        receiver = PeerSocket(RING, metrics)
        received: list[Message] = []
        receiver.on_message = lambda message, _sender: received.append(message)
        for _ in range(3):
            receiver.receive(transport.sent[0], PEER)
        self.assertEqual(received, [Owner(b'f' * 13, bytes(6), 1, 1)])
        self.assertEqual(metrics.value(Drop.replayed), 2)
