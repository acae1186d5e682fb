"""A choice plug-in that ranks hosts by weight, the same for all flows."""

from collections.abc import Sequence

from siskinbank.choice.registry import ChoicePlugin, Rank
from siskinbank.config.site import Host

__all__ = ('plugin',)


def prepare_heaviest(hosts: Sequence[Host], count: int) -> Rank:
    """Return a function that ranks the ``count`` heaviest hosts."""
    best = sorted(hosts, key=lambda host: (-host.weight, host.name))[:count]

    def rank(_flow: int) -> list[Host]:
        return best

    return rank


plugin = ChoicePlugin(
    name='heaviest',
    summary='the heaviest hosts first, for standby pools',
    prepare=prepare_heaviest,
)
