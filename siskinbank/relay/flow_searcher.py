"""Search for the host of a flow that is missing in the cache of an entry.

Sidecars are queried first, with a few bytes for each flow. A sidecar that has
not observed its host long enough to answer gets the packet itself and sends it
to the host, which accepts or refuses it. A flow that no host holds is reset.

A first packet is searched for if its flow may be open through another entry. It
is not sent to hosts, as they would open the flow.
"""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.entry.flow_cache import completes_handshake
from siskinbank.entry.flow_searches import (
    REPEAT_INTERVAL_S,
    FlowSearch,
    FlowSearches,
)
from siskinbank.platform.packets import (
    ACK,
    SYN,
    describe_flow,
    flags_of,
    sequence_numbers,
)
from siskinbank.relay import messages
from siskinbank.relay.host_monitor import DISCOVERY_TIMEOUT_S
from siskinbank.relay.loop import NEVER

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.follower import StoreFollower
    from siskinbank.relay.host_monitor import HostMonitor
    from siskinbank.relay.node import Node
    from siskinbank.tracking.hosts import HostTable, TrackedHost

__all__ = ('FlowSearcher',)

# Queries that arise within this time, in seconds, are sent together.
_BATCH_S = 0.01
# Pause after a round of queries for each queried host, in seconds: a query and
# its answer take a third of this time on a sixth of a core.
_PAUSE_PER_HOST_S = 0.001
# Maximum pause between rounds, in seconds: half of a client's first
# retransmission timeout.
_MAX_PAUSE_S = 0.1
# Maximum number of unresponsive hosts listed in one log line.
_MAX_LOGGED_HOSTS = 4


class FlowSearcher:
    """Searches for the hosts of flows that an entry has not cached.

    Attributes:
        knows_all_hosts: returns whether no further hosts are expected to become
            known; until then no search ends without a host.
    """

    __slots__ = (
        '_follower',
        '_hosts',
        '_last_round_at',
        '_monitor',
        '_node',
        '_queries',
        '_relay_targets',
        '_reset',
        '_round_pause_s',
        '_round_scheduled',
        '_searches',
        '_started',
        'knows_all_hosts',
    )

    def __init__(
        self,
        node: Node,
        hosts: HostTable,
        follower: StoreFollower,
        monitor: HostMonitor,
        reset: Callable[..., None],
    ) -> None:
        """Initialize the searcher and register its message handlers.

        Args:
            node: the process that runs the entry.
            hosts: the known state of the hosts, from their sidecars.
            follower: the state read from the store.
            monitor: tells which hosts are gone.
            reset: called to reset the flow of a packet, with the packet, the
                reason and the evidence for the log.
        """
        self.knows_all_hosts: Callable[[], bool] = lambda: True
        self._node = node
        self._hosts = hosts
        self._follower = follower
        self._monitor = monitor
        self._started = node.loop.now
        self._reset = reset
        self._searches = FlowSearches()
        self._queries: dict[str, list[tuple[bytes, int]]] = {}
        self._relay_targets: dict[tuple[bytes, int], list[bytes]] = {}
        self._last_round_at = NEVER
        self._round_pause_s = _BATCH_S
        self._round_scheduled = False
        node.handlers[messages.NOT_HELD] = self._handle_not_held
        node.handlers[messages.HELD_UNKNOWN] = self._handle_held_unknown
        node.loop.every(REPEAT_INTERVAL_S, self._continue_searches)

    def search(self, key: bytes, packet: bytes) -> None:
        """Start a search for the host of a packet's flow, or join one."""
        search = self._searches.get(key)
        if search and not search.is_for(sequence_numbers(packet)[0]):
            # The client has opened another flow from its port.
            self._searches.end(key)
            search = None
        if search and _replaces_first_packet(search, packet):
            self._end_outdated(key)
            search = self._searches.get(key)
        if search:
            _join(search, packet)
            return
        if self._searches.full:
            self._node.meters.count('searches_refused_total')
            return
        now = self._node.loop.now
        search = FlowSearch(now, packet)
        self._searches.begin(key, search)
        hosts = self._monitor.present_hosts()
        self._node.meters.count('searches_total')
        self._node.log('flow.search', flow=describe_flow(key), asked=len(hosts))
        self._queue_query(key, search, hosts)
        self._schedule_round()

    def excludes(self, key: bytes, number: int) -> bool:
        """Return whether a host is not the one that a client is connected to.

        Args:
            key: key of a flow.
            number: the initial sequence number of the host in this flow.
        """
        search = self._searches.get(key)
        if search is None or not number or not flags_of(search.first) & ACK:
            return False
        acknowledged = sequence_numbers(search.first)[1]
        return not completes_handshake(acknowledged, number)

    def is_searching(self, key: bytes, sequence: int | None) -> bool:
        """Return whether the host of a flow is searched for.

        Args:
            key: key of the flow.
            sequence: sequence number of one of its client's packets, None if
                unknown.
        """
        search = self._searches.get(key)
        return search is not None and search.is_for(sequence)

    def cancel_other(self, key: bytes, number: int) -> None:
        """End the search for an earlier flow of a port, if there is one.

        Args:
            key: key of the flows.
            number: sequence number of the first packet of the later one.
        """
        search = self._searches.get(key)
        if search and not search.begins_with(number):
            self._searches.end(key)

    def cancel(self, key: bytes) -> None:
        """End a search, if there is one, without a result."""
        self._searches.end(key)

    def note_held(self, key: bytes, ip: str) -> None:
        """Record that the sidecar of a host says that it holds a flow."""
        host = self._hosts.get(ip)
        if host:
            host.note_held(key)

    def finish(self, key: bytes, ip: str) -> list[bytes]:
        """End a successful search and return the packets queued for it."""
        self.note_held(key, ip)
        search = self._searches.end(key)
        if search is None:
            return []
        self._node.log('flow.found', flow=describe_flow(key), host=ip)
        return [search.first, *search.queued_packets]

    def add_absent(self, key: bytes, ip: str, sequence: int | None) -> bool:
        """Record that a host lacks a flow; return whether a search is ongoing.

        Args:
            key: key of the flow.
            ip: the host.
            sequence: sequence number of one of its client's packets, None if
                unknown.
        """
        host = self._hosts.get(ip)
        if host and sequence is not None:
            host.note_not_held(key, sequence)
        search = self._searches.get(key)
        if search is None or not search.is_for(sequence):
            return False
        if search.add_absent(ip):
            hosts = self._monitor.present_hosts()
            if not _unanswered(key, search, hosts):
                self._end_if_not_held(key, search, hosts)
        return True

    def _end_outdated(self, key: bytes) -> None:
        """End the search for a first packet whose client has connected since.

        A host may have accepted a copy after it said that it lacks the flow. Such
        answers that wait are handled before the next search begins.
        """
        self._node.receive_pending()
        search = self._searches.get(key)
        if search and flags_of(search.first) & SYN:
            self._searches.end(key)
            for host in self._hosts.all():
                host.note_held(key)

    def _queue_query(
        self, key: bytes, search: FlowSearch, hosts: list[TrackedHost]
    ) -> None:
        """Add a flow to the pending queries of its hosts."""
        last_seen = {host.ip: host.last_seen for host in hosts}
        for ip in search.hosts_to_ask(last_seen, self._node.loop.now):
            self._queries.setdefault(ip, []).append((key, search.number))

    def _schedule_round(self) -> None:
        """Send the queries now, or after the pause since the last round."""
        pause = self._last_round_at + self._round_pause_s - self._node.loop.now
        if pause <= 0:
            self._send_queries()
        elif not self._round_scheduled:
            self._round_scheduled = True
            self._node.loop.after(pause, self._send_queries)

    def _send_queries(self) -> None:
        """Send the pending queries, batched by host.

        Load pattern: after a power loss there are hundreds of flows to search
        for at many hosts, on entries with low-bandwidth links.
        """
        self._round_scheduled = False
        if not self._queries:
            return
        self._last_round_at = self._node.loop.now
        queries, self._queries = self._queries, {}
        pause = len(queries) * _PAUSE_PER_HOST_S
        self._round_pause_s = min(max(pause, _BATCH_S), _MAX_PAUSE_S)
        for ip, flows in queries.items():
            self._hosts.probes.note_query(ip, self._last_round_at)
            for start in range(0, len(flows), messages.MAX_FLOWS):
                batch = flows[start : start + messages.MAX_FLOWS]
                datagram = messages.pack_flows(messages.FLOW_QUERY, batch)
                self._node.send(ip, datagram)

    def _handle_not_held(self, raw: bytes, ip: str) -> None:
        for key, sequence in messages.read_flows(raw):
            self.add_absent(key, ip, sequence)

    def _handle_held_unknown(self, raw: bytes, ip: str) -> None:
        """Schedule sending the packets to a host whose sidecar can't answer."""
        if not self._relay_targets:
            self._node.loop.after(_BATCH_S, self._send_packets)
        for flow in messages.read_flows(raw):
            self._relay_targets.setdefault(flow, []).append(inet_aton(ip))

    def _send_packets(self) -> None:
        """Send the packet of each search to one sidecar to relay to the others.

        Load pattern: after a power loss no sidecar can answer. Sending some
        hundred packets to dozens of hosts each would saturate an entry's
        low-bandwidth link for longer than clients wait.
        """
        targets, self._relay_targets = self._relay_targets, {}
        for (key, sequence), hosts in targets.items():
            search = self._searches.get(key)
            if search is None or search.number != sequence:
                continue
            if flags_of(search.first) & SYN:
                continue
            for start in range(0, len(hosts), messages.MAX_RELAYED):
                first, *others = hosts[start : start + messages.MAX_RELAYED]
                datagram = messages.pack_relayed(
                    self._node.packed_ip,
                    others,
                    search.first,
                )
                self._node.send(inet_ntoa(first), datagram)

    def _continue_searches(self) -> None:
        now = self._node.loop.now
        due = self._searches.due_for_repeat(now)
        if due:
            hosts = self._monitor.present_hosts()
            for key, search in due:
                self._continue_search(key, search, hosts)
        self._schedule_round()

    def _continue_search(
        self, key: bytes, search: FlowSearch, hosts: list[TrackedHost]
    ) -> None:
        if self._end_if_not_held(key, search, hosts):
            return
        if not self._searches.is_overdue(search, self._node.loop.now):
            self._queue_query(key, search, hosts)
            return
        self._searches.end(key)
        silent = _unanswered(key, search, hosts)
        self._node.log(
            'flow.absent',
            flow=describe_flow(key),
            silent=','.join(silent[:_MAX_LOGGED_HOSTS]) or '-',
            count=len(silent),
        )

    def _end_if_not_held(
        self,
        key: bytes,
        search: FlowSearch,
        hosts: list[TrackedHost],
    ) -> bool:
        """End a search and reset the flow if no host can hold it."""
        is_starting = self._node.loop.now - self._started < DISCOVERY_TIMEOUT_S
        is_known = self._follower.listing.known and self.knows_all_hosts()
        if is_starting or not is_known:
            return False
        unresponsive = _unanswered(key, search, hosts)
        self._monitor.probe(unresponsive)
        gone: list[str] = []
        for ip in unresponsive + self._monitor.never_seen():
            reason = self._monitor.loss_reason(ip, key)
            if not reason:
                return False
            gone.append(f'{ip}:{reason}')
        self._searches.end(key)
        self._reset(
            search.first,
            'no-host-holds-it',
            answered=len(search.absent),
            gone=','.join(gone[:_MAX_LOGGED_HOSTS]) or '-',
        )
        return True


def _replaces_first_packet(search: FlowSearch, packet: bytes) -> bool:
    """Return whether a first packet is searched for and its client connected."""
    return bool(flags_of(search.first) & SYN) and not flags_of(packet) & SYN


def _join(search: FlowSearch, packet: bytes) -> None:
    """Add a packet to a search; a copy of a first packet is not needed."""
    if not flags_of(packet) & SYN:
        search.queue_packet(packet)


def _unanswered(
    key: bytes, search: FlowSearch, hosts: list[TrackedHost]
) -> list[str]:
    """Return the addresses of the hosts that may still hold a flow."""
    return search.unanswered(
        [host.ip for host in hosts if host.may_hold(key, search.number)]
    )
