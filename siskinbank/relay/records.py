"""What a reader of the store tells the sidecar of a host."""

from __future__ import annotations

from siskinbank.relay import messages

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.follower import Follower

__all__ = ('record_for',)


def record_for(
    follower: Follower,
    ip: str,
    now: float,
) -> messages.Record | None:
    """Put together what the store says of the host at an address.

    Returns:
        None while the host's absence from the store says nothing.
    """
    host = follower.hosts.get(ip)
    if host is None and not follower.trusts_absence():
        return None
    record = messages.Record()
    record.revision = follower.hosts_revision
    record.age_s = now - follower.hosts_seen
    record.version = follower.configuration.version
    if follower.operator_revision:
        record.flags |= messages.OPERATOR
        record.operator_revision = follower.operator_revision
    if host is None:
        return record
    record.flags |= messages.REGISTERED
    if host.draining:
        record.flags |= messages.DRAINING
    if host.data_centre in follower.out:
        record.flags |= messages.OUT
    record.service = messages.digest(host.service)
    record.slots = host.slots
    record.born_ms = host.born_ms
    record.cold_s = max(0, host.cold_s - record.age_s)
    warmth = follower.configuration.warmths.get(host.service)
    if warmth:
        record.cold_per_s = warmth.per_s
    return record
