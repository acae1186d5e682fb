"""Tests of the peer socket's subscriptions."""

import random
import unittest

from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop
from siskinbank.lab.network import FakeNetwork
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.keys import Key, KeyRing
from siskinbank.wire.messages import Message, encode
from siskinbank.wire.request_messages import Cancel

KEYS = KeyRing([Key(1, bytes(32))])
SENDER = ('10.0.0.1', 7100)
RECEIVER = ('10.0.0.2', 7100)
OWNER = Owner(b'f' * 13, bytes(6), 1, 1)
CANCEL = Cancel(1)


class TestSubscriptions(unittest.TestCase):
    """Several components share one socket."""

    def setUp(self) -> None:
        """Create a socket whose handlers record their messages."""
        self.metrics = Metrics()
        self.peers = PeerSocket(KEYS, self.metrics)
        self.owners: list[Message] = []
        self.others: list[Message] = []
        self.peers.subscribe(Owner, self.record_owner)
        self.peers.on_message = self.record_other

    def record_owner(self, received: Message, _sender: object) -> None:
        """Record a message of the subscribed class."""
        self.owners.append(received)

    def record_other(self, received: Message, _sender: object) -> None:
        """Record any other message."""
        self.others.append(received)

    def test_by_class(self) -> None:
        """Messages go to the subscriber of their class, or the default."""
        network = FakeNetwork(FakeClock(), random.Random(1))
        network.bind(RECEIVER, self.peers.receive)
        sender_socket = PeerSocket(KEYS, Metrics())
        sender_socket.attach_transport(
            network.bind(SENDER, sender_socket.receive)
        )
        for sent in (OWNER, CANCEL):
            sender_socket.send_message(sent, RECEIVER)
        network.run(1)
        self.assertEqual((self.owners, self.others), ([OWNER], [CANCEL]))

    def test_one_subscriber_a_class(self) -> None:
        """A second subscriber of a class is a programming error."""
        with self.assertRaises(ValueError):
            self.peers.subscribe(Owner, self.record_other)

    def test_unkeyed_is_counted(self) -> None:
        """An unsealed datagram is counted and reaches no handler."""
        self.peers.receive(b'\0' + encode(OWNER), SENDER)
        self.assertEqual(self.metrics.value(Drop.unkeyed), 1)
        self.assertEqual((self.owners, self.others), ([], []))
