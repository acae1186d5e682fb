"""Replay of uploads and short requests over the links of several entries."""

import heapq
import math
import random
import sys
from collections.abc import Callable

from siskinbank.admission.link_budget import (
    DATA,
    FIRST,
    FORWARD,
    OTHER,
    REJECT,
    LinkBudget,
)

ENTRIES = 3
LINK_KBPS = 5000
# Priorities, target latencies and time limits of the first deployment, in
# seconds (docs/design/overload.md).
LOW = 2
HIGH = 1
UPLOAD_BYTES = 80_000
UPLOAD_PACKETS = 70
UPLOAD_TARGET_S = 1.092
UPLOAD_LIMIT_S = 8.16
SHORT_TARGET_S = 0.441
SHORT_LIMIT_S = 3.947
FLOW_TARGET_S = 0.546
FLOW_LIMIT_S = 3.672
WINDOW = 16
RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
# When copies of a first packet are sent, and when the client gives up.
COPIES_S = (0, 0.2, 0.6)
GIVE_UP_S = 1.4
MAX_ATTEMPTS = 3
# Time between a failed attempt and the next one, in seconds. The real one is
# not known; the policies come in the same order with 0 and with 0.5 s.
RETRY_S = 0.05
# One-way delay between client, entry and host, in seconds.
TRIP_S = 0.003
FULL_PACKET_BYTES = 1231
# Headers and framing of each packet, as entries count them.
FRAMING_BYTES = 66
# Time in which a restarted entry gets no packets, in seconds: it starts and
# discovers hosts meanwhile.
RESTART_S = 0.25
HEADER_BYTES = 31
# Demand rises and falls by this share within this time in seconds.
SWING = 0.55
SWING_S = 15.0
# Mean demand through all entries. Their links carry 21 uploads a second at
# 5 Mbit/s, so that the swing exceeds the capacity for a part of the time.
UPLOADS_PER_S = 16
SHORTS_PER_S = 40
FLOWS_PER_S = 10
DURATION_S = 15.0
PRINTED_SEEDS = range(1, 9)
# Worth of a request that is served after its target latency.
LATE_WORTH = 0.4

# Policies of the entries: forward all packets, ignore decisions to drop a
# packet, or follow all decisions.
OFF = 'off'
REJECT_ONLY = 'reject only'
ON = 'on'


class Kind:
    """A kind of request.

    Attributes:
        name: name of the kind, also the key of its route.
        priority: priority of its route.
        packets: number of packets with data.
        data_bytes: data of each of them.
        opens: whether each request opens a flow.
        work_s: processing time in seconds.
        target_s: target latency in seconds.
        limit_s: time limit in seconds.
    """

    def __init__(
        self, name: str, priority: int, opens: bool, target_s: float
    ) -> None:
        """Initialize a request of one packet; callers set the rest."""
        self.name = name
        self.priority = priority
        self.opens = opens
        self.target_s = target_s
        self.packets = 1
        self.data_bytes = 150
        self.work_s = 0.056
        self.limit_s = SHORT_LIMIT_S

    @property
    def route(self) -> bytes:
        """Key of the route."""
        return self.name.encode()


def upload_kind(priority: int = LOW) -> Kind:
    """Return uploads of 80,000 bytes, one flow each."""
    kind = Kind('upload', priority, opens=True, target_s=UPLOAD_TARGET_S)
    kind.packets = UPLOAD_PACKETS
    kind.data_bytes = FULL_PACKET_BYTES - HEADER_BYTES
    kind.work_s = 0.005
    kind.limit_s = UPLOAD_LIMIT_S
    return kind


def short_kind(priority: int = LOW) -> Kind:
    """Return short requests on flows that are open."""
    return Kind('short', priority, opens=False, target_s=SHORT_TARGET_S)


def flow_kind(priority: int = HIGH) -> Kind:
    """Return short requests with a flow each."""
    kind = Kind('flow', priority, opens=True, target_s=FLOW_TARGET_S)
    kind.data_bytes = 900
    kind.work_s = 0.073
    kind.limit_s = FLOW_LIMIT_S
    return kind


class Results:
    """Outcome of the requests of one kind.

    Attributes:
        latencies: latency of each served request in seconds.
        failed: number of requests that were not served in their time limit.
        in_time: number of those served within the target latency.
        rejections: number of rejected flows.
        dropped: number of dropped data packets.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.latencies: list[float] = []
        self.failed = 0
        self.in_time = 0
        self.rejections = 0
        self.dropped = 0

    @property
    def total(self) -> int:
        """Number of requests."""
        return len(self.latencies) + self.failed

    @property
    def in_time_share(self) -> float:
        """Share of the requests served within the target latency."""
        return self.in_time / self.total

    @property
    def worth(self) -> float:
        """Share of what all requests could earn."""
        late = len(self.latencies) - self.in_time
        return (self.in_time + LATE_WORTH * late) / self.total

    def percentile(self, share: float) -> float:
        """Return a percentile of the latency over all requests, in seconds.

        Args:
            share: between 0 and 1; failed requests count as infinitely late.
        """
        ordered = sorted(self.latencies) + [
            math.inf for _ in range(self.failed)
        ]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Link:
    """Link of an entry to the sidecars, with a queue in order of arrival.

    Attributes:
        budget: the object under test.
        sent_bytes: bytes that were sent through the link.
        up_at: time in seconds from which the entry forwards packets.
    """

    def __init__(self, kbps: int, framing_bytes: int) -> None:
        """Create an idle link.

        Args:
            kbps: rate in kbit/s.
            framing_bytes: what it carries of a packet beyond its bytes.
        """
        self._framing_bytes = framing_bytes
        self._kbps = kbps
        self.restart()
        self._bytes_per_s = kbps * 125
        self._free_at: float = 0

    def restart(self, now: float = -RESTART_S) -> None:
        """Replace the process of the entry; the queue of the link stays."""
        self.up_at = now + RESTART_S
        self.budget = LinkBudget()
        self.budget.set_rate(self._kbps, self.up_at, 0)
        self.sent_bytes = 0

    def needs_examination(self, now: float) -> bool:
        """Return whether an arriving packet needs a decision, as an entry."""
        return self.sent_bytes >= self.budget.short_until and (
            not self.budget.is_short(now, self.sent_bytes)
        )

    def send(self, size: int, now: float) -> float:
        """Send a datagram; return when it has left the link."""
        self.sent_bytes += size + FRAMING_BYTES
        on_link = size + self._framing_bytes
        self._free_at = max(now, self._free_at) + on_link / self._bytes_per_s
        return self._free_at


class Request:
    """A request and its present attempt.

    Attributes:
        kind: what it is.
        started: time when the client began, in seconds.
        entry: number of the entry.
        attempts: number of attempts so far.
        generation: changes when an attempt begins or ends.
        is_open: whether the flow of this attempt is open.
        waiting: packets that the host has not received.
        unsent: number of the next packet.
        in_flight: packets without an acknowledgement.
    """

    def __init__(self, kind: Kind, started: float) -> None:
        """Create a request without an attempt."""
        self.kind = kind
        self.started = started
        self.entry = 0
        self.attempts = 0
        self.generation = 0
        self.begin()

    def begin(self) -> None:
        """Forget the previous attempt."""
        self.is_open = not self.kind.opens
        self.waiting = set(range(self.kind.packets))
        self.unsent = 0
        self.in_flight: set[int] = set()


class Replay:
    """Requests through entries with links of equal rate.

    Attributes:
        now: simulated time in seconds.
        links: the links of the entries.
        results: outcomes by name of the kind.
    """

    def __init__(
        self,
        policy: str,
        link_kbps: int = LINK_KBPS,
        seed: int = 1,
        framing_bytes: int = FRAMING_BYTES,
    ) -> None:
        """Create idle links.

        Args:
            policy: OFF, REJECT_ONLY or ON.
            link_kbps: rate of each link in kbit/s.
            seed: seed of the arrivals and of the choice of entries.
            framing_bytes: what links carry of a packet beyond its bytes.
        """
        self.now: float = 0
        self.links = [Link(link_kbps, framing_bytes) for _ in range(ENTRIES)]
        self.results: dict[str, Results] = {}
        self._policy = policy
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def add_demand(
        self, kind: Kind, per_s: float, until_s: float, swing: float = SWING
    ) -> None:
        """Schedule requests at random, at a rate that rises and falls."""
        self.results[kind.name] = Results()
        when: float = 0
        highest = per_s * (1 + swing)
        while True:
            when += self._rng.expovariate(highest)
            if when >= until_s:
                return
            factor = 1 + swing * math.sin(2 * math.pi * when / SWING_S)
            if self._rng.random() * highest < per_s * factor:
                request = Request(kind, when)
                self._at(when, self._caller(self._attempt, request))

    def restart_entry(self, number: int, when: float) -> None:
        """Let an entry forget its state at a time in seconds."""
        self._at(when, lambda: self.links[number].restart(when))

    def run(self) -> None:
        """Run until all requests have ended."""
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()

    def _at(self, when: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, call))

    def _caller(
        self, call: Callable[..., None], request: Request, *args: object
    ) -> Callable[[], None]:
        """Return a call that does nothing if the attempt has ended."""
        generation = request.generation

        def call_if_current() -> None:
            if request.generation == generation:
                call(request, *args)

        return call_if_current

    # Clients.

    def _attempt(self, request: Request) -> None:
        request.attempts += 1
        request.generation += 1
        request.begin()
        request.entry = self._rng.randrange(ENTRIES)
        deadline = request.started + request.kind.limit_s
        self._at(deadline, self._caller(self._end_failed, request))
        if request.is_open:
            self._send_window(request)
            return
        for copy, delay_s in enumerate(COPIES_S):
            self._at(
                self.now + delay_s,
                self._caller(self._send_first, request, copy),
            )
        self._at(self.now + GIVE_UP_S, self._caller(self._give_up, request))

    def _send_first(self, request: Request, copy: int) -> None:
        if not request.is_open:
            self._at(
                self.now + TRIP_S,
                self._caller(self._enter, request, None, copy),
            )

    def _give_up(self, request: Request) -> None:
        if not request.is_open:
            self._retry(request)

    def _retry(self, request: Request) -> None:
        if request.attempts >= MAX_ATTEMPTS:
            self._end_failed(request)
            return
        request.generation += 1
        self._at(self.now + RETRY_S, self._caller(self._attempt, request))

    def _end_failed(self, request: Request) -> None:
        request.generation += 1
        self.results[request.kind.name].failed += 1

    def _open(self, request: Request) -> None:
        if not request.is_open:
            request.is_open = True
            self._send_window(request)

    def _send_window(self, request: Request) -> None:
        while (
            len(request.in_flight) < WINDOW
            and request.unsent < request.kind.packets
        ):
            request.in_flight.add(request.unsent)
            self._send_data(request, request.unsent, RETRANSMISSION_S)
            request.unsent += 1

    def _send_data(self, request: Request, number: int, wait_s: float) -> None:
        if number not in request.in_flight:
            return
        self._at(
            self.now + TRIP_S, self._caller(self._enter, request, number, 0)
        )
        longer_s = min(2 * wait_s, MAX_RETRANSMISSION_S)
        self._at(
            self.now + wait_s,
            self._caller(self._send_data, request, number, longer_s),
        )

    def _acknowledge(self, request: Request, number: int) -> None:
        request.in_flight.discard(number)
        self._send_window(request)

    def _end_served(self, request: Request) -> None:
        request.generation += 1
        outcome = self.results[request.kind.name]
        latency_s = self.now - request.started
        outcome.latencies.append(latency_s)
        outcome.in_time += latency_s <= request.kind.target_s

    # Entries.

    def _enter(self, request: Request, number: int | None, copy: int) -> None:
        kind = request.kind
        link = self.links[request.entry]
        if self.now < link.up_at:
            return
        data_bytes = 0 if number is None else kind.data_bytes
        if link.needs_examination(self.now):
            if self._is_shed(request, number, copy):
                return
        left = link.send(HEADER_BYTES + data_bytes, self.now)
        self._at(left + TRIP_S, self._caller(self._arrive, request, number))

    def _is_shed(self, request: Request, number: int | None, copy: int) -> bool:
        if self._policy == OFF:
            return False
        link = self.links[request.entry]
        kind = request.kind
        decision = link.budget.decide(
            kind.route,
            kind.priority,
            _packet_kind(number, copy),
            0 if number is None else kind.data_bytes,
            self.now,
        )
        if decision == REJECT:
            self.results[kind.name].rejections += 1
            self._at(self.now + TRIP_S, self._caller(self._retry, request))
            return True
        if decision == FORWARD or self._policy == REJECT_ONLY:
            return False
        self.results[kind.name].dropped += 1
        return True

    # Hosts.

    def _arrive(self, request: Request, number: int | None) -> None:
        back = self.now + TRIP_S
        if number is None:
            self._at(back, self._caller(self._open, request))
            return
        self._at(back, self._caller(self._acknowledge, request, number))
        if number in request.waiting:
            request.waiting.discard(number)
            if not request.waiting:
                self._at(
                    back + request.kind.work_s,
                    self._caller(self._end_served, request),
                )


def _packet_kind(number: int | None, copy: int) -> int:
    if number is None:
        return OTHER if copy else FIRST
    return DATA


def mixed_replay(
    policy: str,
    link_kbps: int = LINK_KBPS,
    uploads_per_s: float = UPLOADS_PER_S,
    seed: int = 1,
    flow_priority: int = HIGH,
    framing_bytes: int = FRAMING_BYTES,
) -> Replay:
    """Return the replay of uploads and both kinds of short requests."""
    replay = Replay(policy, link_kbps, seed, framing_bytes)
    replay.add_demand(upload_kind(), uploads_per_s, DURATION_S)
    replay.add_demand(short_kind(), SHORTS_PER_S, DURATION_S)
    replay.add_demand(flow_kind(flow_priority), FLOWS_PER_S, DURATION_S)
    replay.run()
    return replay


def print_comparison() -> None:
    """Print the figures of docs/design/link-budget.md, from eight seeds."""
    for kbps, uploads_per_s in (
        (5000, 8),
        (5000, 12),
        (5000, 16),
        (10_000, 32),
    ):
        for policy in (OFF, REJECT_ONLY, ON):
            _print_results(
                f'{kbps} kbit/s, {uploads_per_s} uploads/s, {policy}',
                [
                    mixed_replay(policy, kbps, uploads_per_s, seed)
                    for seed in PRINTED_SEEDS
                ],
            )
    for framing_bytes in (0, 28, FRAMING_BYTES, 2 * FRAMING_BYTES):
        _print_results(
            f'links carry {framing_bytes} bytes of framing',
            [
                mixed_replay(ON, seed=seed, framing_bytes=framing_bytes)
                for seed in PRINTED_SEEDS
            ],
        )


def _print_results(title: str, replays: list[Replay]) -> None:
    """Print means over replays; failures and the median are of all requests."""
    sys.stdout.write(f'{title}:\n')
    for name in replays[0].results:
        outcomes = [replay.results[name] for replay in replays]
        shares = [outcome.in_time_share for outcome in outcomes]
        worth = sum(outcome.worth for outcome in outcomes) / len(outcomes)
        merged = Results()
        for outcome in outcomes:
            merged.latencies.extend(outcome.latencies)
            merged.failed += outcome.failed
        sys.stdout.write(
            f'  {name}: in time {sum(shares) / len(shares):.3f}, '
            f'worth {worth:.3f}, '
            f'median {merged.percentile(0.5):.3f} s, '
            f'p95 {merged.percentile(0.95):.3f} s, '
            f'failed {merged.failed} of {merged.total}\n',
        )


if __name__ == '__main__':
    print_comparison()
