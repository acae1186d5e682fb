"""What one process believes of the fleet: configuration and live list."""

from collections.abc import Callable, Sequence

from siskinbank.config.sections import DocumentKey, Manifest
from siskinbank.config.site import Service, Site
from siskinbank.kernel import events
from siskinbank.kernel.clock import Clock
from siskinbank.directory.live import Instance, InstanceState, Role

__all__ = ('FleetView',)


class FleetView:
    """The generation in force and the instances that were last listed."""

    def __init__(self, log: events.EventLog, clock: Clock) -> None:
        """Start with nothing in force."""
        self._log = log
        self._clock = clock
        self._site: Site | None = None
        self._key: DocumentKey = (0, b'')
        self._instances: tuple[Instance, ...] = ()
        self._listed_at: float | None = None
        self._leaving: frozenset[str] = frozenset()
        self._gone: frozenset[str] = frozenset()
        self._is_fresh: Callable[[], bool] = _always
        self._heard_age: Callable[[], float | None] | None = None
        self._subscribers: list[Callable[[], None]] = []

    @property
    def site(self) -> Site | None:
        """The configuration in force."""
        return self._site

    @property
    def generation(self) -> int:
        """The generation in force, 0 while there is none."""
        return self._site.generation if self._site else 0

    @property
    def instances(self) -> tuple[Instance, ...]:
        """The instances as last listed."""
        return self._instances

    @property
    def list_age(self) -> float | None:
        """Seconds since the view is known to have been up to date."""
        if self._heard_age is not None:
            return self._heard_age()
        if self._listed_at is None:
            return None
        return self._clock() - self._listed_at

    @property
    def leaving(self) -> frozenset[str]:
        """The names of instances that leave, by the list or their own word."""
        return self._leaving

    @property
    def gone(self) -> frozenset[str]:
        """The names of instances that list and silence say are gone."""
        return self._gone

    @property
    def fresh(self) -> bool:
        """Whether the process may act on this view.

        False after a pause, until a peer has answered or it is clear that
        none does.
        """
        return self._is_fresh()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change, and now if one has been."""
        self._subscribers.append(callback)
        if self._site is not None:
            callback()

    def service(self, ident: int) -> Service | None:
        """Return a service by the number that packets carry."""
        return self._site.by_ident.get(ident) if self._site else None

    def adopt(self, site: Site) -> bool:
        """Put a newer generation in force; refuse an older one.

        Of two sites with one generation the one with the higher digest wins.
        """
        key = Manifest(site.generation, site.digests).key
        if self._site is not None and key <= self._key:
            if site.generation < self.generation:
                self._log.write(
                    events.OLDER,
                    offered=site.generation,
                    in_force=self.generation,
                )
            return False
        self._site = site
        self._key = key
        self._log.write(events.ADOPTED, generation=site.generation)
        self._tell()
        return True

    def take_list(self, instances: Sequence[Instance]) -> None:
        """Take over the live list."""
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
        self.take_beliefs(leaving, self._gone)

    def take_beliefs(
        self,
        leaving: frozenset[str],
        gone: frozenset[str],
    ) -> None:
        """Take over which instances leave or are gone."""
        if (leaving, gone) == (self._leaving, self._gone):
            return
        self._leaving = leaving
        self._gone = gone
        self._tell()

    def follow_freshness(
        self,
        is_fresh: Callable[[], bool],
        heard_age: Callable[[], float | None],
    ) -> None:
        """Ask whether the process may act on the view, and its age."""
        self._is_fresh = is_fresh
        self._heard_age = heard_age

    def _tell(self) -> None:
        for callback in self._subscribers:
            callback()


def _always() -> bool:
    return True
