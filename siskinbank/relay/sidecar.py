"""The sidecar process: controls admission to a host and tracks its flows."""

from __future__ import annotations

from _socket import inet_ntoa
from time import time

from siskinbank.platform.packets import (
    ACK,
    BOUNCED,
    FIN,
    FLOW_KEY,
    HEADER_BYTES,
    MAX_PACKET_BYTES,
    RST,
    SYN,
    clear_bounced,
    client_address,
    describe_flow,
    flags_of,
    reverse_flow_key,
    sequence_numbers,
)
from siskinbank.relay import messages
from siskinbank.relay.datagrams import (
    connect_udp_socket,
    open_udp_socket,
    read_datagrams,
)
from siskinbank.relay.detours import forward_detour
from siskinbank.relay.flow_admission import FlowAdmission, check_packet_header
from siskinbank.relay.flow_queries import (
    FlowQueries,
    send_absent,
    send_held,
    send_not_held,
)
from siskinbank.relay.follower import StoreFollower
from siskinbank.relay.node import Node
from siskinbank.relay.planned_stop import PlannedStop
from siskinbank.relay.records import record_for
from siskinbank.relay.request_holding import RequestHolding
from siskinbank.relay.request_tracker import RequestTracker
from siskinbank.relay.status_reporter import StatusReporter
from siskinbank.sidecar.tracked_flows import (
    TrackedFlow,
    UnansweredPacket,
    is_of_other_flow,
    opens_another,
)
from siskinbank.tracking.own_host import OwnHost
from siskinbank.tracking.store_reads import (
    EntryReads,
    sidecar_pause_after_failures_s,
)

__all__ = ('Sidecar',)

# Counts packets of earlier or later flows of a known flow's port.
_OTHER_FLOWS = 'packets_of_other_flows_total'
_SWEEP_INTERVAL_S = 2.0
# Time for which a closed flow stays in the table, in seconds, for the last
# packets that its client retransmits.
_ENDED_FLOW_TTL_S = 5.0
# An idle flow is removed this long after the time for which its host may keep it,
# in seconds: a change of it may reach hosts and sidecars at different times.
_IDLE_MARGIN_S = 5.0
# A request without an answer after this time, in seconds, is no longer counted
# as load: the deadline of most requests.
_OVERDUE_AFTER_S = 3.0
_IDLE = 'idle'
# Time for which an unanswered packet is tracked, in seconds: clients abandon a
# first packet after 1.4 s.
_UNANSWERED_TTL_S = 1.5
_MS = 1000
# Position in the order of the store's readers: after all entries.
_READER_RANK = 0xFFFF


class Sidecar:
    """A sidecar process."""

    def __init__(self, node: Node) -> None:
        """Initialize the sidecar and open the sockets from and to its host.

        Args:
            node: the process that runs the sidecar.

        Raises:
            OSError: if a socket can't be opened, or the settings lack the
                host address or the outbound address.
        """
        self._node = node
        settings = node.settings
        if settings.host_address is None or settings.outbound_address is None:
            raise OSError(
                'settings lack the host address or the outbound address'
            )
        self._flows: dict[bytes, TrackedFlow] = {}
        self._unanswered: dict[bytes, UnansweredPacket] = {}
        # Times of the last packets of flows that the host may have lost in a
        # restart, by flow key: it decides on their next packets.
        self._doubtful_flows: dict[bytes, float] = {}
        self._entry_reads = EntryReads(node.loop.now)
        service = messages.digest(settings.service or '')
        started_ms = int(time() * _MS)
        self._host = OwnHost(
            service, node.loop.now, started_ms, settings.flow_lifetime_s
        )
        self._tracker = RequestTracker(node, self._host)
        self._follower = StoreFollower(
            node, self._on_store_read, self._on_store_read
        )
        self._follower.rank = _READER_RANK
        self._follower.hosts_due = self._hosts_due
        self._follower.operator_due = self._operator_due
        self._follower.pause_after_failures_s = sidecar_pause_after_failures_s
        self._outbound_socket = open_udp_socket(settings.outbound_address)
        self._client_socket = open_udp_socket(
            (settings.ip, settings.packet_port)
        )
        self._inbound_socket = connect_udp_socket(settings.host_address)
        self._reporter = StatusReporter(
            node,
            self._host,
            self._flows,
            lambda: self._admission.queued_load(),
        )
        self._holding = RequestHolding(
            node,
            self._tracker,
            self._flows,
            self._deliver,
        )
        self._admission = FlowAdmission(
            node,
            self._host,
            self._reporter,
            self._flows,
            self._unanswered,
            self._deliver,
            self._holding,
        )
        FlowQueries(
            node,
            self._host,
            self._reporter,
            self._flows,
            self._unanswered,
            self._doubtful_flows,
            self._holding.queue,
        )
        self._planned_stop = PlannedStop(
            node, self._host, self._flows, self._reporter
        )
        self._tracker.on_end = self._admission.release
        node.is_ready = lambda: not self._host.stopping
        node.on_stop = self._begin_stop
        node.handlers[messages.FORWARD] = self._handle_forward
        node.handlers[messages.SEARCH] = self._handle_search
        node.handlers[messages.RELAYED] = self._handle_relayed
        node.handlers[messages.DETOUR] = lambda raw, _ip: forward_detour(
            node, raw
        )
        node.handlers[messages.RECORD] = self._handle_record
        node.loop.watch(self._outbound_socket.fileno(), self._read_host)
        node.loop.watch(self._inbound_socket.fileno(), self._read_socket_error)
        node.loop.every(_SWEEP_INTERVAL_S, self._sweep)
        node.loop.on_stall(self._on_stall)

    # Packets from the host.

    def _read_host(self, events: int) -> None:
        read_datagrams(
            self._outbound_socket, MAX_PACKET_BYTES + 1, self._check_packet
        )

    def _check_packet(self, packet: bytes, address: tuple[str, int]) -> None:
        if len(packet) < HEADER_BYTES:
            self._node.meters.count('packets_refused_short_total')
        elif flags_of(packet) & BOUNCED:
            self._handle_bounced(clear_bounced(packet))
        else:
            self._forward_to_client(packet)

    def _forward_to_client(self, packet: bytes) -> None:
        key = reverse_flow_key(packet)
        flags = flags_of(packet)
        unanswered = self._take_answered(key, flags)
        flow = self._flows.get(key)
        if flow is None and unanswered is None and key in self._unanswered:
            # Of an earlier flow of the port, which is not known any more.
            self._send_to_client(packet, key)
            return
        if flow and opens_another(flow, packet, unanswered):
            self._end_reused(key, flow)
            flow = None
        if flow is None:
            if not self._holds_unknown(key, unanswered, packet):
                return
            flow = self._add_flow(key, unanswered, packet)
        self._note_answer(key, flow, packet)
        if unanswered or flags & SYN:
            send_held(self._node, key, flow, flow.sequence.latest)
        self._send_to_client(packet, key)

    def _holds_unknown(
        self, key: bytes, unanswered: UnansweredPacket | None, packet: bytes
    ) -> bool:
        """Return whether the host holds the unknown flow of a packet.

        Args:
            key: the key of the flow.
            unanswered: the client's packet that the host answers, if any.
            packet: the host's packet.
        """
        if unanswered is None:
            return True
        is_other = not unanswered.is_answered_by(packet)
        if flags_of(packet) & RST and (is_other or unanswered.searching):
            # Not a flow of this host; others are searched as well.
            send_not_held(self._node, key, unanswered)
            return False
        if is_other:
            self._send_to_client(packet, key)
        return not is_other

    def _note_answer(
        self, key: bytes, flow: TrackedFlow, packet: bytes
    ) -> None:
        """Record a packet that the host sends on a flow."""
        flags = flags_of(packet)
        if flags & SYN:
            flow.number = sequence_numbers(packet)[0]
            self._host.note_opened()
            return
        flow.established = True
        self._tracker.track_answer(key, flow, packet)
        if flags & (FIN | RST) and not flow.ended_at:
            flow.ended_at = self._node.loop.now
            # No client goes on with a flow that its host has reset.
            flow.has_client_ended |= bool(flags & RST)
            self._holding.end(key, 'host-closed')

    def _take_answered(self, key: bytes, flags: int) -> UnansweredPacket | None:
        """Return the packet that a packet of the host answers, if any.

        Until the host has answered a first packet, others that it sends are of an
        earlier flow of the port.

        Args:
            key: the flow key of the host's packet.
            flags: its flags.
        """
        unanswered = self._unanswered.get(key)
        if unanswered is None or (unanswered.is_first and not flags & SYN):
            return None
        return self._unanswered.pop(key)

    def _send_to_client(self, packet: bytes, key: bytes) -> None:
        try:
            self._client_socket.sendto(packet, self._client_of(key))
        except OSError:
            self._node.meters.count('send_errors_total')

    def _client_of(self, key: bytes) -> tuple[str, int]:
        return client_address(key), self._node.settings.packet_port

    def _add_flow(
        self, key: bytes, unanswered: UnansweredPacket | None, answer: bytes
    ) -> TrackedFlow:
        """Add a flow when its host sends the first packet.

        Args:
            key: the key of the flow.
            unanswered: the client's packet that the host answers, if any.
            answer: the host's packet.
        """
        entry = unanswered.entry if unanswered else ''
        flow = TrackedFlow(entry, self._client_of(key), self._node.loop.now)
        self._flows[key] = flow
        self._doubtful_flows.pop(key, None)
        if unanswered and unanswered.is_first:
            flow.sequence.begin(sequence_numbers(unanswered.packet)[0])
            return flow
        if flags_of(answer) & (SYN | ACK) == ACK:
            # The host may hold another flow of the port than the packet is of.
            flow.sequence.note(sequence_numbers(answer)[1])
        if unanswered and flow.includes(sequence_numbers(unanswered.packet)[0]):
            self._tracker.track_packet(key, flow, unanswered.packet)
        return flow

    def _end_reused(self, key: bytes, flow: TrackedFlow) -> None:
        """End a flow whose client has opened another one from its port.

        Load pattern: clients behind one translated address have few ports, and
        use each again as soon as its flow has ended.
        """
        self._node.log(
            'flow.reused',
            flow=describe_flow(key),
            age_ms=int((self._node.loop.now - flow.opened_at) * _MS),
            ended=int(bool(flow.ended_at)),
        )
        self._holding.drop(key, 'port-reused')
        self._tracker.end(key, flow, 'port-reused')

    # Packets that the host refuses.

    def _handle_bounced(self, packet: bytes) -> None:
        key = packet[FLOW_KEY]
        flow = self._flows.get(key)
        unanswered = self._unanswered.get(key)
        if is_of_other_flow(packet, flow, unanswered):
            self._node.meters.count(_OTHER_FLOWS)
            return
        self._unanswered.pop(key, None)
        if flags_of(packet) & SYN:
            self._admission.note_host_refusal(key, unanswered)
            return
        self._doubtful_flows.pop(key, None)
        if flow:
            self._flows.pop(key)
            self._end_refused(key, flow, packet)
        elif unanswered:
            unanswered.packet = packet
            send_not_held(self._node, key, unanswered)

    def _end_refused(
        self, key: bytes, flow: TrackedFlow, packet: bytes
    ) -> None:
        """End a flow of which the host has refused a packet."""
        self._holding.drop(key, 'host-forgot')
        self._tracker.end(key, flow, 'lost')
        if flow.ended_at:
            return
        if flow.established:
            # The host answered the flow before and has lost its state.
            self._host.note_restart(self._node.loop.now)
            self._node.reset_flow(self._client_socket, packet, 'host-forgot')
        elif flow.entry:
            send_absent(self._node, key, flow.entry, packet)

    # Other packets from clients.

    def _handle_forward(self, raw: bytes, ip: str) -> None:
        self._forward_to_host(check_packet_header(raw[1:]), ip, searching=False)

    def _handle_search(self, raw: bytes, ip: str) -> None:
        self._forward_to_host(check_packet_header(raw[1:]), ip, searching=True)

    def _handle_relayed(self, raw: bytes, ip: str) -> None:
        entry, others, packet = messages.read_relayed(raw)
        datagram = messages.pack_relayed(entry, [], check_packet_header(packet))
        for other in others:
            self._node.send(inet_ntoa(other), datagram)
        origin = inet_ntoa(entry)
        self._forward_to_host(packet, origin, searching=True, relayed=True)

    def _forward_to_host(
        self,
        packet: bytes,
        entry: str,
        searching: bool,
        relayed: bool = False,
    ) -> None:
        self._reporter.note_entry(entry)
        key = packet[FLOW_KEY]
        flow = self._flows.get(key)
        sequence = sequence_numbers(packet)[0]
        if flow is None or not flow.includes(sequence):
            received = UnansweredPacket(
                entry, self._node.loop.now, packet, searching, relayed
            )
            self._handle_unknown(flow, received)
            return
        flow.entry = entry
        if searching:
            send_held(self._node, key, flow, sequence)
        is_reset = bool(flags_of(packet) & RST)
        if self._holding.take(key, flow, packet):
            return
        self._tracker.track_packet(key, flow, packet)
        if is_reset:
            self._tracker.end(key, flow, 'client-reset')
        self._deliver(packet)

    def _handle_unknown(
        self, other: TrackedFlow | None, received: UnansweredPacket
    ) -> None:
        """Handle a packet of a flow that the host is not known to hold.

        If it holds another flow of the port, it doesn't hold this one. Then the
        entry is told. While the other flow is open that is no denial, as one of
        the earlier flow would reset the port.

        Args:
            other: the flow of the port that the host holds, or has held.
            received: the packet.
        """
        packet = received.packet
        key = packet[FLOW_KEY]
        if other is None:
            pending = self._unanswered.get(key)
            if not is_of_other_flow(packet, None, pending):
                self._unanswered[key] = received
            self._deliver(packet)
            return
        self._node.meters.count(_OTHER_FLOWS)
        if flags_of(packet) & RST:
            self._deliver(packet)
        elif other.ended_at:
            send_not_held(self._node, key, received)
        elif not received.searching:
            reason = messages.OTHER_FLOW
            send_absent(self._node, key, received.entry, packet, reason)

    def _deliver(self, packet: bytes) -> None:
        try:
            self._inbound_socket.send(packet)
        except ConnectionRefusedError:
            self._handle_host_unreachable()
        except OSError:
            self._node.meters.count('send_errors_total')

    def _read_socket_error(self, events: int) -> None:
        try:
            self._inbound_socket.recv(1)
        except ConnectionRefusedError:
            self._handle_host_unreachable()
        except OSError:
            # Only a refused connection is handled here.
            return

    def _handle_host_unreachable(self) -> None:
        """Drop all flows: nothing listens on the port of the host."""
        self._node.meters.count('host_unreachable_total')
        if self._host.note_unreachable(self._node.loop.now):
            self._node.log('host.unreachable', flows=len(self._flows))
        self._planned_stop.note_unreachable()
        flows = list(self._flows.items())
        self._flows.clear()
        self._doubtful_flows.clear()
        # Clients of flows that are not reset retransmit what was held.
        for held_key, _ in flows:
            self._holding.drop(held_key, 'host-unreachable')
        for key, flow in flows:
            self._tracker.end(key, flow, 'host-gone')
            if flow.established and flow.header and not flow.ended_at:
                self._node.reset_flow(
                    self._client_socket, flow.header, 'host-gone'
                )
        for unknown_key, unanswered in list(self._unanswered.items()):
            # The clients of first packets send other copies.
            if not unanswered.is_first:
                self._unanswered.pop(unknown_key)
                send_not_held(self._node, unknown_key, unanswered)
        self._reporter.send_status()

    # Known state of the host.

    def _handle_record(self, raw: bytes, ip: str) -> None:
        self._reporter.note_entry(ip)
        record = messages.Record.read(raw)
        if record.position.era >= self._host.position.era:
            now = self._node.loop.now
            hosts_at = now - record.age_s
            self._entry_reads.note(hosts_at, now - record.operator_age_s)
            self._follower.note_hosts_read_by_peer(hosts_at)
        self._apply_record(record, ip)

    def _apply_record(self, record: messages.Record, source: str) -> None:
        host = self._host
        before = host.record
        born_before_ms = host.born_ms
        if not host.apply_record(record, self._node.loop.now):
            return
        if host.born_ms != born_before_ms:
            if born_before_ms:
                self._doubt_flows()
        elif before and _is_same_state(before, record):
            return
        self._node.log(
            'host.changed',
            flags=record.flags,
            born_ms=record.born_ms,
            source=source,
            revision=record.position,
            age_ms=int(record.age_s * 1000),
            cold_ms=int(record.cold_s * 1000),
            cold_per_s=record.cold_per_s,
        )
        self._reporter.send_status()
        self._admission.release()

    def _doubt_flows(self) -> None:
        """Doubt the flows from before the start of the host's incarnation.

        Only the host can tell whether it has lost them: the time of day jumps,
        and the record may be of something else at its address.

        Load pattern: a restarted host serves new flows before its record is
        read.
        """
        born_at = self._host.born_at
        doubtful = [
            (key, flow, self._holding.drop(key, 'host-restarted'))
            for key, flow in self._flows.items()
            if flow.opened_at < born_at
        ]
        for doubtful_key, _, _ in doubtful:
            flow = self._flows.pop(doubtful_key)
            self._doubtful_flows[doubtful_key] = flow.last_seen
        for key, flow, held_packets in doubtful:
            self._tracker.end(key, flow, 'host-restarted')
            # A new incarnation refuses them, and the entry is told.
            for packet in held_packets:
                self._forward_to_host(packet, flow.entry, searching=False)

    def _hosts_due(self) -> bool:
        return self._entry_reads.sidecar_should_read(
            self._node.loop.now, self._follower.hosts_read_at
        )

    def _operator_due(self) -> bool:
        # The hosts are listed first, so that a store that is down gets one call.
        return not self._hosts_due() and self._entry_reads.sidecar_should_read(
            self._node.loop.now, self._follower.operator_read_at
        )

    def _on_store_read(self) -> None:
        follower = self._follower
        if not follower.hosts_position or not follower.operator_position:
            return
        ip = self._node.settings.ip
        record = record_for(follower, ip, self._node.loop.now)
        if record:
            self._apply_record(record, 'store')

    # Stalls, shutdown and timeouts.

    def _on_stall(self, stalled_s: float) -> None:
        self._host.wait_for_record(self._node.loop.now)
        self._host.in_progress.skip_measurements()

    def _begin_stop(self) -> None:
        self._planned_stop.begin()
        self._admission.release()

    def _sweep(self) -> None:
        now = self._node.loop.now
        idle_s = self._host.idle_timeout.longest_s(now) + _IDLE_MARGIN_S
        for key, flow in list(self._flows.items()):
            outcome = _timeout_outcome(flow, now, idle_s)
            if outcome:
                self._tracker.end(key, flow, outcome)
            if outcome == _IDLE:
                self._flows.pop(key)
                self._holding.drop(key, _IDLE)
        for key, last_seen in list(self._doubtful_flows.items()):
            if now - last_seen > idle_s:
                self._doubtful_flows.pop(key)
        cutoff = now - _UNANSWERED_TTL_S
        for key, unanswered in list(self._unanswered.items()):
            if unanswered.sent_at < cutoff:
                self._unanswered.pop(key)


def _is_same_state(before: messages.Record, record: messages.Record) -> bool:
    return (before.flags, before.service) == (record.flags, record.service)


def _timeout_outcome(flow: TrackedFlow, now: float, idle_s: float) -> str:
    """Return the outcome of a flow that has timed out, empty if it hasn't."""
    is_closed = flow.ended_at and flow.has_client_ended
    expired = is_closed and now - flow.ended_at > _ENDED_FLOW_TTL_S
    if expired or now - flow.last_seen > idle_s:
        return _IDLE
    # The client has abandoned the request. The slot may still be in use, but
    # the host must not count as busy without limit.
    overdue = flow.request and now - flow.request.started_at > _OVERDUE_AFTER_S
    return 'overdue' if overdue else ''
