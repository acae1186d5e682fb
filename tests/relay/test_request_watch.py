"""Tests of how requests are followed at a sidecar."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from siskinbank.beliefs.own_host import OwnHost
from siskinbank.platform.encoding import Packet, answer_bytes, request_bytes
from siskinbank.platform.packets import ACK, FIN, FLOW_KEY, RST
from siskinbank.relay.meters import Meters
from siskinbank.relay.request_watch import RequestWatch
from siskinbank.sidecar.held_flows import HeldFlow

CLIENT = ('100.64.0.7', 40001)
SERVICE = ('198.18.0.1', 443)
ENTRY = '10.0.0.1'
ANSWER = answer_bytes('a', 'i-1')
Packets = tuple[tuple[int, bytes], ...]
#: What a host sends, as flags and content, and how its request ends.
ENDS: tuple[tuple[Packets, str | None], ...] = (
    (((ACK, b''),), None),
    (((ACK, ANSWER),), '200'),
    (((ACK | FIN, ANSWER),), '200'),
    # The end of the flow overtakes the answer.
    (((ACK | FIN, b''), (ACK, ANSWER)), '200'),
    # No answer at all.
    (((ACK | FIN, b''),), 'cut'),
    (((RST, b''),), 'cut'),
)


class Watched:
    """A sidecar's surroundings without sockets.

    Attributes:
        outcomes: how requests ended.
    """

    def __init__(self) -> None:
        """Watch a host with one flow and a request in it."""
        self.outcomes: list[object] = []
        self._later: list[Callable[[], None]] = []
        loop = SimpleNamespace(now=100, after=self._after)
        node: Any = SimpleNamespace(loop=loop, meters=Meters(), log=self._log)
        self.host = OwnHost(1, 100, 0)
        self.watch = RequestWatch(node, self.host)
        self.flow = HeldFlow(ENTRY, CLIENT, 100)
        packet = Packet(CLIENT, SERVICE, ACK, content=request_bytes('a'))
        self.key = packet.write()[FLOW_KEY]
        self.watch.take_packet(self.key, self.flow, packet.write())

    def answer(self, flags: int, content: bytes) -> None:
        """Let the host send a packet."""
        packet = Packet(SERVICE, CLIENT, flags, content=content)
        self.watch.take_answer(self.key, self.flow, packet.write())

    def wait(self) -> None:
        """Let the timers run."""
        for call in self._later:
            call()

    def _after(self, _delay: float, call: Callable[[], None]) -> None:
        self._later.append(call)

    def _log(self, event: str, **inputs: object) -> None:
        if event == 'request.end':
            self.outcomes.append(inputs['outcome'])


class TestEnds(unittest.TestCase):
    """When a request is over."""

    def test_how_requests_end(self) -> None:
        """With an answer, or with the flow; each counts once."""
        for packets, outcome in ENDS:
            watched = Watched()
            self.assertEqual(watched.host.busy, 1)
            for flags, content in packets:
                watched.answer(flags, content)
            watched.wait()
            wanted = [] if outcome is None else [outcome]
            self.assertEqual(watched.outcomes, wanted, packets)
            self.assertEqual(watched.host.busy, 1 - len(wanted))
