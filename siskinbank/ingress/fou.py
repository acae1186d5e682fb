"""Ingress for IP packets in UDP, which the fabric sprays over entries."""

import socket
from typing import cast

from siskinbank.config.site import Address, Service
from siskinbank.entry.context import EntryContext
from siskinbank.entry.owner_searches import OwnerSearches
from siskinbank.entry.route_cache import OwnerRoute, Receiver, RouteCache
from siskinbank.ingress.registry import (
    IngressHandle,
    IngressPlugin,
    ingresses,
)
from siskinbank.kernel.reasons import Drop
from siskinbank.kernel.suspension import SuspensionDetector
from siskinbank.peers.datagrams import open_udp
from siskinbank.wire.envelopes import OWNER_NAMED, UNCACHED, Envelope
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.messages import Message
from siskinbank.wire.packets import (
    MAX_PACKET_BYTES,
    InnerPacket,
    flow_target,
    pack_address,
    parse_inner,
    plain_flow,
    unpack_address,
)

__all__ = ('PacketIngress', 'start_fou')

_CACHED_FLOWS = 400_000
_MAX_OWNER_ROUTES = 10_000
_FORWARDED_METRIC = 'packets_passed'


class PacketIngress:
    """Sends packets to the owners of their flows, or to hosts by rank."""

    def __init__(self, context: EntryContext) -> None:
        """Initialize for all packet services of an entry."""
        self._view = context.view
        self._router = context.router
        self.peers = context.peers
        self._metrics = context.process.metrics
        self._forwarded = self._metrics.cell(_FORWARDED_METRIC)
        self._clock = context.process.timers.clock
        self._suspension_detector = SuspensionDetector(
            context.process.timers,
            lambda: context.view.list_age,
            lambda: context.view.fresh,
        )
        self._own_address = pack_address(context.settings.bind)
        self._routes = RouteCache(_CACHED_FLOWS)
        self._routes_by_owner: dict[tuple[bytes, int, int], OwnerRoute] = {}
        self._searches = OwnerSearches()
        self._receivers: dict[bytes, Receiver] = {}
        self._services: dict[tuple[bytes, int], Service] = {}
        context.view.subscribe(self._refresh)
        context.peers.on_message = self.learn
        self._refresh()

    def receive(self, datagram: bytes, _sender: Address) -> None:
        """Handle one datagram from the fabric.

        The packet of a flow with a known owner takes the fast path: only its
        fixed fields are parsed, and the envelope head is already packed.
        """
        flow = plain_flow(datagram)
        if flow is not None:
            route = self._routes.get(flow)
            if (
                route is not None
                and route.receiver.allowed
                and self._clock() <= self._suspension_detector.valid_until
            ):
                self._forwarded[0] += 1
                self.peers.send_packet(
                    route.head,
                    datagram,
                    route.receiver.address,
                )
                return
        self._receive_parsed(datagram)

    def learn(self, received: Message, _sender: Address) -> None:
        """Cache the owner of a flow that a sidecar announced."""
        if not isinstance(received, Owner):
            return
        service = self._services.get(flow_target(received.flow))
        if service is None or not self._router.allows(
            received.address,
            received.generation,
        ):
            self._metrics.count(Drop.stale_hint)
            return
        self._routes.put(received.flow, self._route_to(received, service))
        self._searches.end(received.flow)

    def _receive_parsed(self, datagram: bytes) -> None:
        if len(datagram) > MAX_PACKET_BYTES:
            self._metrics.count(Drop.too_large)
            return
        packet = parse_inner(datagram)
        if packet is None:
            self._metrics.count(Drop.malformed)
            return
        service = self._services.get((packet.target, packet.target_port))
        if service is None:
            self._metrics.count(Drop.unknown_service)
            return
        if not self._suspension_detector.is_valid:
            self._metrics.count(Drop.stale_view)
            return
        if not self._forward_by_route(packet):
            self._search_owner(packet, service)

    def _forward_by_route(self, packet: InnerPacket) -> bool:
        """Forward a packet by its flow's route; return whether it is handled."""
        flow = packet.flow
        route = self._routes.get(flow)
        if route is None:
            return False
        receiver = route.receiver
        if receiver.allowed:
            self._forwarded[0] += 1
            self.peers.send_packet(route.head, packet.raw, receiver.address)
            return True
        if packet.may_open:
            self._routes.remove(flow)
            return False
        self._metrics.count(Drop.owner_gone)
        return True

    def _search_owner(self, packet: InnerPacket, service: Service) -> None:
        candidates = self._candidates(packet, service)
        if not candidates:
            self._metrics.count(Drop.no_host)
            return
        envelope = self._envelope(service, packet.raw, UNCACHED, candidates)
        self._forwarded[0] += 1
        self.peers.send_envelope(envelope, unpack_address(candidates[0]))

    def _candidates(
        self,
        packet: InnerPacket,
        service: Service,
    ) -> tuple[bytes, ...]:
        if packet.first:
            hosts = self._router.fresh(service, packet.key)
        else:
            hosts = self._searches.order(
                packet.flow,
                self._clock(),
                self._router.known(service, packet.key),
            )
        return tuple(pack_address(host.address) for host in hosts)

    def _envelope(
        self,
        service: Service,
        raw: bytes,
        flags: int,
        candidates: tuple[bytes, ...],
    ) -> Envelope:
        return Envelope(
            flags,
            0,
            0,
            service.ident,
            self._view.generation,
            0,
            self._own_address,
            candidates,
            raw,
        )

    def _route_to(self, owner: Owner, service: Service) -> OwnerRoute:
        """Return the route to an owner, shared by all its flows."""
        key = (owner.address, service.ident, owner.incarnation)
        route = self._routes_by_owner.get(key)
        receiver = self._receiver_at(owner.address, owner.generation)
        if route is None:
            head = self._envelope(service, b'', OWNER_NAMED, (receiver.packed,))
            head.incarnation = owner.incarnation
            route = OwnerRoute(receiver, head.pack_head())
            if len(self._routes_by_owner) >= _MAX_OWNER_ROUTES:
                self._routes_by_owner.clear()
            self._routes_by_owner[key] = route
        return route

    def _receiver_at(self, packed: bytes, generation: int) -> Receiver:
        receiver = self._receivers.get(packed)
        if receiver is None:
            address = unpack_address(packed)
            receiver = Receiver(packed, address, generation)
            self._receivers[packed] = receiver
        receiver.generation = max(receiver.generation, generation)
        receiver.allowed = self._router.allows(packed, receiver.generation)
        return receiver

    def _refresh(self) -> None:
        site = self._view.site
        if site is None:
            return
        services = {
            (socket.inet_aton(endpoint.address), endpoint.port): service
            for service in site.services.values()
            for endpoint in service.endpoints
            if endpoint.ingress == 'fou'
        }
        if _service_ids(services) != _service_ids(self._services):
            self._routes.clear()
        self._services = services
        self._routes_by_owner.clear()
        for packed, receiver in self._receivers.items():
            receiver.allowed = self._router.allows(packed, receiver.generation)


def _service_ids(
    services: dict[tuple[bytes, int], Service],
) -> dict[tuple[bytes, int], int]:
    return {target: service.ident for target, service in services.items()}


async def start_fou(
    context: EntryContext,
    _address: str,
    _port: int,
) -> IngressHandle:
    """Bind the entry's packet socket, once for all services.

    Raises:
        OSError: the address could not be bound.
    """
    process = context.process
    if 'fou' not in process.shared:
        settings = context.settings
        ingress = PacketIngress(context)
        process.shared['fou'] = await open_udp(
            cast(Address, settings.fou),
            ingress.receive,
        )

    async def drain() -> None:
        """Do nothing, as the entry holds no open work for packets."""

    return IngressHandle(drain)


ingresses.register(
    IngressPlugin(
        name='fou',
        summary='IP packets in UDP, as the fabric sprays them',
        start=start_fou,
        aliases=('ipip-udp',),
    ),
)
