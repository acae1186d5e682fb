"""The entry process: forwards clients' packets to the hosts of their flows."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa
from zlib import crc32

from siskinbank.admission import reasons
from siskinbank.admission.arrivals import (
    no_host_is_final,
    refusal_is_final,
)
from siskinbank.choice.placement import candidates, rank_hosts
from siskinbank.entry.flow_cache import CachedFlow, FlowCache
from siskinbank.entry.suspect_flows import SuspectFlows
from siskinbank.platform.packets import (
    FLOW_KEY,
    HEADER_BYTES,
    MAX_PACKET_BYTES,
    RST,
    SYN,
    describe_flow,
    flags_of,
    packet_problem,
    sequence_numbers,
)
from siskinbank.relay import messages
from siskinbank.relay.configuration_transfer import ConfigurationTransfer
from siskinbank.relay.datagrams import open_udp_socket, read_datagrams
from siskinbank.relay.detours import Detours
from siskinbank.relay.entry_capacities import BY_CAPACITY, EntryCapacities
from siskinbank.relay.flow_rejection import FlowRejection
from siskinbank.relay.flow_searcher import FlowSearcher
from siskinbank.relay.follower import StoreFollower
from siskinbank.relay.gossip import Gossip
from siskinbank.relay.host_monitor import DISCOVERY_TIMEOUT_S, HostMonitor
from siskinbank.relay.link_shedding import FORWARD, REJECT, LinkShedding
from siskinbank.relay.node import Node
from siskinbank.relay.route_services import RouteServices
from siskinbank.tracking.hosts import HostTable, TrackedHost

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.platform.records import Route

__all__ = ('Entry',)

_SWEEP_INTERVAL_S = 5.0
# An idle flow is removed this long after the time for which its host may keep it,
# in seconds: a search for it costs more than its place in the cache.
_IDLE_MARGIN_S = 5.0
# Interval at which flows at probed hosts are checked, in seconds: that of the
# probes.
_SUSPECT_CHECK_INTERVAL_S = 0.1
# Maximum number of packets queued until routes and hosts are known, and how
# long they stay queued, in seconds: clients abandon a flow that is not answered
# within 1.4 s.
_MAX_EARLY_PACKETS = 256
_EARLY_PACKET_TTL_S = 1.0
# Wait for further hosts after the first status update, in seconds: several
# round trips to the most distant data centre.
_DISCOVERY_WAIT_S = 0.06
# Maximum number of placements of a first packet, including those after a
# refusal by a sidecar.
_MAX_PLACEMENTS = 3
# Delay of a planned stop, in seconds: routers stop sending packets to an
# entry after two failed probes, half a second apart.
_STOP_DELAY_S = 1.2
# Maximum time by which a packet is late, in seconds: longer than any interval at
# which clients retransmit.
_MAX_LATE_S = 2.0
_MS = 1000


class Entry:
    """An entry process."""

    def __init__(
        self,
        node: Node,
        rotation: str = BY_CAPACITY,
        split_overflow: bool = False,
        link_budget: bool = True,
        detours: bool = True,
    ) -> None:
        """Initialize the entry, open its port and join the other entries.

        Args:
            node: the process that runs the entry.
            rotation: when the entry fails the readiness probe on behalf of
                better ones, see ``EntryCapacities``.
            split_overflow: whether new flows may go to another service of
                their route than the weights select.
            link_budget: whether packets may be dropped or rejected while the
                link is backlogged, see ``LinkShedding``.
            detours: whether copies of retransmitted packets go through a third
                data centre, see ``Detours``.

        Raises:
            OSError: if the port for clients' packets can't be opened.
        """
        self._node = node
        settings = node.settings
        self._data_centre = messages.digest(settings.data_centre)
        self._started = node.loop.now
        self._flows = FlowCache()
        self._suspect_flows = SuspectFlows()
        self._early_packets: list[tuple[float, bytes]] = []
        self._discovery_done = False
        self._hosts = HostTable(settings.flow_lifetime_s)
        self._follower = StoreFollower(
            node, self._on_hosts_read, self._on_operator_read
        )
        self._transfer = ConfigurationTransfer(
            node, self._follower, self._process_early_packets
        )
        self._gossip = Gossip(node, self._hosts, self._follower, self._transfer)
        self._capacities = EntryCapacities(
            node, self._gossip.entries, self._is_discovery_done, rotation
        )
        self._services = RouteServices(
            node, self._hosts, self._follower, split_overflow
        )
        self._monitor = HostMonitor(node, self._hosts, self._follower)
        self._rejection = FlowRejection(
            node, self._hosts, self._flows, self._reset, self._search_host
        )
        self._searcher = FlowSearcher(
            node,
            self._hosts,
            self._follower,
            self._monitor,
            self._rejection.reset_not_held,
        )
        self._searcher.knows_all_hosts = self._gossip.knows_hosts_of_peers
        self._shedding = LinkShedding(
            node, self._flows, self._follower, link_budget
        )
        self._detours = Detours(node, self._hosts, detours)
        self._client_socket = open_udp_socket(
            (settings.ip, settings.packet_port)
        )
        node.on_message = self._note_message
        node.is_ready = self._is_ready
        node.on_stop = self._begin_stop
        node.handlers[messages.HELD] = self._handle_held
        node.handlers[messages.QUEUED] = self._handle_queued
        node.handlers[messages.ABSENT] = self._handle_absent
        node.handlers[messages.REFUSED] = self._handle_refused
        node.handlers[messages.STATUS] = self._handle_status
        node.loop.watch(self._client_socket.fileno(), self._read_clients)
        node.loop.every(_SWEEP_INTERVAL_S, self._sweep)
        node.loop.every(_DISCOVERY_WAIT_S, self._process_early_packets)
        node.loop.every(
            _SUSPECT_CHECK_INTERVAL_S, self._reset_flows_of_gone_hosts
        )
        node.loop.on_stall(self._hosts.add_stall)
        self._follower.check()

    # Packets from clients.

    def _read_clients(self, events: int) -> None:
        is_drained = read_datagrams(
            self._client_socket, MAX_PACKET_BYTES + 1, self._check_packet
        )
        self._rejection.note_read(is_drained)

    def _check_packet(self, packet: bytes, address: tuple[str, int]) -> None:
        problem = packet_problem(packet)
        if problem:
            self._node.meters.count(f'packets_refused_{problem}_total')
            return
        if flags_of(packet) & SYN and not self._note_first_packet(packet):
            self._node.meters.count('packets_of_other_flows_total')
            return
        decision = self._shedding.decide(packet)
        if decision == FORWARD:
            self._handle_packet(packet)
        elif decision == REJECT:
            backlog_ms = self._shedding.backlog_ms
            self._rejection.reject(packet, 'link-full', backlog_ms=backlog_ms)

    def _handle_packet(self, packet: bytes) -> None:
        if flags_of(packet) & SYN:
            self._open_flow(packet)
            return
        key = packet[FLOW_KEY]
        flow = self._flows.get(key)
        if flow is None:
            self._search_host(key, packet)
            return
        numbers = sequence_numbers(packet)
        if flow.includes(numbers[0]) or flags_of(packet) & RST:
            self._forward(key, flow, packet, numbers)
        else:
            self._search_other_flow(key, flow, packet)

    def _forward(
        self,
        key: bytes,
        flow: CachedFlow,
        packet: bytes,
        numbers: tuple[int, int],
    ) -> None:
        """Send a packet to the host of its flow, if it may be there.

        Args:
            key: the key of the flow.
            flow: the flow.
            packet: the packet.
            numbers: its sequence and acknowledgement number.
        """
        now = self._node.loop.now
        flow.last_seen = now
        flow.note_packet(flags_of(packet), *numbers)
        gone = self._monitor.loss_reason(flow.ip, key)
        is_suspect = flow.ip in self._hosts.probes
        if _may_be_elsewhere(flow, packet, bool(gone) or is_suspect):
            self._search_host(key, packet)
            return
        if gone:
            self._reset_lost_flow(packet, flow.ip, gone)
            return
        if is_suspect and not flags_of(packet) & RST:
            self._suspect_flows.add(key, flow.ip, packet)
        wrap = messages.pack_forward if flow.confirmed else messages.pack_search
        self._node.send(flow.ip, wrap(packet))
        repeated = (
            flow.confirmed
            and len(packet) > HEADER_BYTES
            and flow.note_data(numbers[0], now)
        )
        # What a backlogged link has dropped is not sent twice over it.
        if repeated and not self._shedding.is_backlogged:
            self._detours.send_copy(key, flow, packet)

    def _search_other_flow(
        self, key: bytes, flow: CachedFlow, packet: bytes
    ) -> None:
        """Search for the host of another flow of a known flow's port.

        Its first packet went through another entry. The known flow may be the
        later one if it is in use; then a late packet must not end it.
        """
        self._node.meters.count('packets_of_other_flows_total')
        if self._node.loop.now - flow.last_seen > _MAX_LATE_S:
            self._flows.drop(key)
        self._begin_search(key, packet)

    def _note_first_packet(self, packet: bytes) -> bool:
        """Record a first packet, and forget an earlier flow of its port.

        Returns:
            False if it is a late copy of an earlier flow's first packet.
        """
        if not self._rejection.note_first_packet(packet):
            return False
        key = packet[FLOW_KEY]
        number = sequence_numbers(packet)[0]
        flow = self._flows.get(key)
        if flow and not flow.sequence.begins_with(number):
            self._node.log('flow.reused', flow=describe_flow(key), host=flow.ip)
            self._flows.drop(key)
            self._suspect_flows.drop(key)
        self._searcher.cancel_other(key, number)
        return True

    def _reset_lost_flow(self, packet: bytes, ip: str, gone: str) -> None:
        evidence = self._monitor.describe(ip)
        self._reset(packet, 'host-gone', evidence=gone, **evidence)

    def _reset_flows_of_gone_hosts(self) -> None:
        """Reset flows whose hosts have become gone since their last packets."""
        decided = self._suspect_flows.take_decided(
            self._hosts.probes.__contains__, self._monitor.loss_reason
        )
        for ip, packet, gone in decided:
            key = packet[FLOW_KEY]
            flow = self._flows.get(key)
            sequence = sequence_numbers(packet)[0]
            if flow is None or flow.ip != ip or not flow.includes(sequence):
                continue
            if flow.is_connected:
                self._reset_lost_flow(packet, ip, gone)
            else:
                self._search_host(key, packet)

    # First packets.

    def _open_flow(self, packet: bytes) -> None:
        key = packet[FLOW_KEY]
        flow = self._flows.get(key)
        if flow and flow.confirmed and self._send_to_holder(packet, flow):
            return
        if not self._is_discovery_done():
            self._queue_early_packet(packet)
            return
        route = self._services.route(key)
        if route is None:
            self._rejection.reject(packet, 'no-route')
            return
        self._place_flow(packet, route, flow)

    def _send_to_holder(self, packet: bytes, flow: CachedFlow) -> bool:
        """Send a copy of a first packet to the host that holds its flow.

        The host's answer was lost or is in transit; it sends it again.

        Returns:
            False if the host is gone, so that another one is needed.
        """
        key = packet[FLOW_KEY]
        if not flow.is_open and self._monitor.loss_reason(flow.ip, key):
            flow.reopen()
            return False
        route = self._services.route(key)
        if route is None:
            opening = messages.Opening(self._node.packed_ip, packet)
        else:
            # Complete, as the sidecar may have restarted since.
            service = flow.service or route.service_for(crc32(key))
            opening = self._services.opening(packet, route, service)
        self._node.send(flow.ip, opening.pack())
        return True

    def _place_flow(
        self,
        packet: bytes,
        route: Route,
        flow: CachedFlow | None,
    ) -> None:
        key = packet[FLOW_KEY]
        now = self._node.loop.now
        flow_hash = crc32(key)
        by_weight = route.service_for(flow_hash)
        service = self._services.select(route, by_weight, flow_hash, flow)
        service_digest = messages.digest(service)
        hosts = self._hosts.of_service(service_digest)
        median_ms = self._hosts.median_ms(service_digest, now)
        ordered = rank_hosts(
            hosts,
            flow_hash,
            self._data_centre,
            now,
        )
        tried = flow.tried if flow else ()
        chosen = candidates(
            hosts, ordered, tried, flow.queueing_host if flow else ''
        )
        if not chosen:
            self._refuse_unplaced(
                packet, self._services.hosts_of_route(route, hosts)
            )
            return
        # A search that ends now would reset a flow that a host may accept.
        self._searcher.cancel(key)
        first = chosen[0]
        first.pending += 1
        if first.load_factor > 1:
            self._node.meters.count('flows_placed_slow_total')
        if flow is None:
            flow = self._flows.add(key, first.ip, now)
            flow.sequence.begin(sequence_numbers(packet)[0])
        else:
            flow.last_seen = now
            flow.add_tried(first.ip)
        flow.service = service
        self._node.log(
            'flow.placed',
            flow=describe_flow(key),
            host=first.ip,
            age_ms=int((now - first.last_seen) * _MS),
            busy=first.status.busy,
            processing_ms=first.status.processing_ms,
            median_ms=median_ms,
            candidates=len(chosen),
            version=self._follower.configuration.version,
            tries=len(tried),
            service=service,
            overflow=int(service != by_weight),
        )
        opening = self._services.opening(packet, route, service)
        opening.candidates = [host.packed for host in chosen]
        self._node.send(opening.pop_next(), opening.pack())

    def _refuse_unplaced(
        self,
        packet: bytes,
        hosts: list[TrackedHost],
    ) -> None:
        """Refuse a first packet that no host accepts.

        Shortly after the start hosts may not be known yet; the packet is
        queued then.
        """
        if self._node.loop.now - self._started < DISCOVERY_TIMEOUT_S:
            self._queue_early_packet(packet)
            return
        states = [host.status.state for host in hosts]
        copy = sequence_numbers(packet)[1]
        if no_host_is_final(states, copy):
            self._rejection.reject(packet, 'no-host')
            return
        self._node.log(
            'flow.refused',
            flow=describe_flow(packet[FLOW_KEY]),
            reason='no-host',
            hosts=len(hosts),
            copy=copy,
        )

    def _is_discovery_done(self) -> bool:
        """Return whether routes and hosts are known.

        Load pattern: after a power loss all clients connect at once, and the
        first host from which a status is received would get all flows.
        """
        if not self._follower.configuration.version or not self._hosts:
            return False
        if self._discovery_done:
            return True
        now = self._node.loop.now
        first_status_at = min(host.first_seen for host in self._hosts.all())
        listed = self._follower.listing.addresses
        known = bool(listed) and all(
            self._hosts.get(inet_ntoa(packed)) for packed in listed
        )
        self._discovery_done = (
            known or now - first_status_at > _DISCOVERY_WAIT_S
        )
        return self._discovery_done

    def _queue_early_packet(self, packet: bytes) -> None:
        if len(self._early_packets) < _MAX_EARLY_PACKETS:
            self._early_packets.append((self._node.loop.now, packet))
        else:
            self._node.meters.count('packets_early_dropped_total')

    def _process_early_packets(self) -> None:
        if self._early_packets and self._is_discovery_done():
            early, self._early_packets = self._early_packets, []
            cutoff = self._node.loop.now - _EARLY_PACKET_TTL_S
            for received_at, packet in early:
                if received_at > cutoff:
                    self._handle_packet(packet)

    def _reset(self, packet: bytes, reason: str, **inputs: object) -> None:
        self._flows.drop(packet[FLOW_KEY])
        version = self._follower.configuration.version
        self._node.reset_flow(
            self._client_socket, packet, reason, version=version, **inputs
        )

    def _search_host(self, key: bytes, packet: bytes) -> None:
        self._flows.drop(key)
        self._begin_search(key, packet)

    def _begin_search(self, key: bytes, packet: bytes) -> None:
        if not self._is_discovery_done():
            self._queue_early_packet(packet)
        elif not flags_of(packet) & RST:
            # No search for a flow that the client has reset.
            self._searcher.search(key, packet)

    # Messages from sidecars.

    def _note_message(self, ip: str) -> None:
        silent_s = self._hosts.note_message(ip, self._node.loop.now)
        if silent_s:
            self._node.log('host.heard', host=ip, silent_ms=int(silent_s * _MS))

    def _handle_held(self, raw: bytes, ip: str) -> None:
        key, number, established = messages.read_flow_note(raw)
        sequence = messages.read_note_sequence(raw)
        is_searched = self._searcher.is_searching(key, sequence)
        if (
            is_searched
            and not established
            and self._searcher.excludes(key, number)
        ):
            # Half open at this host, while the client is connected to another.
            self._searcher.add_absent(key, ip, sequence)
            return
        flow = self._flows.get(key)
        if flow is None or (is_searched and not flow.includes(sequence)):
            flow = self._flows.add(key, ip, self._node.loop.now, sequence)
        elif not flow.includes(sequence):
            # Of an earlier flow of the port.
            return
        flow.add_holder(ip, number, bool(established))
        if not is_searched:
            self._searcher.note_held(key, ip)
            return
        for packet in self._searcher.finish(key, ip):
            if flags_of(packet) & SYN:
                # The host answers again, as the client may lack its answer.
                self._open_flow(packet)
            else:
                self._node.send(ip, messages.pack_forward(packet))

    def _handle_queued(self, raw: bytes, ip: str) -> None:
        key, _, _ = messages.read_flow_note(raw)
        sequence = messages.read_note_sequence(raw)
        flow = self._flows.get(key)
        if flow and not flow.confirmed and flow.includes(sequence):
            flow.queueing_host = ip

    def _handle_absent(self, raw: bytes, ip: str) -> None:
        key, _, reason = messages.read_flow_note(raw)
        packet = raw[messages.FLOW_NOTE_BYTES :]
        sequence = messages.read_note_sequence(raw)
        is_other = reason == messages.OTHER_FLOW
        if not is_other and self._searcher.add_absent(key, ip, sequence):
            return
        flow = self._flows.get(key)
        is_known = flow and flow.ip == ip and flow.includes(sequence)
        if is_known and len(packet) >= HEADER_BYTES:
            search = self._begin_search if is_other else self._search_host
            search(key, packet)

    def _handle_refused(self, raw: bytes, ip: str) -> None:
        key, _, reason = messages.read_flow_note(raw)
        packet = raw[messages.FLOW_NOTE_BYTES :]
        flow = self._flows.get(key)
        if flow is None or len(packet) < HEADER_BYTES:
            return
        number = sequence_numbers(packet)[0]
        if flow.is_open or not flow.sequence.begins_with(number):
            # Another host has accepted a copy, and its message was lost, or the
            # client has opened another flow from its port.
            return
        if flow.confirmed:
            if flow.ip != ip:
                return
            # The host has lost the flow that it held half open.
            flow.reopen()
        flow.queueing_host = ''
        tries = len(flow.tried)
        name = reasons.name_of(reason)
        self._node.log(
            'flow.refused',
            flow=describe_flow(key),
            host=ip,
            reason=name,
            tries=tries,
        )
        host = self._hosts.get(ip)
        if host and reason not in reasons.TRANSIENT:
            host.status.state = reason
        if tries < _MAX_PLACEMENTS and (
            reason in reasons.HOST_SPECIFIC
            or self._services.select_after_refusal(key, flow)
        ):
            self._open_flow(packet)
        elif refusal_is_final(reason, sequence_numbers(packet)[1]):
            self._rejection.reject(packet, name)

    def _handle_status(self, raw: bytes, ip: str) -> None:
        status = messages.Status.read(raw)
        self._gossip.add_sidecars([inet_aton(ip)])
        if self._hosts.update_status(ip, status, self._node.loop.now):
            self._node.log(
                'host.changed',
                host=ip,
                state=reasons.name_of(status.state),
                slots=status.slots,
                record_age_ms=status.record_age_ms,
            )
        self._transfer.fetch_if_newer(status.version, ip)
        self._process_early_packets()

    # Store updates, readiness and shutdown.

    def _on_hosts_read(self) -> None:
        self._gossip.send_records()
        self._gossip.announce()

    def _on_operator_read(self) -> None:
        self._gossip.announce()
        if self._follower.hosts_position:
            self._gossip.send_changed_records()
        self._process_early_packets()

    def _is_ready(self) -> bool:
        return (
            self._is_discovery_done()
            and not self._gossip.stopping
            and self._capacities.in_rotation
        )

    def _begin_stop(self) -> None:
        self._gossip.stopping = True
        self._gossip.announce()
        self._capacities.begin_stop()
        self._node.loop.after(_STOP_DELAY_S, self._node.stop)

    def _sweep(self) -> None:
        idle_s = self._follower.longest_idle_s + _IDLE_MARGIN_S
        self._flows.sweep(self._node.loop.now, idle_s)


def _may_be_elsewhere(
    flow: CachedFlow, packet: bytes, is_suspect: bool
) -> bool:
    """Return whether a client may be connected to another host than is known.

    Load pattern: an entry is stopped, or comes back, while clients connect. A copy
    of a first packet went to another entry, which placed it at another host. The
    one that this entry tried is gone, or has accepted its copy as well and holds
    the flow half open.

    Args:
        flow: the flow.
        packet: a packet of its client, not the first one.
        is_suspect: whether the known host is gone or being probed.
    """
    if flow.is_connected or flags_of(packet) & RST:
        return False
    return flow.confirmed or is_suspect
