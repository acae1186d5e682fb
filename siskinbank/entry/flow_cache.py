"""Where flows live, as far as one entry remembers; safe to lose.

Load pattern: routers move the flows of an entry that died to the others, so a
packet may come of a flow never seen here; the cache holds what was learnt, and
nothing that cannot be asked again.
"""

from __future__ import annotations

__all__ = ('CachedFlow', 'FlowCache')

_SEQUENCE_NUMBERS = 1 << 32
# Flows remembered; beyond that the oldest go.
_MOST_FLOWS = 65536
# A flow silent for longer than this is forgotten, in seconds: hosts discard
# flows that are idle for 15 s.
_IDLE_S = 20.0


class CachedFlow:
    """A flow and the host that takes its packets.

    Attributes:
        ip: the host.
        held: the host's sidecar has said that the host holds the flow; until
            then ``ip`` is only where its first packet went.
        seen: time of the last packet.
        tried: hosts that its first packet went to.
    """

    __slots__ = ('_number', '_other', 'held', 'ip', 'seen', 'tried')

    def __init__(self, ip: str, seen: float) -> None:
        """Begin with a host that may take the flow."""
        self.ip = ip
        self.held = False
        self.seen = seen
        self.tried: tuple[str, ...] = (ip,)
        self._number = 0
        self._other: tuple[str, int] | None = None

    @property
    def contested(self) -> bool:
        """Whether two hosts have answered the first packet."""
        return self._other is not None

    def try_at(self, ip: str) -> None:
        """Note that the first packet goes to another host."""
        self.ip = ip
        self.tried = (*self.tried, ip)

    def hold(self, ip: str, number: int) -> None:
        """Note a sidecar's word that its host holds the flow.

        Args:
            ip: the host.
            number: its first sequence number, 0 if that is not known.
        """
        if self.held and self.ip != ip and number and self._number:
            self._other = (ip, number)
            return
        self.ip = ip
        self.held = True
        self._number = number or self._number

    def settle(self, acknowledged: int) -> None:
        """Of two hosts that answered, keep the one that the client chose.

        Args:
            acknowledged: what the client's packet acknowledges; it lies just
                above the first number of the host that the client chose.
        """
        if self._other is None:
            return
        ip, number = self._other
        ahead = (acknowledged - self._number) % _SEQUENCE_NUMBERS
        other_ahead = (acknowledged - number) % _SEQUENCE_NUMBERS
        if other_ahead < ahead:
            self.ip = ip
            self._number = number
        self._other = None


class FlowCache:
    """The flows of one entry, by key."""

    __slots__ = ('_flows', 'get')

    def __init__(self) -> None:
        """Start empty."""
        self._flows: dict[bytes, CachedFlow] = {}
        #: The flow of a key, or None; bound once, as each packet asks.
        self.get = self._flows.get

    def __len__(self) -> int:
        """Count the flows."""
        return len(self._flows)

    def add(self, key: bytes, ip: str, now: float) -> CachedFlow:
        """Remember a new flow."""
        if len(self._flows) >= _MOST_FLOWS:
            self._flows.pop(next(iter(self._flows)))
        flow = CachedFlow(ip, now)
        self._flows[key] = flow
        return flow

    def drop(self, key: bytes) -> None:
        """Forget a flow."""
        self._flows.pop(key, None)

    def sweep(self, now: float) -> None:
        """Forget idle flows."""
        edge = now - _IDLE_S
        idle = [key for key, flow in self._flows.items() if flow.seen < edge]
        for key in idle:
            self._flows.pop(key)
