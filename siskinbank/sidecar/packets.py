"""Deliver packets to the upstream, or forward them to the flow's owner."""

import asyncio
import random
from collections.abc import Collection

from siskinbank.config.site import Address
from siskinbank.kernel.incarnation import make_incarnation, same_host
from siskinbank.kernel.reasons import Drop, GivenUp
from siskinbank.kernel.suspension import SuspensionDetector
from siskinbank.sidecar.announcer import Announcer, unpack_flow_numbers
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.deflection import choose_candidates, try_admit
from siskinbank.sidecar.flow_accounting import FlowAccounting, service_endpoints
from siskinbank.sidecar.flows import OwnedFlow, Pointer, PointerTable
from siskinbank.sidecar.forwarder import Forwarder
from siskinbank.sidecar.load_exchange import LoadExchange
from siskinbank.sidecar.owner_probes import OwnerProbes
from siskinbank.sidecar.pool_history import PoolHistory
from siskinbank.wire.envelopes import (
    ADOPT_UNOWNED,
    OWNER_NAMED,
    PROBE,
    PROBED,
    UNCACHED,
    WHOLE_POOL,
    Envelope,
    read_owned,
)
from siskinbank.wire.flow_messages import Moved, Restarted
from siskinbank.wire.loads import PoolLoad
from siskinbank.wire.messages import Message
from siskinbank.wire.packets import (
    InnerPacket,
    parse_inner,
)

__all__ = ('PacketHandler',)

_EXPIRE_INTERVAL_SECONDS = 5
_MAX_POINTERS = 100_000
#: Lifetime of the pointer to the host to which a new flow was forwarded.
_FORWARD_POINTER_SECONDS = 10
#: The hop from which packets no longer follow such a pointer.
_FORWARD_POINTER_HOPS = 3
#: Time after a start in which other hosts send their pointers again.
_REFILL_SECONDS = 2
#: How long after a start an unknown flow may be of an earlier incarnation.
_RECOVERY_SECONDS = 900
#: New lease of the pointers to a host's earlier incarnations when it restarts.
_RESTART_LEASE_SECONDS = 900


class PacketHandler:
    """Handles the packets and the flow messages of one sidecar."""

    def __init__(
        self,
        context: SidecarContext,
        upstream: asyncio.DatagramTransport | None,
    ) -> None:
        """Initialize the handler and subscribe to packets and messages.

        Args:
            context: the sidecar's shared parts.
            upstream: transport to the upstream, None if it has no address
                for packets.
        """
        self._context = context
        self._upstream = upstream
        self._metrics = context.process.metrics
        self._delivered = self._metrics.cell('packets_delivered')
        self._timers = context.process.timers
        self._clock = self._timers.clock
        self._suspension_detector = SuspensionDetector(
            self._timers,
            lambda: context.view.list_age,
            lambda: context.view.fresh,
        )
        self._name = context.process.name
        self._started: float | None = None
        self._service_ident = 0
        self._endpoints: Collection[tuple[bytes, int]] = ()
        self.incarnation = make_incarnation(self._name)
        self._accounting = FlowAccounting(context)
        self.flows = self._accounting.flows
        self.pointers = PointerTable(_MAX_POINTERS)
        self._forwarder = Forwarder(context, self.incarnation)
        self._own_address = self._forwarder.own_address
        self._rng = random.Random(self._name)
        self.load_exchange = LoadExchange(context, self._rng)
        self._probes = OwnerProbes()
        self._history = PoolHistory(self._clock)
        self._announcer = Announcer(
            context,
            self.flows,
            self._history,
            self.incarnation,
        )
        context.peers.handle_body = self.receive_owned
        context.peers.on_envelope = self.receive
        context.peers.on_message = self.receive_message
        context.view.subscribe(self._refresh)
        self._timers.every(_EXPIRE_INTERVAL_SECONDS, self._accounting.expire)
        self._timers.every(_EXPIRE_INTERVAL_SECONDS, self._expire_pointers)

    @property
    def age(self) -> float:
        """The seconds since this process first had a pool."""
        if self._started is None:
            return 0
        return self._timers.now - self._started

    def receive_owned(self, body: bytes) -> bool:
        """Deliver a plain packet of an owned flow on the fast path.

        Returns:
            False if the packet needs the full path.
        """
        owned_packet = read_owned(body, self._service_ident)
        if owned_packet is None:
            return False
        owned = self.flows.get(owned_packet[0])
        now = self._clock()
        if owned is None or now > self._suspension_detector.valid_until:
            return False
        owned.last_seen = now
        if self._accounting.may_deliver(owned_packet[0], owned, closing=False):
            self._deliver(owned_packet[1])
        return True

    def receive(self, envelope: Envelope, _sender: Address) -> None:
        """Handle a packet from an entry or another sidecar."""
        packet = parse_inner(envelope.raw)
        if packet is None:
            self._metrics.count(Drop.malformed)
            return
        if not self._suspension_detector.is_valid:
            self._metrics.count(Drop.stale_view)
            return
        if not self._is_for_service(envelope, packet):
            self._forward_newer(envelope)
        elif self._context.is_out:
            self._forward_out_of_service(envelope, packet)
        elif not self._deliver_owned(envelope, packet):
            self._find_owner(envelope, packet)

    def receive_message(self, received: Message, _sender: Address) -> None:
        """Handle announcements of loads, of flows elsewhere and of restarts."""
        if isinstance(received, PoolLoad):
            self.load_exchange.receive_report(received)
        elif isinstance(received, Moved | Restarted):
            self._receive_ownership(received)

    def _is_for_service(self, envelope: Envelope, packet: InnerPacket) -> bool:
        service = self._context.service
        if service is None or envelope.service != service.ident:
            return False
        return (packet.target, packet.target_port) in self._endpoints

    def _receive_ownership(self, received: Moved | Restarted) -> None:
        if received.service != self._service_ident:
            self._metrics.count(Drop.wrong_service)
        elif isinstance(received, Moved):
            self._store_pointers(received)
        else:
            expires = self._timers.now + _RESTART_LEASE_SECONDS
            self.pointers.extend(
                received.address,
                received.incarnation,
                expires,
            )
            self._announcer.announce_to(received.address)

    def _store_pointers(self, received: Moved) -> None:
        if received.address == self._own_address:
            return
        pointer = Pointer(
            received.address,
            received.incarnation,
            received.generation,
            self._timers.now + received.lease_seconds,
        )
        for number in unpack_flow_numbers(received.flows):
            self.pointers.put(number, pointer)

    def _deliver_owned(self, envelope: Envelope, packet: InnerPacket) -> bool:
        flow = packet.flow
        owned = self.flows.get(flow)
        if owned is None:
            return False
        if packet.first and owned.closing and not self._context.accepts_work:
            self.flows.remove(flow)
            self._accounting.release((owned,))
            return False
        owned.last_seen = self._timers.now
        _update_state(owned, packet)
        if packet.first and self._context.admission is not None:
            self._context.admission.flow_suspension.reopen(flow)
        if not self._accounting.may_deliver(flow, owned, closing=owned.closing):
            return True
        self._deliver(packet.raw)
        if envelope.flags & UNCACHED and not packet.first:
            self._forwarder.notify_entry(envelope, packet)
        prober = _prober(envelope)
        if prober:
            self._announcer.send_pointer(prober, packet.flow)
        return True

    def _find_owner(self, envelope: Envelope, packet: InnerPacket) -> None:
        number = packet.key
        if self._follow_pointer(envelope, packet, number):
            return
        if envelope.flags & ADOPT_UNOWNED:
            if self._forwarder.has_returned(envelope):
                self._adopt(envelope, packet)
            else:
                self._forward(envelope, packet, number)
        elif self._may_be_own(envelope, packet):
            self._search_then_adopt(envelope, packet, number)
        elif packet.may_open:
            self._open_flow(envelope, packet, number)
        else:
            self._forward(envelope, packet, number)

    def _follow_pointer(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> bool:
        pointer = self.pointers.get(number, self._timers.now)
        if pointer is None or not _may_follow(envelope, pointer):
            return False
        # A sender that names this host as the owner is more reliable than a
        # pointer that only says where an earlier copy was forwarded.
        if not pointer.incarnation and self._is_named_owner(envelope):
            return False
        prober = _prober(envelope)
        if not self._forwarder.follow_pointer(envelope, pointer):
            return False
        if prober:
            self._announcer.send_pointer(prober, packet.flow, pointer)
        return True

    def _open_flow(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> None:
        """Admit a flow without a pointer, unless another host owns it."""
        if envelope.flags & PROBE and not self._forwarder.has_returned(
            envelope
        ):
            if not self._admit_in_race(envelope, packet):
                self._forward(envelope, packet, number)
            return
        if envelope.flags & PROBE:
            self._forwarder.reset_owner(envelope)
            envelope.flags |= PROBED
        elif not envelope.flags & PROBED:
            possible_owners = self._possible_owners(envelope, packet, number)
            if possible_owners and self._probes.start(
                packet.flow, self._timers.now
            ):
                flags = PROBE | UNCACHED
                self._forwarder.send_to_all(envelope, flags, possible_owners)
                return
        if not self._admit(envelope, packet):
            self._forward(envelope, packet, number)

    def _admit_in_race(self, envelope: Envelope, packet: InnerPacket) -> bool:
        """Admit a flow offered to two hosts at once, if this one has priority.

        Both hosts probe each other; the one with the lower address admits it.
        """
        prober = envelope.candidates[-1]
        if self._own_address > prober or not self._probes.is_in_flight(
            packet.flow,
            self._timers.now,
        ):
            return False
        return self._admit(envelope, packet)

    def _possible_owners(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> list[bytes]:
        hosts = self._history.possible_owners(
            number, self._name, first=packet.first
        )
        visited = envelope.candidates[: envelope.position]
        possible_owners = self._forwarder.addresses(hosts)
        return [
            address for address in possible_owners if address not in visited
        ]

    def _admit(self, envelope: Envelope, packet: InnerPacket) -> bool:
        admission = self._context.admission
        host = self._context.host
        if admission is None or host is None or not self._context.accepts_work:
            return False
        if not try_admit(
            envelope, admission, self.load_exchange.loads, host.weight
        ):
            return False
        self.flows.add(packet.flow, self._timers.now)
        self._probes.end(packet.flow)
        self._metrics.tally('flows_opened')
        self._deliver(packet.raw)
        # An entry expects to be notified unless it sent a first TCP packet
        # straight to this host.
        if envelope.hops or not packet.first:
            self._forwarder.notify_entry(envelope, packet)
        self._announcer.announce_new(packet.flow)
        return True

    def _is_named_owner(self, envelope: Envelope) -> bool:
        """Return whether the sender names an incarnation of this host."""
        named = bool(envelope.flags & OWNER_NAMED)
        return named and same_host(envelope.incarnation, self.incarnation)

    def _may_be_own(self, envelope: Envelope, packet: InnerPacket) -> bool:
        """Return whether an earlier incarnation may have owned a flow.

        This is possible if the sender names this host as the owner, or if this
        process started recently and the entry offered the packet here first.
        A restart of the sidecar alone does not affect the upstream's
        connections.
        """
        if packet.first:
            return False
        if envelope.flags & OWNER_NAMED:
            if packet.may_open and envelope.incarnation == self.incarnation:
                return False
            return self._is_named_owner(envelope)
        recovering = _REFILL_SECONDS < self.age < _RECOVERY_SECONDS
        first = envelope.position == 0 and not packet.may_open
        return recovering and first

    def _search_then_adopt(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> None:
        """Search all other hosts for a flow, and adopt it if none owns it."""
        others = self._forwarder.addresses(self._history.known(number))
        if others:
            flags = ADOPT_UNOWNED | UNCACHED
            self._forwarder.send_to_all(envelope, flags, others)
        else:
            self._adopt(envelope, packet)

    def _adopt(self, envelope: Envelope, packet: InnerPacket) -> None:
        """Adopt a flow that an earlier incarnation of this host owned.

        If the upstream has lost it too, it answers with a reset, which ends
        the caller's connection at once.
        """
        limits = self._context.limits
        charged = limits is not None and limits.connections.take()
        self.flows.adopt(packet.flow, self._timers.now, charged=charged)
        self._metrics.tally('flows_adopted')
        self._deliver(packet.raw)
        self._forwarder.notify_entry(envelope, packet)
        self._announcer.announce_new(packet.flow)

    def _forward(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> None:
        if envelope.flags & OWNER_NAMED:
            self._forwarder.reset_owner(envelope)
        opens = packet.may_open and not envelope.flags & (PROBE | ADOPT_UNOWNED)
        if opens:
            # The next host need not probe for the owner again.
            envelope.flags |= PROBED
            self._choose_candidates(envelope)
        receiver = self._forwarder.send_to_next(envelope)
        if receiver is None and not opens:
            history = self._history
            rank = history.fresh if packet.may_open else history.known
            self._forwarder.extend(envelope, rank(number))
            receiver = self._forwarder.send_to_next(envelope)
        if receiver is None:
            self._handle_no_receiver(envelope, packet, number, opens=opens)
        elif opens:
            self._add_forward_pointer(number, receiver)

    def _handle_no_receiver(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
        *,
        opens: bool,
    ) -> None:
        """Handle a packet for which no receiver is left; usually drop it.

        If the packet came in a probe and the prober can no longer be reached,
        it is offered to the pool like the packet of any new flow.
        """
        if opens:
            self._metrics.count(Drop.at_limit)
        elif not packet.may_open:
            self._metrics.count(Drop.unknown_flow)
        else:
            self._forwarder.reset_owner(envelope)
            envelope.flags |= PROBED
            if not self._admit(envelope, packet):
                self._forward(envelope, packet, number)

    def _choose_candidates(self, envelope: Envelope) -> None:
        limits = self._context.limits
        if limits is None:
            return
        has_room = self._context.accepts_work and limits.connections.room
        choose_candidates(
            envelope,
            self._own_address if has_room else None,
            self.load_exchange.loads,
            self._rng,
        )

    def _add_forward_pointer(self, number: int, receiver: bytes) -> None:
        """Store a short-lived pointer, so that copies of the packet follow."""
        self.pointers.put(
            number,
            Pointer(
                receiver,
                0,
                self._context.view.generation,
                self._timers.now + _FORWARD_POINTER_SECONDS,
            ),
        )

    def _forward_newer(self, envelope: Envelope) -> None:
        """Forward a packet of another service if its sender has a newer view.

        In the newer generation this host may serve that service. Without one
        the packet is dropped.
        """
        ahead = envelope.generation > self._context.view.generation
        if not ahead or not self._forwarder.send_to_next(envelope):
            self._metrics.count(Drop.wrong_service)

    def _forward_out_of_service(
        self, envelope: Envelope, packet: InnerPacket
    ) -> None:
        """Forward a packet while this data centre is out of service.

        The flows that this host owned have been abandoned.
        """
        number = packet.key
        pointer = self.pointers.get(number, self._timers.now)
        if pointer is not None and self._forwarder.follow_pointer(
            envelope, pointer
        ):
            return
        if packet.first:
            self._choose_candidates(envelope)
        if not self._forwarder.send_to_next(envelope):
            self._metrics.count(Drop.centre_out)

    def _deliver(self, raw: bytes) -> None:
        if self._upstream is not None:
            self._delivered[0] += 1
            self._upstream.sendto(raw)

    def _refresh(self) -> None:
        service = self._context.service
        self._service_ident = service.ident if service else 0
        self._endpoints = service_endpoints(service) if service else ()
        if service is None:
            self._accounting.abandon_all(GivenUp.removed)
            return
        if self._context.is_out:
            self._service_ident = 0
            self._accounting.abandon_all(GivenUp.centre_out)
            return
        self._accounting.abandon_reassigned(service)
        changed = self._history.update(self._context.router.ranks(service))
        if self._started is None:
            self._started = self._timers.now
            self._announcer.request_pointers()
        if changed:
            self._announcer.pool_changed()

    def _expire_pointers(self) -> None:
        self.pointers.expire(self._timers.now)


def _update_state(owned: OwnedFlow, packet: InnerPacket) -> None:
    """Mark the flow as open or closing by the packet's TCP flags."""
    if packet.first:
        owned.reopen()
    elif packet.closing or packet.is_reset:
        owned.close()


def _may_follow(envelope: Envelope, pointer: Pointer) -> bool:
    """Return whether a packet may be forwarded to a pointer's host.

    A pointer without an incarnation only says where a flow was forwarded; the
    flow may have been refused there. Its packets must not loop between hosts
    until the hop limit.
    """
    if pointer.incarnation:
        return True
    return (
        envelope.hops < _FORWARD_POINTER_HOPS
        and not envelope.flags & WHOLE_POOL
    )


def _prober(envelope: Envelope) -> bytes | None:
    """Return the address of a probe's sender, or None if it is no probe."""
    if envelope.flags & PROBE and envelope.candidates:
        return envelope.candidates[-1]
    return None
