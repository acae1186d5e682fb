"""Routes of flows, and which of a route's services gets a flow."""

from __future__ import annotations

from zlib import crc32

from siskinbank.admission.arrivals import max_wait_s
from siskinbank.choice.service_overflow import (
    select_other_service,
    select_service,
)
from siskinbank.platform.packets import route_key
from siskinbank.relay import messages

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.entry.flow_cache import CachedFlow
    from siskinbank.platform.records import Route
    from siskinbank.relay.follower import StoreFollower
    from siskinbank.relay.node import Node
    from siskinbank.tracking.hosts import HostTable, TrackedHost

__all__ = ('RouteServices',)

_MS = 1000


class RouteServices:
    """Selects services for the flows of one entry."""

    __slots__ = ('_follower', '_hosts', '_node', '_split_overflow')

    def __init__(
        self,
        node: Node,
        hosts: HostTable,
        follower: StoreFollower,
        split_overflow: bool,
    ) -> None:
        """Initialize the selection.

        Args:
            node: the process that runs the entry.
            hosts: the known state of the hosts.
            follower: provides the routes of the configuration.
            split_overflow: whether new flows may go to another service of
                their route than the weights select.
        """
        self._node = node
        self._hosts = hosts
        self._follower = follower
        self._split_overflow = split_overflow

    def route(self, key: bytes) -> Route | None:
        """Return the route of a flow if it leads to any service.

        Args:
            key: key of the flow.
        """
        route = self._follower.configuration.routes.get(route_key(key))
        return route if route and route.shares else None

    def select(
        self,
        route: Route,
        by_weight: str,
        flow_hash: int,
        flow: CachedFlow | None,
    ) -> str:
        """Return the service that gets a copy of a first packet.

        Args:
            route: the route of the flow.
            by_weight: the service that the weights select.
            flow_hash: hash of the flow key.
            flow: the flow, if an earlier copy was placed.
        """
        if not self._split_overflow or len(route.shares) == 1:
            return by_weight
        remembered = flow.service if flow else ''
        service = select_service(
            route.shares,
            remembered,
            flow_hash,
            self.hosts_of,
            self._node.loop.now,
        )
        if service not in {by_weight, remembered}:
            self._node.meters.count('flows_overflowed_total')
        return service

    def select_after_refusal(self, key: bytes, flow: CachedFlow) -> bool:
        """Select another service with free slots for a refused first packet.

        Returns:
            Whether there is one.
        """
        route = self.route(key)
        if not self._split_overflow or route is None:
            return False
        flow_hash = crc32(key)
        other = select_other_service(
            route.shares,
            flow.service,
            flow_hash,
            self.hosts_of,
            self._node.loop.now,
        )
        if not other:
            return False
        if other != route.service_for(flow_hash):
            self._node.meters.count('flows_overflowed_total')
        flow.service = other
        return True

    def hosts_of(self, service: str) -> list[TrackedHost]:
        """Return the known hosts of a service."""
        return self._hosts.of_service(messages.digest(service))

    def hosts_of_route(
        self, route: Route, selected: list[TrackedHost]
    ) -> list[TrackedHost]:
        """Return the hosts that may accept a later copy of a first packet.

        Args:
            route: the route of the flow.
            selected: the hosts of the service that was selected.
        """
        if not self._split_overflow:
            return selected
        return [
            host
            for service, _ in route.shares
            for host in self.hosts_of(service)
        ]

    def opening(
        self, packet: bytes, route: Route, service: str
    ) -> messages.Opening:
        """Return the message with a first packet, without candidates.

        Args:
            packet: the first packet.
            route: the route of the flow.
            service: the service that gets the flow.
        """
        configuration = self._follower.configuration
        opening = messages.Opening(self._node.packed_ip, packet)
        opening.service = messages.digest(service)
        opening.version = configuration.version
        opening.target_latency_ms = messages.wait_ms(route.target_latency_s)
        opening.wait_limit_ms = messages.wait_ms(max_wait_s(route.timeout_s))
        opening.timeout_ms = int(route.timeout_s * _MS)
        opening.priority = route.priority
        opening.idempotent = route.idempotent
        opening.warm_up = configuration.warm_up_of(service)
        return opening
