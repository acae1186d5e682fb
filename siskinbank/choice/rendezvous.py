"""Weighted rendezvous hashing: a change moves only the flows that it must."""

import heapq
import math
from collections.abc import Sequence

from siskinbank.choice.registry import ChoicePlugin, Rank, choices
from siskinbank.config.site import Host

__all__ = ('prepare_rendezvous',)

_MASK = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER = 0xD6E8FEB86659FD93
_SHIFT = 32
_RANGE = float(_MASK) + 2


def _mix(number: int) -> int:
    """Spread 64 bits; a multiply-xorshift finalizer."""
    once = (number ^ number >> _SHIFT) * _MULTIPLIER & _MASK
    twice = (once ^ once >> _SHIFT) * _MULTIPLIER & _MASK
    return twice ^ twice >> _SHIFT


def prepare_rendezvous(hosts: Sequence[Host], count: int) -> Rank:
    """Return a function that ranks the ``count`` best hosts for a flow.

    A host's score is ``-weight / ln(u)`` with ``u`` a hash of flow and host
    spread over (0, 1), after Schindelhauer and Schomaker, "Weighted
    distributed hash tables" (2005).
    """
    seeds = [(host.seed, host.weight, host) for host in hosts]
    log = math.log

    def rank(flow: int) -> list[Host]:
        scored = []
        for seed, weight, host in seeds:
            spread = (_mix(flow ^ seed) + 1) / _RANGE
            scored.append((-weight / log(spread), host.name, host))
        best = heapq.nlargest(count, scored)
        return [scored_host for _score, _name, scored_host in best]

    return rank


choices.register(
    ChoicePlugin(
        name='rendezvous',
        summary='weighted rendezvous hashing',
        prepare=prepare_rendezvous,
        aliases=('hrw',),
    ),
)
