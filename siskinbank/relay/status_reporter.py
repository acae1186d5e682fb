"""Status updates from a sidecar to the entries."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.relay import messages
from siskinbank.relay.hello_schedule import (
    HELLO_CHECK_INTERVAL_S,
    HelloSchedule,
)
from siskinbank.relay.loop import NEVER

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.node import Node
    from siskinbank.tracking.own_host import OwnHost

__all__ = ('StatusReporter',)

# Interval of status updates, in seconds: a third of the time after which an
# entry treats a sidecar as silent.
_STATUS_INTERVAL_S = 0.4
# Maximum number of entries per turn; the next turn updates the entries after
# them.
_MAX_ENTRIES_PER_TURN = 32
# An entry without a message for this time, in seconds, gets no more updates.
_ENTRY_TTL_S = 30.0
# Interval of hellos, in seconds, while the sidecar has no entries or no record
# of its host.
_HELLO_INTERVAL_S = 0.5
_SWEEP_INTERVAL_S = 5.0
# Largest count that fits into a status message.
_MAX_COUNT = 0xFFFF

_SIDECAR_HELLO = bytes((messages.HELLO, 1))


class StatusReporter:
    """Sends status updates and hellos to the entries."""

    __slots__ = (
        '_count_flows',
        '_count_queued',
        '_data_centre',
        '_entries',
        '_hello_schedule',
        '_host',
        '_next_entry',
        '_node',
    )

    def __init__(
        self,
        node: Node,
        host: OwnHost,
        count_flows: Callable[[], int],
        count_queued: Callable[[], int],
    ) -> None:
        """Initialize the reporter, send hellos and start the timers.

        Args:
            node: the process that runs the sidecar.
            host: the known state of the host.
            count_flows: returns the number of flows that the host holds.
            count_queued: returns the number of queued flows that precede a new
                one.
        """
        self._node = node
        self._host = host
        self._count_flows = count_flows
        self._count_queued = count_queued
        self._data_centre = messages.digest(node.settings.data_centre)
        self._entries: dict[str, float] = {}
        self._next_entry = 0
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
        datagram = self._status().pack()
        entries = list(self._entries)
        if self._next_entry >= len(entries):
            self._next_entry = 0
        turn = entries[
            self._next_entry : self._next_entry + _MAX_ENTRIES_PER_TURN
        ]
        self._next_entry += _MAX_ENTRIES_PER_TURN
        for ip in turn:
            self._node.send(ip, datagram)

    def _send_hellos_when_due(self) -> None:
        if self._hello_schedule.is_due(self._node.loop.now):
            self._send_hellos()

    def _send_hellos(self) -> None:
        if self._host.record and self._entries:
            return
        for ip in set(self._entries).union(self._node.settings.seeds):
            self._node.send(ip, _SIDECAR_HELLO)

    def _handle_hello(self, raw: bytes, ip: str) -> None:
        self.note_entry(ip)
        self._node.send(ip, self._status().pack())
        # Seeds may be down, so entries also discover each other through
        # sidecars.
        entries = [inet_aton(entry) for entry in self._entries]
        peers = messages.pack_addresses(messages.PEERS, entries, [])
        self._node.send(ip, peers)

    def _handle_peers(self, raw: bytes, ip: str) -> None:
        self.note_entry(ip)
        status = self._status().pack()
        entries, _ = messages.read_peers(raw)
        addresses = [inet_ntoa(packed) for packed in entries]
        for entry in addresses:
            if entry not in self._entries:
                self.note_entry(entry)
                self._node.send(entry, status)

    def _status(self) -> messages.Status:
        now = self._node.loop.now
        host = self._host
        status = messages.Status(host.service, self._data_centre)
        status.state = host.state(now)
        status.slots = host.slots
        request_count = host.request_count(now) + self._count_queued()
        status.busy = min(request_count, _MAX_COUNT)
        status.flows = min(self._count_flows(), _MAX_COUNT)
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
