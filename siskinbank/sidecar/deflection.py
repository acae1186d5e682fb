"""Which sidecar takes a first packet: this one, or a less loaded one."""

from collections.abc import Sequence

from siskinbank.admission.balance import PoolLoads
from siskinbank.admission.limit import ClimbingLimit
from siskinbank.admission.upstream import UpstreamAdmission
from siskinbank.wire.packets import URGENT, Envelope

__all__ = ('bears', 'next_candidates')

#: Hosts beyond the entry's candidates that are asked before a refusal.
_LEAST_LOADED = 1
_MOST_ROOM = 2


def bears(
    envelope: Envelope,
    admission: UpstreamAdmission,
    loads: PoolLoads,
    weight: float,
) -> bool:
    """Take a place for a first packet if it fits here.

    Above its fair load a host takes only what the candidates could not.
    """
    if not envelope.flags & URGENT:
        load = admission.load
        if load and load >= loads.fair_load(load, weight):
            return False
    return admission.limits.connections.take()


def next_candidates(
    envelope: Envelope,
    own: bytes,
    connections: ClimbingLimit,
    loads: PoolLoads,
) -> None:
    """Change a first packet's candidates to the hosts to ask next.

    The candidates that are left are asked by load. After the last one the
    packet is urgent: the least loaded host of the whole pool is asked, then
    those with the most room, and at the end this one if it has room.
    """
    position = envelope.position + 1
    left = envelope.candidates[position:]
    if left:
        sorted_left = loads.sort(left)
        loads.expect(sorted_left[0])
        envelope.candidates = (*envelope.candidates[:position], *sorted_left)
    elif not envelope.flags & URGENT:
        envelope.flags |= URGENT
        envelope.candidates = _last_resort(own, connections, loads)
        envelope.position = -1


def _last_resort(
    own: bytes,
    connections: ClimbingLimit,
    loads: PoolLoads,
) -> tuple[bytes, ...]:
    least: Sequence[bytes] = loads.least_loaded(_LEAST_LOADED)
    roomy = loads.most_room(_MOST_ROOM + _LEAST_LOADED)
    others = [address for address in roomy if address not in least]
    asked = [*least, *others[:_MOST_ROOM]]
    if connections.room:
        asked[-1:] = [own]
    return tuple(asked)
