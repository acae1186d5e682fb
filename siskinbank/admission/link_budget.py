"""Decision which client packets give way while an entry's link is backlogged.

Load pattern: all entries of a data centre have links of 5 to 10 Mbit/s, so none
can leave rotation for a better one. Each upload keeps 16 full packets in flight,
and a few of them fill the queue of a link until its packets take longer than the
clients' retransmission timeout. Clients then send everything twice, and short
requests of other routes wait behind it.

So new flows of the routes that cause the backlog are rejected first; their
clients retry through another entry. Data packets that would be answered later
than their client's retransmission are dropped next: forwarded, they would use
the link twice. Only routes of the lowest priority in use give way, and dropping
is confined to those with large packets: dropping short requests delays them
without relieving the link.
"""

from __future__ import annotations

__all__ = (
    'DATA',
    'DROP',
    'FIRST',
    'FORWARD',
    'LinkBudget',
    'OTHER',
    'REJECT',
)

# Decisions on a packet.
FORWARD = 0
DROP = 1
REJECT = 2
# Kinds of packets: first ones of flows that are not open, those with data of
# open flows, and those that are never shed.
FIRST = 0
DATA = 1
OTHER = 2

# Time after which a client retransmits a packet that is not answered, in
# seconds.
_RETRANSMISSION_S = 0.2
# What a packet and its answer need without a backlog, in seconds: four one-way
# trips at 3 ms each, and the delay of busy processes.
_NETWORK_S = 0.02
# A longer backlog delays packets until their clients retransmit them, in
# seconds.
_MAX_BACKLOG_S = _RETRANSMISSION_S - _NETWORK_S
# While the backlog is below this share of the limit, packets are not examined.
# The estimate may exceed the backlog by as much when a burst begins.
_SHORT_SHARE = 0.1
# Packets that a client may have in flight.
_WINDOW_PACKETS = 16
# A full packet of 1,231 bytes on a link, with 66 bytes of headers and framing.
_FULL_PACKET_BYTES = 1297
# What a new flow of a route with large packets adds to the backlog, in bytes.
_WINDOW_BYTES = _WINDOW_PACKETS * _FULL_PACKET_BYTES
# Windows that still fit below the limit when a first packet is accepted: its
# own, and that of a flow that is accepted while its handshake is under way.
_MIN_WINDOWS = 2
# First packets are accepted below this share of the limit on any link: at 2
# Mbit/s and less, two windows alone are longer than the limit.
_MIN_REJECT_SHARE = 0.5
# Mean data of a route's packets from which they are large, in bytes: requests
# that fit into one packet have up to 900 bytes in use, packets of uploads 1,200
# but for the last.
_LARGE_BYTES = 1000
# Weight of a new packet in the mean: about those of one window count.
_SIZE_WEIGHT = 1 / _WINDOW_PACKETS
# A route or priority is in use for this time after its last packet, in seconds:
# with one request a second at this entry, at random times, the pause is longer
# after one request in 150.
_IN_USE_S = 5.0
_BYTES_PER_KBIT = 125


class _RouteTraffic:
    """Recent packets of one route, observed while the backlog was not short."""

    __slots__ = ('_data_packets', '_mean_bytes', 'last_seen')

    def __init__(self) -> None:
        self.last_seen: float = 0
        self._data_packets = 0
        self._mean_bytes: float = 0

    @property
    def is_large(self) -> bool:
        """Whether the packets with data are large on average."""
        return (
            self._data_packets >= _WINDOW_PACKETS
            and self._mean_bytes >= _LARGE_BYTES
        )

    def note(self, data_bytes: int) -> None:
        """Count a packet with data."""
        self._data_packets += 1
        weight = max(_SIZE_WEIGHT, 1 / self._data_packets)
        self._mean_bytes += (data_bytes - self._mean_bytes) * weight


class LinkBudget:
    """Backlog of an entry's link, and the packets that give way to others.

    The backlog is that of a leaky bucket at the rate of the link. Nothing gives
    way while it is short or the rate is unknown. Routes are observed only while
    it is not short, as all else is then of no interest.

    Attributes:
        short_until: number of sent bytes below which the backlog is short
            whatever time has passed, so that no update is needed.
    """

    __slots__ = (
        '_backlog_bytes',
        '_bytes_per_s',
        '_limit_bytes',
        '_link_kbps',
        '_priorities',
        '_received_bytes',
        '_reject_bytes',
        '_routes',
        '_sent_bytes',
        '_short_bytes',
        '_unaccounted_bytes',
        '_updated',
        'short_until',
    )

    def __init__(self) -> None:
        """Create an empty backlog of a link with unknown rate."""
        self._link_kbps = 0
        self._bytes_per_s: float = 0
        self._short_bytes = float('inf')
        self._reject_bytes = float('inf')
        self._limit_bytes = float('inf')
        self._backlog_bytes: float = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self._unaccounted_bytes: float = 0
        self._updated: float = 0
        self._routes: dict[bytes, _RouteTraffic] = {}
        #: When a packet of each priority was seen last, in seconds.
        self._priorities: dict[int, float] = {}
        self.short_until = float('inf')

    def __len__(self) -> int:
        """Return the number of routes that are observed."""
        return len(self._routes)

    @property
    def backlog_s(self) -> float:
        """Time that the link needs for what waits in its queue, in seconds.

        It is that of the last update, 0 if the rate is unknown.
        """
        if not self._bytes_per_s:
            return 0
        return self._backlog_bytes / self._bytes_per_s

    def set_rate(
        self,
        link_kbps: int,
        now: float,
        sent_bytes: int,
        received_bytes: int = 0,
    ) -> None:
        """Set the rate of the link; a new rate empties the backlog.

        Args:
            link_kbps: rate in kbit/s, 0 if it is unknown.
            now: time in seconds.
            sent_bytes: as for ``is_short``.
            received_bytes: as for ``is_short``.
        """
        if link_kbps == self._link_kbps:
            return
        self._link_kbps = link_kbps
        self._bytes_per_s = max(0, link_kbps) * _BYTES_PER_KBIT
        limit_bytes = _MAX_BACKLOG_S * self._bytes_per_s or float('inf')
        self._limit_bytes = limit_bytes
        self._short_bytes = _SHORT_SHARE * limit_bytes
        self._reject_bytes = max(
            _MIN_REJECT_SHARE * limit_bytes,
            limit_bytes - _MIN_WINDOWS * _WINDOW_BYTES,
        )
        self._backlog_bytes = 0
        self._updated = now
        self._sent_bytes = sent_bytes
        self._received_bytes = received_bytes
        self._unaccounted_bytes = 0
        self.short_until = sent_bytes + self._short_bytes

    def is_short(
        self, now: float, sent_bytes: int, received_bytes: int = 0
    ) -> bool:
        """Update the backlog; return whether packets need no examination.

        What was received uses a part of the rate, as if both directions shared it:
        packets from clients queue on their way to the entry, where it can't see
        them. Uploads, which cross the link in both directions, are so kept to
        half of its rate.

        Args:
            now: time in seconds, on a clock that runs on during suspension.
            sent_bytes: bytes that were sent through the link so far, with
                headers and framing.
            received_bytes: the same in the other direction.
        """
        drained = self._drained_bytes(now, received_bytes)
        # The bytes since the last update count as sent just now. Counted as sent
        # then, a backlog could stay unseen while the link is saturated.
        backlog = (
            max(0, self._backlog_bytes - drained)
            + sent_bytes
            - self._sent_bytes
        )
        self._updated = now
        self._sent_bytes = sent_bytes
        self._backlog_bytes = backlog
        self.short_until = sent_bytes + self._short_bytes - backlog
        return backlog < self._short_bytes

    def decide(
        self,
        route: bytes,
        priority: int,
        kind: int,
        data_bytes: int,
        now: float,
    ) -> int:
        """Decide on a packet that arrives while the backlog is not short.

        Args:
            route: address and port of a route of the configuration.
            priority: its priority, 0 is the highest.
            kind: FIRST, DATA, or OTHER for packets that are never shed.
            data_bytes: data of the packet in bytes.
            now: time in seconds.

        Returns:
            FORWARD, DROP or REJECT.
        """
        self._priorities[priority] = now
        traffic = self._traffic(route, now)
        if kind == DATA:
            traffic.note(data_bytes)
        backlog = self._backlog_bytes
        if kind == OTHER or backlog < self._reject_bytes:
            return FORWARD
        is_full = backlog >= self._limit_bytes
        if kind == DATA:
            sheds = is_full and traffic.is_large
        else:
            sheds = is_full or traffic.is_large
        if not sheds or not self._gives_way(priority, traffic.is_large, now):
            return FORWARD
        return DROP if kind == DATA else REJECT

    def _drained_bytes(self, now: float, received_bytes: int) -> float:
        """Return how many sent bytes the link may have carried since."""
        carried = (now - self._updated) * self._bytes_per_s
        received = (
            self._unaccounted_bytes + received_bytes - self._received_bytes
        )
        self._received_bytes = received_bytes
        used = min(received, carried)
        # What one client has in flight may be read at once. Far more is read after
        # a stall, in which the link carried it.
        self._unaccounted_bytes = min(received - used, _WINDOW_BYTES)
        return carried - used

    def _gives_way(self, priority: int, is_large: bool, now: float) -> bool:
        """Return whether a route has the lowest priority in use.

        If only one priority is in use, those with large packets give way.
        """
        is_alone = True
        for other, last_seen in self._priorities.items():
            if other == priority or now - last_seen > _IN_USE_S:
                continue
            if other > priority:
                return False
            is_alone = False
        return is_large or not is_alone

    def _traffic(self, route: bytes, now: float) -> _RouteTraffic:
        traffic = self._routes.get(route)
        if traffic is None:
            self._forget_unused(now)
            traffic = _RouteTraffic()
            self._routes[route] = traffic
        traffic.last_seen = now
        return traffic

    def _forget_unused(self, now: float) -> None:
        """Remove the routes that are not in use, to bound the memory."""
        self._routes = {
            route: traffic
            for route, traffic in self._routes.items()
            if now - traffic.last_seen <= _IN_USE_S
        }
