"""Weighted rendezvous hashing, which moves no more flows than necessary."""

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


def prepare_rendezvous(hosts: Sequence[Host], count: int) -> Rank:
    """Return a function that ranks the ``count`` best hosts for a flow.

    A host's score is ``-weight / ln(u)`` with ``u`` a hash of flow and host
    spread over (0, 1), after Schindelhauer and Schomaker, "Weighted
    distributed hash tables" (2005). The hash is a multiply-xorshift finalizer
    on 64 bits, written inline because it is on the hot path of first packets.
    """
    named = sorted(hosts, key=lambda host: host.name, reverse=True)
    seeds = [(host.seed, -host.weight, host) for host in named]
    log = math.log

    def rank(flow: int) -> list[Host]:
        scores = {}
        for seed, weight, host in seeds:
            mixed = flow ^ seed
            mixed = (mixed ^ mixed >> _SHIFT) * _MULTIPLIER & _MASK
            mixed = (mixed ^ mixed >> _SHIFT) * _MULTIPLIER & _MASK
            spread = ((mixed ^ mixed >> _SHIFT) + 1) / _RANGE
            scores[weight / log(spread)] = host
        best = heapq.nlargest(count, scores)
        return [scores[score] for score in best]

    return rank


choices.register(
    ChoicePlugin(
        name='rendezvous',
        summary='weighted rendezvous hashing',
        prepare=prepare_rendezvous,
        aliases=('hrw',),
    ),
)
