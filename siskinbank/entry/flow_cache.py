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
        kept_at: the host whose sidecar keeps the first packet until a slot is
            free, empty without one.
        seen: time of the last packet.
        tried: hosts that its first packet went to.
    """

    __slots__ = ('_claims', 'held', 'ip', 'kept_at', 'seen', 'tried')

    def __init__(self, ip: str, seen: float) -> None:
        """Begin with a host that may take the flow."""
        self.ip = ip
        self.held = False
        self.kept_at = ''
        self.seen = seen
        self.tried: tuple[str, ...] = (ip,)
        self._claims: dict[str, tuple[bool, int]] = {}

    @property
    def contested(self) -> bool:
        """Whether several hosts hold the flow, open or half open."""
        return len(self._claims) > 1

    def try_at(self, ip: str) -> None:
        """Note that the first packet goes to another host."""
        self.ip = ip
        self.tried = (*self.tried, ip)

    def hold(self, ip: str, number: int, established: bool) -> None:
        """Note a sidecar's word that its host holds the flow.

        Args:
            ip: the host.
            number: its first sequence number, 0 if that is not known.
            established: the host has worked on the flow.
        """
        if not self._claims or established:
            self.ip = ip
        self.held = True
        self._claims[ip] = (established, number)

    def settle(self, acknowledged: int) -> None:
        """Of several hosts, keep the one that the client chose.

        Load pattern: a first packet and its copy were taken by two hosts, as
        the first one was slow; one of them waits for a client in vain.

        Args:
            acknowledged: what the client's packet acknowledges; it lies just
                above the first number of the host that the client chose.
        """
        claims = self._claims
        worked = [ip for ip in claims if claims[ip][0]]
        if len(worked) == 1:
            self.ip = worked[0]
        else:
            self.ip = min(
                worked or claims,
                key=lambda ip: _ahead(acknowledged, claims[ip][1]),
            )
        self._claims = {self.ip: claims[self.ip]}


def _ahead(acknowledged: int, number: int) -> int:
    """Return how far a number is behind; an unknown one is the farthest."""
    if not number:
        return _SEQUENCE_NUMBERS
    return (acknowledged - number) % _SEQUENCE_NUMBERS


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
