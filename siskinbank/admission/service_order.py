"""Order in which the requests queued at a sidecar are served.

Load patterns: demand is several times the capacity of a host. Requests of low
priority on long flows keep all slots in use, and requests of high priority
would wait behind them although the capacity suffices for these alone. After a
power loss all clients send at once, with first packets that can no longer be
answered within the latency that users expect, while new requests keep arriving;
served in order of arrival, the new ones wait behind the backlog until they are
late as well.

So requests that can still be in time come first, by priority; then the late
ones, by priority; then those that cannot even meet their deadline. Within these,
requests on open flows precede first packets: under overload many first packets
are retries of requests that are late already, which their age does not show. When
many of one priority can be in time, the newest goes first: in order of arrival,
each would wait until it can hardly be in time any more, and then a request that
takes a little longer to process makes it late.

Load pattern: requests of high priority need four fifths of the capacity, and
those of low priority far more than the rest. The former come in bursts that the
host serves in time in order of arrival, while newest first leaves the oldest ones
until they are late. So more of them keep their order, as many as the host serves
within the longest wait that still gives an answer in time. While no more than
these wait, few first packets are retries, and requests on open flows do not
precede them: in a burst, first packets would wait until their clients give up.
"""

from __future__ import annotations

__all__ = (
    'FlowRequest',
    'HOPELESS',
    'IN_TIME',
    'LATE',
    'QueuedRequest',
    'service_order',
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import TypeVar

    from siskinbank.admission.known_routes import RouteParameters

    AnyRequest = TypeVar('AnyRequest', bound='QueuedRequest')

# Stages of a queued request, in the order in which they are served.
IN_TIME = 0
LATE = 1
HOPELESS = 2

# From a free slot to the request's arrival and back to the client, in seconds:
# four one-way trips to a client at 3 ms each, and the delay of a busy process.
_NETWORK_S = 0.02
# Processing before an answer is ready, in multiples of the usual time: the
# request itself, and on average half of the request that occupies the slot.
_PROCESSING_FACTOR = 1.5
# With more requests of the lowest queued priority than this that can be in time,
# the newest goes first. At a host that is not overloaded, no more than this wait
# by chance.
_MAX_IN_ORDER = 2
# With more late requests of a priority than this share of those that keep their
# order, the priority exceeds the capacity by itself, and many of its first packets
# are retries. A burst leaves fewer late ones.
_MAX_LATE_SHARE = 0.5


class QueuedRequest:
    """What the order depends on.

    Attributes:
        priority: priority of the route, 0 is the highest.
        sent: time in seconds when the client sent the request first.
        in_time_until: time in seconds until which a free slot still gives an
            answer within the target latency.
        useful_until: the same for the time limit.
        work_s: mean processing time of the route's requests, in seconds.
    """

    __slots__ = (
        'in_time_until',
        'priority',
        'sent',
        'useful_until',
        'work_s',
    )

    #: Whether the request needs a new flow.
    needs_flow = False

    def __init__(
        self,
        priority: int,
        sent: float,
        target_latency_s: float,
        timeout_s: float,
        work_s: float,
    ) -> None:
        """Initialize the request.

        Args:
            priority: priority of the route, 0 is the highest.
            sent: time in seconds when the client sent the request first.
            target_latency_s: target latency of the client, in seconds.
            timeout_s: time in seconds after which an answer is of no use, 0 if
                there is no limit.
            work_s: mean processing time of the route's requests, in seconds.
        """
        needed = _PROCESSING_FACTOR * work_s + _NETWORK_S
        self.priority = priority
        self.sent = sent
        self.work_s = work_s
        self.in_time_until = sent + target_latency_s - needed
        self.useful_until = (
            sent + timeout_s - needed if timeout_s else float('inf')
        )

    def stage(self, now: float) -> int:
        """Return IN_TIME, LATE or HOPELESS, with a slot free now."""
        if now < self.in_time_until:
            return IN_TIME
        return LATE if now < self.useful_until else HOPELESS

    def served_in_order(self, slots: int) -> int:
        """Return how many queued requests like this one keep their order.

        As many as the host starts within the longest wait that gives an answer
        in time.

        Args:
            slots: requests that the host processes concurrently.
        """
        wait_s = self.in_time_until - self.sent
        served = int(wait_s * slots / self.work_s) if self.work_s else 0
        return max(_MAX_IN_ORDER, served)

    def rank(self, now: float) -> tuple[int, int, bool]:
        """Return stage, priority and whether a new flow is needed.

        Requests of a lower rank go first.
        """
        return self.stage(now), self.priority, self.needs_flow


class FlowRequest(QueuedRequest):
    """A queued request, or the first packet that opens a flow for it.

    Attributes:
        key: the key of the flow.
        queued_at: time in seconds when its first packet arrived at this host.
    """

    __slots__ = ('key', 'queued_at')

    def __init__(
        self,
        key: bytes,
        route: RouteParameters,
        queued_at: float,
        sent: float,
        work_s: float,
    ) -> None:
        """Initialize the request.

        Args:
            key: the key of the flow.
            route: the parameters of its route.
            queued_at: time in seconds when its first packet arrived.
            sent: time in seconds when the client sent the request, or the
                first packet of a flow that it opened for the request.
            work_s: mean processing time of the route's requests, in seconds.
        """
        super().__init__(
            route.priority,
            sent,
            route.target_latency_s,
            route.timeout_s,
            work_s,
        )
        self.key = key
        self.queued_at = queued_at


def service_order(
    requests: Iterable[AnyRequest], now: float, slots: int = 1
) -> list[AnyRequest]:
    """Return queued requests in the order in which they get free slots.

    Args:
        requests: the requests, in order of arrival.
        now: time in seconds.
        slots: requests that the host processes concurrently.
    """
    stages: dict[tuple[int, int], list[AnyRequest]] = {}
    for request in requests:
        stage_and_priority = request.stage(now), request.priority
        stages.setdefault(stage_and_priority, []).append(request)
    lowest = max((priority for _, priority in stages), default=0)
    ordered: list[AnyRequest] = []
    for stage, priority in sorted(stages):
        found = stages[stage, priority]
        if stage != IN_TIME:
            ordered.extend(_by_flow(found, len(found)))
        elif priority == lowest:
            ordered.extend(_by_flow(found, _MAX_IN_ORDER))
        else:
            late = len(stages.get((LATE, priority), ()))
            late += len(stages.get((HOPELESS, priority), ()))
            ordered.extend(_by_arrival(found, late, slots))
    return ordered


def _by_arrival(
    found: list[AnyRequest], late: int, slots: int
) -> list[AnyRequest]:
    """Return requests of a higher priority that can be in time, in order.

    Args:
        found: the requests, in order of arrival.
        late: late requests of the same priority.
        slots: requests that the host processes concurrently.
    """
    in_order = found[0].served_in_order(slots)
    if len(found) <= in_order and late <= in_order * _MAX_LATE_SHARE:
        return found
    return _by_flow(found, in_order)


def _by_flow(found: list[AnyRequest], in_order: int) -> list[AnyRequest]:
    """Return requests of one stage and priority, those on open flows first.

    Args:
        found: the requests, in order of arrival.
        in_order: how many of each kind keep their order; beyond them, the
            newest goes first.
    """
    ordered: list[AnyRequest] = []
    for needs_flow in (False, True):
        group = [item for item in found if item.needs_flow == needs_flow]
        ordered.extend(reversed(group[in_order:]))
        ordered.extend(group[:in_order])
    return ordered
