"""Builds the host records that a reader of the store sends to sidecars."""

from __future__ import annotations

from siskinbank.relay import messages

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.follower import StoreFollower

__all__ = ('record_for',)


def record_for(
    follower: StoreFollower,
    ip: str,
    now: float,
) -> messages.Record | None:
    """Return the record message for the host at an IP address.

    Returns:
        None if the host has no record in the store, but may be registered
        again after an outage of the store, or if this process knows no hosts.
    """
    host = follower.hosts.get(ip)
    if not follower.hosts_position:
        return None
    if host is None and not follower.absence_is_reliable():
        return None
    record = messages.Record()
    record.position = follower.hosts_position
    record.age_s = now - follower.hosts_read_at
    record.version = follower.configuration.version
    record.idle_timeout_s = follower.configuration.idle_timeout_s
    if follower.operator_position:
        record.flags |= messages.OPERATOR_READ
        record.operator_position = follower.operator_position
        record.operator_age_s = now - follower.operator_read_at
    if host is None:
        return record
    record.flags |= messages.REGISTERED
    if host.draining:
        record.flags |= messages.DRAINING
    if follower.is_evacuated(host.data_centre):
        record.flags |= messages.EVACUATED
    record.service = messages.digest(host.service)
    record.slots = host.slots
    record.born_ms = host.born_ms
    record.cold_s = max(0, host.cold_s - record.age_s)
    warm_up = follower.configuration.warm_ups.get(host.service)
    if warm_up:
        record.cold_per_s = warm_up.cold_requests_per_s
    return record
