"""The flows that a sidecar owns, counted against the upstream's limits."""

import socket
from collections.abc import Iterable

from siskinbank.config.site import Service
from siskinbank.kernel.reasons import Drop, GivenUp
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.flows import FlowTable, OwnedFlow
from siskinbank.wire.packets import flow_target

__all__ = ('FlowAccounting', 'service_endpoints')


class FlowAccounting:
    """Keeps the upstream's connection count in step with the owned flows.

    A flow is *charged* while it counts against the connection limit.
    """

    def __init__(self, context: SidecarContext) -> None:
        """Initialize the accounting without flows."""
        self._context = context
        self._metrics = context.process.metrics
        self.flows = FlowTable()
        context.owned_flows = self._charged_flows

    def may_deliver(
        self,
        flow: bytes,
        owned: OwnedFlow,
        *,
        closing: bool,
    ) -> bool:
        """Return whether a packet of an owned flow may be delivered now."""
        admission = self._context.admission
        if admission is None or not owned.charged:
            return True
        if admission.flow_suspension.admits(flow, closing=closing):
            return True
        self._metrics.count(Drop.upstream_cold)
        return False

    def abandon_all(self, reason: GivenUp) -> None:
        """Abandon all flows."""
        self._abandon(self.flows.clear(), reason)

    def abandon_reassigned(self, service: Service) -> None:
        """Abandon the flows to addresses that the service no longer has."""
        endpoints = service_endpoints(service)
        reassigned = [
            flow for flow in self.flows if flow_target(flow) not in endpoints
        ]
        removed = [self.flows.remove(flow) for flow in reassigned]
        self._abandon(
            [owned for owned in removed if owned is not None],
            GivenUp.reassigned,
        )

    def expire(self) -> None:
        """Remove the flows whose idle timeout has passed."""
        removed_flows = self.flows.expire(self._context.now)
        still_open = [owned for owned in removed_flows if not owned.closing]
        closed = [owned for owned in removed_flows if owned.closing]
        self._abandon(still_open, GivenUp.idle)
        self.release(closed)

    def release(self, removed_flows: Iterable[OwnedFlow]) -> None:
        """Release the connections of flows that are no longer owned."""
        admission = self._context.admission
        if admission is None:
            return
        for owned in removed_flows:
            if owned.charged:
                admission.limits.connections.give_back()
        admission.flow_suspension.keep_only(self.flows)

    def _charged_flows(self) -> list[bytes]:
        owned = ((flow, self.flows.get(flow)) for flow in self.flows)
        return [flow for flow, known in owned if known and known.charged]

    def _abandon(self, removed_flows: list[OwnedFlow], reason: GivenUp) -> None:
        if removed_flows:
            self._metrics.count(reason, len(removed_flows))
            self.release(removed_flows)


def service_endpoints(service: Service) -> set[tuple[bytes, int]]:
    """Return the addresses and ports to which a service's packets go."""
    return {
        (socket.inet_aton(endpoint.address), endpoint.port)
        for endpoint in service.endpoints
        if endpoint.ingress == 'fou'
    }
