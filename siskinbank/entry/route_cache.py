"""A bounded cache of routes to flow owners; losing it is harmless."""

from dataclasses import dataclass

from siskinbank.config.site import Address

__all__ = ('OwnerRoute', 'Receiver', 'RouteCache')


@dataclass(slots=True)
class Receiver:
    """A sidecar that packets may be sent to, shared by all routes to it.

    ``generation`` is the newest one that it sent when it announced a flow.
    """

    packed: bytes
    address: Address
    generation: int
    allowed: bool = True


@dataclass(slots=True)
class OwnerRoute:
    """The owner of flows and the packed envelope head for their packets."""

    receiver: Receiver
    head: bytes


class RouteCache:
    """Caches the routes of recently seen flows.

    The cache has two halves. When the recent half is full it replaces the
    older half, which evicts all entries not used since the last replacement.
    """

    def __init__(self, size: int) -> None:
        """Create a cache for at most ``size`` flows."""
        self._half = max(size // 2, 1)
        self._recent: dict[bytes, OwnerRoute] = {}
        self._older: dict[bytes, OwnerRoute] = {}

    def __len__(self) -> int:
        """Return the number of cached flows."""
        return len(self._recent) + len(self._older)

    def get(self, flow: bytes) -> OwnerRoute | None:
        """Return the route of a flow, or None."""
        route = self._recent.get(flow)
        if route is None and self._older:
            route = self._older.pop(flow, None)
            if route is not None:
                self.put(flow, route)
        return route

    def put(self, flow: bytes, route: OwnerRoute) -> None:
        """Add or replace the route of a flow."""
        self._older.pop(flow, None)
        self._recent[flow] = route
        if len(self._recent) >= self._half:
            self._older = self._recent
            self._recent = {}

    def remove(self, flow: bytes) -> None:
        """Remove a flow."""
        self._recent.pop(flow, None)
        self._older.pop(flow, None)

    def clear(self) -> None:
        """Remove all flows."""
        self._recent.clear()
        self._older.clear()
