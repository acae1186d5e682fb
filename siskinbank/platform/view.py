"""What one process believes of the fleet: configuration and live list."""

from collections.abc import Callable, Sequence

from siskinbank.config.site import Service, Site
from siskinbank.kernel import events
from siskinbank.kernel.clock import Clock
from siskinbank.platform.live import Instance, InstanceState, Role

__all__ = ('FleetView',)


class FleetView:
    """The generation in force and the instances that were last listed."""

    def __init__(self, log: events.EventLog, clock: Clock) -> None:
        """Start with nothing in force."""
        self._log = log
        self._clock = clock
        self._site: Site | None = None
        self._instances: tuple[Instance, ...] = ()
        self._listed_at: float | None = None
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
        """Seconds since the live list was read."""
        if self._listed_at is None:
            return None
        return self._clock() - self._listed_at

    @property
    def leaving(self) -> frozenset[str]:
        """The names of sidecar instances that the platform takes away."""
        return frozenset(
            instance.name
            for instance in self._instances
            if instance.role is Role.sidecar
            and instance.state is InstanceState.leaving
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change, and now if one has been."""
        self._subscribers.append(callback)
        if self._site is not None:
            callback()

    def service(self, ident: int) -> Service | None:
        """Return a service by the number that packets carry."""
        return self._site.by_ident.get(ident) if self._site else None

    def adopt(self, site: Site) -> bool:
        """Put a newer generation in force; refuse an older one."""
        if site.generation <= self.generation:
            if site.generation < self.generation:
                self._log.write(
                    events.OLDER,
                    offered=site.generation,
                    in_force=self.generation,
                )
            return False
        self._site = site
        self._log.write(events.ADOPTED, generation=site.generation)
        self._tell()
        return True

    def take_list(self, instances: Sequence[Instance]) -> None:
        """Take over the live list."""
        self._listed_at = self._clock()
        if tuple(instances) == self._instances:
            return
        self._instances = tuple(instances)
        self._tell()

    def _tell(self) -> None:
        for callback in self._subscribers:
            callback()
