"""A process's view of the fleet: configuration and live list."""

from collections.abc import Callable, Sequence

from siskinbank.config.sections import DocumentKey, Manifest
from siskinbank.config.site import Service, Site
from siskinbank.directory.live import Instance, InstanceState, Role
from siskinbank.kernel import events
from siskinbank.kernel.clock import Clock

__all__ = ('FleetView',)


class FleetView:
    """The configuration in force and the state of the instances."""

    def __init__(self, log: events.EventLog, clock: Clock) -> None:
        """Create a view without a configuration."""
        self._log = log
        self._clock = clock
        self._site: Site | None = None
        self._key: DocumentKey = (0, b'')
        self._instances: tuple[Instance, ...] = ()
        self._listed_at: float | None = None
        self._leaving: frozenset[str] = frozenset()
        self._gone: frozenset[str] = frozenset()
        self._is_fresh: Callable[[], bool] = _always_fresh
        self._age_source: Callable[[], float | None] | None = None
        self._subscribers: list[Callable[[], None]] = []

    @property
    def site(self) -> Site | None:
        """The configuration in force, None while there is none."""
        return self._site

    @property
    def generation(self) -> int:
        """The generation in force, 0 while there is none."""
        return self._site.generation if self._site else 0

    @property
    def instances(self) -> tuple[Instance, ...]:
        """The instances of the last live list."""
        return self._instances

    @property
    def list_age(self) -> float | None:
        """Seconds since the view was last known to be up to date."""
        if self._age_source is not None:
            return self._age_source()
        if self._listed_at is None:
            return None
        return self._clock() - self._listed_at

    @property
    def leaving(self) -> frozenset[str]:
        """The names of instances that are listed as leaving or announced it."""
        return self._leaving

    @property
    def gone(self) -> frozenset[str]:
        """The names of instances that are known to be gone."""
        return self._gone

    @property
    def fresh(self) -> bool:
        """Whether the process may act on this view.

        False after a suspension, until a peer has answered or the process is
        known to be isolated.
        """
        return self._is_fresh()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change, and now if there is a site."""
        self._subscribers.append(callback)
        if self._site is not None:
            callback()

    def service(self, ident: int) -> Service | None:
        """Return a service by its number in packets."""
        return self._site.by_ident.get(ident) if self._site else None

    def adopt(self, site: Site) -> bool:
        """Put a newer generation in force; ignore an older one.

        Of two sites with the same generation the one with the higher digest
        wins.

        Returns:
            Whether the site was adopted.
        """
        key = Manifest(site.generation, site.digests).key
        if self._site is not None and key <= self._key:
            if site.generation < self.generation:
                self._log.write(
                    events.OLDER_CONFIGURATION_IGNORED,
                    offered=site.generation,
                    in_force=self.generation,
                )
            return False
        self._site = site
        self._key = key
        self._log.write(
            events.CONFIGURATION_ADOPTED, generation=site.generation
        )
        self._notify()
        return True

    def update_list(self, instances: Sequence[Instance]) -> None:
        """Update the view from the live list."""
        self._listed_at = self._clock()
        if tuple(instances) == self._instances:
            return
        self._instances = tuple(instances)
        leaving = frozenset(
            instance.name
            for instance in self._instances
            if instance.role is Role.sidecar
            and instance.state is InstanceState.leaving
        )
        self.update_membership(leaving, self._gone)

    def update_membership(
        self,
        leaving: frozenset[str],
        gone: frozenset[str],
    ) -> None:
        """Update which instances leave or are gone."""
        if (leaving, gone) == (self._leaving, self._gone):
            return
        self._leaving = leaving
        self._gone = gone
        self._notify()

    def set_freshness_source(
        self,
        is_fresh: Callable[[], bool],
        age_source: Callable[[], float | None],
    ) -> None:
        """Set the functions that return the view's freshness and age."""
        self._is_fresh = is_fresh
        self._age_source = age_source

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback()


def _always_fresh() -> bool:
    return True
