"""Tests of announcements between entries, without sockets."""

import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.relay import messages
from siskinbank.relay.gossip import Gossip
from siskinbank.relay.loop import NEVER, Loop
from siskinbank.tracking.hosts import HostTable

OWN = '10.0.0.1'
OTHERS = ('10.0.0.2', '10.0.0.3')


class GossipContext:
    """Gossip of one entry with stand-ins for its collaborators.

    Attributes:
        sent: message kinds and receivers of the datagrams sent.
    """

    def __init__(self) -> None:
        """Create the gossip and let it receive announcements of two entries."""
        self.sent: list[tuple[int, str]] = []
        self.configuration = SimpleNamespace(version=0)
        follower: Any = SimpleNamespace(
            configuration=self.configuration,
            hosts={},
            hosts_revision=0,
            hosts_read_at=NEVER,
            hosts_read_by_peer_at=NEVER,
            note_hosts_read_by_peer=float,
            operator_revision=0,
            operator_read_at=NEVER,
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
        configuration_transfer: Any = SimpleNamespace(
            fetch_if_newer=lambda *_: None
        )
        self.gossip = Gossip(
            node, HostTable(), follower, configuration_transfer
        )
        for ip in OTHERS:
            node.handlers[messages.ANNOUNCEMENT](
                messages.Announcement().pack(), ip
            )

    def _log(self, event: str, **_inputs: object) -> None:
        """Discard the event."""

    def _send(self, ip: str, datagram: bytes) -> None:
        self.sent.append((datagram[0], ip))


class TestChangeAnnouncement(unittest.TestCase):
    """Load pattern: one entry has read a configuration that the others need."""

    def test_change_is_announced_at_once(self) -> None:
        """It is announced once, to all known entries."""
        context = GossipContext()
        context.configuration.version = 7
        context.sent.clear()
        context.gossip.announce_change()
        expected = [(messages.ANNOUNCEMENT, ip) for ip in OTHERS]
        self.assertEqual(context.sent, expected)
        context.gossip.announce_change()
        self.assertEqual(context.sent, expected)
