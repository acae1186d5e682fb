"""The entry: takes clients' packets and sends each to the host of its flow."""

from __future__ import annotations

from _socket import inet_aton
from zlib import crc32

from siskinbank.admission import reasons
from siskinbank.admission.arrivals import refusal_is_final
from siskinbank.beliefs.hosts import SILENT_S, HostBelief, HostBeliefs
from siskinbank.choice.placement import order
from siskinbank.entry.flow_cache import CachedFlow, FlowCache
from siskinbank.entry.flow_searches import SEARCH_S, Search, Searches
from siskinbank.platform.packets import (
    FLOW_KEY,
    HEAD_BYTES,
    MAX_PACKET_BYTES,
    RST,
    SYN,
    client_address,
    describe,
    flags_of,
    problem_of,
    reset_for,
    route_key,
    sequence_numbers,
)
from siskinbank.relay import messages
from siskinbank.relay.follower import Follower
from siskinbank.relay.gossip import Gossip
from siskinbank.relay.handover import Handover
from siskinbank.relay.node import Node, open_datagrams

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.platform.records import Route

__all__ = ('Entry',)

# Datagrams read before other sockets get their turn.
_READS_A_TURN = 64
_SWEEP_S = 5.0
# Packets kept while the process learns where to send them: clients send most
# of them again after 0.2 s.
_MOST_EARLY = 64
# A process that started this long ago, in seconds, has heard of all hosts
# that it can hear of.
_YOUNG_S = 0.6
# A list of hosts older than this, in seconds, cannot say that one is gone.
_FRESH_LIST_S = 1.5
# A first packet is placed this often when sidecars refuse it.
_MOST_PLACINGS = 3
# A planned stop: routers leave a node out after two failed probes, half a
# second apart; in seconds.
_LINGER_S = 1.5
_MS = 1000


class Entry:
    """One entry process."""

    def __init__(self, node: Node) -> None:
        """Open the port for clients' packets and join the others.

        Raises:
            OSError: the port cannot be had.
        """
        self._node = node
        settings = node.settings
        self._data_centre = messages.digest(settings.data_centre)
        self._started = node.loop.now
        self._flows = FlowCache()
        self._searches = Searches()
        self._early: list[bytes] = []
        self._hosts = HostBeliefs()
        self._follower = Follower(node, self._hosts_read, self._operator_read)
        self._handover = Handover(node, self._follower, self._serve_early)
        self._gossip = Gossip(node, self._hosts, self._follower, self._handover)
        self._clients = open_datagrams((settings.ip, settings.packet_port))
        node.ready = self._is_ready
        node.stopping = self._begin_stop
        node.handlers[messages.HELD] = self._hear_held
        node.handlers[messages.ABSENT] = self._hear_absent
        node.handlers[messages.REFUSED] = self._hear_refused
        node.handlers[messages.STATUS] = self._hear_status
        node.loop.watch(self._clients.fileno(), self._receive)
        node.loop.every(_SWEEP_S, self._sweep)
        node.loop.every(SEARCH_S / 2, self._end_searches)
        node.loop.on_stall(self._hosts.excuse)
        self._follower.check()

    # Packets of clients.

    def _receive(self, events: int) -> None:
        receive = self._clients.recv
        for _ in range(_READS_A_TURN):
            try:
                packet = receive(MAX_PACKET_BYTES + 1)
            except OSError:
                # Nothing left, or an error report for an earlier datagram.
                return
            problem = problem_of(packet)
            if problem:
                self._node.meters.count(f'packets_refused_{problem}_total')
            else:
                self._take(packet)

    def _take(self, packet: bytes) -> None:
        if flags_of(packet) & SYN:
            self._open(packet)
            return
        key = packet[FLOW_KEY]
        flow = self._flows.get(key)
        if flow is None:
            self._search(key, packet)
            return
        now = self._node.loop.now
        flow.seen = now
        if flow.contested:
            flow.settle(sequence_numbers(packet)[1])
        host = self._hosts.get(flow.ip)
        if host and now - host.heard > SILENT_S and self._is_gone(host):
            self._reset(packet, 'host-gone')
            return
        wrap = messages.carry if flow.held else messages.search
        self._node.send(flow.ip, wrap(packet))

    def _is_gone(self, host: HostBelief) -> bool:
        """Say whether the store has lost a host whose sidecar is silent."""
        follower = self._follower
        if self._node.loop.now - follower.hosts_seen > _FRESH_LIST_S:
            self._gossip.want_hosts()
            return False
        return host.ip not in follower.hosts and follower.trusts_absence()

    # First packets.

    def _open(self, packet: bytes) -> None:
        key = packet[FLOW_KEY]
        flow = self._flows.get(key)
        if flow and flow.held:
            # Our answer was lost or is under way: the same host repeats it.
            opening = messages.Opening(self._node.packed_ip, packet)
            self._node.send(flow.ip, opening.pack())
            return
        if not self._knows():
            self._keep_early(packet)
            return
        route = self._route(key)
        if route is None or not route.shares:
            self._reset(packet, 'no-route')
            return
        self._place(packet, route, flow)

    def _place(
        self,
        packet: bytes,
        route: Route,
        flow: CachedFlow | None,
    ) -> None:
        key = packet[FLOW_KEY]
        now = self._node.loop.now
        draw = crc32(key)
        service = route.service_for(draw)
        ordered = order(
            self._hosts.of_service(messages.digest(service)),
            draw,
            self._data_centre,
            now,
        )
        tried = flow.tried if flow else ()
        fresh = [host for host in ordered if host.ip not in tried]
        chosen = fresh or ordered
        if not chosen:
            self._refuse_unplaced(packet)
            return
        first = chosen[0]
        first.pending += 1
        if flow is None:
            self._flows.add(key, first.ip, now)
        else:
            flow.seen = now
            flow.try_at(first.ip)
        self._node.log(
            'flow.placed',
            flow=describe(key),
            host=first.ip,
            age_ms=int((now - first.heard) * 1000),
            busy=first.status.busy,
            candidates=len(chosen),
            version=self._follower.configuration.version,
            tries=len(tried),
        )
        opening = messages.Opening(self._node.packed_ip, packet)
        opening.service = messages.digest(service)
        opening.version = self._follower.configuration.version
        opening.limit_ms = min(int(route.limit_s * _MS), messages.MOST_WAIT_MS)
        opening.candidates = [host.packed for host in chosen]
        self._node.send(opening.pop_next(), opening.pack())

    def _refuse_unplaced(self, packet: bytes) -> None:
        """No host takes new flows; a young process may not know them yet."""
        if self._node.loop.now - self._started < _YOUNG_S:
            self._keep_early(packet)
        else:
            self._reset(packet, 'no-host')

    def _knows(self) -> bool:
        """Say whether routes and a host are known."""
        return bool(self._follower.configuration.version and self._hosts)

    def _route(self, key: bytes) -> Route | None:
        return self._follower.configuration.routes.get(route_key(key))

    def _keep_early(self, packet: bytes) -> None:
        if len(self._early) < _MOST_EARLY:
            self._early.append(packet)
        else:
            self._node.meters.count('packets_early_dropped_total')

    def _serve_early(self) -> None:
        if self._early and self._knows():
            early, self._early = self._early, []
            for packet in early:
                self._take(packet)

    def _reset(self, packet: bytes, reason: str) -> None:
        key = packet[FLOW_KEY]
        self._flows.drop(key)
        self._node.meters.count('resets_total')
        self._node.log(
            'flow.reset',
            flow=describe(key),
            reason=reason,
            version=self._follower.configuration.version,
        )
        address = (client_address(key), self._node.settings.packet_port)
        try:
            self._clients.sendto(reset_for(packet), address)
        except OSError:
            self._node.meters.count('send_errors_total')

    # Flows of unknown hosts.

    def _search(self, key: bytes, packet: bytes) -> None:
        search = self._searches.get(key)
        if search:
            search.keep(packet)
        elif flags_of(packet) & RST:
            # Its client is done with it, and its host will be.
            return
        elif not self._knows():
            self._keep_early(packet)
        elif self._searches.full:
            self._node.meters.count('searches_refused_total')
        else:
            self._ask_hosts(key, packet)

    def _ask_hosts(self, key: bytes, packet: bytes) -> None:
        route = self._route(key)
        if route is None:
            self._reset(packet, 'no-route')
            return
        asked = {host.ip for host in self._route_hosts(route)}
        self._node.meters.count('searches_total')
        self._node.log('flow.search', flow=describe(key), asked=len(asked))
        search = Search(self._node.loop.now, asked.copy(), packet)
        self._searches.begin(key, search)
        datagram = messages.search(packet)
        for ip in asked:
            self._node.send(ip, datagram)

    def _route_hosts(self, route: Route) -> list[HostBelief]:
        """Return the hosts that may hold flows of a route."""
        hosts: list[HostBelief] = []
        for service, _ in route.shares:
            hosts.extend(self._hosts.of_service(messages.digest(service)))
        return [
            host
            for host in hosts
            if self._node.loop.now - host.heard < SILENT_S
            or not self._is_gone(host)
        ]

    def _end_searches(self) -> None:
        for key, search in self._searches.overdue(self._node.loop.now):
            self._node.log(
                'flow.absent',
                flow=describe(key),
                silent=','.join(sorted(search.asked)) or '-',
            )
            if not search.asked:
                self._give_up(key, search)

    def _give_up(self, key: bytes, search: Search) -> None:
        """End a flow that no host holds, if all hosts were asked."""
        route = self._route(key)
        if route is None or self._knows_hosts_of(route):
            self._reset(search.first, 'no-host-holds-it')

    def _knows_hosts_of(self, route: Route) -> bool:
        """Say whether every host with an entry in the store was heard."""
        follower = self._follower
        if not follower.hosts_revision:
            return False
        services = {service for service, _ in route.shares}
        return all(
            self._hosts.get(ip)
            for ip, record in follower.hosts.items()
            if record.service in services
        )

    # Words of sidecars.

    def _hear_held(self, raw: bytes, ip: str) -> None:
        key, number, _ = messages.read_flow_note(raw)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows.add(key, ip, self._node.loop.now)
        flow.hold(ip, number)
        search = self._searches.end(key)
        if search:
            self._node.log('flow.found', flow=describe(key), host=ip)
            for packet in search.waiting:
                self._node.send(ip, messages.carry(packet))

    def _hear_absent(self, raw: bytes, ip: str) -> None:
        key, _, _ = messages.read_flow_note(raw)
        packet = raw[messages.FLOW_NOTE_BYTES :]
        search = self._searches.get(key)
        if search:
            search.asked.discard(ip)
            if not search.asked:
                self._searches.end(key)
                self._give_up(key, search)
            return
        flow = self._flows.get(key)
        if flow and flow.ip == ip and len(packet) >= HEAD_BYTES:
            self._flows.drop(key)
            self._search(key, packet)

    def _hear_refused(self, raw: bytes, ip: str) -> None:
        key, _, reason = messages.read_flow_note(raw)
        packet = raw[messages.FLOW_NOTE_BYTES :]
        flow = self._flows.get(key)
        if flow is None or flow.held or len(packet) < HEAD_BYTES:
            return
        tries = len(flow.tried)
        name = reasons.name_of(reason)
        self._node.log(
            'flow.refused',
            flow=describe(key),
            host=ip,
            reason=name,
            tries=tries,
        )
        host = self._hosts.get(ip)
        if host and reason not in reasons.PASSING:
            host.status.state = reason
        if tries < _MOST_PLACINGS and reason not in reasons.PASSING:
            self._open(packet)
        elif refusal_is_final(reason, sequence_numbers(packet)[1]):
            self._reset(packet, name)

    def _hear_status(self, raw: bytes, ip: str) -> None:
        status = messages.Status.read(raw)
        self._gossip.sidecars.add(inet_aton(ip))
        if self._hosts.hear(ip, status, self._node.loop.now):
            self._node.log(
                'host.changed',
                host=ip,
                state=reasons.name_of(status.state),
                slots=status.slots,
                record_age_ms=status.record_age_ms,
            )
        self._handover.ask_if_newer(status.version, ip)
        self._serve_early()

    # The store, and the life of the process.

    def _hosts_read(self) -> None:
        self._gossip.tell_records()

    def _operator_read(self) -> None:
        self._serve_early()
        if self._follower.hosts_revision:
            self._gossip.tell_records()

    def _is_ready(self) -> bool:
        return self._knows() and not self._gossip.stopping

    def _begin_stop(self) -> None:
        self._gossip.stopping = True
        self._gossip.tell()
        self._node.loop.after(_LINGER_S, self._node.stop)

    def _sweep(self) -> None:
        self._flows.sweep(self._node.loop.now)
