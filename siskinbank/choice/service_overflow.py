"""Selection among the services of a route with several services.

Load pattern: a route is split 90 to 10 between two services. All hosts of the
first are busy and have queues, while those of the second are nearly idle.
Without overflow, nine flows in ten wait in the queues of the first service.
"""

from __future__ import annotations

from siskinbank.platform.records import weighted_service

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from siskinbank.tracking.hosts import TrackedHost

    #: The services of a route, each with its weight above 0.
    Shares = Sequence[tuple[str, float]]
    #: Returns the known hosts of a service.
    HostsOf = Callable[[str], list[TrackedHost]]

__all__ = ('select_other_service', 'select_service')

# Bits of the flow hash that select a service by weight. The overflow uses those
# above: flows that were selected for one service share a range of the lower.
_WEIGHT_BITS = 16


def select_service(
    shares: Shares,
    remembered: str,
    flow_hash: int,
    hosts_of: HostsOf,
    now: float,
) -> str:
    """Return the service that gets a copy of a first packet.

    The weights apply while the service that they select has a free slot. A
    flow goes to another service with free slots if it has none, or to one
    whose hosts accept flows if none of its own does.

    Args:
        shares: the services of the route in the configuration in force, at
            least one.
        remembered: the service that was selected for an earlier copy, empty if
            there is none. It keeps the flow while one of its hosts accepts
            flows and the configuration in force names it.
        flow_hash: hash of the flow's key.
        hosts_of: returns the known hosts of a service.
        now: time in seconds, on a clock that runs on during suspension.
    """
    if any(service == remembered for service, _ in shares):
        if any(not host.status.state for host in hosts_of(remembered)):
            return remembered
        selected = remembered
    else:
        selected = weighted_service(shares, flow_hash)
        if _has_free_slot(hosts_of(selected), now):
            return selected
    other = select_other_service(shares, selected, flow_hash, hosts_of, now)
    if other or _accepting(hosts_of(selected), now):
        return other or selected
    accepting = [
        share for share in shares if _accepting(hosts_of(share[0]), now)
    ]
    return _weighted_overflow(accepting, flow_hash) or selected


def select_other_service(
    shares: Shares,
    service: str,
    flow_hash: int,
    hosts_of: HostsOf,
    now: float,
) -> str:
    """Return another service of the route with free slots, empty if none has.

    Args:
        shares: the services of the route in the configuration in force.
        service: the service that can't serve the flow now.
        flow_hash: hash of the flow's key.
        hosts_of: returns the known hosts of a service.
        now: time in seconds, on a clock that runs on during suspension.
    """
    free = [
        share
        for share in shares
        if share[0] != service and _has_free_slot(hosts_of(share[0]), now)
    ]
    return _weighted_overflow(free, flow_hash)


def _weighted_overflow(shares: Shares, flow_hash: int) -> str:
    if not shares:
        return ''
    return weighted_service(shares, flow_hash >> _WEIGHT_BITS)


def _accepting(hosts: list[TrackedHost], now: float) -> list[TrackedHost]:
    """Return the hosts that accept flows and are not silent."""
    return [
        host
        for host in hosts
        if not host.status.state and not host.is_silent(now)
    ]


def _has_free_slot(hosts: list[TrackedHost], now: float) -> bool:
    """Return whether a host has a free slot.

    The flows that this entry has placed since the last status count as busy.
    """
    return any(
        host.status.busy + host.pending < host.status.slots
        for host in _accepting(hosts, now)
    )
