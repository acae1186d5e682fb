"""Simulated clients of one host, for replays of overload."""

import random
from typing import Any

from siskinbank.admission import reasons
from siskinbank.platform.encoding import Packet, request_bytes
from siskinbank.platform.packets import ACK, FIN, SYN
from siskinbank.relay import messages
from tests.relay.simulated_host import (
    CLIENT_NUMBER,
    LOW,
    NETWORK_S,
    ROUTES,
    SimulatedHost,
)

NEXT = CLIENT_NUMBER + 1
LENGTH = len(request_bytes('40001-101'))
# Worth of a late answer as a share of one in time: the middle of what users
# state.
LATE_WORTH = 0.4
MAX_RETRIES = 2
COPIES_S = (0, 0.2, 0.6)
ABANDONED_S = 1.4


class Attempt:
    """One try of a request on a flow."""

    def __init__(self, request: 'Request', route: Any, port: int) -> None:
        """Start a try."""
        self.request = request
        self.route = route
        self.port = port
        self.number = NEXT
        self.open = False
        self.ended = False


class Request:
    """A client's request."""

    def __init__(self, route: Any, sent: float) -> None:
        """Send a request."""
        self.route = route
        self.sent = sent
        self.tries = 0
        self.attempt: Attempt | None = None
        self.latency_s: float | None = None


class Clients:
    """Clients of a host.

    Attributes:
        host: the host.
        requests: all requests.
        reuse: share of the requests of a route that go to an idle flow if
            there is one; others open a flow.
        give_up: whether clients end a flow when the time limit of its request
            has passed.
        wasted_s: processing time in seconds of the answers that reached a
            client after it gave up.
    """

    def __init__(
        self,
        host: SimulatedHost,
        seed: int = 5,
        reuse: dict[tuple[str, int], float] | None = None,
        give_up: bool = False,
    ) -> None:
        """Create clients without requests.

        Args:
            host: the host.
            seed: determines the load.
            reuse: as the attribute; long flows with low priority, and a flow
                for each request of high priority if it is left out.
            give_up: as the attribute.
        """
        self.reuse = {LOW: 1} if reuse is None else reuse
        self.give_up = give_up
        self.wasted_s: float = 0
        self.requests: list[Request] = []
        self._rng = random.Random(seed)
        self.host = host
        self._attempts: dict[int, Attempt] = {}
        self._idle: dict[Any, list[Attempt]] = {}
        self._next_port = 1024
        host.on_client_packet = self._handle_packet
        host.on_reset = lambda key: self._end_at_port(
            int.from_bytes(key[8:10], 'big')
        )
        host.on_refused = self._handle_refusal
        host.work_s = lambda route: (
            self._rng.uniform(0.6, 1.4) * ROUTES[route].work_s
        )

    def load(self, route: Any, rate: float, seconds: float) -> None:
        """Send requests at random times, with a mean rate a second."""

        def send() -> None:
            self._send(route)

        when = self.host.now
        end = when + seconds
        while (when := when + self._rng.expovariate(rate)) < end:
            self.host.at(when, send)

    def share_in_time(self, route: Any) -> float:
        """Return the share of a route's requests that were in time.

        Those of the last second may still be in progress and do not count.
        """
        until = self.host.now - 1
        mine = [
            item
            for item in self.requests
            if item.route is route and item.sent < until
        ]
        return sum(_worth(item) == 1 for item in mine) / len(mine)

    def goodput_s(self) -> float:
        """Return the worth of all answers until now.

        Returns:
            The processing time of the answers in seconds, less for late ones:
            routes differ in the time that a request takes.
        """
        return sum(
            _worth(item) * ROUTES[item.route].work_s for item in self.requests
        )

    def _send(self, route: Any) -> None:
        request = Request(route, self.host.now)
        self.requests.append(request)
        share = self.reuse.get(route, 0)
        idle = self._idle.get(route)
        if self.give_up:
            limit_s = ROUTES[route].timeout_s
            self.host.at(request.sent + limit_s, lambda: self._give_up(request))
        if idle and (share >= 1 or self._rng.random() < share):
            attempt = idle.pop()
            attempt.request = request
            attempt.number += LENGTH
            attempt.ended = False
            request.attempt = attempt
            self._send_request(attempt)
        else:
            self._try(request)

    def _try(self, request: Request) -> None:
        self._next_port += 1
        attempt = Attempt(request, request.route, self._next_port)
        request.attempt = attempt
        self._attempts[attempt.port] = attempt
        for copy, after_s in enumerate(COPIES_S):
            self._later(after_s, self._opener(attempt, copy))
        self._later(ABANDONED_S, lambda: self._abandon(attempt))

    def _later(self, after_s: float, call: Any) -> None:
        self.host.at(self.host.now + after_s + NETWORK_S, call)

    def _opener(self, attempt: Attempt, copy: int) -> Any:
        def send() -> None:
            if not attempt.open and not attempt.ended:
                self.host.send_opening(attempt.route, attempt.port, copy)

        return send

    def _abandon(self, attempt: Attempt) -> None:
        if not attempt.open:
            self._fail(attempt)

    def _send_request(self, attempt: Attempt) -> None:
        self._later(
            0,
            lambda: self.host.send_request(
                attempt.route, attempt.port, attempt.number
            ),
        )

    def _handle_packet(self, packet: Packet) -> None:
        attempt = self._attempts.get(packet.target[1])
        is_answer = packet.content.startswith(b'HTTP/1.1 200')
        if attempt is None:
            return
        if attempt.ended:
            self.wasted_s += is_answer * ROUTES[attempt.route].work_s
        elif packet.flags & SYN:
            self._note_open(attempt)
        elif is_answer:
            self._note_answer(attempt)
        elif packet.content:
            self._fail(attempt)

    def _note_open(self, attempt: Attempt) -> None:
        if not attempt.open:
            attempt.open = True
            self._send_request(attempt)

    def _note_answer(self, attempt: Attempt) -> None:
        attempt.ended = True
        request = attempt.request
        request.latency_s = self.host.now - request.sent
        if self.reuse.get(attempt.route):
            self._idle.setdefault(attempt.route, []).append(attempt)

    def _give_up(self, request: Request) -> None:
        """End the flow of a request whose time limit has passed."""
        attempt = request.attempt
        if request.latency_s is not None or attempt is None or attempt.ended:
            return
        attempt.ended = True
        if attempt.open:
            self._later(
                0,
                lambda: self.host.send_packet(
                    attempt.route,
                    attempt.port,
                    attempt.number + LENGTH,
                    flags=FIN | ACK,
                ),
            )

    def _handle_refusal(self, key: bytes, reason: int) -> None:
        if reason not in reasons.SHORT_LIVED:
            self._end_at_port(int.from_bytes(key[8:10], 'big'))

    def _end_at_port(self, port: int) -> None:
        attempt = self._attempts.get(port)
        if attempt:
            self._later(0, lambda: self._fail(attempt))

    def _fail(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        request = attempt.request
        request.tries += 1
        left_s = request.sent + ROUTES[request.route].timeout_s
        if request.tries <= MAX_RETRIES and self.host.now < left_s:
            self._try(request)


def _worth(request: Request) -> float:
    times = ROUTES[request.route]
    if request.latency_s is None or request.latency_s > times.timeout_s:
        return 0
    return 1 if request.latency_s <= times.target_s else LATE_WORTH


def serve_in_order_before(host: SimulatedHost) -> None:
    """Let a sidecar schedule as before: no priorities, nothing is held."""
    holding: Any = host.sidecar._holding  # noqa: SLF001
    handle = host.handlers[messages.OPEN]

    def handle_without_priority(raw: bytes, ip: str) -> None:
        opening = messages.Opening.read(raw)
        opening.priority = 0
        handle(opening.pack(), ip)
        # Requests of unknown routes are not held.
        holding.routes._routes.clear()  # noqa: SLF001

    host.handlers[messages.OPEN] = handle_without_priority
