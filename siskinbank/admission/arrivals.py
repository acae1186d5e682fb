"""Admission control for new flows at a sidecar's host.

Load patterns: all hosts of a service restart at once, and cold hosts can
handle only a few requests a second over all entries; more first packets arrive
at once than a host has slots while its neighbours have room; entries choose by
statuses that are seconds old and do not show yet that a host is leaving, that
its data centre was evacuated, or that its address was reassigned to another
service. The sidecar therefore decides when the packet arrives, on its own
measurements and the latest record from the store.
"""

from __future__ import annotations

from siskinbank.admission import reasons

__all__ = (
    'LOWEST_PRIORITY',
    'ColdLimit',
    'ExpectedRequests',
    'ProcessingTime',
    'QueueCapacity',
    'RefusalBackoff',
    'max_wait_s',
    'no_host_is_final',
    'queueing_decision',
    'refusal_is_final',
)

# Length of the sliding window in seconds, with room for the jitter between the
# sidecar's clock and the host's socket.
_COLD_WINDOW_S = 1.05
# New flows a second beyond the rate of a cold host. The platform allows 1.5
# times the rate plus 5; what is left of that is a margin for retransmissions
# that are under way.
_COLD_EXTRA_FLOWS_PER_S = 3

# Processing time of a request in seconds before any was measured.
_INITIAL_PROCESSING_S = 0.04
# The longest time from a flow's first packet to its request, in seconds:
# several round trips to the client, with one packet lost.
_MAX_ARRIVAL_S = 0.3
# Mean time from a first packet to its request before any was measured, in
# seconds: two round trips to a client at 3 ms, and some processing.
_INITIAL_ARRIVAL_S = 0.02
# A request is expected for this many times the mean arrival time.
_ARRIVAL_FACTOR = 3
# Rate at which the learned queue capacity grows again, in requests a second.
_CAPACITY_GROWTH_PER_S = 0.5
# Weight of a new measurement in a moving average: about the last ten count.
_AVERAGE_WEIGHT = 0.1
# Routes whose processing time is kept: more than one host serves, so that
# addresses that were withdrawn do not accumulate.
_MAX_ROUTES = 64
# Measurements of a route from which its own mean is used.
_MIN_ROUTE_MEASUREMENTS = 5
# Mean and number of measurements of a route without any.
_NOT_MEASURED = (0, 0)
# Weight of a new measurement in the mean that is compared with other hosts:
# about the last 33 count, so that the means of equal hosts differ by less than
# the ratio that the ranking ignores.
_SPEED_WEIGHT = 0.03
# Measurements before that mean is reported.
_MIN_SPEED_MEASUREMENTS = 20
# Time after the last measurement for which it is reported, in seconds. A host
# that gets no requests may have recovered.
_SPEED_TTL_S = 10.0
_MS = 1000
# Share of a request's time limit that it may spend in the queue; the rest is
# for processing, the network, and the client's retry at another host.
_MAX_WAIT_SHARE = 0.5

# First packets refused in a row before a host is paused. A single refusal may
# come just as the host leaves or is full.
_REFUSALS_BEFORE_PAUSE = 2
# First and longest pause before a refusing host is tried again, in seconds. The
# first is about the time that a host takes to start; after the longest, the
# store has removed the record of a host that is gone.
_FIRST_PAUSE_S = 0.25
_MAX_PAUSE_S = 2.0

# The lowest priority that messages hold.
LOWEST_PRIORITY = 255

# Clients send a first packet three times.
_LAST_RETRANSMISSION = 2


class ColdLimit:
    """Counts new flows to a cold host in a sliding window of a second."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        """Create the limit with no flows counted."""
        self._times: list[float] = []

    def flows_left(self, now: float, per_s: float) -> int:
        """Return how many more flows are within the limit.

        Args:
            now: the time in seconds.
            per_s: rate of a cold host in new flows a second.
        """
        oldest = now - _COLD_WINDOW_S
        self._times = [
            accepted_at for accepted_at in self._times if accepted_at > oldest
        ]
        return max(0, int(per_s) + _COLD_EXTRA_FLOWS_PER_S - len(self._times))

    def note(self, now: float) -> None:
        """Count one flow."""
        self._times.append(now)


class ExpectedRequests:
    """Accepted flows whose first request has not arrived yet.

    Load pattern: many first packets reach a host within the time that a client
    takes to send its request. None of them counts as a request in progress
    yet, but all of them soon will. When a backlog follows, many clients have
    abandoned their flows, so their requests must not be expected for long.
    """

    __slots__ = ('_accepted_at', '_mean_arrival_s', '_priorities_and_sent')

    def __init__(self) -> None:
        """Create an empty set with the initial arrival time."""
        self._accepted_at: dict[bytes, float] = {}
        self._priorities_and_sent: dict[bytes, tuple[int, float]] = {}
        self._mean_arrival_s = _INITIAL_ARRIVAL_S

    def add(
        self, key: bytes, now: float, priority: int = 0, sent: float = 0
    ) -> None:
        """Expect the request of a flow.

        Args:
            key: the key of the flow.
            now: time in seconds.
            priority: priority of the flow's route.
            sent: time in seconds when the client sent the first packet, 0 if
                unknown.
        """
        self._accepted_at[key] = now
        self._priorities_and_sent[key] = (priority, sent or now)

    def sent_at(self, key: bytes) -> float | None:
        """Return when the client sent the first packet of an expected flow.

        Returns:
            The time in seconds, None if no request of the flow is expected.
        """
        found = self._priorities_and_sent.get(key)
        return found[1] if found else None

    def note_request(self, key: bytes, now: float) -> None:
        """Remove a flow whose request arrived; update the mean time."""
        accepted_at = self._accepted_at.get(key)
        self.end(key)
        if accepted_at is not None:
            self._mean_arrival_s += (
                now - accepted_at - self._mean_arrival_s
            ) * _AVERAGE_WEIGHT

    def end(self, key: bytes) -> None:
        """Remove a flow that was not opened."""
        self._accepted_at.pop(key, None)
        self._priorities_and_sent.pop(key, None)

    def count(self, now: float, priority: int = LOWEST_PRIORITY) -> int:
        """Return how many requests are expected; forget overdue ones.

        Args:
            now: time in seconds.
            priority: only requests of this or a higher priority count.
        """
        oldest = now - min(
            _MAX_ARRIVAL_S, self._mean_arrival_s * _ARRIVAL_FACTOR
        )
        overdue = [
            key
            for key, accepted_at in self._accepted_at.items()
            if accepted_at < oldest
        ]
        for key in overdue:
            self.end(key)
        if priority >= LOWEST_PRIORITY:
            return len(self._accepted_at)
        expected = self._priorities_and_sent.values()
        return sum(1 for found in expected if found[0] <= priority)

    def keys(self, priority: int = LOWEST_PRIORITY) -> list[bytes]:
        """Return the keys of the flows, in order of acceptance.

        Args:
            priority: only flows of this or a higher priority are returned.
        """
        return [
            key
            for key in self._accepted_at
            if self._priorities_and_sent[key][0] <= priority
        ]


class ProcessingTime:
    """Mean processing times of a host, overall and by route.

    Load pattern: requests of 5 ms and of 72 ms go to the same hosts, so the
    overall mean is wrong for both. A host that fails answers fast, so callers
    note only requests that were answered with success.

    Attributes:
        seconds: the moving average over all requests.
    """

    __slots__ = (
        '_routes',
        '_speed_count',
        '_speed_s',
        '_speed_until',
        'seconds',
    )

    def __init__(self) -> None:
        """Start from the initial processing time."""
        self.seconds = _INITIAL_PROCESSING_S
        # Mean and number of measurements by route; the route measured last
        # comes last.
        self._routes: dict[bytes, tuple[float, int]] = {}
        self._speed_s: float = 0
        self._speed_count = 0
        self._speed_until: float = 0

    def of_route(self, route: bytes) -> float:
        """Return the mean processing time of a route's requests, in seconds.

        Args:
            route: address and port of the route.

        Returns:
            The overall mean while the route has few measurements.
        """
        mean_s, count = self._routes.get(route, _NOT_MEASURED)
        return mean_s if count >= _MIN_ROUTE_MEASUREMENTS else self.seconds

    def speed_ms(self, now: float) -> int:
        """Return the mean that is compared with other hosts, in milliseconds.

        Args:
            now: time in seconds.

        Returns:
            0 if there are too few measurements, or none for some time.
        """
        is_known = (
            self._speed_count >= _MIN_SPEED_MEASUREMENTS
            and now < self._speed_until
        )
        return max(1, round(self._speed_s * _MS)) if is_known else 0

    def note(self, elapsed_s: float, route: bytes = b'') -> None:
        """Add the processing time of one request to the averages.

        Args:
            elapsed_s: processing time in seconds.
            route: address and port of its route.
        """
        self.seconds += (elapsed_s - self.seconds) * _AVERAGE_WEIGHT
        mean_s, count = self._routes.pop(route, _NOT_MEASURED)
        if len(self._routes) >= _MAX_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        mean_s += (elapsed_s - mean_s) * max(_AVERAGE_WEIGHT, 1 / (count + 1))
        self._routes[route] = (mean_s, count + 1)

    def note_speed(self, elapsed_s: float, now: float) -> None:
        """Add one request to the mean that is compared with other hosts.

        Args:
            elapsed_s: processing time in seconds.
            now: time in seconds.
        """
        if now >= self._speed_until:
            # The host may have recovered since.
            self.forget_speed()
        self._speed_count += 1
        weight = max(_SPEED_WEIGHT, 1 / self._speed_count)
        self._speed_s += (elapsed_s - self._speed_s) * weight
        self._speed_until = now + _SPEED_TTL_S

    def forget_speed(self) -> None:
        """Forget the mean that is compared, as after a start of the host."""
        self._speed_s = 0
        self._speed_count = 0


class QueueCapacity:
    """Queue capacity of a host, learned from the requests that it sheds.

    Load pattern: a backlog fills the queue of every host. A further request
    would be refused and cost its client one of its tries, while a first packet
    that is dropped until its next retransmission costs nothing.
    """

    __slots__ = ('_learned_capacity', '_shed_at')

    def __init__(self) -> None:
        """Create an unbounded capacity."""
        self._learned_capacity: float = 0
        self._shed_at: float = 0

    def note_shed(self, requests: int, now: float) -> None:
        """Note that a host shed a request with this many in progress."""
        self._learned_capacity = max(1, requests)
        self._shed_at = now

    def is_full(self, requests: int, now: float) -> bool:
        """Return whether a host with this many requests would shed another."""
        if not self._shed_at:
            return False
        # The capacity may grow again with the processing rate, so the limit is
        # raised gradually.
        capacity = (
            self._learned_capacity
            + (now - self._shed_at) * _CAPACITY_GROWTH_PER_S
        )
        return requests >= int(capacity)


class RefusalBackoff:
    """Back-off for new flows to a host that refuses all of them.

    Load pattern: after a power failure, machines come back whose hosts were
    replaced while the store still lists them. They are idle, so every entry
    would send its first packets there before any other host.
    """

    __slots__ = ('_pause_s', '_refusals', '_until')

    def __init__(self) -> None:
        """Start with a host that accepts flows."""
        self._refusals = 0
        self._pause_s = _FIRST_PAUSE_S
        self._until: float = 0

    def note_refusal(self, now: float) -> bool:
        """Count a refused first packet; return whether a pause starts."""
        if self.is_paused(now):
            return False
        self._refusals += 1
        if self._refusals < _REFUSALS_BEFORE_PAUSE:
            return False
        self._until = now + self._pause_s
        self._pause_s = min(self._pause_s * 2, _MAX_PAUSE_S)
        return True

    def note_accepted(self) -> None:
        """Reset the pause after the host accepted a flow."""
        self._refusals = 0
        self._pause_s = _FIRST_PAUSE_S
        self._until = 0

    def is_paused(self, now: float) -> bool:
        """Return whether the host gets no new flows at present."""
        return now < self._until


def max_wait_s(limit_s: float) -> float:
    """Return the longest time that a request may wait and still be in time."""
    return limit_s * _MAX_WAIT_SHARE


def queueing_decision(
    wait_s: float | None,
    longest_s: float,
    best_wait_s: float | None,
    candidates_left: bool,
) -> str:
    """Decide where a flow waits whose host has no free slot.

    With other candidates left, a flow is forwarded as soon as it would wait
    here. The last candidate sends it to the host with the shortest wait of all
    that it visited, unless even that is too long.

    Args:
        wait_s: how long it would wait here in seconds, None if the queue is
            full.
        longest_s: how long it may wait, in seconds.
        best_wait_s: the shortest wait at the hosts visited before in seconds,
            None if there is none.
        candidates_left: whether it can be forwarded to another candidate.

    Returns:
        ``here``: queue it here; ``on``: forward it to the next candidate;
        ``back``: send it to the host with the shortest wait; ``nowhere``: no
        host has a short enough wait at present.
    """
    if wait_s == 0:
        return 'here'
    if candidates_left:
        return 'on'
    waits = [wait for wait in (wait_s, best_wait_s) if wait is not None]
    shortest = min(waits, default=longest_s + 1)
    if shortest > longest_s:
        return 'nowhere'
    return 'here' if shortest == wait_s else 'back'


def refusal_is_final(reason: int, copy: int) -> bool:
    """Return whether a refusal is sent to the client now.

    A host that is cold, has a full queue or just started has room again within
    a second, and clients retransmit a first packet twice in that time; any
    other refusal is sent at once.

    Args:
        reason: why the flow was refused.
        copy: how many transmissions of the first packet came before.
    """
    return no_host_is_final([reason], copy)


def no_host_is_final(states: list[int], copy: int) -> bool:
    """Return whether the client is told now that no host accepts its flow.

    Args:
        states: why each host of the service accepts none.
        copy: how many transmissions of the first packet came before.
    """
    return (
        not reasons.SHORT_LIVED.intersection(states)
        or copy >= _LAST_RETRANSMISSION
    )
