"""Finds the host of a flow that an entry does not know, or that there is none.

Sidecars are asked first, with a few bytes; those that have watched their host
for too short a time are sent the packet itself, and the host decides.
"""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.beliefs.hosts import SILENT_S
from siskinbank.entry.flow_searches import (
    ASK_AGAIN_S,
    Search,
    Searches,
    may_still_answer,
)
from siskinbank.platform.packets import describe, route_key
from siskinbank.relay import messages
from siskinbank.relay.loop import NEVER

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.beliefs.hosts import HostBelief, HostBeliefs
    from siskinbank.platform.records import Route
    from siskinbank.relay.follower import Follower
    from siskinbank.relay.gossip import Gossip
    from siskinbank.relay.node import Node

__all__ = ('Seeker',)

# A sidecar that said nothing for this long may have left with its host, in
# seconds: one word missed.
_DOUBT_S = 0.6
# A list of hosts older than this, in seconds, cannot say that one is gone.
_FRESH_LIST_S = 1.5
# Questions that come within this, in seconds, go out together.
_GATHER_S = 0.01
# Pause after a round of questions for each host asked, in seconds: a question
# and its answer cost a sixth of a core a third of that.
_PAUSE_A_HOST_S = 0.001
# The longest such pause, in seconds: half of a client's first repetition.
_LONGEST_PAUSE_S = 0.1
# Silent hosts named in one line of the log.
_MOST_NAMED = 4


class Seeker:
    """Searches for one entry, and knows which hosts are gone."""

    __slots__ = (
        '_asked_at',
        '_follower',
        '_gathering',
        '_gossip',
        '_hosts',
        '_node',
        '_pause_s',
        '_questions',
        '_reset',
        '_searches',
        '_started',
        '_unsure',
    )

    def __init__(
        self,
        node: Node,
        hosts: HostBeliefs,
        follower: Follower,
        gossip: Gossip,
        reset: Callable[[bytes, str], None],
    ) -> None:
        """Search with what this entry knows.

        Args:
            node: the process.
            hosts: what sidecars say.
            follower: what the store says.
            gossip: has the store read when an answer needs it.
            reset: ends the flow of a packet, for a reason.
        """
        self._node = node
        self._started = node.loop.now
        self._hosts = hosts
        self._follower = follower
        self._gossip = gossip
        self._reset = reset
        self._searches = Searches()
        self._questions: dict[str, list[bytes]] = {}
        self._unsure: dict[bytes, list[bytes]] = {}
        self._asked_at = NEVER
        self._pause_s = _GATHER_S
        self._gathering = False
        node.handlers[messages.NOT_HELD] = self._hear_not_held
        node.handlers[messages.UNSURE] = self._hear_unsure
        node.loop.every(ASK_AGAIN_S, self._go_on)

    def seek(self, key: bytes, packet: bytes) -> None:
        """Look for the host of a packet's flow."""
        search = self._searches.get(key)
        if search:
            search.keep(packet)
            return
        if self._searches.full:
            self._node.meters.count('searches_refused_total')
            return
        route = self._route(key)
        if route is None:
            self._reset(packet, 'no-route')
            return
        now = self._node.loop.now
        search = Search(now, packet)
        self._searches.begin(key, search)
        hosts = self._hosts_of(route)
        self._node.meters.count('searches_total')
        self._node.log('flow.search', flow=describe(key), asked=len(hosts))
        self._ask(key, search, hosts)
        self._send_in_time()

    def found(self, key: bytes, ip: str) -> list[bytes]:
        """End a search; return the packets that wait for its end."""
        search = self._searches.end(key)
        if search is None:
            return []
        self._node.log('flow.found', flow=describe(key), host=ip)
        return [search.first, *search.waiting]

    def absent(self, key: bytes, ip: str) -> bool:
        """Note that a host does not hold a flow; say if it was asked."""
        search = self._searches.get(key)
        if search is None:
            return False
        if search.note_absent(ip):
            route = self._route(key)
            hosts = self._hosts_of(route) if route else []
            if not search.unanswered(_addresses(hosts)):
                self._end_if_nowhere(key, search, hosts, route)
        return True

    def has_left(self, ip: str) -> bool:
        """Say whether a host fell silent and has no entry in the store."""
        host = self._hosts.get(ip)
        now = self._node.loop.now
        if host is None or now - host.heard < _DOUBT_S:
            return False
        if not host.has_left(now):
            host.left = self._is_unregistered(ip)
        return host.left

    def is_lost(self, key: bytes, ip: str) -> bool:
        """Say whether a flow that a host held has gone with it."""
        host = self._hosts.get(ip)
        if host and self._node.loop.now - host.heard < _DOUBT_S:
            # Nearly every packet: nothing else needs a look.
            return False
        if self.has_left(ip):
            return True
        route = self._route(key)
        return (
            route is not None
            and not self._may_answer(ip, route)
            and not self._is_cut_off(route)
        )

    def _is_unregistered(self, ip: str) -> bool:
        """Say whether the store has lost a host that does not answer."""
        follower = self._follower
        if self._node.loop.now - follower.hosts_seen > _FRESH_LIST_S:
            # Whoever's turn it is to read: this flow needs to know.
            self._gossip.want_hosts()
            return False
        return ip not in follower.hosts and follower.trusts_absence()

    def _ask(self, key: bytes, search: Search, hosts: list[HostBelief]) -> None:
        """Put a flow on the list of questions to its hosts."""
        heard = {host.ip: host.heard for host in hosts}
        for ip in search.to_ask(heard, self._node.loop.now):
            self._questions.setdefault(ip, []).append(key)

    def _send_in_time(self) -> None:
        """Ask now, or when the last round is long enough ago."""
        pause = self._asked_at + self._pause_s - self._node.loop.now
        if pause <= 0:
            self._send_questions()
        elif not self._gathering:
            self._gathering = True
            self._node.loop.after(pause, self._send_questions)

    def _send_questions(self) -> None:
        """Ask each host for all flows on its list at once.

        Load pattern: a loss of power leaves hundreds of flows to be searched
        for at many hosts, on entries with thin links.
        """
        self._gathering = False
        if not self._questions:
            return
        self._asked_at = self._node.loop.now
        questions, self._questions = self._questions, {}
        pause = len(questions) * _PAUSE_A_HOST_S
        self._pause_s = min(max(pause, _GATHER_S), _LONGEST_PAUSE_S)
        for ip, keys in questions.items():
            for start in range(0, len(keys), messages.MOST_KEYS):
                some = keys[start : start + messages.MOST_KEYS]
                datagram = messages.pack_keys(messages.ASK_FLOWS, some)
                self._node.send(ip, datagram)

    def _hear_not_held(self, raw: bytes, ip: str) -> None:
        for key in messages.read_keys(raw):
            self.absent(key, ip)

    def _hear_unsure(self, raw: bytes, ip: str) -> None:
        """A sidecar cannot tell: its host shall, by the packet itself."""
        if not self._unsure:
            self._node.loop.after(_GATHER_S, self._send_packets)
        for key in messages.read_keys(raw):
            self._unsure.setdefault(key, []).append(inet_aton(ip))

    def _send_packets(self) -> None:
        """Let one sidecar hand each packet on to the hosts of all others.

        Load pattern: after a loss of power no sidecar can tell; some hundred
        packets to dozens of hosts each would fill an entry's thin link for
        longer than clients wait.
        """
        unsure, self._unsure = self._unsure, {}
        for key, hosts in unsure.items():
            search = self._searches.get(key)
            if search is None:
                continue
            for start in range(0, len(hosts), messages.MOST_RELAYED):
                first, *others = hosts[start : start + messages.MOST_RELAYED]
                datagram = messages.relayed(
                    self._node.packed_ip,
                    others,
                    search.first,
                )
                self._node.send(inet_ntoa(first), datagram)

    def _go_on(self) -> None:
        now = self._node.loop.now
        hosts_by_route: dict[Route | None, list[HostBelief]] = {None: []}
        for key, search in self._searches.going_on(now):
            route = self._route(key)
            if route not in hosts_by_route:
                hosts_by_route[route] = self._hosts_of(route) if route else []
            hosts = hosts_by_route[route]
            if self._end_if_nowhere(key, search, hosts, route):
                continue
            if self._searches.is_overdue(search, now):
                self._searches.end(key)
                silent = search.unanswered(_addresses(hosts))
                self._node.log(
                    'flow.absent',
                    flow=describe(key),
                    silent=','.join(silent[:_MOST_NAMED]) or '-',
                    count=len(silent),
                )
            else:
                self._ask(key, search, hosts)
        self._send_in_time()

    def _end_if_nowhere(
        self,
        key: bytes,
        search: Search,
        hosts: list[HostBelief],
        route: Route | None,
    ) -> bool:
        """End a flow if all hosts that may hold it have said no."""
        if route and not self._all_have_left(search, hosts, route):
            return False
        self._searches.end(key)
        self._reset(search.first, 'no-host-holds-it')
        return True

    def _all_have_left(
        self,
        search: Search,
        hosts: list[HostBelief],
        route: Route,
    ) -> bool:
        """Say whether all hosts that have not answered are gone."""
        if not self._follower.hosts_revision:
            return False
        asked = search.unanswered(_addresses(hosts))
        unclear = [
            ip
            for ip in asked + self._never_heard(route)
            if not self._is_unregistered(ip)
        ]
        return not unclear or (
            not self._is_cut_off(route)
            and not any(self._may_answer(ip, route) for ip in unclear)
        )

    def _may_answer(self, ip: str, route: Route) -> bool:
        host = self._hosts.get(ip)
        heard = host.heard if host else self._started
        silent_s = self._node.loop.now - heard
        pause_s = host.pause_s if host else 0
        return may_still_answer(silent_s, route.repeatable, pause_s)

    def _is_cut_off(self, route: Route) -> bool:
        """Say whether it is rather this process that nobody reaches."""
        edge = self._node.loop.now - SILENT_S
        hosts = self._hosts_of(route)
        silent = sum(1 for host in hosts if host.heard < edge)
        unknown = len(self._never_heard(route))
        return (silent + unknown) * 2 > len(hosts) + unknown

    def _route(self, key: bytes) -> Route | None:
        return self._follower.configuration.routes.get(route_key(key))

    def _hosts_of(self, route: Route) -> list[HostBelief]:
        """Return the hosts that may hold flows of a route."""
        hosts: list[HostBelief] = []
        for service, _ in route.shares:
            hosts.extend(self._hosts.of_service(messages.digest(service)))
        return [host for host in hosts if not self.has_left(host.ip)]

    def _never_heard(self, route: Route) -> list[str]:
        """Return hosts with an entry in the store whose sidecar is unknown."""
        services = {service for service, _ in route.shares}
        return [
            ip
            for ip, record in self._follower.hosts.items()
            if record.service in services and not self._hosts.get(ip)
        ]


def _addresses(hosts: list[HostBelief]) -> list[str]:
    return [host.ip for host in hosts]
