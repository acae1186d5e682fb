"""Tests of what entries tell each other, without sockets."""

import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.beliefs.hosts import HostBeliefs
from siskinbank.relay import messages
from siskinbank.relay.gossip import Gossip
from siskinbank.relay.loop import NEVER, Loop

OWN = '10.0.0.1'
OTHERS = ('10.0.0.2', '10.0.0.3')


class Circle:
    """The surroundings of one entry.

    Attributes:
        sent: kinds of the datagrams sent, with their receivers.
    """

    def __init__(self) -> None:
        """Know two other entries."""
        self.sent: list[tuple[int, str]] = []
        self.configuration = SimpleNamespace(version=0)
        follower: Any = SimpleNamespace(
            configuration=self.configuration,
            hosts={},
            hosts_revision=0,
            hosts_seen=NEVER,
            hosts_told=NEVER,
            operator_revision=0,
            operator_seen=NEVER,
            rank=0,
        )
        node: Any = SimpleNamespace(
            loop=Loop(),
            handlers={},
            packed_ip=bytes((10, 0, 0, 1)),
            settings=SimpleNamespace(ip=OWN, seeds=OTHERS),
            log=self._log,
            send=self._send,
        )
        handover: Any = SimpleNamespace(ask_if_newer=lambda *_: None)
        self.gossip = Gossip(node, HostBeliefs(), follower, handover)
        for ip in OTHERS:
            node.handlers[messages.NEWS](messages.News().pack(), ip)

    def _log(self, event: str, **_inputs: object) -> None:
        """Keep no log."""

    def _send(self, ip: str, datagram: bytes) -> None:
        self.sent.append((datagram[0], ip))


class TestChanges(unittest.TestCase):
    """Load pattern: one entry has read what all others wait for."""

    def test_a_change_is_told_at_once(self) -> None:
        """To all, and once."""
        circle = Circle()
        circle.configuration.version = 7
        circle.sent.clear()
        circle.gossip.tell_of_change()
        wanted = [(messages.NEWS, ip) for ip in OTHERS]
        self.assertEqual(circle.sent, wanted)
        circle.gossip.tell_of_change()
        self.assertEqual(circle.sent, wanted)
