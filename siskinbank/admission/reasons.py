"""Reasons for refusing a flow; the numbers are part of the protocol."""

from __future__ import annotations

__all__ = (
    'BUSY',
    'COLD',
    'DRAINING',
    'ENDED',
    'EVACUATED',
    'FULL',
    'HOST_REFUSED',
    'HOST_SPECIFIC',
    'NAMES',
    'NONE',
    'OTHER_SERVICE',
    'REFUSING',
    'SHORT_LIVED',
    'STOPPING',
    'TRANSIENT',
    'UNREACHABLE',
    'UNREGISTERED',
    'name_of',
)

NONE = 0
OTHER_SERVICE = 1
DRAINING = 2
# The operator has evacuated the data centre.
EVACUATED = 3
STOPPING = 4
UNREACHABLE = 5
UNREGISTERED = 6
COLD = 7
# The shortest expected wait exceeds the time limit of the request, or the host
# is not trusted and gets no trial flow now.
BUSY = 8
HOST_REFUSED = 9
# The queue is full now, but has room before the time limit.
FULL = 10
# The host refuses every first packet at present.
REFUSING = 11
# The sidecar stops, and its host has ended and holds no flows any more.
ENDED = 12

NAMES = (
    'none',
    'other-service',
    'draining',
    'data-centre-out',
    'stopping',
    'host-unreachable',
    'unregistered',
    'cold',
    'busy',
    'host-refused',
    'full',
    'host-refusing',
    'host-ended',
)

# Reasons that may no longer hold at the next packet; the others hold until the
# next status update.
TRANSIENT = frozenset((COLD, BUSY, HOST_REFUSED, FULL))
# Reasons that end before a client abandons its first packet.
SHORT_LIVED = frozenset((COLD, FULL, UNREACHABLE, REFUSING))
# Reasons for which hosts other than those asked may accept the flow.
HOST_SPECIFIC = frozenset(
    (
        OTHER_SERVICE,
        DRAINING,
        EVACUATED,
        STOPPING,
        UNREACHABLE,
        UNREGISTERED,
        HOST_REFUSED,
        REFUSING,
        ENDED,
    ),
)


def name_of(reason: int) -> str:
    """Return a reason as text; reasons of a newer version are unknown."""
    return NAMES[reason] if reason < len(NAMES) else 'unknown'
