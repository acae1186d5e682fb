"""The entry: takes clients' packets and sends each to the host of its flow."""

from __future__ import annotations

from _socket import inet_aton
from zlib import crc32

from siskinbank.admission import reasons
from siskinbank.admission.arrivals import (
    longest_wait_s,
    nobody_is_final,
    refusal_is_final,
)
from siskinbank.beliefs.hosts import HostBelief, HostBeliefs
from siskinbank.choice.placement import candidates, order
from siskinbank.entry.flow_cache import CachedFlow, FlowCache
from siskinbank.platform.packets import (
    FLOW_KEY,
    HEAD_BYTES,
    MAX_PACKET_BYTES,
    RST,
    SYN,
    describe,
    flags_of,
    problem_of,
    route_key,
    sequence_numbers,
)
from siskinbank.relay import messages
from siskinbank.relay.datagrams import open_datagrams, read_datagrams
from siskinbank.relay.follower import Follower
from siskinbank.relay.gossip import Gossip
from siskinbank.relay.handover import Handover
from siskinbank.relay.node import Node
from siskinbank.relay.seeker import Seeker

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.platform.records import Route

__all__ = ('Entry',)

_SWEEP_S = 5.0
# Packets kept while the process learns where to send them, and for how long,
# in seconds: clients give up a flow that is not answered within 1.4 s.
_MOST_EARLY = 256
_EARLY_S = 1.0
# A process that started this long ago, in seconds, has heard of all hosts
# that it can hear of.
_YOUNG_S = 0.6
# How long after the first host others are waited for, in seconds: several
# ways to the farthest data centre and back.
_GATHER_S = 0.06
# A first packet is placed this often when sidecars refuse it.
_MOST_PLACINGS = 3
# A planned stop: routers leave a node out after two failed probes, half a
# second apart; in seconds.
_LINGER_S = 1.2
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
        self._early: list[tuple[float, bytes]] = []
        self._settled = False
        self._hosts = HostBeliefs()
        self._follower = Follower(node, self._hosts_read, self._operator_read)
        self._handover = Handover(node, self._follower, self._configured)
        self._gossip = Gossip(node, self._hosts, self._follower, self._handover)
        self._seeker = Seeker(
            node,
            self._hosts,
            self._follower,
            self._gossip,
            self._reset,
        )
        self._clients = open_datagrams((settings.ip, settings.packet_port))
        node.ready = self._is_ready
        node.stopping = self._begin_stop
        node.handlers[messages.HELD] = self._hear_held
        node.handlers[messages.KEPT] = self._hear_kept
        node.handlers[messages.ABSENT] = self._hear_absent
        node.handlers[messages.REFUSED] = self._hear_refused
        node.handlers[messages.STATUS] = self._hear_status
        node.loop.watch(self._clients.fileno(), self._receive)
        node.loop.every(_SWEEP_S, self._sweep)
        node.loop.every(_GATHER_S, self._serve_early)
        node.loop.on_stall(self._hosts.excuse)
        self._follower.check()

    # Packets of clients.

    def _receive(self, events: int) -> None:
        read_datagrams(self._clients, MAX_PACKET_BYTES + 1, self._check)

    def _check(self, packet: bytes, address: tuple[str, int]) -> None:
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
        if self._seeker.is_lost(key, flow.ip):
            self._reset(packet, 'host-gone')
            return
        wrap = messages.carry if flow.held else messages.search
        self._node.send(flow.ip, wrap(packet))

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
        hosts = self._hosts.of_service(messages.digest(service))
        ordered = order(
            hosts,
            draw,
            self._data_centre,
            now,
        )
        tried = flow.tried if flow else ()
        kept_at = flow.kept_at if flow else ''
        chosen = candidates(hosts, ordered, tried, kept_at)
        if not chosen:
            self._refuse_unplaced(packet, hosts)
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
        opening.aim_ms = messages.wait_ms(route.aim_s)
        opening.limit_ms = messages.wait_ms(longest_wait_s(route.limit_s))
        opening.candidates = [host.packed for host in chosen]
        self._node.send(opening.pop_next(), opening.pack())

    def _refuse_unplaced(
        self,
        packet: bytes,
        hosts: list[HostBelief],
    ) -> None:
        """No host takes new flows; a young process may not know them yet."""
        if self._node.loop.now - self._started < _YOUNG_S:
            self._keep_early(packet)
            return
        states = [host.status.state for host in hosts]
        copy = sequence_numbers(packet)[1]
        if nobody_is_final(states, copy):
            self._reset(packet, 'no-host')
            return
        self._node.log(
            'flow.refused',
            flow=describe(packet[FLOW_KEY]),
            reason='no-host',
            hosts=len(hosts),
            copy=copy,
        )

    def _knows(self) -> bool:
        """Say whether routes and hosts are known.

        Load pattern: after a loss of power all callers come at once; the
        first host that is heard of would get them all.
        """
        if not self._follower.configuration.version or not self._hosts:
            return False
        if self._settled:
            return True
        now = self._node.loop.now
        first_heard = min(host.heard_first for host in self._hosts.all())
        registered = self._follower.hosts
        known = bool(registered) and all(map(self._hosts.get, registered))
        self._settled = known or now - first_heard > _GATHER_S
        return self._settled

    def _route(self, key: bytes) -> Route | None:
        return self._follower.configuration.routes.get(route_key(key))

    def _keep_early(self, packet: bytes) -> None:
        if len(self._early) < _MOST_EARLY:
            self._early.append((self._node.loop.now, packet))
        else:
            self._node.meters.count('packets_early_dropped_total')

    def _serve_early(self) -> None:
        if self._early and self._knows():
            early, self._early = self._early, []
            edge = self._node.loop.now - _EARLY_S
            for came, packet in early:
                if came > edge:
                    self._take(packet)

    def _reset(self, packet: bytes, reason: str) -> None:
        self._flows.drop(packet[FLOW_KEY])
        version = self._follower.configuration.version
        self._node.reset_flow(self._clients, packet, reason, version=version)

    def _search(self, key: bytes, packet: bytes) -> None:
        if not self._knows():
            self._keep_early(packet)
        elif not flags_of(packet) & RST:
            # A client that resets a flow is done with it.
            self._seeker.seek(key, packet)

    # Words of sidecars.

    def _hear_held(self, raw: bytes, ip: str) -> None:
        key, number, established = messages.read_flow_note(raw)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows.add(key, ip, self._node.loop.now)
        flow.hold(ip, number, bool(established))
        for packet in self._seeker.found(key, ip):
            self._node.send(ip, messages.carry(packet))

    def _hear_kept(self, raw: bytes, ip: str) -> None:
        key, _, _ = messages.read_flow_note(raw)
        flow = self._flows.get(key)
        if flow and not flow.held:
            flow.kept_at = ip

    def _hear_absent(self, raw: bytes, ip: str) -> None:
        key, _, _ = messages.read_flow_note(raw)
        packet = raw[messages.FLOW_NOTE_BYTES :]
        if self._seeker.absent(key, ip):
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
        flow.kept_at = ''
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
        if tries < _MOST_PLACINGS and reason in reasons.LOCAL:
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

    def _configured(self) -> None:
        self._gossip.tell_of_change()
        self._serve_early()

    def _operator_read(self) -> None:
        self._configured()
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
