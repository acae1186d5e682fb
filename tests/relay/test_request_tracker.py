"""Tests of request tracking at a sidecar."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from siskinbank.platform.encoding import Packet, answer_bytes, request_bytes
from siskinbank.platform.packets import ACK, FIN, FLOW_KEY, RST
from siskinbank.relay.meters import Meters
from siskinbank.relay.request_tracker import RequestTracker
from siskinbank.sidecar.tracked_flows import TrackedFlow
from siskinbank.tracking.own_host import OwnHost

CLIENT = ('100.64.0.7', 40001)
SERVICE = ('198.18.0.1', 443)
ENTRY = '10.0.0.1'
ANSWER = answer_bytes('a', 'i-1')
Packets = tuple[tuple[int, bytes], ...]
#: Packets of a host, as flags and content, and the outcome of the request.
OUTCOMES: tuple[tuple[Packets, str | None], ...] = (
    (((ACK, b''),), None),
    (((ACK, ANSWER),), '200'),
    (((ACK | FIN, ANSWER),), '200'),
    # The end of the flow arrives before the answer.
    (((ACK | FIN, b''), (ACK, ANSWER)), '200'),
    # The flow ends without an answer.
    (((ACK | FIN, b''),), 'cut'),
    (((RST, b''),), 'cut'),
)


class Environment:
    """The environment of a request tracker without sockets.

    Attributes:
        outcomes: outcomes of the requests that have ended.
        host: the known state of the host.
        tracker: the tracker under test.
        flow: a flow that the host holds.
        key: the key of the flow.
    """

    def __init__(self) -> None:
        """Create a tracker of a host with one flow and a request in it."""
        self.outcomes: list[object] = []
        self._timers: list[Callable[[], None]] = []
        loop = SimpleNamespace(now=100, after=self._after)
        node: Any = SimpleNamespace(loop=loop, meters=Meters(), log=self._log)
        self.host = OwnHost(1, 100, 0)
        self.tracker = RequestTracker(node, self.host)
        self.flow = TrackedFlow(ENTRY, CLIENT, 100)
        packet = Packet(CLIENT, SERVICE, ACK, content=request_bytes('a'))
        self.key = packet.write()[FLOW_KEY]
        self.tracker.track_packet(self.key, self.flow, packet.write())

    def answer(self, flags: int, content: bytes) -> None:
        """Process a packet from the host."""
        packet = Packet(SERVICE, CLIENT, flags, content=content)
        self.tracker.track_answer(self.key, self.flow, packet.write())

    def run_timers(self) -> None:
        """Run all timers."""
        for call in self._timers:
            call()

    def _after(self, _delay: float, call: Callable[[], None]) -> None:
        self._timers.append(call)

    def _log(self, event: str, **inputs: object) -> None:
        if event == 'request.end':
            self.outcomes.append(inputs['outcome'])


class TestOutcomes(unittest.TestCase):
    """The outcomes of requests."""

    def test_request_outcomes(self) -> None:
        """A request ends once, with its answer or with its flow."""
        for packets, outcome in OUTCOMES:
            env = Environment()
            self.assertEqual(env.host.busy, 1)
            for flags, content in packets:
                env.answer(flags, content)
            env.run_timers()
            expected = [] if outcome is None else [outcome]
            self.assertEqual(env.outcomes, expected, packets)
            self.assertEqual(env.host.busy, 1 - len(expected))
