"""The flows that a sidecar owns, and the places they hold at the upstream."""

import socket
from collections.abc import Iterable

from siskinbank.config.site import Service
from siskinbank.kernel.reasons import Drop, GivenUp
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.flows import FlowTable, OwnedFlow
from siskinbank.wire.packets import read_ends

__all__ = ('FlowLedger', 'service_ends')


class FlowLedger:
    """Keeps owned flows and the upstream's limits in step.

    A flow is *charged* while it counts against the connection limit.
    """

    def __init__(self, context: SidecarContext) -> None:
        """Start without flows."""
        self._context = context
        self._metrics = context.process.metrics
        self.flows = FlowTable()
        context.owned_flows = self._charged

    def has_place(
        self,
        flow: bytes,
        owned: OwnedFlow,
        *,
        closing: bool,
    ) -> bool:
        """Whether the upstream bears a packet of an owned flow now."""
        admission = self._context.admission
        if admission is None or not owned.charged:
            return True
        if admission.places.admits(flow, closing=closing):
            return True
        self._metrics.count(Drop.upstream_cold)
        return False

    def give_up_all(self, reason: GivenUp) -> None:
        """Give up all flows at once."""
        self._give_up(self.flows.clear(), reason)

    def give_up_reassigned(self, service: Service) -> None:
        """Give up the flows to addresses that the service has lost."""
        ends = service_ends(service)
        gone = [flow for flow in self.flows if read_ends(flow) not in ends]
        removed = [self.flows.remove(flow) for flow in gone]
        self._give_up(
            [owned for owned in removed if owned is not None],
            GivenUp.reassigned,
        )

    def expire(self) -> None:
        """Forget the flows that were silent for too long."""
        gone = self.flows.expire(self._context.now)
        open_ones = [owned for owned in gone if not owned.closing]
        closed = [owned for owned in gone if owned.closing]
        self._give_up(open_ones, GivenUp.idle)
        self.give_back(closed)

    def give_back(self, gone: Iterable[OwnedFlow]) -> None:
        """Return the places of flows that are no longer owned."""
        admission = self._context.admission
        if admission is None:
            return
        for owned in gone:
            if owned.charged:
                admission.limits.connections.give_back()
        admission.places.keep_only(self.flows)

    def _charged(self) -> list[bytes]:
        owned = ((flow, self.flows.get(flow)) for flow in self.flows)
        return [flow for flow, known in owned if known and known.charged]

    def _give_up(self, gone: list[OwnedFlow], reason: GivenUp) -> None:
        if gone:
            self._metrics.count(reason, len(gone))
            self.give_back(gone)


def service_ends(service: Service) -> set[tuple[bytes, int]]:
    """Return the addresses and ports to which a service's packets go."""
    return {
        (socket.inet_aton(endpoint.address), endpoint.port)
        for endpoint in service.endpoints
        if endpoint.ingress == 'fou'
    }
