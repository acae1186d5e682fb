"""Admit packets to the upstream, or pass them on to the flow's owner."""

import asyncio
import random
import socket

from siskinbank.config.site import Address, Service
from siskinbank.kernel.reasons import Drop
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.deflection import bears, next_candidates
from siskinbank.sidecar.exchange import LoadExchange
from siskinbank.sidecar.flows import FlowTable, Pointers
from siskinbank.wire.loads import PoolLoad
from siskinbank.wire.messages import Message, Moved, Owner
from siskinbank.wire.packets import (
    UNCACHED,
    Envelope,
    InnerPacket,
    pack_address,
    parse_inner,
    unpack_address,
)

__all__ = ('PacketHandler',)

MAX_HOPS = 8
_IDLE_SECONDS = 300
_CLOSING_IDLE_SECONDS = 30
_LEASE_SECONDS = 30
_ANNOUNCE_SECONDS = 5
_EXPIRE_SECONDS = 5
_FLOWS_A_MESSAGE = 100


class PacketHandler:
    """The packet side of one sidecar."""

    def __init__(
        self,
        context: SidecarContext,
        upstream: asyncio.DatagramTransport | None,
    ) -> None:
        """Hand packets to the upstream over ``upstream``."""
        self._context = context
        self._upstream = upstream
        self._metrics = context.process.metrics
        self._timers = context.process.timers
        self._own = pack_address(context.settings.bind)
        self.flows = FlowTable()
        self.pointers = Pointers()
        self._rng = random.Random(context.process.name)
        self.exchange = LoadExchange(context, self._rng)
        context.owned_flows = lambda: tuple(self.flows)
        context.peers.on_envelope = self.receive
        context.peers.on_message = self.learn
        context.view.subscribe(self._refresh)
        self._timers.every(_EXPIRE_SECONDS, self._expire)
        self._timers.every(_ANNOUNCE_SECONDS, self._announce, jitter=0.2)

    def receive(self, envelope: Envelope, _sender: Address) -> None:
        """Take a packet from an entry or another sidecar."""
        packet = parse_inner(envelope.raw)
        if packet is None:
            self._metrics.count(Drop.malformed)
            return
        service = self._context.service
        if not _belongs(envelope, packet, service):
            self._metrics.count(Drop.wrong_service)
            return
        if self._context.is_out:
            self._receive_out(envelope, packet)
            return
        if not self._deliver_owned(envelope, packet):
            self._find_owner(envelope, packet)

    def learn(self, received: Message, _sender: Address) -> None:
        """Take word of flows that live elsewhere."""
        if isinstance(received, PoolLoad):
            self.exchange.learn(received)
        elif isinstance(received, Moved):
            self._learn_moved(received)

    def _learn_moved(self, received: Moved) -> None:
        service = self._context.service
        if service is None or received.service != service.ident:
            self._metrics.count(Drop.wrong_service)
            return
        expires = self._timers.now + received.lease_seconds
        for flow in received.flows:
            self.pointers.put(flow, received.address, expires)

    def _receive_out(self, envelope: Envelope, packet: InnerPacket) -> None:
        """Give up flows of a data centre that is out; pass new ones on."""
        if packet.first:
            self._pass_on(envelope, packet)
        else:
            self._metrics.count(Drop.centre_out)

    def _deliver_owned(self, envelope: Envelope, packet: InnerPacket) -> bool:
        now = self._timers.now
        closing = packet.closing
        if not self.flows.touch(envelope.flow, now, closing=closing):
            return False
        if not self._has_place(envelope, packet):
            self._metrics.count(Drop.upstream_cold)
            return True
        self._hand_over(packet)
        if envelope.flags & UNCACHED and not packet.first:
            self._tell_entry(envelope)
        if packet.last and self.flows.remove(envelope.flow):
            self._give_back(1)
            if self._context.admission is not None:
                self._context.admission.places.forget(envelope.flow)
        return True

    def _has_place(self, envelope: Envelope, packet: InnerPacket) -> bool:
        admission = self._context.admission
        if admission is None or packet.last:
            return True
        return admission.places.admits(envelope.flow, closing=packet.closing)

    def _find_owner(self, envelope: Envelope, packet: InnerPacket) -> None:
        owner = self.pointers.get(envelope.flow, self._timers.now)
        if owner is not None and self._context.router.allows(owner):
            envelope.candidates = (owner,)
            envelope.position = 0
            self._send_on(envelope, owner)
        elif packet.first and self._admit(envelope, packet):
            return
        else:
            self._pass_on(envelope, packet)

    def _admit(self, envelope: Envelope, packet: InnerPacket) -> bool:
        admission = self._context.admission
        host = self._context.host
        if admission is None or host is None or not self._context.takes_work:
            return False
        if not bears(envelope, admission, self.exchange.loads, host.weight):
            return False
        self.flows.add(envelope.flow, self._timers.now)
        self._metrics.tally('flows_opened')
        self._hand_over(packet)
        if envelope.hops:
            self._tell_entry(envelope)
        self._announce_flows((envelope.flow,))
        return True

    def _pass_on(self, envelope: Envelope, packet: InnerPacket) -> None:
        candidates = envelope.candidates
        if len(candidates) == 1 and not envelope.flags & UNCACHED:
            candidates = self._own_candidates(envelope)
            envelope.flags |= UNCACHED
            envelope.candidates = candidates
            envelope.position = -1
        elif packet.first:
            self._choose_next(envelope)
            candidates = envelope.candidates
        position = envelope.position + 1
        while position < len(candidates):
            candidate = candidates[position]
            if candidate != self._own and self._context.router.allows(
                candidate
            ):
                envelope.position = position
                self._send_on(envelope, candidate)
                return
            position += 1
        self._metrics.count(
            Drop.at_limit if packet.first else Drop.unknown_flow,
        )

    def _choose_next(self, envelope: Envelope) -> None:
        limits = self._context.limits
        if limits is not None:
            is_open = self._context.takes_work
            next_candidates(
                envelope,
                self._own if is_open and limits.connections.room else None,
                self.exchange.loads,
                self._rng,
            )

    def _own_candidates(self, envelope: Envelope) -> tuple[bytes, ...]:
        service = self._context.service
        if service is None:
            return ()
        hosts = self._context.router.known(service, envelope.flow)
        return tuple(pack_address(host.address) for host in hosts)

    def _send_on(self, envelope: Envelope, receiver: bytes) -> None:
        envelope.hops += 1
        if envelope.hops > MAX_HOPS:
            self._metrics.count(Drop.hop_limit)
            return
        self._metrics.tally('packets_passed_on')
        self._context.peers.send_envelope(envelope, unpack_address(receiver))

    def _hand_over(self, packet: InnerPacket) -> None:
        if self._upstream is not None:
            self._metrics.tally('packets_delivered')
            self._upstream.sendto(packet.raw)

    def _tell_entry(self, envelope: Envelope) -> None:
        self._context.peers.send_message(
            Owner(envelope.flow, self._own),
            unpack_address(envelope.entry),
        )

    def _announce(self) -> None:
        self._announce_flows(tuple(self.flows))

    def _announce_flows(self, flows: tuple[int, ...]) -> None:
        """Tell the hosts that rank first for flows which are owned here."""
        service = self._context.service
        if service is None:
            return
        homes: dict[Address, list[int]] = {}
        for flow in flows:
            ranked = self._context.router.known(service, flow)
            if ranked and ranked[0].name != self._context.process.name:
                homes.setdefault(ranked[0].address, []).append(flow)
        for address, moved in homes.items():
            for start in range(0, len(moved), _FLOWS_A_MESSAGE):
                part = moved[start : start + _FLOWS_A_MESSAGE]
                sent = Moved(service.ident, self._own, _LEASE_SECONDS, part)
                self._context.peers.send_message(sent, address)

    def _refresh(self) -> None:
        if self._context.is_out:
            self._give_back(self.flows.clear())
            if self._context.admission is not None:
                self._context.admission.places.keep_only(self.flows)
        self._announce()

    def _expire(self) -> None:
        now = self._timers.now
        gone = self.flows.expire(now, _IDLE_SECONDS, _CLOSING_IDLE_SECONDS)
        self._give_back(gone)
        admission = self._context.admission
        if admission is not None:
            admission.places.keep_only(self.flows)
        self.pointers.expire(now)

    def _give_back(self, count: int) -> None:
        limits = self._context.limits
        if limits is None:
            return
        for _ in range(count):
            limits.connections.give_back()


def _belongs(
    envelope: Envelope,
    packet: InnerPacket,
    service: Service | None,
) -> bool:
    if service is None or envelope.service != service.ident:
        return False
    return any(
        endpoint.ingress == 'fou'
        and endpoint.port == packet.target_port
        and socket.inet_aton(endpoint.address) == packet.target
        for endpoint in service.endpoints
    )
