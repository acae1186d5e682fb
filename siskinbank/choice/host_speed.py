"""Speed of a host relative to the other hosts of its service.

Load pattern: one host in four takes 2.2 times as long as the others, on some
days five times, and most requests come in long flows. Ranked by the requests
in progress and the open flows alone, each host gets the same number of flows,
so that the slow ones have twice the work that they can do while the others have
free slots.

The decision rests on the mean processing times that the sidecars measure and
report. Entries compare them with the median, so a load that makes all hosts
slow at once changes nothing.
"""

from __future__ import annotations

__all__ = ('UNKNOWN', 'is_speed_ignored', 'load_factor', 'median_ms')

# Processing time or median that is not known.
UNKNOWN = 0

# Hosts with a known processing time from which a median is taken.
_MIN_KNOWN = 2
# Ratios below this and above its reciprocal count as 1: the mean of a few dozen
# requests of several routes varies that much between equal hosts.
_EQUAL_RATIO = 1.3
# Bounds of the ratio. Hosts are at most five times slower. The lower one limits
# how many flows a host attracts that appears to be fast.
_MIN_FACTOR = 0.5
_MAX_FACTOR = 5.0
# One flow in this many is placed without regard to speed, so that each host is
# measured again.
_MEASURING_FLOWS = 16
# The bits of the flow's hash that select those flows; the low ones select the
# service and order equal hosts.
_MEASURING_SHIFT = 28


def median_ms(processing_times_ms: list[int]) -> int:
    """Return the median of the known processing times, or UNKNOWN.

    Args:
        processing_times_ms: mean processing time of each host that has been
            heard from recently in milliseconds, UNKNOWN where not known.

    Returns:
        The median in milliseconds, of an even number the lower one; UNKNOWN if
        too few are known.
    """
    known = sorted(filter(None, processing_times_ms))
    if len(known) < _MIN_KNOWN:
        return UNKNOWN
    return known[(len(known) - 1) // 2]


def load_factor(processing_ms: int, service_median_ms: int) -> float:
    """Return the factor by which a host's load counts in the ranking.

    Args:
        processing_ms: the host's mean processing time in milliseconds, or
            UNKNOWN.
        service_median_ms: median over the hosts of its service in
            milliseconds, or UNKNOWN.
    """
    if not processing_ms or not service_median_ms:
        return 1
    ratio = processing_ms / service_median_ms
    if 1 / _EQUAL_RATIO < ratio < _EQUAL_RATIO:
        return 1
    return min(max(ratio, _MIN_FACTOR), _MAX_FACTOR)


def is_speed_ignored(flow_hash: int) -> bool:
    """Return whether a flow is placed without regard to the hosts' speed.

    Load pattern: hosts that were slow have recovered, and most hosts are idle.
    Without flows they would never be measured again.

    Args:
        flow_hash: hash of the flow's key, 32 bits.
    """
    return not (flow_hash >> _MEASURING_SHIFT) % _MEASURING_FLOWS
