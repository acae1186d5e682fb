"""Replay of requests at hosts of different speed, behind several entries."""

import heapq
import random
from collections.abc import Callable

from siskinbank.admission.arrivals import ProcessingTime, queueing_decision
from siskinbank.choice.host_speed import load_factor, median_ms
from siskinbank.choice.placement import rank_hosts
from siskinbank.relay.messages import Status
from siskinbank.tracking.hosts import TrackedHost

SERVICE = 7
DATA_CENTRE = 1
SLOTS = 2
ENTRIES = 4
# Mean processing time at a fast host, in seconds.
PROCESSING_S = 0.056
# Duration of a long flow and time between its requests, in seconds.
LONG_FLOW_S = 20.0
REQUEST_INTERVAL_S = 0.56
# Share of the requests that come in long flows.
LONG_SHARE = 0.7
STATUS_INTERVAL_S = 0.4
LIMIT_S = 2.0

#: Returns the factor of a host's processing times at a time in seconds.
Slowness = Callable[[int, float], float]


class ReplayHost:
    """A host with a queue in order of arrival.

    Attributes:
        busy: requests in progress and queued.
        flows: open long flows.
        waits: time of each request and its wait for a slot, in seconds.
        worked_s: time in which requests used slots, in seconds.
        processing_time: the averages of the host's sidecar.
    """

    def __init__(self) -> None:
        """Create an idle host."""
        self.busy = 0
        self.flows = 0
        self.waits: list[tuple[float, float]] = []
        self.worked_s: float = 0
        self.processing_time = ProcessingTime()
        self._free_at: list[float] = [0 for _ in range(SLOTS)]

    def wait_s(self, now: float) -> float:
        """Return the time until a slot is free, in seconds."""
        return max(0, min(self._free_at) - now)

    def serve(self, now: float, work_s: float) -> float:
        """Serve a request; return the time when it ends."""
        wait_s = self.wait_s(now)
        self.waits.append((now, wait_s))
        end = now + wait_s + work_s
        heapq.heapreplace(self._free_at, end)
        self.worked_s += work_s
        self.busy += 1
        return end

    def note_end(self, work_s: float, now: float) -> None:
        """End a request and measure it."""
        self.busy -= 1
        self.processing_time.note(work_s)
        self.processing_time.note_speed(work_s, now)

    def status(self, now: float) -> Status:
        """Return the status that the sidecar sends."""
        status = Status(SERVICE, DATA_CENTRE)
        status.trusted = True
        status.slots = SLOTS
        status.busy = self.busy
        status.flows = self.flows
        status.processing_ms = self.processing_time.speed_ms(now)
        return status


class Replay:
    """Long and short flows to hosts of one service.

    Attributes:
        hosts: the hosts.
        now: simulated time in seconds.
        placements: time and host of each new flow.
    """

    def __init__(
        self, hosts: int, slowness: Slowness, by_speed: bool, seed: int = 1
    ) -> None:
        """Create idle hosts.

        Args:
            hosts: number of hosts.
            slowness: factor of the processing times by host and time.
            by_speed: whether entries rank hosts by their speed.
            seed: seed of arrivals and processing times.
        """
        self.hosts = [ReplayHost() for _ in range(hosts)]
        self.now: float = 0
        self.placements: list[tuple[float, int]] = []
        self._slowness = slowness
        self._by_speed = by_speed
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._views = [
            [
                TrackedHost(f'10.0.0.{number}', host.status(0), 0)
                for number, host in enumerate(self.hosts)
            ]
            for _ in range(ENTRIES)
        ]
        self._medians = [0 for _ in range(ENTRIES)]

    def run(self, until_s: float, requests_per_s: float) -> None:
        """Replay arrivals at a mean rate until a time."""
        long_flows_per_s = (
            requests_per_s * LONG_SHARE * REQUEST_INTERVAL_S / LONG_FLOW_S
        )
        self._repeat(
            until_s, requests_per_s * (1 - LONG_SHARE), self._open_short
        )
        self._repeat(until_s, long_flows_per_s, self._open_long)
        if not self._medians[0]:
            for _ in range(int(long_flows_per_s * LONG_FLOW_S)):
                self._open_long(self._rng.uniform(0, LONG_FLOW_S))
        for number in range(len(self.hosts)):
            self._send_status(number, until_s)
        while self._events and self._events[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self._events)
            call()

    def p99_wait_s(self, since_s: float = 0) -> float:
        """Return the 99th percentile of the waits since a time."""
        waits = sorted(
            wait
            for host in self.hosts
            for at, wait in host.waits
            if at > since_s
        )
        return waits[len(waits) * 99 // 100]

    def utilization(self, hosts: list[int]) -> float:
        """Return the share of their slots' time that hosts worked."""
        worked_s = sum(self.hosts[number].worked_s for number in hosts)
        return worked_s / (self.now * SLOTS * len(hosts))

    def placed(self, since_s: float, until_s: float) -> list[int]:
        """Return the number of new flows by host in a period."""
        counts = [0 for _ in self.hosts]
        for at, number in self.placements:
            if since_s <= at < until_s:
                counts[number] += 1
        return counts

    def _at(self, time: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time, self._number, call))

    def _repeat(
        self, until_s: float, per_s: float, call: Callable[[], None]
    ) -> None:
        at = self.now
        while at < until_s:
            at += self._rng.expovariate(per_s)
            self._at(at, call)

    def _send_status(self, number: int, until_s: float) -> None:
        """Update all entries now and at each interval."""
        for entry, view in enumerate(self._views):
            view[number].status = self.hosts[number].status(self.now)
            view[number].pending = 0
            view[number].last_seen = self.now
            if self._by_speed:
                view[number].load_factor = load_factor(
                    view[number].status.processing_ms, self._medians[entry]
                )
            if not number:
                self._medians[entry] = median_ms(
                    [host.status.processing_ms for host in view]
                )
        offset = STATUS_INTERVAL_S * self._rng.uniform(0.95, 1.05)
        if self.now + offset < until_s:
            self._at(
                self.now + offset, lambda: self._send_status(number, until_s)
            )

    def _open_short(self) -> None:
        self._request(self._place())

    def _open_long(self, duration_s: float = LONG_FLOW_S) -> None:
        number = self._place()
        self.hosts[number].flows += 1
        ends = self.now + duration_s

        def request() -> None:
            if self.now >= ends:
                self.hosts[number].flows -= 1
                return
            self._request(number)
            pause = self._rng.uniform(0.5, 1.5) * REQUEST_INTERVAL_S
            self._at(self.now + pause, request)

        self._at(self.now + self._rng.uniform(0, REQUEST_INTERVAL_S), request)

    def _request(self, number: int) -> None:
        host = self.hosts[number]
        work_s = (
            PROCESSING_S
            * self._rng.uniform(0.5, 1.5)
            * self._slowness(number, self.now)
        )
        end = host.serve(self.now, work_s)
        self._at(end, lambda: host.note_end(work_s, end))

    def _place(self) -> int:
        """Place a flow; sidecars forward it among its candidates."""
        entry = self._rng.randrange(ENTRIES)
        named = rank_hosts(
            self._views[entry],
            self._rng.randrange(1 << 32),
            DATA_CENTRE,
            self.now,
        )
        named[0].pending += 1
        best: float | None = None
        best_host = 0
        for position, candidate in enumerate(named):
            number = candidate.packed[-1]
            wait = self.hosts[number].wait_s(self.now)
            left = position < len(named) - 1
            where = queueing_decision(wait, LIMIT_S, best, left)
            if where == 'here':
                best_host = number
                break
            if best is None or wait < best:
                best, best_host = wait, number
        self.placements.append((self.now, best_host))
        return best_host
