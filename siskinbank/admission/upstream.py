"""Admission control of one upstream: limits, suspended flows, health."""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

from siskinbank.admission.flow_suspension import FlowSuspension
from siskinbank.admission.health_monitor import HealthMonitor, Verdict
from siskinbank.admission.limit import ClimbingLimit
from siskinbank.config.site import Service
from siskinbank.kernel.clock import Clock

__all__ = ('Limits', 'OwnedFlows', 'UpstreamAdmission', 'make_admission')

#: Returns the open flows of the upstream.
OwnedFlows = Callable[[], Iterable[Hashable]]


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one upstream, shared by all ingresses."""

    connections: ClimbingLimit
    slots: ClimbingLimit

    def restart(self) -> None:
        """Drop to the cold limits."""
        self.connections.restart()
        self.slots.restart()

    def apply_configuration(self, service: Service) -> None:
        """Apply a changed configuration."""
        cold = service.cold
        warm_up = cold.warm_up_seconds
        self.connections.change(cold.connections, service.connections, warm_up)
        self.slots.change(cold.slots, service.slots, warm_up)


@dataclass(slots=True)
class UpstreamAdmission:
    """Admission state of one upstream, and the monitor that updates it."""

    limits: Limits
    flow_suspension: FlowSuspension
    health_monitor: HealthMonitor
    owned_flows: OwnedFlows

    @property
    def load(self) -> int:
        """The open connections, without those that are closing."""
        return self.limits.connections.in_use - self.flow_suspension.closing

    def turn_cold(self) -> None:
        """Restart from the cold limits and suspend the open flows."""
        self.limits.restart()
        self.flow_suspension.suspend(self.owned_flows())


def make_admission(
    service: Service,
    clock: Clock,
    on_verdict: Callable[[Verdict], None],
    owned_flows: OwnedFlows = tuple,
) -> UpstreamAdmission:
    """Return the admission state of a cold upstream.

    Args:
        service: the service, with its limits.
        clock: the time in seconds.
        on_verdict: called with each verdict after it was applied.
        owned_flows: returns the upstream's open flows.
    """
    cold = service.cold
    limits = Limits(
        ClimbingLimit(
            cold.connections,
            service.connections,
            cold.warm_up_seconds,
            clock,
            paced=True,
        ),
        ClimbingLimit(cold.slots, service.slots, cold.warm_up_seconds, clock),
    )

    def apply_verdict(verdict: Verdict) -> None:
        if verdict in {Verdict.cold, Verdict.back}:
            admission.turn_cold()
        elif verdict is Verdict.trouble:
            limits.connections.lower()
            limits.slots.lower()
        elif verdict is Verdict.unreachable:
            limits.connections.block()
            limits.slots.block()
        on_verdict(verdict)

    admission = UpstreamAdmission(
        limits,
        FlowSuspension(limits.connections, clock),
        HealthMonitor(clock, apply_verdict, 2 * max(cold.warm_up_seconds, 1)),
        owned_flows,
    )
    return admission
