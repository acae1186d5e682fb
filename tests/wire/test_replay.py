"""Tests of the replay window, against a set that remembers everything."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.wire.keys import Key, KeyRing
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.messages import Message
from siskinbank.wire.replay import STAMP_BYTES, ReplayGuard

RING = KeyRing([Key(1, bytes(32))])
PEER = ('127.0.0.1', 1)


class Wire:
    """A transport that keeps what is sent."""

    def __init__(self) -> None:
        """Start empty."""
        self.sent: list[bytes] = []

    def sendto(self, datagram: bytes, _receiver: object) -> None:
        """Keep a datagram."""
        self.sent.append(datagram)


class TestReplayGuard(unittest.TestCase):
    """Once each, in any order."""

    @given(st.lists(st.integers(0, 200), max_size=60))
    def test_as_a_set(self, order: list[int]) -> None:
        """Within the window the guard takes what a plain set would."""
        sender = ReplayGuard()
        stamps = [sender.stamp() for _ in range(201)]
        guard = ReplayGuard()
        guard.accept(stamps[0])
        seen = {0}
        for number in order:
            self.assertEqual(guard.accept(stamps[number]), number not in seen)
            seen.add(number)

    def test_too_old(self) -> None:
        """Below the window nothing can be told, so it is refused."""
        sender = ReplayGuard()
        stamps = [sender.stamp() for _ in range(1100)]
        guard = ReplayGuard()
        self.assertTrue(guard.accept(stamps[1]))
        self.assertTrue(guard.accept(stamps[-1]))
        self.assertFalse(guard.accept(stamps[0]))
        self.assertTrue(guard.accept(stamps[200]))

    def test_bounded(self) -> None:
        """Many senders do not fill the memory."""
        guard = ReplayGuard(max_senders=10)
        for _ in range(50):
            self.assertTrue(guard.accept(ReplayGuard().stamp()))
        self.assertEqual(len(guard), 10)
        self.assertFalse(guard.accept(b'x' * (STAMP_BYTES - 1)))

    def test_socket_takes_a_message_once(self) -> None:
        """A recorded control datagram is counted and not handed on."""
        wire = Wire()
        sender = PeerSocket(RING, Metrics())
        sender.use(wire)  # type: ignore[arg-type]
        sender.send_message(Owner(b'f' * 13, bytes(6), 1, 1), PEER)
        metrics = Metrics()
        receiver = PeerSocket(RING, metrics)
        taken: list[Message] = []
        receiver.on_message = lambda message, _sender: taken.append(message)
        for _ in range(3):
            receiver.receive(wire.sent[0], PEER)
        self.assertEqual(taken, [Owner(b'f' * 13, bytes(6), 1, 1)])
        self.assertEqual(metrics.value(Drop.replayed), 2)
