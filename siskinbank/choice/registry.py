"""The registry of ranking plug-ins."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from siskinbank.config.site import Host
from siskinbank.kernel.registry import Registry

__all__ = ('ChoicePlugin', 'Rank', 'choices')

#: Maps the hash of a flow or key to the best hosts, in order of preference.
Rank = Callable[[int], list[Host]]


@dataclass(frozen=True, slots=True)
class ChoicePlugin:
    """A way to rank hosts."""

    name: str
    summary: str
    prepare: Callable[[Sequence[Host], int], Rank]
    aliases: tuple[str, ...] = ()


choices: Registry[ChoicePlugin] = Registry('choice', 'siskinbank.choice')
