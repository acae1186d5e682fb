"""Send envelopes on to other sidecars, within the hop limit."""

from collections.abc import Iterable

from siskinbank.config.site import Host
from siskinbank.kernel.reasons import Drop
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.flows import Pointer
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.packets import (
    InnerPacket,
    pack_address,
    unpack_address,
)
from siskinbank.wire.envelopes import (
    MAX_CANDIDATES,
    NAMED,
    ORPHAN,
    PROBE,
    UNCACHED,
    Envelope,
)

__all__ = ('MAX_HOPS', 'Forwarder')

MAX_HOPS = 12


class Forwarder:
    """Passes packets on for one sidecar, and tells entries who owns them."""

    def __init__(self, context: SidecarContext, incarnation: int) -> None:
        """Send for the sidecar of ``context``."""
        self._context = context
        self._router = context.router
        self._metrics = context.process.metrics
        self._incarnation = incarnation
        self.own = pack_address(context.settings.bind)

    def send(self, envelope: Envelope, receiver: bytes) -> None:
        """Send an envelope on, unless it went too far already."""
        envelope.hops += 1
        if envelope.hops > MAX_HOPS:
            self._metrics.count(Drop.hop_limit)
            return
        self._metrics.tally('packets_passed_on')
        self._context.peers.send_envelope(envelope, unpack_address(receiver))

    def send_to_next(self, envelope: Envelope) -> bytes | None:
        """Send an envelope to its next candidate; return who that is."""
        candidates = envelope.candidates
        for position in range(envelope.position + 1, len(candidates)):
            receiver = candidates[position]
            if receiver != self.own and self._router.allows(
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
        """Send an envelope round ``others`` and back to this host."""
        envelope.flags = flags
        envelope.incarnation = 0
        room = min(MAX_HOPS - 1 - envelope.hops, MAX_CANDIDATES - 2)
        envelope.candidates = (*others[: max(room, 1)], self.own)
        envelope.position = 0
        self.send(envelope, others[0])

    def follow(self, envelope: Envelope, pointer: Pointer) -> bool:
        """Send an envelope where a pointer says; return whether it may go."""
        going_round = envelope.flags & (ORPHAN | PROBE)
        if going_round and pointer.address in envelope.candidates:
            # One who asks for a flow of its own earlier life is told so.
            asker = envelope.candidates[-1] == pointer.address
            if envelope.flags & ORPHAN or not (asker and pointer.incarnation):
                return False
        if not self._router.allows(pointer.address, pointer.generation):
            return False
        envelope.flags = NAMED | UNCACHED
        envelope.incarnation = pointer.incarnation
        envelope.candidates = (pointer.address,)
        envelope.position = 0
        self.send(envelope, pointer.address)
        return True

    def restart(self, envelope: Envelope) -> None:
        """Forget who was named as the owner, as that was wrong."""
        envelope.flags = UNCACHED
        envelope.incarnation = 0
        envelope.candidates = (self.own,)
        envelope.position = 0

    def extend(self, envelope: Envelope, hosts: Iterable[Host]) -> None:
        """Append the candidates that only this host knows of."""
        known = dict.fromkeys((*envelope.candidates, self.own))
        known.update(dict.fromkeys(self.addresses(hosts)))
        added = tuple(known)[len(envelope.candidates) :]
        envelope.candidates = (*envelope.candidates, *added)[:MAX_CANDIDATES]

    def addresses(self, hosts: Iterable[Host]) -> list[bytes]:
        """Return the packed addresses of other hosts that may be asked."""
        packed = dict.fromkeys(pack_address(host.address) for host in hosts)
        return [
            address
            for address in packed
            if address != self.own and self._router.allows(address)
        ]

    def is_last(self, envelope: Envelope) -> bool:
        """Whether an envelope went round and has come back."""
        return (
            envelope.position == len(envelope.candidates) - 1
            and envelope.candidates[-1] == self.own
        )

    def tell_entry(self, envelope: Envelope, packet: InnerPacket) -> None:
        """Tell the entry that this host owns the packet's flow."""
        told = Owner(
            packet.flow,
            self.own,
            self._incarnation,
            self._context.view.generation,
        )
        receiver = unpack_address(envelope.entry)
        self._context.peers.send_message(told, receiver)
