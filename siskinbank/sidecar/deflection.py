"""Decide whether to admit a first packet or forward it to another host."""

import random

from siskinbank.admission.balance import PoolLoads
from siskinbank.admission.upstream import UpstreamAdmission
from siskinbank.wire.envelopes import MAX_CANDIDATES, WHOLE_POOL, Envelope

__all__ = ('choose_candidates', 'try_admit')

#: Hosts with room that are asked after the entry's candidates; the first
#: ``_FAIR_FALLBACK_HOSTS`` of them still refuse above their fair load.
_FALLBACK_HOSTS = 4
_FAIR_FALLBACK_HOSTS = 2
#: The hop from which a host with room admits a first packet at any load.
_ADMIT_HOP = 9
#: Below this share of its full connection limit a host counts as idle and
#: forwards nothing.
_IDLE_SHARE = 0.02
#: The hop from which a packet with ``WHOLE_POOL`` gets no new round of
#: candidates, but one further host at a time up to the hop limit.
_LAST_CHOICE_HOP = 10


def try_admit(
    envelope: Envelope,
    admission: UpstreamAdmission,
    loads: PoolLoads,
    weight: float,
) -> bool:
    """Reserve a connection for a first packet; return whether it succeeded.

    Above its fair load a host admits only packets that the other candidates
    could not admit.
    """
    if not _is_last_attempt(envelope):
        load = admission.load
        idle_load = admission.limits.connections.full * _IDLE_SHARE
        if load >= max(idle_load, loads.fair_load(load, weight)):
            return False
    return admission.limits.connections.take()


def _is_last_attempt(envelope: Envelope) -> bool:
    if envelope.hops >= _ADMIT_HOP:
        return True
    position = envelope.position
    visited = envelope.candidates[:position]
    remaining = [
        address
        for address in envelope.candidates[position:]
        if address not in visited
    ]
    is_fallback = len(remaining) <= _FALLBACK_HOSTS - _FAIR_FALLBACK_HOSTS
    return bool(envelope.flags & WHOLE_POOL) and is_fallback


def choose_candidates(
    envelope: Envelope,
    own_address: bytes | None,
    loads: PoolLoads,
    rng: random.Random,
) -> None:
    """Replace a first packet's candidates by the hosts to ask next.

    The least loaded of the remaining candidates is asked first. After that the
    packet gets the flag ``WHOLE_POOL``: hosts of the whole pool that have room
    are asked, less loaded ones first, and this host last. A pool that is known
    to be full is not asked. A host that has room but refuses a packet with this
    flag, because of its fair load, is asked again after the others: reports are
    up to a second old, and the others may have become full.

    Args:
        envelope: the first packet.
        own_address: this sidecar's address, or None if it has no room.
        loads: the known loads of the pool.
        rng: source of randomness for the selection of hosts.
    """
    position = envelope.position + 1
    others = loads.filter_accepting(envelope.candidates[position:])
    if envelope.flags & WHOLE_POOL and (
        others or envelope.hops >= _LAST_CHOICE_HOP
    ):
        _append_own(envelope, own_address)
        if not others:
            _append_last_choice(envelope, loads)
        return
    if others and not envelope.position:
        second = loads.sort(others)[0]
        loads.count_forwarded(second)
        envelope.candidates = (envelope.candidates[0], second)
        return
    envelope.flags |= WHOLE_POOL
    envelope.candidates = _fallback_hosts(own_address, loads, rng)
    envelope.position = -1


def _append_own(envelope: Envelope, own_address: bytes | None) -> None:
    """Ask this host again last, if it has room and was not asked twice."""
    if own_address is None or len(envelope.candidates) >= MAX_CANDIDATES:
        return
    if envelope.candidates.count(own_address) < 2:
        envelope.candidates = (*envelope.candidates, own_address)


def _append_last_choice(envelope: Envelope, loads: PoolLoads) -> None:
    """Ask a host that was not asked yet, if one is known to have room."""
    if len(envelope.candidates) >= MAX_CANDIDATES:
        return
    address = loads.most_room(envelope.candidates)
    if address is not None:
        loads.count_forwarded(address)
        envelope.candidates = (*envelope.candidates, address)


def _fallback_hosts(
    own_address: bytes | None,
    loads: PoolLoads,
    rng: random.Random,
) -> tuple[bytes, ...]:
    addresses = loads.with_room(rng, _FALLBACK_HOSTS)
    for address in addresses[:_FAIR_FALLBACK_HOSTS]:
        loads.count_forwarded(address)
    if own_address is not None:
        addresses = [*addresses[: _FALLBACK_HOSTS - 1], own_address]
    return tuple(addresses)
