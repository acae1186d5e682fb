"""Forward envelopes to other sidecars, within the hop limit."""

from collections.abc import Iterable

from siskinbank.config.site import Host
from siskinbank.kernel.reasons import Drop
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.flows import Pointer
from siskinbank.wire.envelopes import (
    ADOPT_UNOWNED,
    MAX_CANDIDATES,
    OWNER_NAMED,
    PROBE,
    UNCACHED,
    Envelope,
)
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.packets import (
    InnerPacket,
    pack_address,
    unpack_address,
)

__all__ = ('MAX_HOPS', 'Forwarder')

MAX_HOPS = 12


class Forwarder:
    """Forwards packets of one sidecar and notifies entries of flow owners."""

    def __init__(self, context: SidecarContext, incarnation: int) -> None:
        """Initialize the forwarder of the sidecar of ``context``."""
        self._context = context
        self._router = context.router
        self._metrics = context.process.metrics
        self._incarnation = incarnation
        self.own_address = pack_address(context.settings.bind)

    def send(self, envelope: Envelope, receiver: bytes) -> None:
        """Forward an envelope, unless it has reached the hop limit."""
        envelope.hops += 1
        if envelope.hops > MAX_HOPS:
            self._metrics.count(Drop.hop_limit)
            return
        self._metrics.tally('packets_passed_on')
        self._context.peers.send_envelope(envelope, unpack_address(receiver))

    def send_to_next(self, envelope: Envelope) -> bytes | None:
        """Forward an envelope to its next candidate; return its address.

        Returns None if no candidate is left.
        """
        candidates = envelope.candidates
        for position in range(envelope.position + 1, len(candidates)):
            receiver = candidates[position]
            if receiver != self.own_address and self._router.allows(
                receiver,
                envelope.generation,
            ):
                envelope.position = position
                self.send(envelope, receiver)
                return receiver
        return None

    def send_to_all(
        self,
        envelope: Envelope,
        flags: int,
        others: list[bytes],
    ) -> None:
        """Send an envelope through ``others`` in turn and back to this host."""
        envelope.flags = flags
        envelope.incarnation = 0
        room = min(MAX_HOPS - 1 - envelope.hops, MAX_CANDIDATES - 2)
        envelope.candidates = (*others[: max(room, 1)], self.own_address)
        envelope.position = 0
        self.send(envelope, others[0])

    def follow_pointer(self, envelope: Envelope, pointer: Pointer) -> bool:
        """Forward an envelope by a pointer; return whether it was sent."""
        searching = envelope.flags & (ADOPT_UNOWNED | PROBE)
        if searching and pointer.address in envelope.candidates:
            # If the probing host itself owned the flow in an earlier
            # incarnation, it gets the packet back with that incarnation.
            searcher = envelope.candidates[-1] == pointer.address
            if envelope.flags & ADOPT_UNOWNED or not (
                searcher and pointer.incarnation
            ):
                return False
        if not self._router.allows(pointer.address, pointer.generation):
            return False
        envelope.flags = OWNER_NAMED | UNCACHED
        envelope.incarnation = pointer.incarnation
        envelope.candidates = (pointer.address,)
        envelope.position = 0
        self.send(envelope, pointer.address)
        return True

    def reset_owner(self, envelope: Envelope) -> None:
        """Clear the owner named in an envelope, because it was wrong."""
        envelope.flags = UNCACHED
        envelope.incarnation = 0
        envelope.candidates = (self.own_address,)
        envelope.position = 0

    def extend(self, envelope: Envelope, hosts: Iterable[Host]) -> None:
        """Append the ``hosts`` that are not yet candidates."""
        known = dict.fromkeys((*envelope.candidates, self.own_address))
        known.update(dict.fromkeys(self.addresses(hosts)))
        added = tuple(known)[len(envelope.candidates) :]
        envelope.candidates = (*envelope.candidates, *added)[:MAX_CANDIDATES]

    def addresses(self, hosts: Iterable[Host]) -> list[bytes]:
        """Return the packed addresses of other hosts that the router allows."""
        packed = dict.fromkeys(pack_address(host.address) for host in hosts)
        return [
            address
            for address in packed
            if address != self.own_address and self._router.allows(address)
        ]

    def has_returned(self, envelope: Envelope) -> bool:
        """Return whether an envelope is back after visiting all candidates."""
        return (
            envelope.position == len(envelope.candidates) - 1
            and envelope.candidates[-1] == self.own_address
        )

    def notify_entry(self, envelope: Envelope, packet: InnerPacket) -> None:
        """Notify the entry that this host owns the packet's flow."""
        owner = Owner(
            packet.flow,
            self.own_address,
            self._incarnation,
            self._context.view.generation,
        )
        receiver = unpack_address(envelope.entry)
        self._context.peers.send_message(owner, receiver)
