"""Selection of candidate hosts for a new flow.

Load pattern: many entries place flows at the same moment by host statuses up
to half a second old, while each host processes a few requests at a time and
long flows send requests for minutes. The current queue of a host is known to
its sidecar alone, so an entry names several candidates and sidecars forward a
flow among them. The entry orders them by what changes slowly: open flows, the
last known load, its own placements since, the distance, and how fast the host
is (``choice.host_speed``).
"""

from __future__ import annotations

from siskinbank.choice.host_speed import is_speed_ignored

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.tracking.hosts import TrackedHost

__all__ = ('MAX_CANDIDATES', 'candidates', 'rank_hosts')

# Candidates named with a first packet: with every second host busy, one in
# thirty such flows still meets only busy ones.
MAX_CANDIDATES = 5
# Candidates chosen by rank; the others are drawn, so that entries that
# received the same statuses do not all name the same hosts.
_RANKED_CANDIDATES = 2

# Weight of a flow in a host's load relative to one request in progress: a long
# flow has a request in progress about a tenth of the time.
_FLOW_WEIGHT = 0.1
# Odd, so that addresses that differ in the last byte get different hashes.
_ADDRESS_FACTOR = 0x9D
# Cost of another data centre, in requests in progress: bytes between data
# centres have a price, and the load of distant hosts is known later.
_REMOTE_WEIGHT = 0.5
# Cost of a host without a record from the store, in requests in progress: it
# may have been replaced, but is no worse than a busy host.
_UNTRUSTED_WEIGHT = 1
# Weight of the new flow's own request at a host that is slower or faster than
# the median.
_OWN_WEIGHT = 1
# Largest cost by which the hash of flow and host orders equal hosts, in
# requests in progress.
_SPREAD_WEIGHT = 0.1
_SPREAD_STEPS = 256


def rank_hosts(
    hosts: list[TrackedHost],
    flow_hash: int,
    data_centre: int,
    now: float,
) -> list[TrackedHost]:
    """Return the candidates for a new flow, the best first.

    Args:
        hosts: the hosts of its service.
        flow_hash: hash of the flow's key.
        data_centre: digest of the entry's own data centre.
        now: time in seconds, on a clock that runs on during suspension.
    """
    by_speed = not is_speed_ignored(flow_hash)
    accepting = [host for host in hosts if not host.status.state]
    responsive = [host for host in accepting if not host.is_silent(now)]
    scored = [
        (_score(host, flow_hash, data_centre, by_speed), index)
        for index, host in enumerate(responsive)
    ]
    scored.sort()
    chosen = _add_random_candidates([pair[-1] for pair in scored], flow_hash)
    best = [responsive[position] for position in chosen]
    # Sidecars try the candidates in this order until one has a free slot. A slow
    # host that is drawn comes last, as it often has one when it has its share.
    if by_speed:
        best = best[:_RANKED_CANDIDATES] + sorted(
            best[_RANKED_CANDIDATES:], key=_load_factor
        )
    # Hosts whose sidecars are silent may be restarting; they are used only if
    # no other host accepts flows.
    return best or accepting[:MAX_CANDIDATES]


def _add_random_candidates(ranked: list[int], flow_hash: int) -> list[int]:
    """Return the best of the ranked hosts and others drawn from the rest.

    Load pattern: all hosts are busy and statuses are up to 0.4 s old. By load
    alone every entry would name the same five hosts, whose queues grow while
    the others process late flows.
    """
    chosen, left = ranked[:_RANKED_CANDIDATES], ranked[_RANKED_CANDIDATES:]
    while left and len(chosen) < MAX_CANDIDATES:
        flow_hash, position = divmod(flow_hash, len(left))
        chosen.append(left.pop(position))
    return chosen


def candidates(
    hosts: list[TrackedHost],
    ordered: list[TrackedHost],
    tried: tuple[str, ...],
    queueing_host: str,
) -> list[TrackedHost]:
    """Return the candidates for a copy of a first packet, the best first.

    Load pattern: all hosts are busy, and a flow is queued at one of them in
    order of arrival; its retransmissions must not lose that position.

    Args:
        hosts: the hosts of its service.
        ordered: the best of those that may accept it.
        tried: addresses of the hosts that were tried.
        queueing_host: address of the host that has it queued, empty if none.
    """
    queueing = [
        host
        for host in hosts
        if host.ip == queueing_host and not host.status.state
    ]
    untried = [host for host in ordered if host.ip not in tried]
    others = [host for host in untried or ordered if host.ip != queueing_host]
    return queueing + others


def _load_factor(host: TrackedHost) -> float:
    return host.load_factor


def _score(
    host: TrackedHost, flow_hash: int, data_centre: int, by_speed: bool
) -> float:
    status = host.status
    load = status.busy + host.pending + status.flows * _FLOW_WEIGHT
    if by_speed and host.load_factor != 1:
        # The new request takes longer or shorter, too; among hosts of equal
        # speed that makes no difference.
        load = (load + _OWN_WEIGHT) * host.load_factor - _OWN_WEIGHT
    address_hash = host.packed[-1] * _ADDRESS_FACTOR
    spread = (flow_hash ^ address_hash) % _SPREAD_STEPS / _SPREAD_STEPS
    remote = _REMOTE_WEIGHT if status.data_centre != data_centre else 0
    untrusted = 0 if status.trusted else _UNTRUSTED_WEIGHT
    return load / status.slots + remote + untrusted + spread * _SPREAD_WEIGHT
