"""Where a new flow goes.

Load pattern: many entries place flows at the same moment on what they heard
up to half a second ago, while each host works on a few requests at a time and
long flows bring their requests for minutes. A host's queue of this moment is
known to its sidecar alone, so an entry names several candidates and sidecars
pass a flow on; the entry orders them by what changes slowly: open flows, load
as last heard, its own placements since, and the way to go.
"""

from __future__ import annotations

from siskinbank.beliefs.hosts import SILENT_S, HostBelief

__all__ = ('MOST_CANDIDATES', 'candidates', 'order')

# Candidates named with a first packet: with every second host busy, one in
# thirty such flows still meets only busy ones.
MOST_CANDIDATES = 5
# Candidates chosen by what was heard of them; the others are drawn, so that
# entries that heard the same words do not all name the same hosts.
_CHOSEN = 2

# A flow's part in a host's load next to one request in progress: a long flow
# is at work about a tenth of the time.
_FLOW_WEIGHT = 0.1
# What the way to another data centre costs, in requests in progress: the way
# takes a twentieth of a usual request's time.
_AWAY_WEIGHT = 0.15
# A host of which the store has said nothing yet may be a leftover, but is no
# worse than a host at work, in requests in progress.
_UNTRUSTED_WEIGHT = 1
# Spreads equal hosts, in requests in progress.
_SPREAD_WEIGHT = 0.1
_SPREAD_STEPS = 256


def order(
    hosts: list[HostBelief],
    draw: int,
    data_centre: int,
    now: float,
) -> list[HostBelief]:
    """Return the candidates for a new flow, the best first.

    Args:
        hosts: the hosts of its service.
        draw: a number drawn from the flow's key.
        data_centre: digest of the entry's own.
        now: time on the clock that counts suspension.
    """
    able = [host for host in hosts if not host.status.state]
    heard = [host for host in able if now - host.heard < SILENT_S]
    scored = [
        (_score(host, draw, data_centre), index)
        for index, host in enumerate(heard)
    ]
    scored.sort()
    places = _with_drawn([place[-1] for place in scored], draw)
    best = [heard[place] for place in places]
    # Sidecars that went silent may be restarting; they come last.
    return best or able[:MOST_CANDIDATES]


def _with_drawn(places: list[int], draw: int) -> list[int]:
    """Keep the best places, and draw the others from all that are left.

    Load pattern: all hosts are at work and words about them are up to 0.4 s
    old. By load alone every entry would name the same five, whose queues grow
    while the others work off late flows.
    """
    chosen, left = places[:_CHOSEN], places[_CHOSEN:]
    while left and len(chosen) < MOST_CANDIDATES:
        draw, place = divmod(draw, len(left))
        chosen.append(left.pop(place))
    return chosen


def candidates(
    hosts: list[HostBelief],
    ordered: list[HostBelief],
    tried: tuple[str, ...],
    kept_at: str,
) -> list[HostBelief]:
    """Return where a copy of a first packet goes, the best first.

    Load pattern: all hosts are at work, and a flow waits in the order of its
    coming at one of them; its copies must not lose it that place.

    Args:
        hosts: the hosts of its service.
        ordered: the best of those that may take it.
        tried: where it has been.
        kept_at: where it waits, empty if nowhere.
    """
    keeping = [
        host for host in hosts if host.ip == kept_at and not host.status.state
    ]
    fresh = [host for host in ordered if host.ip not in tried]
    others = [host for host in fresh or ordered if host.ip != kept_at]
    return keeping + others


def _score(host: HostBelief, draw: int, data_centre: int) -> float:
    status = host.status
    load = status.busy + host.pending + status.flows * _FLOW_WEIGHT
    spread = (draw ^ host.packed[3] * 0x9D) % _SPREAD_STEPS / _SPREAD_STEPS
    away = _AWAY_WEIGHT if status.data_centre != data_centre else 0
    unknown = 0 if status.trusted else _UNTRUSTED_WEIGHT
    return load / status.slots + away + unknown + spread * _SPREAD_WEIGHT
