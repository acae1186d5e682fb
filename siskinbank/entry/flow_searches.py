"""Searches for the hosts of flows that an entry doesn't know."""

from __future__ import annotations

from siskinbank.platform.packets import sequence_numbers
from siskinbank.tracking.client_sequence import (
    PASSED_ELSEWHERE,
    ClientSequence,
)

__all__ = (
    'FlowSearch',
    'FlowSearches',
    'REPEAT_INTERVAL_S',
)

# Interval in seconds at which hosts that have not answered are asked again:
# many round trips, and less than a client's first retransmission timeout.
REPEAT_INTERVAL_S = 0.09
# Minimum pause in seconds before the same host is asked again.
_MIN_REPEAT_PAUSE_S = 0.3
# Time limit of a search, in seconds: a sidecar that was killed has restarted
# within it. Later packets of the flow start a new search.
_MAX_SEARCH_S = 1.2
# Packets queued for one flow during its search: as many as one end of a
# connection has in flight.
_MAX_QUEUED_PACKETS = 16
# Concurrent searches; beyond that packets are dropped and the clients
# retransmit them.
_MAX_SEARCHES = 512


class FlowSearch:
    """The search for the host of one flow.

    Load pattern: all processes lost power. Clients retransmit packets of flows
    that no host holds any more, at growing intervals, while the sidecars
    restart one by one. A client that is soon told that its flow is gone can
    open another one before its deadline.

    Attributes:
        started_at: start time in seconds.
        first: the packet that started the search; it is sent to the hosts.
        number: its sequence number.
        absent: the hosts that don't hold the flow.
        queued_packets: packets of the flow queued since the start.
    """

    __slots__ = (
        '_asked_at',
        '_outstanding',
        '_sequence',
        'absent',
        'first',
        'number',
        'queued_packets',
        'started_at',
    )

    def __init__(self, started_at: float, first: bytes) -> None:
        """Create a search that has asked no host yet."""
        self.started_at = started_at
        self.first = first
        self.number = sequence_numbers(first)[0]
        self._sequence = ClientSequence.of_packet(first)
        self.absent: set[str] = set()
        self.queued_packets: list[bytes] = []
        self._asked_at: dict[str, float] = {}
        self._outstanding: set[str] = set()

    def is_for(self, sequence: int | None) -> bool:
        """Return whether a packet belongs to the flow that is searched for.

        Args:
            sequence: its sequence number, None if unknown. One that does not fit
                is of an earlier or later flow from the same address and port.
        """
        return self._sequence.includes(sequence, PASSED_ELSEWHERE)

    def begins_with(self, sequence: int) -> bool:
        """Return whether a first packet is that of the flow, or may be.

        Args:
            sequence: its sequence number.
        """
        return self._sequence.begins_with(sequence)

    def hosts_to_ask(
        self, last_received: dict[str, float], now: float
    ) -> list[str]:
        """Return the hosts to ask now and mark them as asked.

        Load pattern: hundreds of concurrent searches while dozens of hosts are
        dead. A host is asked again only if its sidecar has sent something
        since the last query: it restarted, or a datagram was lost.

        Args:
            last_received: time of the last message from the sidecar of each
                host.
            now: time on the same clock.
        """
        hosts = [
            ip
            for ip in self.unanswered(list(last_received))
            if last_received[ip] > self._asked_at.get(ip, last_received[ip] - 1)
            and now - self._asked_at.get(ip, 0) > _MIN_REPEAT_PAUSE_S
        ]
        for ip in hosts:
            self._asked_at[ip] = now
        self._outstanding.update(hosts)
        return hosts

    def add_absent(self, ip: str) -> bool:
        """Record that a host doesn't hold the flow.

        Load pattern: hundreds of searches at dozens of hosts, on entries with
        a sixth of a core; handling an answer must not iterate over all hosts.

        Returns:
            Whether no answer is outstanding any more.
        """
        self.absent.add(ip)
        self._outstanding.discard(ip)
        return not self._outstanding

    def queue_packet(self, packet: bytes) -> None:
        """Queue a packet until the host is found."""
        if (
            packet != self.first
            and len(self.queued_packets) < _MAX_QUEUED_PACKETS
        ):
            self.queued_packets.append(packet)

    def unanswered(self, hosts: list[str]) -> list[str]:
        """Return the hosts that have not answered yet."""
        return [ip for ip in hosts if ip not in self.absent]


class FlowSearches:
    """The searches of one entry, by flow key."""

    __slots__ = ('_searches',)

    def __init__(self) -> None:
        """Create an empty collection."""
        self._searches: dict[bytes, FlowSearch] = {}

    @property
    def full(self) -> bool:
        """Whether the limit of concurrent searches is reached."""
        return len(self._searches) >= _MAX_SEARCHES

    def get(self, key: bytes) -> FlowSearch | None:
        """Return the search for a flow, or None."""
        return self._searches.get(key)

    def begin(self, key: bytes, search: FlowSearch) -> None:
        """Add a search."""
        self._searches[key] = search

    def end(self, key: bytes) -> FlowSearch | None:
        """Remove and return the search for a flow, or None."""
        return self._searches.pop(key, None)

    def due_for_repeat(self, now: float) -> list[tuple[bytes, FlowSearch]]:
        """Return the searches that are old enough to ask hosts again."""
        latest_start = now - REPEAT_INTERVAL_S / 2
        return [
            (key, search)
            for key, search in self._searches.items()
            if search.started_at < latest_start
        ]

    def is_overdue(self, search: FlowSearch, now: float) -> bool:
        """Return whether a search has exceeded its time limit."""
        return now - search.started_at > _MAX_SEARCH_S
