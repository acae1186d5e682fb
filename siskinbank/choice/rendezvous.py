"""Weighted rendezvous hashing, which moves no more flows than necessary."""

import heapq
import math
import struct
from collections.abc import Callable, Sequence

from siskinbank.choice.registry import ChoicePlugin, Rank, choices
from siskinbank.config.site import Host

__all__ = ('prepare_rendezvous',)

_MASK = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER = 0xD6E8FEB86659FD93
_SHIFT = 32
_RANGE = float(_MASK) + 2
#: Bits for each host in the integer that holds the hashes of all hosts: a
#: product of two 64-bit numbers does not reach the next host's bits.
_LANE_BITS = 128
_LANE_BYTES = 16
#: Reads one lane: a 64-bit number and 64 bits to skip.
_LANE_FORMAT = 'Q8x'


def prepare_rendezvous(hosts: Sequence[Host], count: int) -> Rank:
    """Return a function that ranks the ``count`` best hosts for a flow.

    A host's score is ``-weight / ln(u)`` with ``u`` a hash of flow and host
    spread over (0, 1), after Schindelhauer and Schomaker, "Weighted
    distributed hash tables" (2005). With equal weights the scores have the
    order of the hashes, so the logarithm is not computed.
    """
    named = sorted(hosts, key=lambda host: host.name, reverse=True)
    hash_flow = _prepare_hashes([host.seed for host in named])
    weights = [-host.weight for host in named]
    log = math.log

    def rank_equal(flow: int) -> list[Host]:
        hashes = hash_flow(flow)
        by_hash = dict(zip(hashes, named, strict=True))
        return [by_hash[best] for best in heapq.nlargest(count, hashes)]

    def rank_weighted(flow: int) -> list[Host]:
        scores = {
            weight / log((mixed + 1) / _RANGE): host
            for mixed, weight, host in zip(
                hash_flow(flow), weights, named, strict=True
            )
        }
        return [scores[score] for score in heapq.nlargest(count, scores)]

    return rank_equal if len(set(weights)) <= 1 else rank_weighted


def _prepare_hashes(seeds: Sequence[int]) -> Callable[[int], tuple[int, ...]]:
    """Return a function that hashes a 64-bit flow number with each seed.

    The hash is a multiply-xorshift finalizer on 64 bits. It is on the hot path
    of first packets, and a loop over 100 hosts takes several times as long as
    the same operations on one integer with a lane for each host.
    """
    lane_shifts = range(0, len(seeds) * _LANE_BITS, _LANE_BITS)
    ones = sum(1 << shift for shift in lane_shifts)
    mask = ones * _MASK
    packed_seeds = sum(
        seed << shift for seed, shift in zip(seeds, lane_shifts, strict=True)
    )
    unpack = struct.Struct('<' + _LANE_FORMAT * len(seeds)).unpack
    size = len(seeds) * _LANE_BYTES

    def hash_flow(flow: int) -> tuple[int, ...]:
        mixed = flow * ones ^ packed_seeds
        mixed = ((mixed ^ mixed >> _SHIFT) & mask) * _MULTIPLIER & mask
        mixed = ((mixed ^ mixed >> _SHIFT) & mask) * _MULTIPLIER & mask
        return unpack((mixed ^ mixed >> _SHIFT).to_bytes(size, 'little'))

    return hash_flow


choices.register(
    ChoicePlugin(
        name='rendezvous',
        summary='weighted rendezvous hashing',
        prepare=prepare_rendezvous,
        aliases=('hrw',),
    ),
)
