"""What a sidecar tells the entries of its host."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.relay import messages
from siskinbank.relay.greetings import LOOK_S, GreetingPace
from siskinbank.relay.loop import NEVER

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.beliefs.own_host import OwnHost
    from siskinbank.relay.node import Node

__all__ = ('Reports',)

# Words to the entries, in seconds: a third of the time after which an entry
# takes a sidecar for silent.
_STATUS_S = 0.4
# Words go to this many entries a turn at most; the next turn is others'.
_MOST_ENTRIES = 32
# Entries not heard of for this long get no more words, in seconds.
_FORGET_S = 30.0
# Whoever may know more is greeted this often, in seconds.
_GREET_S = 0.5
_SWEEP_S = 5.0
_MOST_COUNT = 0xFFFF

_HELLO_OF_SIDECAR = bytes((messages.HELLO, 1))


class Reports:
    """Speaks to the entries for one sidecar."""

    __slots__ = (
        '_count_flows',
        '_count_kept',
        '_data_centre',
        '_entries',
        '_host',
        '_node',
        '_pace',
        '_told',
    )

    def __init__(
        self,
        node: Node,
        host: OwnHost,
        count_flows: Callable[[], int],
        count_kept: Callable[[], int],
    ) -> None:
        """Greet the seeds and report from now on."""
        self._node = node
        self._host = host
        self._count_flows = count_flows
        self._count_kept = count_kept
        self._data_centre = messages.digest(node.settings.data_centre)
        self._entries: dict[str, float] = {}
        self._told = 0
        node.handlers[messages.HELLO] = self._hear_hello
        node.handlers[messages.PEERS] = self._hear_peers
        node.loop.every(_STATUS_S, self.tell)
        self._pace = GreetingPace(node.loop.now, _GREET_S)
        node.loop.every(LOOK_S, self._greet_when_due)
        node.loop.every(_SWEEP_S, self._sweep)
        self._greet()

    def note_entry(self, ip: str) -> None:
        """Note that an entry lives."""
        self._entries[ip] = self._node.loop.now

    def tell(self) -> None:
        """Tell the entries how the host is."""
        datagram = self._status().pack()
        entries = list(self._entries)
        if self._told >= len(entries):
            self._told = 0
        turn = entries[self._told : self._told + _MOST_ENTRIES]
        self._told += _MOST_ENTRIES
        for ip in turn:
            self._node.send(ip, datagram)

    def _greet_when_due(self) -> None:
        if self._pace.is_due(self._node.loop.now):
            self._greet()

    def _greet(self) -> None:
        if self._host.record and self._entries:
            return
        for ip in set(self._entries).union(self._node.settings.seeds):
            self._node.send(ip, _HELLO_OF_SIDECAR)

    def _hear_hello(self, raw: bytes, ip: str) -> None:
        self.note_entry(ip)
        self._node.send(ip, self._status().pack())
        # Seeds may be down: entries also find each other through sidecars.
        entries = [inet_aton(entry) for entry in self._entries]
        peers = messages.pack_addresses(messages.PEERS, entries, [])
        self._node.send(ip, peers)

    def _hear_peers(self, raw: bytes, ip: str) -> None:
        self.note_entry(ip)
        status = self._status().pack()
        entries, _ = messages.read_peers(raw)
        names = [inet_ntoa(packed) for packed in entries]
        for entry in names:
            if entry not in self._entries:
                self.note_entry(entry)
                self._node.send(entry, status)

    def _status(self) -> messages.Status:
        now = self._node.loop.now
        host = self._host
        status = messages.Status(host.service, self._data_centre)
        status.state = host.state(now)
        status.slots = host.slots
        expected = host.expected(now) + self._count_kept()
        status.busy = min(expected, _MOST_COUNT)
        status.flows = min(self._count_flows(), _MOST_COUNT)
        status.version = host.version
        status.trusted = host.is_trusted(now)
        if host.record:
            status.record_age_ms = max(0, host.age_ms(now))
        return status

    def _sweep(self) -> None:
        edge = self._node.loop.now - _FORGET_S
        silent = [ip for ip, heard in self._entries.items() if heard < edge]
        for ip in silent:
            self._entries.pop(ip, NEVER)
