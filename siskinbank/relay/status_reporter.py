"""Status updates from a sidecar to the entries."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.relay import messages
from siskinbank.relay.hello_schedule import (
    HELLO_CHECK_INTERVAL_S,
    STARTUP_PEERS_INTERVAL_S,
    HelloSchedule,
)
from siskinbank.relay.loop import NEVER
from siskinbank.relay.rotation import GroupRotation, Rotation

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.node import Node
    from siskinbank.sidecar.tracked_flows import TrackedFlow
    from siskinbank.tracking.own_host import OwnHost

__all__ = ('StatusReporter',)

# Interval of status updates, in seconds: a third of the time after which an
# entry treats a sidecar as silent.
_STATUS_INTERVAL_S = 0.4
# Groups of entries: those with open flows at the host, the others in its data
# centre, and the rest.
_USING = 0
_LOCAL = 1
_REMOTE = 2
# Maximum numbers of entries of each group per turn. The next turn updates those
# that waited longest.
_MAX_PER_TURN = (16, 16, 8)
# Maximum number of further entries per turn: those that moved to another group,
# where their turn comes later than was announced to them.
_MAX_ADDED_PER_TURN = 16
# An entry without a message for this time, in seconds, gets no more updates.
_ENTRY_TTL_S = 30.0
# Interval of hellos, in seconds, while the sidecar lacks the addresses of the
# entries or the record of its host.
_HELLO_INTERVAL_S = 0.5
# Interval between requests for the addresses of entries, in seconds.
_PEERS_INTERVAL_S = 10.0
_SWEEP_INTERVAL_S = 5.0
_MS = 1000
# Largest count that fits into a status message.
_MAX_COUNT = 0xFFFF


class StatusReporter:
    """Sends status updates and hellos to the entries.

    Load pattern: hundreds of hosts before dozens of entries in several data
    centres. An entry places flows near itself, so it needs the load of distant
    hosts less often than that of hosts that it uses.
    """

    __slots__ = (
        '_asking_turn',
        '_count_queued',
        '_data_centre',
        '_entries',
        '_flows',
        '_hello_schedule',
        '_host',
        '_local_entries',
        '_node',
        '_peers_received_at',
        '_turns',
    )

    def __init__(
        self,
        node: Node,
        host: OwnHost,
        flows: dict[bytes, TrackedFlow],
        count_queued: Callable[[], int],
    ) -> None:
        """Initialize the reporter, send hellos and start the timers.

        Args:
            node: the process that runs the sidecar.
            host: the known state of the host.
            flows: the flows that the host holds, by flow key.
            count_queued: returns the number of queued flows that precede a new
                one.
        """
        self._node = node
        self._host = host
        self._flows = flows
        self._count_queued = count_queued
        self._data_centre = messages.digest(node.settings.data_centre)
        self._entries: dict[str, float] = {}
        self._local_entries: set[str] = set()
        self._turns = GroupRotation(_MAX_PER_TURN, _MAX_ADDED_PER_TURN)
        self._asking_turn = Rotation(1)
        self._peers_received_at = NEVER
        node.handlers[messages.HELLO] = self._handle_hello
        node.handlers[messages.PEERS] = self._handle_peers
        node.loop.every(_STATUS_INTERVAL_S, self.send_status)
        self._hello_schedule = HelloSchedule(node.loop.now, _HELLO_INTERVAL_S)
        node.loop.every(HELLO_CHECK_INTERVAL_S, self._send_hellos_when_due)
        node.loop.every(_SWEEP_INTERVAL_S, self._sweep)
        self._send_hellos()

    def note_entry(self, ip: str) -> None:
        """Record that an entry is alive."""
        self._entries[ip] = self._node.loop.now

    def send_status(self) -> None:
        """Send a status update to the entries of this turn."""
        flow_entries = {flow.entry for flow in self._flows.values()}
        groups: tuple[list[str], ...] = ([], [], [])
        for ip in self._entries:
            groups[self._group(ip, flow_entries)].append(ip)
        status = self._status()
        for entries, turns in self._turns.next(groups):
            status.interval_ms = _interval_ms(turns)
            self._send_to(status, entries)

    def send_status_to_all(self) -> None:
        """Send a status update to all entries, as it is the last one."""
        status = self._status()
        turns = self._turns.turns(_REMOTE, len(self._entries))
        status.interval_ms = _interval_ms(turns)
        self._send_to(status, list(self._entries))

    def send_status_to_flow_entries(self) -> None:
        """Send a status update to the entries with open flows at the host.

        Three updates to each of 410 entries within 0.1 s would fill the link.
        """
        flow_entries = {flow.entry for flow in self._flows.values()}
        status = self._status()
        turns = self._turns.turns(_USING, len(flow_entries))
        status.interval_ms = _interval_ms(turns)
        self._send_to(
            status, [ip for ip in self._entries if ip in flow_entries]
        )

    def _group(self, ip: str, flow_entries: set[str]) -> int:
        if ip in flow_entries:
            return _USING
        return _LOCAL if ip in self._local_entries else _REMOTE

    def _send_first_status(self, ip: str) -> None:
        """Send a status update to one entry outside its turn."""
        flow_entries = {flow.entry for flow in self._flows.values()}
        group = self._group(ip, flow_entries)
        members = flow_entries if group == _USING else self._entries
        turns = self._turns.turns(group, len(members))
        self._turns.note_announced(ip, turns)
        status = self._status()
        status.interval_ms = _interval_ms(turns)
        self._send_to(status, [ip])

    def _send_to(self, status: messages.Status, entries: list[str]) -> None:
        datagram = status.pack()
        for ip in entries:
            self._node.send(ip, datagram)

    def _send_hellos_when_due(self) -> None:
        if self._hello_schedule.is_due(self._node.loop.now):
            self._send_hellos()

    def _send_hellos(self) -> None:
        now = self._node.loop.now
        starting = self._hello_schedule.is_starting(now)
        interval_s = STARTUP_PEERS_INTERVAL_S if starting else _PEERS_INTERVAL_S
        wants_peers = now - self._peers_received_at > interval_s
        if not wants_peers and self._host.record:
            return
        receivers = set(self._next_asked_entry())
        if self._peers_received_at == NEVER:
            receivers.update(self._node.settings.seeds)
        for ip in receivers:
            self._send_hello(ip, wants_peers)

    def _next_asked_entry(self) -> list[str]:
        return self._asking_turn.next(list(self._entries))

    def _send_hello(self, ip: str, wants_peers: bool) -> None:
        flags = messages.FROM_SIDECAR
        if wants_peers:
            flags |= messages.WANTS_PEERS
        if self._host.record is None:
            flags |= messages.WANTS_RECORD
        self._node.send(ip, messages.pack_hello(flags, self._data_centre))

    def _handle_hello(self, raw: bytes, ip: str) -> None:
        flags, data_centre = messages.read_hello(raw)
        self.note_entry(ip)
        if data_centre == self._data_centre:
            self._local_entries.add(ip)
        self._send_first_status(ip)
        if flags & messages.WANTS_PEERS:
            # Seeds may be down, so entries also discover each other through
            # sidecars.
            entries = list(map(inet_aton, self._entries))
            peers = messages.pack_addresses(messages.PEERS, entries, [])
            self._node.send(ip, peers)

    def _handle_peers(self, raw: bytes, ip: str) -> None:
        self.note_entry(ip)
        self._peers_received_at = self._node.loop.now
        entries, _ = messages.read_peers(raw)
        for entry in map(inet_ntoa, entries):
            is_new = entry not in self._entries
            self.note_entry(entry)
            if is_new:
                self._send_first_status(entry)

    def _status(self) -> messages.Status:
        now = self._node.loop.now
        host = self._host
        status = messages.Status(host.service, self._data_centre)
        status.state = host.state(now)
        status.slots = host.slots
        request_count = host.request_count(now) + self._count_queued()
        status.busy = min(request_count, _MAX_COUNT)
        status.flows = min(len(self._flows), _MAX_COUNT)
        status.processing_ms = host.processing_time.speed_ms(now)
        status.version = host.version
        status.trusted = host.is_trusted(now)
        if host.record:
            status.record_age_ms = max(0, host.age_ms(now))
        return status

    def _sweep(self) -> None:
        cutoff = self._node.loop.now - _ENTRY_TTL_S
        silent = [
            ip for ip, last_seen in self._entries.items() if last_seen < cutoff
        ]
        for ip in silent:
            self._entries.pop(ip, NEVER)
            self._local_entries.discard(ip)
            self._node.log('peer.dropped', peer=ip, silent_s=_ENTRY_TTL_S)


def _interval_ms(turns: int) -> int:
    return int(turns * _STATUS_INTERVAL_S * _MS)
