"""Admission of new flows at a sidecar."""

from __future__ import annotations

from _socket import inet_ntoa

from siskinbank.admission import reasons
from siskinbank.admission.arrivals import queueing_decision
from siskinbank.admission.pending_queue import (
    QueuedOpening,
    sent_ago_s,
)
from siskinbank.platform.packets import (
    FLOW_KEY,
    HEADER_BYTES,
    describe_flow,
    route_key,
    sequence_numbers,
)
from siskinbank.relay import messages
from siskinbank.sidecar.tracked_flows import UnansweredPacket

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.admission.held_request import HeldRequest
    from siskinbank.relay.node import Node
    from siskinbank.relay.request_holding import RequestHolding
    from siskinbank.relay.status_reporter import StatusReporter
    from siskinbank.sidecar.tracked_flows import TrackedFlow
    from siskinbank.tracking.own_host import OwnHost

__all__ = ('FlowAdmission', 'check_packet_header')

# Maximum number of times that a first packet is forwarded.
_MAX_HOPS = 8
# Interval at which the pending queue is checked, in seconds, in addition to the
# check at the end of each request: the usual duration of a request.
_QUEUE_CHECK_INTERVAL_S = 0.03
_MS = 1000


class FlowAdmission:
    """Accepts, queues, forwards or refuses new flows for a host.

    Attributes:
        queue: first packets and requests that wait for a free slot.
    """

    __slots__ = (
        '_check_scheduled',
        '_deliver',
        '_flows',
        '_holding',
        '_host',
        '_node',
        '_reporter',
        '_unanswered',
        'queue',
    )

    def __init__(
        self,
        node: Node,
        host: OwnHost,
        reporter: StatusReporter,
        flows: dict[bytes, TrackedFlow],
        unanswered: dict[bytes, UnansweredPacket],
        deliver: Callable[[bytes], None],
        holding: RequestHolding,
    ) -> None:
        """Initialize flow admission and register the message handler.

        Args:
            node: the process that runs the sidecar.
            host: the known state of the host.
            reporter: sends status updates to the entries.
            flows: the flows that the host holds, by flow key.
            unanswered: packets that the host has not answered, by flow key.
            deliver: called to send a packet to the host.
            holding: passes on and rejects queued requests on open flows.
        """
        self.queue = holding.queue
        self._holding = holding
        self._check_scheduled = False
        self._node = node
        self._host = host
        self._reporter = reporter
        self._flows = flows
        self._unanswered = unanswered
        self._deliver = deliver
        holding.on_hold = self._schedule_check
        node.handlers[messages.OPEN] = self._handle_open

    def note_host_refusal(
        self, key: bytes, unanswered: UnansweredPacket | None
    ) -> None:
        """Handle a first packet that the host has refused."""
        self._host.expected_requests.end(key)
        if self._host.refusal_backoff.note_refusal(self._node.loop.now):
            self._node.log('host.refusing', flows=len(self._flows))
            self._reporter.send_status()
        if unanswered and unanswered.opening:
            self._forward_or_refuse(
                key, unanswered.opening, reasons.HOST_REFUSED
            )

    def queued_load(self) -> int:
        """Return how many queued requests count as load of the host."""
        return self.queue.load(self._node.loop.now)

    def release(self) -> None:
        """Send queued requests to the host while it has free slots."""
        if not self.queue:
            return
        now = self._node.loop.now
        host = self._host
        reason = host.refusal_reason(host.service, now)
        if reason not in {reasons.NONE, reasons.COLD}:
            self._empty_queue(reason)
        while found := self._next(now):
            if isinstance(found, QueuedOpening):
                self._admit(found)
            else:
                self._holding.pass_on(found)

    def _empty_queue(self, reason: int) -> None:
        """Send first packets to other hosts, as this one accepts none.

        If the host leaves or can't be reached, requests on open flows are
        passed on to it at once.
        """
        keep_held = self._holding.may_stay(reason)
        for queued in self.queue.clear(keep_held):
            if isinstance(queued, QueuedOpening):
                self._forward_or_refuse(queued.key, queued.opening, reason)
            else:
                self._holding.pass_on(queued, reasons.name_of(reason))

    def _next(self, now: float) -> QueuedOpening | HeldRequest | None:
        return self.queue.next(
            now,
            lambda queued: self._free_slots(queued, now),
            self._host.cold_flows_left(now) != 0,
        )

    def _handle_open(self, raw: bytes, ip: str) -> None:
        opening = messages.Opening.read(raw)
        packet = check_packet_header(opening.packet)
        key = packet[FLOW_KEY]
        entry = inet_ntoa(opening.entry)
        self._host.version = max(self._host.version, opening.version)
        self._reporter.note_entry(entry)
        self._holding.routes.note(route_key(key), opening)
        if opening.service == self._host.service:
            self._host.note_warm_up(*opening.warm_up)
        if self._pass_on_copy(key, packet, entry):
            return
        queued = self.queue.opening(key)
        if queued and _is_copy(queued, packet):
            queued.opening = opening
            return
        if queued:
            self.queue.remove(key)
        now = self._node.loop.now
        reason = self._host.refusal_reason(opening.service, now)
        if reason:
            self._forward_or_refuse(key, opening, reason)
        else:
            self._queue_or_forward(key, opening)

    def _pass_on_copy(self, key: bytes, packet: bytes, entry: str) -> bool:
        """Send a first packet to the host if it has received a copy before.

        A flow that another first packet has opened is another one of the port:
        whether the host accepts this one as well is decided like for any other.

        Args:
            key: the key of the flow.
            packet: the first packet.
            entry: the entry that sends it.

        Returns:
            Whether it was sent.
        """
        number = sequence_numbers(packet)[0]
        flow = self._flows.get(key)
        unanswered = self._unanswered.get(key)
        if flow and flow.sequence.begins_with(number):
            flow.entry = entry
        elif unanswered is None or not unanswered.is_of_flow(packet):
            # The client waits for no answer on an earlier flow of the port.
            self._holding.drop(key, 'port-reused')
            return False
        self._deliver(packet)
        return True

    def _queue_or_forward(self, key: bytes, opening: messages.Opening) -> None:
        now = self._node.loop.now
        host = self._host
        has_candidates = bool(opening.candidates) and opening.hops < _MAX_HOPS
        untrusted = not host.is_trusted(now) and not host.may_accept_trial_flow(
            now
        )
        if has_candidates and untrusted:
            self._forward_or_refuse(key, opening, reasons.BUSY)
            return
        copy = sequence_numbers(opening.packet)[1]
        sent = now - sent_ago_s(copy)
        work_s = host.processing_time.of_route(route_key(key))
        queued = QueuedOpening(key, opening, now, sent, work_s)
        wait = self._wait_s(queued)
        best = opening.best_wait_s
        decision = queueing_decision(
            wait, opening.wait_limit_ms / _MS, best, has_candidates
        )
        if decision == 'here':
            self._queue_opening(queued)
            return
        if decision == 'back':
            # The best host queues or refuses the flow and does not forward it.
            opening.candidates = [opening.best]
            opening.best_wait_ms = messages.MAX_WAIT_MS
        elif wait is not None and (best is None or wait < best):
            opening.best = self._node.packed_ip
            opening.best_wait_ms = messages.wait_ms(wait)
        reason = reasons.BUSY if opening.exceeds_limit else reasons.FULL
        self._forward_or_refuse(key, opening, reason)

    def _wait_s(self, queued: QueuedOpening) -> float | None:
        """Return the wait here in seconds, or None if the queue is full."""
        now = self._node.loop.now
        if self.queue.full and not self.queue.replaceable_by(queued, now):
            return None
        work_ahead = self.queue.work_ahead_of(queued, now)
        return self._host.wait_s(
            now, len(work_ahead), sum(work_ahead), queued.priority
        )

    def _queue_opening(self, queued: QueuedOpening) -> None:
        key = queued.key
        if self.queue.full:
            self._make_room(queued)
        self.queue.enqueue(queued)
        self.release()
        if not self.queue.opening(key):
            return
        opening = queued.opening
        self._node.meters.count('flows_kept_total')
        self._node.log(
            'flow.kept',
            flow=describe_flow(key),
            kept=len(self.queue),
            busy=self._host.busy,
            copy=sequence_numbers(opening.packet)[1],
            hops=opening.hops,
            priority=queued.priority,
        )
        number = sequence_numbers(opening.packet)[0]
        note = messages.pack_flow_note(messages.QUEUED, key, 0, 0, number)
        self._node.send(inet_ntoa(opening.entry), note)
        self._schedule_check()

    def _free_slots(
        self, queued: QueuedOpening | HeldRequest, now: float
    ) -> int:
        """Return the free slots, below 0 if requests wait for a slot."""
        if not isinstance(queued, QueuedOpening):
            return self._holding.free_slots(queued.priority, now)
        host = self._host
        requests = host.request_count(now, queued.priority)
        return host.free_slots(requests, now)

    def _schedule_check(self) -> None:
        if not self._check_scheduled:
            self._check_scheduled = True
            self._node.loop.after(_QUEUE_CHECK_INTERVAL_S, self._check_queue)

    def _check_queue(self) -> None:
        """Drop flows that clients have abandoned and admit queued ones."""
        self._check_scheduled = False
        now = self._node.loop.now
        for queued in self.queue.remove_abandoned(now):
            self._node.meters.count('flows_given_up_total')
            self._node.log(
                'flow.refused',
                flow=describe_flow(queued.key),
                reason='client-gave-up',
                kept_ms=int((now - queued.queued_at) * _MS),
            )
        self.release()
        self._reject_hopeless()
        if self.queue:
            self._schedule_check()

    def _reject_hopeless(self) -> None:
        """Reject what cannot be served within its limits any more."""
        now = self._node.loop.now
        host = self._host
        hopeless = self.queue.remove_hopeless(
            now,
            lambda queued, ahead, ahead_work_s: host.wait_s(
                now, ahead, ahead_work_s, queued.priority
            ),
        )
        for queued in hopeless:
            if isinstance(queued, QueuedOpening):
                self._reject_overtaken(queued)
            else:
                self._holding.leave_hopeless(queued)

    def _make_room(self, new: QueuedOpening) -> None:
        """Reject the queued first packet that would be served last."""
        last = self.queue.replaceable_by(new, self._node.loop.now)
        if last:
            self.queue.remove(last.key)
            self._reject_overtaken(last)

    def _reject_overtaken(self, queued: QueuedOpening) -> None:
        self._node.meters.count(
            f'flows_overtaken_priority_{queued.priority}_total'
        )
        self._forward_or_refuse(queued.key, queued.opening, reasons.BUSY)

    def _admit(self, queued: QueuedOpening) -> None:
        now = self._node.loop.now
        key = queued.key
        opening = queued.opening
        host = self._host
        host.note_admitted(key, now, queued.priority, queued.sent)
        unanswered = UnansweredPacket(
            inet_ntoa(opening.entry), now, opening.packet
        )
        unanswered.opening = opening
        self._unanswered[key] = unanswered
        self._node.log(
            'flow.taken',
            flow=describe_flow(key),
            busy=host.busy,
            kept_ms=int((now - queued.queued_at) * _MS),
            kept=len(self.queue),
            flows=len(self._flows),
            hops=opening.hops,
            version=opening.version,
            revision=host.position,
            age_ms=host.age_ms(now),
        )
        self._deliver(opening.packet)

    def _forward_or_refuse(
        self,
        key: bytes,
        opening: messages.Opening,
        reason: int,
    ) -> None:
        host = self._host
        name = reasons.name_of(reason)
        can_forward = bool(opening.candidates) and opening.hops <= _MAX_HOPS
        self._node.meters.count(f'flows_not_taken_{name}_total')
        self._node.log(
            'flow.passed' if can_forward else 'flow.refused',
            flow=describe_flow(key),
            reason=name,
            busy=host.busy,
            wait_ms=int(host.wait_s(self._node.loop.now) * _MS),
            hops=opening.hops,
            revision=host.position,
            age_ms=host.age_ms(self._node.loop.now),
        )
        if can_forward:
            opening.hops += 1
            self._node.send(opening.pop_next(), opening.pack())
            return
        self._node.meters.count(
            f'flows_refused_priority_{opening.priority}_total'
        )
        number = sequence_numbers(opening.packet)[0]
        note = messages.pack_flow_note(messages.REFUSED, key, 0, reason, number)
        self._node.send(inet_ntoa(opening.entry), note + opening.packet)


def _is_copy(queued: QueuedOpening, packet: bytes) -> bool:
    queued_number = sequence_numbers(queued.opening.packet)[0]
    return queued_number == sequence_numbers(packet)[0]


def check_packet_header(packet: bytes) -> bytes:
    """Return a packet unchanged if it has a complete header.

    Raises:
        DatagramError: if the packet is too short.
    """
    if len(packet) < HEADER_BYTES:
        raise messages.DatagramError('packet is shorter than its header')
    return packet
