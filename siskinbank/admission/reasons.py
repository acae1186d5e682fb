"""Why a flow is not taken; the numbers go over the wire."""

from __future__ import annotations

__all__ = (
    'BUSY',
    'COLD',
    'DRAINING',
    'FULL',
    'HOST_REFUSED',
    'LOCAL',
    'NAMES',
    'NONE',
    'OTHER_SERVICE',
    'OUT',
    'PASSING',
    'REFUSING',
    'SHORT',
    'STOPPING',
    'UNREACHABLE',
    'UNREGISTERED',
    'name_of',
)

NONE = 0
OTHER_SERVICE = 1
DRAINING = 2
# The operator took the data centre out.
OUT = 3
STOPPING = 4
UNREACHABLE = 5
UNREGISTERED = 6
COLD = 7
BUSY = 8
HOST_REFUSED = 9
# No room for the next moment; there will be before the time limit.
FULL = 10
# The host refuses every first packet for now.
REFUSING = 11

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
)

# Reasons that may be over at the next packet; the others hold until the
# sidecar says otherwise.
PASSING = frozenset((COLD, BUSY, HOST_REFUSED, FULL))
# Reasons that are over before a client gives up its first packet.
SHORT = frozenset((COLD, FULL, UNREACHABLE, REFUSING))
# Reasons for which other hosts than those asked may be better.
LOCAL = frozenset(
    (
        OTHER_SERVICE,
        DRAINING,
        OUT,
        STOPPING,
        UNREACHABLE,
        UNREGISTERED,
        HOST_REFUSED,
        REFUSING,
    ),
)


def name_of(reason: int) -> str:
    """Return a reason as text, also one that a newer version sent."""
    return NAMES[reason] if reason < len(NAMES) else 'unknown'
