"""Rank members for a key; all machines agree without communication."""

from collections.abc import Callable, Mapping

from siskinbank.choice.rendezvous import prepare_rendezvous
from siskinbank.config.site import Host
from siskinbank.util import digest64

__all__ = ('prepare_ranking',)

_NO_ADDRESS = ('', 0)


def prepare_ranking(
    weights: Mapping[str, float],
    count: int,
) -> Callable[[str], list[str]]:
    """Return a function that ranks the ``count`` best members for a key.

    A change of the members moves as few keys as possible; see
    ``siskinbank.choice.rendezvous`` for the formula.

    Args:
        weights: the members' names and weights, each above 0.
        count: how many members to return.

    Raises:
        ValueError: a weight is not positive.
    """
    if min(weights.values(), default=1) <= 0:
        raise ValueError('weights must be positive')
    members = [
        Host(name, '', _NO_ADDRESS, weight) for name, weight in weights.items()
    ]
    rank = prepare_rendezvous(members, count)

    def rank_key(key: str) -> list[str]:
        return [member.name for member in rank(digest64(key))]

    return rank_key
