"""The sidecar process: controls admission to a host and tracks its flows."""

from __future__ import annotations

from _socket import inet_ntoa
from time import time

from siskinbank.platform.packets import (
    BOUNCED,
    FIN,
    FLOW_KEY,
    HEADER_BYTES,
    MAX_PACKET_BYTES,
    RST,
    SYN,
    clear_bounced,
    client_address,
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
from siskinbank.relay.follower import StoreFollower
from siskinbank.relay.node import Node
from siskinbank.relay.planned_stop import PlannedStop
from siskinbank.relay.records import record_for
from siskinbank.relay.request_holding import RequestHolding
from siskinbank.relay.request_tracker import RequestTracker
from siskinbank.relay.status_reporter import StatusReporter
from siskinbank.sidecar.tracked_flows import TrackedFlow, UnansweredPacket
from siskinbank.tracking.own_host import OwnHost
from siskinbank.tracking.store_reads import (
    EntryReads,
    sidecar_pause_after_failures_s,
)

__all__ = ('Sidecar',)

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
        node.handlers[messages.FLOW_QUERY] = self._handle_flow_query
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
        unanswered = self._unanswered.pop(key, None)
        flow = self._flows.get(key)
        if flow is None:
            if unanswered and unanswered.searching and flags & RST:
                # Not a flow of this host; others are searched as well.
                self._send_not_held(key, unanswered)
                return
            flow = self._add_flow(key, unanswered)
        if flags & SYN:
            flow.number = sequence_numbers(packet)[0]
            self._host.note_opened()
        else:
            flow.established = True
            self._tracker.track_answer(key, flow, packet)
            if flags & (FIN | RST) and not flow.ended_at:
                flow.ended_at = self._node.loop.now
                # No client goes on with a flow that its host has reset.
                flow.has_client_ended |= bool(flags & RST)
                self._holding.end(key, 'host-closed')
        if unanswered or flags & SYN:
            self._send_held(key, flow)
        try:
            self._client_socket.sendto(packet, flow.client)
        except OSError:
            self._node.meters.count('send_errors_total')

    def _add_flow(
        self, key: bytes, unanswered: UnansweredPacket | None
    ) -> TrackedFlow:
        """Add a flow when its host sends the first packet."""
        client = (client_address(key), self._node.settings.packet_port)
        entry = unanswered.entry if unanswered else ''
        flow = TrackedFlow(entry, client, self._node.loop.now)
        self._flows[key] = flow
        self._doubtful_flows.pop(key, None)
        if unanswered and not flags_of(unanswered.packet) & SYN:
            self._tracker.track_packet(key, flow, unanswered.packet)
        return flow

    # Packets that the host refuses.

    def _handle_bounced(self, packet: bytes) -> None:
        key = packet[FLOW_KEY]
        unanswered = self._unanswered.pop(key, None)
        if flags_of(packet) & SYN:
            self._admission.note_host_refusal(key, unanswered)
            return
        self._doubtful_flows.pop(key, None)
        flow = self._flows.pop(key, None)
        if flow is None:
            if unanswered:
                unanswered.packet = packet
                self._send_not_held(key, unanswered)
            return
        self._holding.drop(key, 'host-forgot')
        self._tracker.end(key, flow, 'lost')
        if flow.ended_at:
            return
        if flow.established:
            # The host answered the flow before and has lost its state.
            self._host.note_restart(self._node.loop.now)
            self._node.reset_flow(self._client_socket, packet, 'host-forgot')
        elif flow.entry:
            self._send_absent(key, flow.entry, packet)

    def _send_held(self, key: bytes, flow: TrackedFlow) -> None:
        if flow.entry:
            note = messages.pack_flow_note(
                messages.HELD,
                key,
                flow.number,
                int(flow.established),
            )
            self._node.send(flow.entry, note)

    def _send_not_held(self, key: bytes, unanswered: UnansweredPacket) -> None:
        """Tell an entry that the host doesn't hold a flow."""
        if unanswered.relayed:
            note = messages.pack_keys(messages.NOT_HELD, [key])
            self._node.send(unanswered.entry, note)
        else:
            self._send_absent(key, unanswered.entry, unanswered.packet)

    def _send_absent(self, key: bytes, entry: str, packet: bytes) -> None:
        note = messages.pack_flow_note(messages.ABSENT, key, 0)
        self._node.send(entry, note + packet)

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

    def _handle_flow_query(self, raw: bytes, ip: str) -> None:
        self._reporter.note_entry(ip)
        answers: dict[int, list[bytes]] = {}
        complete = self._host.has_observed_all_flows(self._node.loop.now)
        for key in messages.read_keys(raw):
            flow = self._flows.get(key)
            if flow:
                flow.entry = ip
                self._send_held(key, flow)
            elif not self._may_open(key):
                is_known = complete and key not in self._doubtful_flows
                kind = messages.NOT_HELD if is_known else messages.HELD_UNKNOWN
                answers.setdefault(kind, []).append(key)
        for kind, keys in answers.items():
            self._node.send(ip, messages.pack_keys(kind, keys))

    def _may_open(self, key: bytes) -> bool:
        """Return whether the host may accept a first packet of a flow yet."""
        unanswered = self._unanswered.get(key)
        if unanswered and flags_of(unanswered.packet) & SYN:
            return True
        return self._admission.queue.opening(key) is not None

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
        if flow is None:
            unanswered = UnansweredPacket(entry, self._node.loop.now, packet)
            unanswered.searching = searching
            unanswered.relayed = relayed
            self._unanswered[key] = unanswered
            self._deliver(packet)
            return
        flow.entry = entry
        if searching:
            self._send_held(key, flow)
        is_reset = bool(flags_of(packet) & RST)
        if self._holding.take(key, flow, packet):
            return
        self._tracker.track_packet(key, flow, packet)
        if is_reset:
            self._tracker.end(key, flow, 'client-reset')
        self._deliver(packet)

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
            if not flags_of(unanswered.packet) & SYN:
                self._unanswered.pop(unknown_key)
                self._send_not_held(unknown_key, unanswered)
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
