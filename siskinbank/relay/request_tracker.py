"""Tracks the requests in progress at a host, for its load and for the logs."""

from __future__ import annotations

from siskinbank.platform.packets import (
    FIN,
    RST,
    describe_flow,
    flags_of,
    route_key,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.node import Node
    from siskinbank.sidecar.tracked_flows import Request, TrackedFlow
    from siskinbank.tracking.own_host import OwnHost

__all__ = ('RequestTracker',)

_MS = 1000
# Time for which an answer may arrive after the end of its flow, in seconds:
# both cross only the machine's own network.
_ANSWER_GRACE_S = 0.01
# First digit of the status of a request that was served. Errors are answered
# faster than the host can serve requests.
_SUCCESS = '2'


class RequestTracker:
    """Counts requests in progress and logs the outcome of each.

    Attributes:
        host: the known state of the host.
        on_end: called after a request has ended, as a slot may be free.
    """

    __slots__ = ('_node', 'host', 'on_end')

    def __init__(self, node: Node, host: OwnHost) -> None:
        """Initialize the tracker.

        Args:
            node: the process that runs the sidecar.
            host: the known state of the host.
        """
        self.on_end: Callable[[], object] = bool
        self._node = node
        self.host = host

    def track_packet(
        self,
        key: bytes,
        flow: TrackedFlow,
        packet: bytes,
        held_s: float = 0,
    ) -> None:
        """Process a packet to the host, which may start a request.

        Args:
            key: the key of the flow.
            flow: the flow.
            packet: the client's packet.
            held_s: how long it was held, in seconds.
        """
        before = flow.request
        request = flow.track_packet(packet, self._node.loop.now)
        if request is None:
            return
        host = self.host
        now = self._node.loop.now
        if before is None:
            host.busy += 1
            host.expected_requests.note_request(key, now)
        else:
            host.in_progress.remove(before, now, host.slots, is_answered=False)
        request.work_s = host.processing_time.of_route(route_key(key))
        slots = host.slots if host.record else None
        host.in_progress.add(request, now, slots)
        self._node.meters.count('requests_total')
        self._node.log(
            'request.start',
            id=request.name,
            flow=describe_flow(key),
            entry=flow.entry or '-',
            busy=host.busy,
            held_ms=int(held_s * _MS),
        )

    def track_answer(
        self, key: bytes, flow: TrackedFlow, packet: bytes
    ) -> None:
        """Process a packet from the host, which may end a request."""
        now = self._node.loop.now
        answer = flow.track_answer(packet, now)
        if answer is None:
            if flow.request and flags_of(packet) & (FIN | RST):
                self._schedule_end(key, flow, flow.request)
            return
        request = flow.request
        if request and answer.status.startswith(_SUCCESS):
            self._measure(key, request, packet)
        if not answer.executed:
            self.host.queue_capacity.note_shed(self.host.busy - 1, now)
            self._node.meters.count('requests_shed_total')
        self.end(key, flow, answer.status)

    def end(self, key: bytes, flow: TrackedFlow, outcome: str) -> None:
        """End the request of a flow, if there is one."""
        request = flow.request
        if request is None:
            return
        flow.request = None
        host = self.host
        host.busy -= 1
        now = self._node.loop.now
        duration = now - request.started_at
        is_answered = outcome.isdigit()
        host.in_progress.remove(request, now, host.slots, is_answered)
        self._node.meters.count('requests_ended_total')
        self._node.meters.time('request_seconds', duration)
        self._node.log(
            'request.end',
            id=request.name,
            flow=describe_flow(key),
            outcome=outcome,
            ms=int(duration * _MS),
            busy=host.busy,
        )
        self.on_end()

    def _measure(self, key: bytes, request: Request, answer: bytes) -> None:
        """Note the processing time of a request that was served."""
        processed_from = request.processed_from
        if processed_from is None or not request.is_measurable:
            return
        now = self._node.loop.now
        host = self.host
        elapsed_s = now - processed_from
        host.processing_time.note(elapsed_s, route_key(key))
        # The time of an upload depends on the link of its entry and client, and
        # that of a cold host on its start.
        if request.is_single_packet(answer) and not host.is_cold(now):
            host.processing_time.note_speed(elapsed_s, now)

    def _schedule_end(
        self,
        key: bytes,
        flow: TrackedFlow,
        request: Request,
    ) -> None:
        """End a request after a delay, as its host has closed the flow.

        Load pattern: clients close their side with the request, and hosts
        close theirs without an answer. Each such request would count as load
        until the idle timeout of its flow. The delay is for an answer that
        arrives after the end of its flow because packets are reordered.
        """

        def end_if_unanswered() -> None:
            if flow.request is request:
                self.end(key, flow, 'cut')

        self._node.loop.after(_ANSWER_GRACE_S, end_if_unanswered)
