"""A bounded soft cache of routes to flow owners, safe to lose."""

from dataclasses import dataclass

from siskinbank.config.site import Address

__all__ = ('Receiver', 'Route', 'RouteCache')


@dataclass(slots=True)
class Receiver:
    """A sidecar that packets may go to, shared by all routes to it.

    ``generation`` is the newest one in which it said that it owns a flow.
    """

    packed: bytes
    address: Address
    generation: int
    allowed: bool = True


@dataclass(slots=True)
class Route:
    """Where flows of one owner live, with their envelope head packed."""

    receiver: Receiver
    head: bytes


class RouteCache:
    """Remembers the routes of recently seen flows.

    Two halves take turns: a full young half becomes the old one, and what the
    old half held without being used again is forgotten.
    """

    def __init__(self, size: int) -> None:
        """Remember at most ``size`` flows."""
        self._half = max(size // 2, 1)
        self._young: dict[bytes, Route] = {}
        self._old: dict[bytes, Route] = {}

    def __len__(self) -> int:
        """Return the number of flows that are remembered."""
        return len(self._young) + len(self._old)

    def get(self, flow: bytes) -> Route | None:
        """Return the route of a flow."""
        route = self._young.get(flow)
        if route is None and self._old:
            route = self._old.pop(flow, None)
            if route is not None:
                self.put(flow, route)
        return route

    def put(self, flow: bytes, route: Route) -> None:
        """Remember a route."""
        self._old.pop(flow, None)
        self._young[flow] = route
        if len(self._young) >= self._half:
            self._old = self._young
            self._young = {}

    def forget(self, flow: bytes) -> None:
        """Forget a flow."""
        self._young.pop(flow, None)
        self._old.pop(flow, None)

    def clear(self) -> None:
        """Forget all flows."""
        self._young.clear()
        self._old.clear()
