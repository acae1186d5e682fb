"""Which sidecar takes a first packet: this one, or a less loaded one."""

import random

from siskinbank.admission.balance import PoolLoads
from siskinbank.admission.upstream import UpstreamAdmission
from siskinbank.wire.envelopes import URGENT, Envelope

__all__ = ('bears', 'next_candidates')

#: Hosts with room that are asked after the entry's candidates; the first ones
#: still refuse above their fair load.
_ASKED = 4
_BALANCED = 2
#: The hop from which a host with room takes a first packet at any load.
_LAST_HOP = 9
#: Below this share of its full limit a host is quiet and passes nothing on.
_QUIET_SHARE = 0.02
#: The hop from which an urgent packet gets no further hosts to ask.
_LAST_PLAN_HOP = 10


def bears(
    envelope: Envelope,
    admission: UpstreamAdmission,
    loads: PoolLoads,
    weight: float,
) -> bool:
    """Take a place for a first packet if it fits here.

    Above its fair load a host takes only what the candidates could not.
    """
    if not _is_last_chance(envelope):
        load = admission.load
        quiet = admission.limits.connections.full * _QUIET_SHARE
        if load >= max(quiet, loads.fair_load(load, weight)):
            return False
    return admission.limits.connections.take()


def _is_last_chance(envelope: Envelope) -> bool:
    if envelope.hops >= _LAST_HOP:
        return True
    left = len(envelope.candidates) - envelope.position
    asked_last = left <= _ASKED - _BALANCED
    return bool(envelope.flags & URGENT) and asked_last


def next_candidates(
    envelope: Envelope,
    own: bytes | None,
    loads: PoolLoads,
    rng: random.Random,
) -> None:
    """Change a first packet's candidates to the hosts to ask next.

    Of the candidates that are left, the least loaded one is asked. Then the
    packet is urgent: hosts of the whole pool that have room are
    asked, less loaded ones first, and at the end this one. A pool that is
    known to be full is not asked.

    Args:
        envelope: the first packet.
        own: this sidecar's address, or None if it has no room.
        loads: what is known of the pool.
        rng: draws hosts.
    """
    position = envelope.position + 1
    left = loads.among(envelope.candidates[position:])
    if envelope.flags & URGENT and (left or envelope.hops >= _LAST_PLAN_HOP):
        return
    if left and not envelope.position:
        second = loads.sort(left)[0]
        loads.expect(second)
        envelope.candidates = (envelope.candidates[0], second)
        return
    envelope.flags |= URGENT
    envelope.candidates = _last_resort(own, loads, rng)
    envelope.position = -1


def _last_resort(
    own: bytes | None,
    loads: PoolLoads,
    rng: random.Random,
) -> tuple[bytes, ...]:
    asked = loads.with_room(rng, _ASKED)
    for address in asked[:_BALANCED]:
        loads.expect(address)
    if own is not None:
        asked = [*asked[: _ASKED - 1], own]
    return tuple(asked)
