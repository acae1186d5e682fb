"""Plug-in registries that load modules on first use."""

import pkgutil
from collections.abc import Sequence
from importlib import import_module
from importlib.metadata import entry_points
from typing import Generic, Protocol, TypeVar

__all__ = ('Plugin', 'PluginNotFoundError', 'Registry')


class Plugin(Protocol):
    """The attributes that every plug-in has."""

    @property
    def name(self) -> str:
        """The name used in configuration and on the command line."""

    @property
    def aliases(self) -> Sequence[str]:
        """Alternative names of the plug-in."""

    @property
    def summary(self) -> str:
        """A one-line description for operators."""


PluginT = TypeVar('PluginT', bound=Plugin)


class PluginNotFoundError(LookupError):
    """No plug-in has the requested name."""


class Registry(Generic[PluginT]):
    """The plug-ins of one role, such as ``ingress``.

    The modules of the role's package register their plug-ins on import. Other
    distributions provide plug-ins through the entry point group
    ``siskinbank.ROLE``.
    """

    def __init__(self, role: str, package: str) -> None:
        """Create an empty registry.

        Args:
            role: the role of the plug-ins, used in messages.
            package: the package whose modules define the built-in plug-ins.
        """
        self._role = role
        self._package = package
        self._by_name: dict[str, PluginT] = {}
        self._loaded_all = False

    @property
    def group(self) -> str:
        """The entry point group for plug-ins of other distributions."""
        return f'siskinbank.{self._role}'

    def register(self, plugin: PluginT) -> PluginT:
        """Register a plug-in under its name and aliases.

        Raises:
            ValueError: another plug-in already uses one of the names.
        """
        for name in (plugin.name, *plugin.aliases):
            registered = self._by_name.setdefault(name, plugin)
            if registered is not plugin:
                raise ValueError(
                    f'duplicate {self._role} plug-in name {name!r}'
                )
        return plugin

    def find(self, name: str) -> PluginT:
        """Return the plug-in with this name or alias.

        Raises:
            PluginNotFoundError: there is none; the message lists all names.
        """
        if name not in self._by_name:
            self._load_module(name)
        if name not in self._by_name:
            self._load_all()
        if name in self._by_name:
            return self._by_name[name]
        known = ', '.join(sorted(self._by_name))
        raise PluginNotFoundError(
            f'no {self._role} plug-in named {name!r}; known: {known}',
        )

    def names(self) -> list[str]:
        """Return the names of all plug-ins, without aliases."""
        self._load_all()
        return sorted({plugin.name for plugin in self._by_name.values()})

    def module_names(self) -> set[str]:
        """Return the names of all plug-ins without loading them.

        A built-in plug-in has the name of its module, a plug-in of another
        distribution the name of its entry point.
        """
        external = {point.name for point in entry_points(group=self.group)}
        return external | (set(self._module_names()) - {'registry'})

    def _load_module(self, name: str) -> None:
        if name.isidentifier() and name in self._module_names():
            import_module(f'{self._package}.{name}')

    def _load_all(self) -> None:
        if self._loaded_all:
            return
        self._loaded_all = True
        for name in self._module_names():
            import_module(f'{self._package}.{name}')
        for point in entry_points(group=self.group):
            self.register(point.load())

    def _module_names(self) -> list[str]:
        package = import_module(self._package)
        return [
            module.name for module in pkgutil.iter_modules(package.__path__)
        ]
