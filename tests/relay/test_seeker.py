"""Tests of what searches cost an entry."""

import time
import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.beliefs.hosts import HostBeliefs
from siskinbank.platform.records import Route
from siskinbank.relay import messages
from siskinbank.relay.loop import Loop
from siskinbank.relay.seeker import Seeker

SERVICE = 'matcher'
ROUTE_KEY = bytes((198, 18, 0, 1, 1, 187))
HOSTS = 60
FLOWS = 25
# Searches of one entry for the flows that a loss of power took from it, on a
# sixth of a core: within the second until clients repeat their packets.
MOST_S = 0.015
# A tenth of a second of the thinnest link, 5 Mbit/s.
MOST_BYTES = 62500
# Questions a second that leave a sixth of a core two thirds of its time.
MOST_QUESTIONS = 1100


def flow_key(number: int) -> bytes:
    """Return the key of a flow to the one route."""
    client = bytes((100, 64, 0, number))
    return client + ROUTE_KEY[:4] + bytes((4, 0)) + ROUTE_KEY[4:]


def packet_of(key: bytes) -> bytes:
    """Return a packet of a flow; only its key matters."""
    return bytes(13) + key + bytes(6)


class Site:
    """An entry's surroundings without sockets.

    Attributes:
        sent: datagrams and the addresses that they went to.
        resets: reasons why flows were ended.
    """

    def __init__(self) -> None:
        """Know all hosts, each with an entry in the store."""
        self.sent: list[tuple[str, bytes]] = []
        self.resets: list[str] = []
        loop = Loop()
        hosts = HostBeliefs()
        registered = {}
        for number in range(HOSTS):
            ip = f'10.0.0.{number + 1}'
            word = messages.Status(messages.digest(SERVICE), 1)
            hosts.hear(ip, word, loop.now)
            registered[ip] = SimpleNamespace(service=SERVICE)
        node: Any = SimpleNamespace(
            loop=loop,
            handlers={},
            packed_ip=bytes((10, 0, 0, 99)),
            meters=SimpleNamespace(count=str),
            log=self._log,
            send=lambda ip, datagram: self.sent.append((ip, datagram)),
        )
        route = Route(((SERVICE, 1),), True, 0.25, 2)
        follower: Any = SimpleNamespace(
            configuration=SimpleNamespace(routes={ROUTE_KEY: route}),
            hosts=registered,
            hosts_revision=5,
            hosts_seen=loop.now,
            trusts_absence=lambda: True,
        )
        gossip: Any = SimpleNamespace(want_hosts=bool)
        self.handlers = node.handlers
        self.loop = loop
        self.seeker = Seeker(node, hosts, follower, gossip, self._reset)

    def run_timers(self) -> None:
        """Call whatever is due."""
        self.loop._run_timers()  # noqa: SLF001

    def _log(self, event: str, **_inputs: object) -> None:
        """Keep no log."""

    def _reset(self, _packet: bytes, reason: str) -> None:
        self.resets.append(reason)


class TestCost(unittest.TestCase):
    """Load pattern: a loss of power took all flows; every host answers."""

    def test_answers_are_cheap(self) -> None:
        """Replay: 25 flows, 60 hosts, 1,500 answers."""
        site = Site()
        for number in range(FLOWS):
            key = flow_key(number)
            site.seeker.seek(key, packet_of(key))
        site.loop.now += 0.1
        site.seeker._send_questions()  # noqa: SLF001
        # The first flow's questions went out at once.
        self.assertEqual(len(site.sent), 2 * HOSTS)
        hear = site.handlers[messages.NOT_HELD]
        before = time.process_time()
        for ip, datagram in site.sent:
            hear(datagram, ip)
        took = time.process_time() - before
        self.assertEqual(len(site.resets), FLOWS)
        self.assertEqual(set(site.resets), {'no-host-holds-it'})
        self.assertLess(took, MOST_S)

    def test_packets_spare_the_link(self) -> None:
        """Replay: no sidecar can tell; a packet of 231 bytes for each flow."""
        site = Site()
        for number in range(FLOWS):
            key = flow_key(number)
            site.seeker.seek(key, packet_of(key) + bytes(200))
        site.loop.now += 0.1
        site.seeker._send_questions()  # noqa: SLF001
        hear = site.handlers[messages.UNSURE]
        for ip, datagram in list(site.sent):
            keys = messages.read_keys(datagram)
            hear(messages.pack_keys(messages.UNSURE, keys), ip)
        site.sent.clear()
        site.seeker._send_packets()  # noqa: SLF001
        told = [messages.read_relayed(word)[1] for _, word in site.sent]
        self.assertEqual(len(told), FLOWS)
        self.assertEqual({len(others) for others in told}, {HOSTS - 1})
        sent = sum(len(word) for _, word in site.sent)
        self.assertLess(sent, MOST_BYTES)

    def test_questions_are_paced(self) -> None:
        """Replay: a search each 4 ms for a second, 60 hosts to ask."""
        site = Site()
        began = site.loop.now
        for number in range(250):
            site.loop.now = began + number * 0.004
            key = flow_key(number)
            site.seeker.seek(key, packet_of(key))
            site.run_timers()
        self.assertLess(len(site.sent), MOST_QUESTIONS)
        asked = {
            flow
            for _, datagram in site.sent
            for flow in messages.read_keys(datagram)
        }
        self.assertGreater(len(asked), 220)
