"""Holds requests on open flows until the host has a slot for them."""

from __future__ import annotations

from siskinbank.admission import reasons
from siskinbank.admission.held_request import HeldRequest
from siskinbank.admission.known_routes import KnownRoutes
from siskinbank.admission.pending_queue import PendingQueue, may_go_to_host
from siskinbank.platform.packets import (
    FIN,
    RST,
    describe_flow,
    flags_of,
    request_id,
    route_key,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.node import Node
    from siskinbank.relay.request_tracker import RequestTracker
    from siskinbank.sidecar.tracked_flows import TrackedFlow
    from siskinbank.tracking.own_host import OwnHost

__all__ = ('RequestHolding',)

# Reasons to accept no new flow with which a host still serves its open flows as
# usual, so that their requests are scheduled.
_SCHEDULING = frozenset(
    (reasons.NONE, reasons.COLD, reasons.EVACUATED, reasons.REFUSING)
)
# A held request is passed on this long before its host may discard the flow, in
# seconds, but not before half of the time.
_PASS_ON_MARGIN_S = 2.0
_MS = 1000


class RequestHolding:
    """Holds requests on open flows and passes them on.

    Attributes:
        queue: first packets and requests that wait for a free slot.
        routes: the known routes.
        on_hold: called when a request has been queued.
    """

    __slots__ = (
        '_deliver',
        '_flows',
        '_host',
        '_node',
        '_tracker',
        'on_hold',
        'queue',
        'routes',
    )

    def __init__(
        self,
        node: Node,
        tracker: RequestTracker,
        flows: dict[bytes, TrackedFlow],
        deliver: Callable[[bytes], None],
    ) -> None:
        """Initialize without held requests.

        Args:
            node: the process that runs the sidecar.
            tracker: counts the requests at the host.
            flows: the flows that the host holds, by flow key.
            deliver: called to send a packet to the host.
        """
        self.on_hold: Callable[[], object] = bool
        self._node = node
        self._host: OwnHost = tracker.host
        self._tracker = tracker
        self._flows = flows
        self.queue = PendingQueue(lambda: self._host.slots)
        self.routes = KnownRoutes()
        self._deliver = deliver

    def take(self, key: bytes, flow: TrackedFlow, packet: bytes) -> bool:
        """Hold a packet of an open flow if it has to wait.

        The end of the flow by its client ends the hold. What is held goes to
        the host before the packet does, unless no client waits for it: after a
        reset, or if it is past its time limit and repeatable.

        Returns:
            False if the packet goes to the host now.
        """
        held = self.queue.held(key)
        if held is None:
            return self._hold(key, flow, packet)
        if flags_of(packet) & (FIN | RST):
            if flags_of(packet) & RST or held.is_useless(self._node.loop.now):
                self.drop(key, 'client-gave-up')
            else:
                self.end(key, 'client-closed')
            return False
        flow.note_packet(packet, self._node.loop.now)
        if not held.add(packet):
            self._node.meters.count('held_packets_dropped_total')
        return True

    def free_slots(self, priority: int, now: float) -> int:
        """Return the free slots for a request on an open flow.

        Slots are kept for the expected requests of accepted flows only if their
        priority is higher.
        """
        requests = self._host.request_count(now, priority - 1)
        return self._host.free_slots(requests, now)

    def may_stay(self, reason: int) -> bool:
        """Return whether requests may stay in the queue.

        Args:
            reason: why the host accepts no new flow now, or NONE.
        """
        return reason in _SCHEDULING and not self._host.is_leaving

    def end(self, key: bytes, reason: str) -> None:
        """Pass the held request of a flow on to the host, if there is one."""
        held = self.queue.held(key)
        if held:
            self.queue.remove(key)
            self.pass_on(held, reason)

    def pass_on(self, held: HeldRequest, reason: str = '') -> None:
        """Send a request that has left the queue to the host.

        Args:
            held: the request.
            reason: why it does not wait for a slot; empty if it has one.
        """
        flow = self._flows.get(held.key)
        if reason:
            self._log_release(held, reason, passed=True)
        held_s = self._node.loop.now - held.queued_at
        for packet in held.packets:
            # The flows are dropped while a packet is sent if the host turns
            # out to be unreachable.
            if flow is None or self._flows.get(held.key) is not flow:
                return
            self._tracker.track_packet(held.key, flow, packet, held_s)
            self._deliver(packet)

    def leave_hopeless(self, held: HeldRequest) -> None:
        """Pass on a request that may not stay in the queue."""
        is_idle = self._node.loop.now > held.pass_by
        self.pass_on(held, 'host-idle' if is_idle else 'time-limit')

    def drop(self, key: bytes, reason: str) -> list[bytes]:
        """Remove the held request of a flow that client or host has ended.

        Returns:
            Its packets, none if nothing is held.
        """
        held = self.queue.held(key)
        if held is None:
            return []
        self.queue.remove(key)
        self._log_release(held, reason, passed=False)
        return held.packets

    def _hold(self, key: bytes, flow: TrackedFlow, packet: bytes) -> bool:
        if not flow.may_hold(packet) or flags_of(packet) & (FIN | RST):
            return False
        now = self._node.loop.now
        route = self.routes.get(route_key(key))
        if route is None or not self._is_scheduling(now):
            return False
        if may_go_to_host(self.free_slots(route.priority, now)):
            return False
        host = self._host
        sent = host.expected_requests.sent_at(key)
        work_s = host.processing_time.of_route(route_key(key))
        held = HeldRequest(
            key, route, now, sent or now, work_s, self._max_idle_s
        )
        held.note_idle_since(flow.last_seen)
        held.add(packet)
        flow.note_packet(packet, now)
        host.expected_requests.note_request(key, now)
        self.queue.enqueue(held)
        self._node.meters.count('requests_held_total')
        self._node.log(
            'request.held',
            id=request_id(packet),
            flow=describe_flow(key),
            priority=held.priority,
            kept=len(self.queue),
            busy=host.busy,
        )
        self.on_hold()
        return True

    def _max_idle_s(self) -> float:
        """Return how long a held request may keep its flow idle."""
        shortest_s = self._host.idle_timeout.shortest_s(self._node.loop.now)
        return max(shortest_s - _PASS_ON_MARGIN_S, shortest_s / 2)

    def _is_scheduling(self, now: float) -> bool:
        """Return whether requests may be held at present."""
        host = self._host
        if host.record is None or self.queue.held_full:
            # Without a record the number of slots is unknown.
            return False
        return self.may_stay(host.refusal_reason(host.service, now))

    def _log_release(
        self, held: HeldRequest, reason: str, passed: bool
    ) -> None:
        name = reason.replace('-', '_')
        self._node.meters.count(f'requests_held_ended_{name}_total')
        self._node.log(
            'request.released',
            id=request_id(held.packets[0]),
            flow=describe_flow(held.key),
            reason=reason,
            passed=passed,
            priority=held.priority,
            held_ms=self._held_ms(held),
            busy=self._host.busy,
        )

    def _held_ms(self, held: HeldRequest) -> int:
        return int((self._node.loop.now - held.queued_at) * _MS)
