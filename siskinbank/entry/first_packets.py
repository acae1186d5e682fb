"""Whether an entry rejects a first packet that it cannot place.

A reset lets a client retry at once. It ends an open flow, though, if the client
has meanwhile connected through a copy of the packet that went to another entry.
"""

from __future__ import annotations

from itertools import islice

__all__ = (
    'CLIENT_CONNECTED',
    'DROP',
    'EARLIER_COPY_ELSEWHERE',
    'FirstPackets',
    'NEXT_COPY_DUE',
    'PORT_REUSED',
    'REJECT',
    'SEARCH',
    'SEARCH_LIMIT',
    'SocketWait',
)

# Decisions on a first packet that cannot be placed.
REJECT = 'reject'
DROP = 'drop'
SEARCH = 'search'

# Reasons for not rejecting it at once.
CLIENT_CONNECTED = 'client-connected'
NEXT_COPY_DUE = 'next-copy-due'
EARLIER_COPY_ELSEWHERE = 'earlier-copy-elsewhere'
SEARCH_LIMIT = 'search-limit'
PORT_REUSED = 'port-reused'

# Time in seconds after each copy of a first packet at which its client sends the
# next one, or gives up.
_COPY_INTERVALS_S = (0.2, 0.4, 0.8)
_LAST_COPY = len(_COPY_INTERVALS_S) - 1
# A client may send the next copy earlier by this time, in seconds, as its timers
# and the paths of both copies differ, and the time of arrival is that inexact.
_MARGIN_S = 0.05
# Time for which a copy is remembered, in seconds: a client gives up this long
# after the first one.
_TTL_S = 1.4
# Maximum number of first packets remembered, some 2 MB. Beyond that the oldest
# are forgotten, so that later copies of them are in doubt.
_MAX_PACKETS = 8192
# Queries a second for first packets. A query and its answer take some 55 us of a
# core and 150 bytes with framing if they share no datagram: this is about half
# of what all control messages may take, 1% of a core and 28 KB/s.
_QUERIES_PER_S = 100.0
# Time whose queries may be sent together, in seconds.
_BURST_S = 1.0
_MS = 1000


class FirstPackets:
    """The copies of first packets that an entry has received lately.

    Load pattern: an entry is paused and reads what waited, is stopped, or leaves
    rotation, while no host has room. Routers send the next copies of its clients'
    first packets to other entries, which may place them. A rejection of an older
    copy, or of a newer one while an older one is accepted, would end an open
    flow; so would one of a copy after which the client has opened another flow
    from its port. Thousands of first packets a second are rejected in a load
    spike, all of whose copies come to one entry in time: none of them is in doubt.
    """

    __slots__ = ('_packets', '_queries_sent_until')

    def __init__(self) -> None:
        """Initialize without first packets and queries."""
        #: Bits of the copies received, arrival of the last one, sequence number
        #: and that of the flow before, by flow key; the one that was noted last
        #: comes last.
        self._packets: dict[bytes, tuple[int, float, int, int]] = {}
        #: Time until which the queries that were sent use up the rate.
        self._queries_sent_until = float('-inf')

    def __len__(self) -> int:
        """Return the number of first packets that are remembered."""
        return len(self._packets)

    def note(
        self, key: bytes, copy: int, arrived: float, number: int = 0
    ) -> bool:
        """Record a copy of a first packet.

        Args:
            key: key of the flow.
            copy: how many transmissions of the packet came before.
            arrived: the earliest time at which it may have arrived, in seconds.
            number: its sequence number, another one for each flow of a port.

        Returns:
            False if it is a late copy, as the client has opened another flow from
            the port since.
        """
        bit = 1 << min(copy, _LAST_COPY)
        copies, last_arrived, last_number, earlier = self._packets.get(
            key, (0, arrived, number, number)
        )
        is_recent = arrived - last_arrived <= _TTL_S
        is_other = number != last_number
        if is_recent and is_other and number == earlier:
            return False
        if is_other:
            earlier = last_number
        if is_other or not is_recent:
            copies = 0
        if bit <= copies:
            # A duplicate, or an older copy.
            arrived = last_arrived
        self._packets.pop(key, None)
        self._packets[key] = (copies | bit, arrived, number, earlier)
        self._forget_oldest(arrived)
        return True

    def decide(self, key: bytes, now: float, hosts: int) -> tuple[str, str]:
        """Return what to do with a first packet that cannot be placed.

        Args:
            key: key of the flow.
            now: time of the decision in seconds, not that at which a turn of the
                event loop began, as the process may have been paused since.
            hosts: number of hosts that a search queries.

        Returns:
            ``REJECT``, ``DROP`` or ``SEARCH``, and why it is not rejected at
            once, empty if it is.
        """
        if self.is_next_copy_due(key, now):
            # The next copy decides, wherever it goes. There is none after the
            # last, whose client has given up by then.
            return DROP, NEXT_COPY_DUE
        copies = self._packets[key][0]
        if copies + 1 == 1 << copies.bit_length():
            return REJECT, ''
        if self._may_search(hosts, now):
            return SEARCH, EARLIER_COPY_ELSEWHERE
        return DROP, SEARCH_LIMIT

    def is_next_copy_due(self, key: bytes, now: float) -> bool:
        """Return whether a copy may have been sent that was not received here.

        Args:
            key: key of the flow.
            now: time in seconds.
        """
        copies, arrived, *_ = self._packets.get(key, (1, float('-inf')))
        interval = _COPY_INTERVALS_S[copies.bit_length() - 1]
        return now - arrived >= interval - _MARGIN_S

    def describe(self, key: bytes, now: float) -> dict[str, object]:
        """Return the copies received and the age of the last one, for the log."""
        copies, arrived, *_ = self._packets.get(key, (0, now))
        received = [
            str(copy) for copy in range(_LAST_COPY + 1) if copies & 1 << copy
        ]
        return {
            'copies': ','.join(received) or '-',
            'age_ms': int((now - arrived) * _MS),
        }

    def _may_search(self, hosts: int, now: float) -> bool:
        """Return whether the rate allows a search now; count its queries."""
        if now < self._queries_sent_until:
            return False
        start = max(self._queries_sent_until, now - _BURST_S)
        self._queries_sent_until = start + hosts / _QUERIES_PER_S
        return True

    def _forget_oldest(self, now: float) -> None:
        """Forget at most two first packets, as one is added each time."""
        for key in list(islice(self._packets, 2)):
            expired = now - self._packets[key][1] > _TTL_S
            if expired or len(self._packets) > _MAX_PACKETS:
                self._packets.pop(key)


class SocketWait:
    """Bounds how long a packet may have waited in a socket.

    Load pattern: a process is paused, or does not keep up, and reads first
    packets whose clients have sent the next copy since.
    """

    __slots__ = ('_empty_at',)

    def __init__(self) -> None:
        """Initialize with an empty socket."""
        #: Time at which the socket was empty if it has not been since, or None.
        self._empty_at: float | None = None

    def empty_at(self, previous_turn: float) -> float:
        """Return when the socket was last known to be empty, in seconds.

        A packet that is read in this turn of the event loop has arrived later.

        Args:
            previous_turn: time at which the previous turn began, in seconds: a
                socket that was drained then, or not readable, was empty.
        """
        return previous_turn if self._empty_at is None else self._empty_at

    def end_read(self, is_drained: bool, previous_turn: float) -> None:
        """Record whether the socket was read until it was empty."""
        self._empty_at = None if is_drained else self.empty_at(previous_turn)
