"""The sidecar: guards one host, and knows every flow that the host holds."""

from __future__ import annotations

from _socket import inet_ntoa
from time import time

from siskinbank.beliefs.freshness import sidecar_reads
from siskinbank.beliefs.own_host import OwnHost
from siskinbank.platform.packets import (
    BOUNCED,
    FIN,
    FLOW_KEY,
    HEAD_BYTES,
    MAX_PACKET_BYTES,
    RST,
    SYN,
    answer_key,
    client_address,
    flags_of,
    not_bounced,
    sequence_numbers,
)
from siskinbank.relay import messages
from siskinbank.relay.datagrams import (
    connect_datagrams,
    open_datagrams,
    read_datagrams,
)
from siskinbank.relay.follower import Follower
from siskinbank.relay.node import Node
from siskinbank.relay.openings import Openings, whole_packet
from siskinbank.relay.records import record_for
from siskinbank.relay.reports import Reports
from siskinbank.relay.request_watch import RequestWatch
from siskinbank.sidecar.held_flows import HeldFlow, Waiting

__all__ = ('Sidecar',)

_SWEEP_S = 2.0
# A flow that is over is remembered this long, in seconds, for the last
# packets that its client repeats.
_ENDED_S = 5.0
# Hosts discard flows that are idle for 15 s.
_IDLE_S = 20.0
# A request without an answer for longer than this, in seconds, counts for
# nothing: the deadline of most requests.
_OVERDUE_S = 3.0
_IDLE = 'idle'
# A packet without an answer is forgotten, in seconds: clients give up a first
# packet after 1.4 s.
_WAITING_S = 1.5
_MS = 1000
# A planned stop waits for requests in progress this long, in seconds; the
# platform kills after six.
_STOP_S = 4.0
_STOP_CHECK_S = 0.05
# New flows stay away before a planned stop for this long, in seconds.
_STOP_LEAD_S = 0.15


class Sidecar:
    """One sidecar process."""

    def __init__(self, node: Node) -> None:
        """Open the port for the host's packets, and a way to the host.

        Raises:
            OSError: a port cannot be had, or the settings name no host.
        """
        self._node = node
        settings = node.settings
        if settings.host_address is None or settings.host_output is None:
            raise OSError('the settings name no host')
        self._flows: dict[bytes, HeldFlow] = {}
        self._waiting: dict[bytes, Waiting] = {}
        self._stop_at: float = 0
        self._started = node.loop.now
        service = messages.digest(settings.service or '')
        started_ms = int(time() * _MS)
        self._host = OwnHost(service, node.loop.now, started_ms)
        self._requests = RequestWatch(node, self._host)
        self._follower = Follower(node, self._store_read, self._store_read)
        self._follower.hosts_due = self._hosts_due
        self._follower.operator_due = self._operator_due
        self._outbound = open_datagrams(settings.host_output)
        self._packets = open_datagrams((settings.ip, settings.packet_port))
        self._inbound = connect_datagrams(settings.host_address)
        self._reports = Reports(
            node,
            self._host,
            self._flows.__len__,
            lambda: self._openings.count_in_time(),
        )
        self._openings = Openings(
            node,
            self._host,
            self._reports,
            self._flows,
            self._waiting,
            self._deliver,
        )
        self._requests.on_end = self._openings.release
        node.ready = lambda: not self._host.stopping
        node.stopping = self._begin_stop
        node.handlers[messages.CARRY] = self._hear_carry
        node.handlers[messages.SEARCH] = self._hear_search
        node.handlers[messages.RELAYED] = self._hear_relayed
        node.handlers[messages.ASK_FLOWS] = self._hear_ask
        node.handlers[messages.RECORD] = self._hear_record
        node.loop.watch(self._outbound.fileno(), self._receive)
        node.loop.watch(self._inbound.fileno(), self._hear_error)
        node.loop.every(_SWEEP_S, self._sweep)
        node.loop.on_stall(self._note_stall)

    # Packets of the host.

    def _receive(self, events: int) -> None:
        read_datagrams(self._outbound, MAX_PACKET_BYTES + 1, self._check)

    def _check(self, packet: bytes, address: tuple[str, int]) -> None:
        if len(packet) < HEAD_BYTES:
            self._node.meters.count('packets_refused_short_total')
        elif flags_of(packet) & BOUNCED:
            self._take_back(not_bounced(packet))
        else:
            self._send_out(packet)

    def _send_out(self, packet: bytes) -> None:
        key = answer_key(packet)
        flags = flags_of(packet)
        waiting = self._waiting.pop(key, None)
        flow = self._flows.get(key)
        if flow is None:
            if waiting and waiting.searching and flags & RST:
                # Not this host's flow; another one is asked as well.
                self._deny(key, waiting)
                return
            flow = self._learn(key, waiting)
        if flags & SYN:
            flow.number = sequence_numbers(packet)[0]
            self._host.note_opened()
        else:
            flow.established = True
            self._requests.take_answer(key, flow, packet)
            if flags & (FIN | RST) and not flow.ended:
                flow.ended = self._node.loop.now
        if waiting or flags & SYN:
            self._note_held(key, flow)
        try:
            self._packets.sendto(packet, flow.client)
        except OSError:
            self._node.meters.count('send_errors_total')

    def _learn(self, key: bytes, waiting: Waiting | None) -> HeldFlow:
        """Begin to know a flow from the host's first packet in it."""
        client = (client_address(key), self._node.settings.packet_port)
        entry = waiting.entry if waiting else ''
        flow = HeldFlow(entry, client, self._node.loop.now)
        self._flows[key] = flow
        if waiting and not flags_of(waiting.packet) & SYN:
            self._requests.take_packet(key, flow, waiting.packet)
        return flow

    # Packets that the host does not take.

    def _take_back(self, packet: bytes) -> None:
        key = packet[FLOW_KEY]
        waiting = self._waiting.pop(key, None)
        if flags_of(packet) & SYN:
            self._openings.take_back(key, waiting)
            return
        flow = self._flows.pop(key, None)
        if flow is None:
            if waiting:
                waiting.packet = packet
                self._deny(key, waiting)
            return
        self._requests.end(key, flow, 'lost')
        if flow.ended:
            return
        if flow.established:
            # The host worked on it and knows nothing of it any more.
            self._node.reset_flow(self._packets, packet, 'host-forgot')
        elif flow.entry:
            self._note_absent(key, flow.entry, packet)

    def _note_held(self, key: bytes, flow: HeldFlow) -> None:
        if flow.entry:
            note = messages.flow_note(
                messages.HELD,
                key,
                flow.number,
                int(flow.established),
            )
            self._node.send(flow.entry, note)

    def _deny(self, key: bytes, waiting: Waiting) -> None:
        """Tell who asked that the host does not hold a flow."""
        if waiting.relayed:
            note = messages.pack_keys(messages.NOT_HELD, [key])
            self._node.send(waiting.entry, note)
        else:
            self._note_absent(key, waiting.entry, waiting.packet)

    def _note_absent(self, key: bytes, entry: str, packet: bytes) -> None:
        note = messages.flow_note(messages.ABSENT, key, 0)
        self._node.send(entry, note + packet)

    # Other packets of clients.

    def _hear_carry(self, raw: bytes, ip: str) -> None:
        self._take(whole_packet(raw[1:]), ip, searching=False)

    def _hear_search(self, raw: bytes, ip: str) -> None:
        self._take(whole_packet(raw[1:]), ip, searching=True)

    def _hear_relayed(self, raw: bytes, ip: str) -> None:
        entry, others, packet = messages.read_relayed(raw)
        datagram = messages.relayed(entry, [], whole_packet(packet))
        for other in others:
            self._node.send(inet_ntoa(other), datagram)
        asker = inet_ntoa(entry)
        self._take(packet, asker, searching=True, relayed=True)

    def _hear_ask(self, raw: bytes, ip: str) -> None:
        unknown: list[bytes] = []
        for key in messages.read_keys(raw):
            flow = self._flows.get(key)
            if flow:
                flow.entry = ip
                self._note_held(key, flow)
            else:
                unknown.append(key)
        if unknown:
            whole = self._host.seen_whole(self._node.loop.now)
            kind = messages.NOT_HELD if whole else messages.UNSURE
            self._node.send(ip, messages.pack_keys(kind, unknown))

    def _take(
        self,
        packet: bytes,
        entry: str,
        searching: bool,
        relayed: bool = False,
    ) -> None:
        key = packet[FLOW_KEY]
        flow = self._flows.get(key)
        if flow is None:
            waiting = Waiting(entry, self._node.loop.now, packet)
            waiting.searching = searching
            waiting.relayed = relayed
            self._waiting[key] = waiting
        else:
            flow.entry = entry
            if searching:
                self._note_held(key, flow)
            self._requests.take_packet(key, flow, packet)
            if flags_of(packet) & RST:
                self._requests.end(key, flow, 'client-reset')
        self._deliver(packet)

    def _deliver(self, packet: bytes) -> None:
        try:
            self._inbound.send(packet)
        except ConnectionRefusedError:
            self._lose_host()
        except OSError:
            self._node.meters.count('send_errors_total')

    def _hear_error(self, events: int) -> None:
        try:
            self._inbound.recv(1)
        except ConnectionRefusedError:
            self._lose_host()
        except OSError:
            # Nothing to report.
            return

    def _lose_host(self) -> None:
        """Nobody listens at the host: its flows are gone with it."""
        self._node.meters.count('host_unreachable_total')
        if self._host.lose(self._node.loop.now):
            self._node.log('host.unreachable', flows=len(self._flows))
        flows = list(self._flows.items())
        self._flows.clear()
        for key, flow in flows:
            self._requests.end(key, flow, 'host-gone')
            if flow.established and flow.head and not flow.ended:
                self._node.reset_flow(self._packets, flow.head, 'host-gone')
        self._reports.tell()

    # What is known of the host.

    def _hear_record(self, raw: bytes, ip: str) -> None:
        self._reports.note_entry(ip)
        self._believe(messages.Record.read(raw), ip)

    def _believe(self, record: messages.Record, source: str) -> None:
        host = self._host
        before = host.record
        if not host.believe(record, self._node.loop.now):
            return
        self._follower.hosts_told = host.confirmed
        reborn = before and record.born_ms not in {0, before.born_ms}
        if before and before.born_ms and reborn:
            self._forget_flows()
        elif before and before.flags == record.flags:
            return
        self._node.log(
            'host.changed',
            flags=record.flags,
            born_ms=record.born_ms,
            source=source,
            revision=record.revision,
            age_ms=int(record.age_s * 1000),
            cold_ms=int(record.cold_s * 1000),
            cold_per_s=record.cold_per_s,
        )
        self._reports.tell()

    def _forget_flows(self) -> None:
        """The host started anew: what was seen before holds no more."""
        for key, flow in list(self._flows.items()):
            self._flows.pop(key)
            self._requests.end(key, flow, 'host-restarted')

    def _hosts_due(self) -> bool:
        return self._reads_itself(self._follower.hosts_seen)

    def _operator_due(self) -> bool:
        return self._reads_itself(self._follower.operator_seen)

    def _reads_itself(self, seen: float) -> bool:
        """Say whether no entry has told what this sidecar needs to know."""
        now = self._node.loop.now
        return sidecar_reads(now, self._started, self._host.confirmed, seen)

    def _store_read(self) -> None:
        follower = self._follower
        if not follower.hosts_revision or not follower.operator_revision:
            return
        ip = self._node.settings.ip
        record = record_for(follower, ip, self._node.loop.now)
        if record:
            self._believe(record, 'store')

    # Life of the process.

    def _note_stall(self, lost: float) -> None:
        self._host.doubt(self._node.loop.now)

    def _begin_stop(self) -> None:
        self._host.stopping = True
        self._stop_at = self._node.loop.now + _STOP_S
        self._reports.tell()
        self._node.loop.after(_STOP_LEAD_S, self._stop_when_idle)

    def _stop_when_idle(self) -> None:
        if self._host.busy <= 0 or self._node.loop.now >= self._stop_at:
            self._node.stop()
        else:
            self._node.loop.after(_STOP_CHECK_S, self._stop_when_idle)

    def _sweep(self) -> None:
        now = self._node.loop.now
        for key, flow in list(self._flows.items()):
            outcome = _outcome_of_silence(flow, now)
            if outcome:
                self._requests.end(key, flow, outcome)
            if outcome == _IDLE:
                self._flows.pop(key)
        edge = now - _WAITING_S
        for key, waiting in list(self._waiting.items()):
            if waiting.seen < edge:
                self._waiting.pop(key)


def _outcome_of_silence(flow: HeldFlow, now: float) -> str:
    """Say how a flow's request counts after a while, empty if not at all."""
    ended = flow.ended and now - flow.ended > _ENDED_S
    if ended or now - flow.seen > _IDLE_S:
        return _IDLE
    # Its client has given up; the slot may still be taken, but a host must
    # not look busy for ever.
    overdue = flow.request and now - flow.request.began > _OVERDUE_S
    return 'overdue' if overdue else ''
