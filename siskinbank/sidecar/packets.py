"""Admit packets to the upstream, or pass them on to the flow's owner."""

import asyncio
import random

from siskinbank.config.site import Address, Service
from siskinbank.kernel.incarnation import make_incarnation, same_host
from siskinbank.kernel.reasons import Drop, GivenUp
from siskinbank.kernel.suspension import SuspensionGuard
from siskinbank.sidecar.announcer import Announcer, read_numbers
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.deflection import bears, next_candidates
from siskinbank.sidecar.exchange import LoadExchange
from siskinbank.sidecar.forwarder import Forwarder
from siskinbank.sidecar.flows import OwnedFlow, Pointer, Pointers
from siskinbank.sidecar.ledger import FlowLedger, service_ends
from siskinbank.sidecar.pool_history import PoolHistory
from siskinbank.sidecar.probes import Probes
from siskinbank.wire.loads import PoolLoad
from siskinbank.wire.flow_messages import Moved, Started
from siskinbank.wire.messages import Message
from siskinbank.wire.packets import (
    InnerPacket,
    parse_inner,
)
from siskinbank.wire.envelopes import (
    NAMED,
    ORPHAN,
    PROBE,
    PROBED,
    UNCACHED,
    URGENT,
    Envelope,
    read_owned,
)

__all__ = ('PacketHandler',)

_EXPIRE_SECONDS = 5
_MAX_POINTERS = 100_000
#: How long a flow that was passed on as new is sought where it went.
_PASSED_SECONDS = 10
#: The hop from which such a flow is not sought any more.
_PASSED_HOPS = 3
#: Within this time of a start the pool has refilled the pointers.
_REFILL_SECONDS = 2
#: How long after a start an unknown flow may be one of an earlier life.
_RECOVERY_SECONDS = 900
#: How long the pointers to a host are kept after it has restarted.
_RESTART_LEASE_SECONDS = 900


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
        self._delivered = self._metrics.cell('packets_delivered')
        self._timers = context.process.timers
        self._clock = self._timers.clock
        self._guard = SuspensionGuard(
            self._timers,
            lambda: context.view.list_age,
            lambda: context.view.fresh,
        )
        self._name = context.process.name
        self._started: float | None = None
        self._service = 0
        self.incarnation = make_incarnation(self._name)
        self._ledger = FlowLedger(context)
        self.flows = self._ledger.flows
        self.pointers = Pointers(_MAX_POINTERS)
        self._forwarder = Forwarder(context, self.incarnation)
        self._own = self._forwarder.own
        self._rng = random.Random(self._name)
        self.exchange = LoadExchange(context, self._rng)
        self._probes = Probes()
        self._history = PoolHistory(self._clock)
        self._announcer = Announcer(
            context,
            self.flows,
            self._history,
            self.incarnation,
        )
        context.peers.take_body = self.take_owned
        context.peers.on_envelope = self.receive
        context.peers.on_message = self.learn
        context.view.subscribe(self._refresh)
        self._timers.every(_EXPIRE_SECONDS, self._ledger.expire)
        self._timers.every(_EXPIRE_SECONDS, self._expire_pointers)

    @property
    def age(self) -> float:
        """Seconds since this process first knew its pool."""
        if self._started is None:
            return 0
        return self._timers.now - self._started

    def take_owned(self, body: bytes) -> bool:
        """Deliver a plain packet of an owned flow the short way.

        Returns:
            False when the packet needs more than that.
        """
        plain = read_owned(body, self._service)
        if plain is None:
            return False
        owned = self.flows.get(plain[0])
        now = self._clock()
        if owned is None or now > self._guard.until:
            return False
        owned.seen = now
        if self._ledger.has_place(plain[0], owned, closing=False):
            self._hand_over(plain[1])
        return True

    def receive(self, envelope: Envelope, _sender: Address) -> None:
        """Take a packet from an entry or another sidecar."""
        packet = parse_inner(envelope.raw)
        if packet is None:
            self._metrics.count(Drop.malformed)
            return
        if not self._guard.awake:
            self._metrics.count(Drop.stale_view)
            return
        if not _belongs(envelope, packet, self._context.service):
            self._pass_on_ahead(envelope)
        elif self._context.is_out:
            self._pass_on_out(envelope, packet)
        elif not self._deliver_owned(envelope, packet):
            self._find_owner(envelope, packet)

    def learn(self, received: Message, _sender: Address) -> None:
        """Take word of flows that live elsewhere, and of restarts."""
        if isinstance(received, PoolLoad):
            self.exchange.learn(received)
        elif isinstance(received, Moved | Started):
            self._learn_owners(received)

    def _learn_owners(self, received: Moved | Started) -> None:
        if received.service != self._service:
            self._metrics.count(Drop.wrong_service)
        elif isinstance(received, Moved):
            self._learn_moved(received)
        else:
            expires = self._timers.now + _RESTART_LEASE_SECONDS
            self.pointers.extend(
                received.address,
                received.incarnation,
                expires,
            )
            self._announcer.answer(received.address)

    def _learn_moved(self, received: Moved) -> None:
        if received.address == self._own:
            return
        pointer = Pointer(
            received.address,
            received.incarnation,
            received.generation,
            self._timers.now + received.lease_seconds,
        )
        for number in read_numbers(received.flows):
            self.pointers.put(number, pointer)

    def _deliver_owned(self, envelope: Envelope, packet: InnerPacket) -> bool:
        flow = packet.flow
        owned = self.flows.get(flow)
        if owned is None:
            return False
        if packet.first and owned.closing and not self._context.takes_work:
            self.flows.remove(flow)
            self._ledger.give_back((owned,))
            return False
        owned.seen = self._timers.now
        _note_ends(owned, packet)
        if packet.first and self._context.admission is not None:
            self._context.admission.places.reopen(flow)
        if not self._ledger.has_place(flow, owned, closing=owned.closing):
            return True
        self._hand_over(packet.raw)
        if envelope.flags & UNCACHED and not packet.first:
            self._forwarder.tell_entry(envelope, packet)
        prober = _prober(envelope)
        if prober:
            self._announcer.tell(prober, packet.flow)
        return True

    def _find_owner(self, envelope: Envelope, packet: InnerPacket) -> None:
        number = packet.key
        if self._follow_pointer(envelope, packet, number):
            return
        if envelope.flags & ORPHAN:
            if self._forwarder.is_last(envelope):
                self._adopt(envelope, packet)
            else:
                self._pass_on(envelope, packet, number)
        elif self._may_be_ours(envelope, packet):
            self._search_then_adopt(envelope, packet, number)
        elif packet.may_open:
            self._open(envelope, packet, number)
        else:
            self._pass_on(envelope, packet, number)

    def _follow_pointer(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> bool:
        pointer = self.pointers.get(number, self._timers.now)
        if pointer is None or not _may_follow(envelope, pointer):
            return False
        # Where a copy was passed on says less than who remembers us.
        if not pointer.incarnation and self._is_remembered(envelope):
            return False
        prober = _prober(envelope)
        if not self._forwarder.follow(envelope, pointer):
            return False
        if prober:
            self._announcer.tell(prober, packet.flow, pointer)
        return True

    def _open(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> None:
        """Take a flow that no pointer knows, unless another host owns it."""
        if envelope.flags & PROBE and not self._forwarder.is_last(envelope):
            if not self._wins_race(envelope, packet):
                self._pass_on(envelope, packet, number)
            return
        if envelope.flags & PROBE:
            self._forwarder.restart(envelope)
            envelope.flags |= PROBED
        elif not envelope.flags & PROBED:
            suspects = self._suspects(envelope, packet, number)
            if suspects and self._probes.start(packet.flow, self._timers.now):
                flags = PROBE | UNCACHED
                self._forwarder.send_to_all(envelope, flags, suspects)
                return
        if not self._admit(envelope, packet):
            self._pass_on(envelope, packet, number)

    def _wins_race(self, envelope: Envelope, packet: InnerPacket) -> bool:
        """Settle who takes a flow that two hosts were offered at once.

        Both ask each other; the lower address takes it.
        """
        prober = envelope.candidates[-1]
        if self._own > prober or not self._probes.is_open(
            packet.flow,
            self._timers.now,
        ):
            return False
        return self._admit(envelope, packet)

    def _suspects(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> list[bytes]:
        hosts = self._history.suspects(number, self._name, first=packet.first)
        visited = envelope.candidates[: envelope.position]
        suspects = self._forwarder.addresses(hosts)
        return [address for address in suspects if address not in visited]

    def _admit(self, envelope: Envelope, packet: InnerPacket) -> bool:
        admission = self._context.admission
        host = self._context.host
        if admission is None or host is None or not self._context.takes_work:
            return False
        if not bears(envelope, admission, self.exchange.loads, host.weight):
            return False
        self.flows.add(packet.flow, self._timers.now)
        self._probes.end(packet.flow)
        self._metrics.tally('flows_opened')
        self._hand_over(packet.raw)
        # An entry waits for an answer to anything but a first TCP packet.
        if envelope.hops or not packet.first:
            self._forwarder.tell_entry(envelope, packet)
        self._announcer.announce_new(packet.flow)
        return True

    def _is_remembered(self, envelope: Envelope) -> bool:
        """Whether somebody remembers that this host owned the flow."""
        named = bool(envelope.flags & NAMED)
        return named and same_host(envelope.incarnation, self.incarnation)

    def _may_be_ours(self, envelope: Envelope, packet: InnerPacket) -> bool:
        """Whether an unknown flow may have been owned here earlier.

        That is so when somebody remembers it, or when this process started
        lately and the entry offered the packet here first. A restart of the
        sidecar alone leaves the upstream's connections whole.
        """
        if packet.first:
            return False
        if envelope.flags & NAMED:
            if packet.may_open and envelope.incarnation == self.incarnation:
                return False
            return self._is_remembered(envelope)
        recovering = _REFILL_SECONDS < self.age < _RECOVERY_SECONDS
        first = envelope.position == 0 and not packet.may_open
        return recovering and first

    def _search_then_adopt(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> None:
        """Ask all others for a flow, and take it if it comes back."""
        others = self._forwarder.addresses(self._history.known(number))
        if others:
            flags = ORPHAN | UNCACHED
            self._forwarder.send_to_all(envelope, flags, others)
        else:
            self._adopt(envelope, packet)

    def _adopt(self, envelope: Envelope, packet: InnerPacket) -> None:
        """Take over a flow that this host owned in an earlier life.

        If the upstream has lost it too, it answers with a reset: the caller
        learns at once.
        """
        limits = self._context.limits
        charged = limits is not None and limits.connections.take()
        self.flows.adopt(packet.flow, self._timers.now, charged=charged)
        self._metrics.tally('flows_adopted')
        self._hand_over(packet.raw)
        self._forwarder.tell_entry(envelope, packet)
        self._announcer.announce_new(packet.flow)

    def _pass_on(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
    ) -> None:
        if envelope.flags & NAMED:
            self._forwarder.restart(envelope)
        opens = packet.may_open and not envelope.flags & (PROBE | ORPHAN)
        if opens:
            # Who is asked next need not ask again who owns the flow.
            envelope.flags |= PROBED
            self._choose_next(envelope)
        receiver = self._forwarder.send_to_next(envelope)
        if receiver is None and not opens:
            history = self._history
            rank = history.fresh if packet.may_open else history.known
            self._forwarder.extend(envelope, rank(number))
            receiver = self._forwarder.send_to_next(envelope)
        if receiver is None:
            self._end_search(envelope, packet, number, opens=opens)
        elif opens:
            self._remember_passed(number, receiver)

    def _end_search(
        self,
        envelope: Envelope,
        packet: InnerPacket,
        number: int,
        *,
        opens: bool,
    ) -> None:
        """Drop a packet that nobody can take.

        If it came in a probe whose prober can't be asked any more, it is still
        offered like that of any new flow.
        """
        if opens:
            self._metrics.count(Drop.at_limit)
        elif not packet.may_open:
            self._metrics.count(Drop.unknown_flow)
        else:
            self._forwarder.restart(envelope)
            envelope.flags |= PROBED
            if not self._admit(envelope, packet):
                self._pass_on(envelope, packet, number)

    def _choose_next(self, envelope: Envelope) -> None:
        limits = self._context.limits
        if limits is None:
            return
        has_room = self._context.takes_work and limits.connections.room
        next_candidates(
            envelope,
            self._own if has_room else None,
            self.exchange.loads,
            self._rng,
        )

    def _remember_passed(self, number: int, receiver: bytes) -> None:
        """Send a copy of a new flow's packet the same way, for a while."""
        self.pointers.put(
            number,
            Pointer(
                receiver,
                0,
                self._context.view.generation,
                self._timers.now + _PASSED_SECONDS,
            ),
        )

    def _pass_on_ahead(self, envelope: Envelope) -> None:
        """Pass on what a process with a newer generation sent too early.

        A packet of another service is dropped.
        """
        ahead = envelope.generation > self._context.view.generation
        if not ahead or not self._forwarder.send_to_next(envelope):
            self._metrics.count(Drop.wrong_service)

    def _pass_on_out(self, envelope: Envelope, packet: InnerPacket) -> None:
        """Pass on what lives elsewhere; what lived here was given up."""
        number = packet.key
        pointer = self.pointers.get(number, self._timers.now)
        if pointer is not None and self._forwarder.follow(envelope, pointer):
            return
        if packet.first:
            self._choose_next(envelope)
        if not self._forwarder.send_to_next(envelope):
            self._metrics.count(Drop.centre_out)

    def _hand_over(self, raw: bytes) -> None:
        if self._upstream is not None:
            self._delivered[0] += 1
            self._upstream.sendto(raw)

    def _refresh(self) -> None:
        service = self._context.service
        self._service = service.ident if service else 0
        if service is None:
            self._ledger.give_up_all(GivenUp.removed)
            return
        if self._context.is_out:
            self._service = 0
            self._ledger.give_up_all(GivenUp.centre_out)
            return
        self._ledger.give_up_reassigned(service)
        changed = self._history.update(self._context.router.ranks(service))
        if self._started is None:
            self._started = self._timers.now
            self._announcer.started()
        if changed:
            self._announcer.pool_changed()

    def _expire_pointers(self) -> None:
        self.pointers.expire(self._timers.now)


def _note_ends(owned: OwnedFlow, packet: InnerPacket) -> None:
    """Note whether the packet opens the flow anew, or closes it."""
    if packet.first:
        owned.reopen()
    elif packet.closing or packet.last:
        owned.close()


def _may_follow(envelope: Envelope, pointer: Pointer) -> bool:
    """Whether to go where a pointer says.

    A flow that was only passed on may have been refused there. Its packet must
    not go round in circles until its hops are used up.
    """
    if pointer.incarnation:
        return True
    return envelope.hops < _PASSED_HOPS and not envelope.flags & URGENT


def _prober(envelope: Envelope) -> bytes | None:
    """Return the host that asks whether its candidates own a flow."""
    if envelope.flags & PROBE and envelope.candidates:
        return envelope.candidates[-1]
    return None


def _belongs(
    envelope: Envelope,
    packet: InnerPacket,
    service: Service | None,
) -> bool:
    if service is None or envelope.service != service.ident:
        return False
    return (packet.target, packet.target_port) in service_ends(service)
