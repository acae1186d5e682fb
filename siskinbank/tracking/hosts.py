"""Table of the hosts known to an entry, from their sidecars' updates."""

from __future__ import annotations

from _socket import inet_aton

from siskinbank.admission import reasons
from siskinbank.choice.host_speed import UNKNOWN, load_factor, median_ms
from siskinbank.platform.settings import DEFAULT_FLOW_LIFETIME_S
from siskinbank.relay.messages import Status
from siskinbank.tracking.liveness import HostProbes

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ('HostTable', 'TrackedHost')

# A sidecar without a status update for this long, in seconds, counts as silent:
# three missed ones, as it sends one every 0.4 s to entries that use its host.
_SILENT_S = 1.3
# Missed status updates after which a sidecar counts as silent that announced a
# longer interval.
_MISSED_UPDATES = 3
_MS = 1000
# Time for which a median of the processing times is used, in seconds: with 3,200
# hosts it takes 1.5 ms, nearly a third of what ranking them takes.
_MEDIAN_TTL_S = 1.0
# Maximum number of flows that are remembered as not held by a host whose sidecar
# stops: twice as many as are searched for at once.
_MAX_NOT_HELD = 1024
# Time and value of a median that was not taken yet.
_NO_MEDIAN = (0, UNKNOWN)


class TrackedHost:
    """The known state of one host.

    Attributes:
        ip: IP address as text.
        packed: IP address as 4 bytes.
        status: last status from its sidecar.
        last_seen: time of the last message from its sidecar, in seconds.
        first_seen: time when the first status was received, in seconds.
        pending: number of flows placed there since the last status.
        load_factor: factor by which its load counts because of its speed, see
            ``choice.host_speed``.
    """

    __slots__ = (
        '_not_held',
        'first_seen',
        'ip',
        'last_seen',
        'load_factor',
        'packed',
        'pending',
        'status',
    )

    def __init__(self, ip: str, status: Status, last_seen: float) -> None:
        """Create the state from a first status."""
        self.ip = ip
        self.packed = inet_aton(ip)
        self.status = status
        self.last_seen = last_seen
        self.first_seen = last_seen
        self.pending = 0
        self.load_factor: float = 1
        # Created with the first key, as most hosts never need it.
        self._not_held: dict[bytes, int] | None = None

    @property
    def interval_s(self) -> float:
        """Interval until the next status update, in seconds."""
        return self.status.interval_ms / _MS

    def is_silent(self, now: float) -> bool:
        """Return whether status updates are missing."""
        limit_s = max(_SILENT_S, self.interval_s * _MISSED_UPDATES)
        return now - self.last_seen > limit_s

    def note_not_held(self, key: bytes, sequence: int) -> None:
        """Record that the sidecar said that its host does not hold a flow.

        Load pattern: sidecars stop beside leaving hosts while hundreds of
        searches for lost flows wait for another host. A sidecar that has
        announced its stop accepts no flows, so that its answer holds until it is
        back, and later searches for the flow need not wait for it.

        Args:
            key: key of the flow.
            sequence: sequence number of the packet that was searched for: the
                host may hold another flow of the port.
        """
        if self.status.state != reasons.STOPPING:
            return
        if self._not_held is None:
            self._not_held = {}
        if len(self._not_held) < _MAX_NOT_HELD:
            self._not_held[key] = sequence

    def note_held(self, key: bytes) -> None:
        """Record that the sidecar said that its host holds a flow."""
        if self._not_held is not None:
            self._not_held.pop(key, None)

    def may_hold(self, key: bytes, sequence: int) -> bool:
        """Return whether searches for a flow depend on an answer of the host.

        Args:
            key: key of the flow.
            sequence: sequence number of the packet that is searched for.
        """
        return self._not_held is None or self._not_held.get(key) != sequence

    def update_status(self, status: Status, now: float) -> None:
        """Apply a status update; without a stop, earlier answers are void."""
        self.status = status
        self.last_seen = now
        self.pending = 0
        if status.state != reasons.STOPPING:
            self._not_held = None


class HostTable:
    """All hosts of which an entry has received a status.

    Attributes:
        probes: unanswered probes of sidecars, also of hosts not in the table.
    """

    __slots__ = (
        '_by_ip',
        '_by_service',
        '_expiry_s',
        '_medians',
        '_ordered',
        'probes',
    )

    def __init__(self, expiry_s: float = DEFAULT_FLOW_LIFETIME_S) -> None:
        """Create an empty table.

        Args:
            expiry_s: time in seconds after which a host without an update is
                removed: the longest lifetime of a flow.
        """
        self.probes = HostProbes(expiry_s)
        self._expiry_s = expiry_s
        self._by_ip: dict[str, TrackedHost] = {}
        self._by_service: dict[int, list[TrackedHost]] = {}
        self._ordered: tuple[TrackedHost, ...] = ()
        # Time of each median and the median, by service.
        self._medians: dict[int, tuple[float, int]] = {}

    @property
    def ordered(self) -> Sequence[TrackedHost]:
        """All hosts in the order of ``all``, without a copy for each reader."""
        return self._ordered

    def __len__(self) -> int:
        """Return the number of hosts."""
        return len(self._by_ip)

    def all(self) -> list[TrackedHost]:
        """Return all hosts."""
        return list(self._by_ip.values())

    def get(self, ip: str) -> TrackedHost | None:
        """Return the host at an address, None if it is unknown."""
        return self._by_ip.get(ip)

    def of_service(self, service: int) -> list[TrackedHost]:
        """Return the hosts of a service, given by its digest."""
        return self._by_service.get(service, [])

    def median_ms(self, service: int, now: float) -> int:
        """Return the median processing time of a service's hosts.

        With a new median the load factors of these hosts change.

        Args:
            service: digest of the service.
            now: time in seconds, on a clock that runs on during suspension.

        Returns:
            The median over the hosts whose sidecars are not silent in
            milliseconds, 0 if unknown; up to a second old.
        """
        cached = self._medians.get(service)
        if cached and now - cached[0] < _MEDIAN_TTL_S:
            return cached[1]
        hosts = self.of_service(service)
        found = median_ms(
            [
                host.status.processing_ms
                for host in hosts
                if not host.is_silent(now)
            ]
        )
        self._medians[service] = (now, found)
        for host in hosts:
            host.load_factor = load_factor(host.status.processing_ms, found)
        return found

    def update_status(self, ip: str, status: Status, now: float) -> bool:
        """Apply a status update; return whether the host has changed."""
        host = self._by_ip.get(ip)
        if host is None:
            self._by_ip[ip] = TrackedHost(ip, status, now)
            self._index()
            return True
        previous = host.status
        changed = previous.state != status.state
        host.update_status(status, now)
        median = self._medians.get(status.service, _NO_MEDIAN)[1]
        host.load_factor = load_factor(status.processing_ms, median)
        if previous.service != status.service:
            self._index()
            return True
        return changed

    def note_message(self, ip: str, now: float) -> float:
        """Record that a message from the sidecar at an address was received.

        Returns:
            How long the sidecar had been silent, in seconds, 0 if it was not.
        """
        self.probes.note_message(ip)
        host = self._by_ip.get(ip)
        if host is None:
            return 0
        silent_s = now - host.last_seen if host.is_silent(now) else 0
        host.last_seen = now
        return silent_s

    def add_stall(self, stalled_s: float) -> None:
        """Add the time of a stall, in which no packets could be received."""
        for host in self._by_ip.values():
            host.last_seen += stalled_s

    def sweep(self, now: float) -> None:
        """Remove hosts without an update for a long time."""
        gone = [
            ip
            for ip, host in self._by_ip.items()
            if now - host.last_seen > self._expiry_s
        ]
        for ip in gone:
            self._by_ip.pop(ip)
        if gone:
            self._index()

    def addresses(self, now: float) -> list[bytes]:
        """Return the addresses of the hosts that are not silent."""
        return [
            host.packed
            for host in self._by_ip.values()
            if not host.is_silent(now)
        ]

    def _index(self) -> None:
        self._by_service = {}
        # A service that has no hosts any more needs no median.
        self._medians = {}
        self._ordered = tuple(self._by_ip.values())
        for host in self._ordered:
            group = self._by_service.setdefault(host.status.service, [])
            group.append(host)
