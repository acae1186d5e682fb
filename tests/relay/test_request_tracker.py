"""Tests of request tracking at a sidecar."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from siskinbank.platform.encoding import Packet, answer_bytes, request_bytes
from siskinbank.platform.packets import (
    ACK,
    FIN,
    FLOW_KEY,
    RST,
    route_key,
)
from siskinbank.relay import messages
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
        self.loop = SimpleNamespace(now=100, after=self._after)
        node: Any = SimpleNamespace(
            loop=self.loop, meters=Meters(), log=self._log
        )
        self.host = OwnHost(1, 100, 0)
        self.tracker = RequestTracker(node, self.host)
        self.flow = TrackedFlow(ENTRY, CLIENT, 100)
        self.number = 1
        self.key = self.request()

    def request(self) -> bytes:
        """Process a client's packet that starts a request; return its key."""
        content = request_bytes('a')
        packet = Packet(CLIENT, SERVICE, ACK, self.number, content=content)
        self.number += len(content)
        raw = packet.write()
        self.tracker.track_packet(raw[FLOW_KEY], self.flow, raw)
        return raw[FLOW_KEY]

    def answer(self, flags: int, content: bytes, acknowledged: int = 0) -> None:
        """Process a packet from the host."""
        packet = Packet(
            SERVICE, CLIENT, flags, 0, acknowledged, content=content
        )
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


class TestMeasurement(unittest.TestCase):
    """Processing times that are measured, and those that are not."""

    def serve(
        self, status: str = '200', upload_bytes: int = 0, cold: bool = False
    ) -> Environment:
        """Return an environment after thirty requests of 0.1 s."""
        env = Environment()
        env.answer(ACK, ANSWER)
        if cold:
            cold_record = messages.Record()
            cold_record.cold_s = 60
            env.host.apply_record(cold_record, 100)
        content = ANSWER.replace(b'200', status.encode())
        for _ in range(30):
            env.request()
            env.loop.now += 0.1
            env.number += upload_bytes
            env.answer(ACK, content, env.number)
        return env

    def test_served_requests(self) -> None:
        """They count for their route, for the mean and for the speed."""
        env = self.serve()
        processing_time = env.host.processing_time
        route = route_key(env.key)
        self.assertEqual(processing_time.speed_ms(env.loop.now), 97)
        self.assertAlmostEqual(processing_time.of_route(route), 0.1, places=2)

    def test_errors(self) -> None:
        """Guards against a host that fails fast and so attracts all flows."""
        for status in ('503', '500', '404', '-'):
            env = self.serve(status)
            expected = Environment()
            expected.answer(ACK, ANSWER)
            self.assertEqual(env.host.processing_time.speed_ms(103), 0)
            self.assertEqual(
                env.host.processing_time.seconds,
                expected.host.processing_time.seconds,
            )
            self.assertEqual(env.host.busy, 0)

    def test_uploads(self) -> None:
        """Guards against hosts that look slow as their clients' links are."""
        env = self.serve(upload_bytes=80000)
        processing_time = env.host.processing_time
        self.assertEqual(processing_time.speed_ms(103), 0)
        self.assertAlmostEqual(
            processing_time.of_route(route_key(env.key)), 0.1, places=2
        )

    def test_cold_host(self) -> None:
        """Guards against the speed of a start that counts for a warm host."""
        env = self.serve(cold=True)
        self.assertEqual(env.host.processing_time.speed_ms(103), 0)

    def test_request_that_replaces_another(self) -> None:
        """Guards against requests that stay in progress for ever."""
        env = Environment()
        env.request()
        self.assertEqual(len(env.host.in_progress), 1)
        env.answer(ACK, ANSWER)
        self.assertEqual((len(env.host.in_progress), env.host.busy), (0, 0))
