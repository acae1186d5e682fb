"""Packets as the fabric hands them over: IP in UDP, sprayed over entries."""

import socket
from typing import cast

from siskinbank.config.site import Address, Service
from siskinbank.entry.cache import OwnerCache
from siskinbank.entry.context import EntryContext
from siskinbank.ingress.registry import (
    IngressHandle,
    IngressPlugin,
    ingresses,
)
from siskinbank.kernel.reasons import Drop
from siskinbank.peers.datagrams import open_udp
from siskinbank.wire.messages import Message, Owner
from siskinbank.wire.packets import (
    MAX_PACKET_BYTES,
    UNCACHED,
    Envelope,
    InnerPacket,
    pack_address,
    parse_inner,
    unpack_address,
)

__all__ = ('PacketIngress', 'start_fou')

_CACHED_FLOWS = 200_000
_PASSED = 'packets_passed'


class PacketIngress:
    """Sends each packet to the sidecar that owns its flow, or by rank."""

    def __init__(self, context: EntryContext) -> None:
        """Serve all packet services of an entry."""
        self._view = context.view
        self._router = context.router
        self._peers = context.peers
        self._metrics = context.process.metrics
        self._own = pack_address(context.settings.bind)
        self._cache = OwnerCache(_CACHED_FLOWS)
        self._services: dict[tuple[bytes, int], Service] = {}
        context.view.subscribe(self._refresh)
        context.peers.on_message = self.learn
        self._refresh()

    def receive(self, datagram: bytes, _sender: Address) -> None:
        """Take one datagram from the fabric."""
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
        self._pass_on(packet, service)

    def learn(self, received: Message, _sender: Address) -> None:
        """Remember the owner that a sidecar told."""
        if isinstance(received, Owner):
            self._cache.put(received.flow, received.address)

    def _pass_on(self, packet: InnerPacket, service: Service) -> None:
        flow = packet.key
        owner = self._cache.get(flow)
        flags = 0
        if owner is not None and self._router.allows(owner):
            candidates: tuple[bytes, ...] = (owner,)
        else:
            flags = UNCACHED
            candidates = self._candidates(packet, service, flow)
        if not candidates:
            self._metrics.count(Drop.no_host)
            return
        envelope = Envelope(
            flags,
            0,
            0,
            service.ident,
            self._view.generation,
            flow,
            self._own,
            candidates,
            packet.raw,
        )
        self._metrics.tally(_PASSED)
        self._peers.send_envelope(envelope, unpack_address(candidates[0]))

    def _candidates(
        self,
        packet: InnerPacket,
        service: Service,
        flow: int,
    ) -> tuple[bytes, ...]:
        if packet.first:
            hosts = self._router.fresh(service, flow)
        else:
            hosts = self._router.known(service, flow)
        return tuple(pack_address(host.address) for host in hosts)

    def _refresh(self) -> None:
        site = self._view.site
        if site is None:
            return
        self._services = {
            (socket.inet_aton(endpoint.address), endpoint.port): service
            for service in site.services.values()
            for endpoint in service.endpoints
            if endpoint.ingress == 'fou'
        }


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
        """Nothing is held here, so there is nothing to wait for."""

    return IngressHandle(drain)


ingresses.register(
    IngressPlugin(
        name='fou',
        summary='IP packets in UDP, as the fabric sprays them',
        start=start_fou,
        aliases=('ipip-udp',),
    ),
)
