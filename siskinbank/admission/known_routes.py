"""Parameters of the routes whose requests a sidecar schedules."""

from __future__ import annotations

__all__ = ('KnownRoutes', 'RouteParameters')

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.messages import Opening

# Routes of one sidecar. A service has a few; more are known only after many
# changes of the configuration, and the oldest is forgotten.
_MAX_ROUTES = 256
_MS = 1000


class RouteParameters:
    """What the order of requests depends on, for one route.

    Attributes:
        priority: priority of the route, 0 is the highest.
        target_latency_s: target latency of the clients, in seconds.
        timeout_s: time in seconds after which an answer is of no use.
        repeatable: whether the requests may run more than once.
    """

    __slots__ = ('priority', 'repeatable', 'target_latency_s', 'timeout_s')

    def __init__(self, opening: Opening) -> None:
        """Initialize the parameters from those of a first packet."""
        self.priority = opening.priority
        self.target_latency_s = opening.target_latency_ms / _MS
        self.timeout_s = opening.timeout_ms / _MS
        self.repeatable = opening.idempotent


class KnownRoutes:
    """The routes of which a sidecar has received first packets."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        """Start without any route."""
        self._routes: dict[bytes, RouteParameters] = {}

    def get(self, route: bytes) -> RouteParameters | None:
        """Return the parameters of a route, None if it is not known.

        Args:
            route: address and port of the route.
        """
        return self._routes.get(route)

    def note(self, route: bytes, opening: Opening) -> None:
        """Keep the parameters that came with a first packet.

        A first packet that is sent again to the host that holds its flow
        carries none, which its time limit of 0 shows.

        Args:
            route: address and port of the route.
            opening: the first packet.
        """
        if not opening.timeout_ms:
            return
        if route not in self._routes and len(self._routes) >= _MAX_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        self._routes[route] = RouteParameters(opening)
