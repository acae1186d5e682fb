"""Tests of the peer socket's subscriptions."""

import random
import unittest

from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop
from siskinbank.lab.network import FakeNetwork
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.wire.keys import Key, KeyRing
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.messages import Message, encode
from siskinbank.wire.request_messages import Cancel

KEYS = KeyRing([Key(1, bytes(32))])
SENDER = ('10.0.0.1', 7100)
RECEIVER = ('10.0.0.2', 7100)
OWNER = Owner(b'f' * 13, bytes(6), 1, 1)
CANCEL = Cancel(1)


class TestSubscriptions(unittest.TestCase):
    """Several parts share one socket."""

    def setUp(self) -> None:
        """Make a socket whose handlers keep what they got."""
        self.metrics = Metrics()
        self.peers = PeerSocket(KEYS, self.metrics)
        self.owners: list[Message] = []
        self.others: list[Message] = []
        self.peers.subscribe(Owner, self.take_owner)
        self.peers.on_message = self.take_other

    def take_owner(self, received: Message, _sender: object) -> None:
        """Keep a message of the subscribed class."""
        self.owners.append(received)

    def take_other(self, received: Message, _sender: object) -> None:
        """Keep any other message."""
        self.others.append(received)

    def test_by_class(self) -> None:
        """Each class reaches its own subscriber, the rest the default."""
        network = FakeNetwork(FakeClock(), random.Random(1))
        network.bind(RECEIVER, self.peers.receive)
        sending = PeerSocket(KEYS, Metrics())
        sending.use(network.bind(SENDER, sending.receive))
        for sent in (OWNER, CANCEL):
            sending.send_message(sent, RECEIVER)
        network.run(1)
        self.assertEqual((self.owners, self.others), ([OWNER], [CANCEL]))

    def test_one_subscriber_a_class(self) -> None:
        """A second subscriber is an error of the program."""
        with self.assertRaises(ValueError):
            self.peers.subscribe(Owner, self.take_other)

    def test_unkeyed_is_counted(self) -> None:
        """What is not sealed reaches nobody."""
        self.peers.receive(b'\0' + encode(OWNER), SENDER)
        self.assertEqual(self.metrics.value(Drop.unkeyed), 1)
        self.assertEqual((self.owners, self.others), ([], []))
