"""Records of the faults and planned changes of a soak run."""

import enum
from dataclasses import dataclass, field

__all__ = ('Disturbance', 'Disturbances', 'Fault')


class Fault(enum.StrEnum):
    """Kinds of faults and planned changes."""

    entry_killed = 'entry killed'
    entry_paused = 'entry paused'
    entry_stopped = 'entry stopped as planned'
    host_killed = 'host killed'
    sidecar_paused = 'sidecar paused'
    host_drained = 'host drained'
    host_leaving = 'host listed as leaving'
    data_centre_out = 'data centre out'
    platform_down = 'platform down'
    platform_stale = 'platform stale'
    configuration_changed = 'configuration changed'


@dataclass(slots=True)
class Disturbance:
    """One fault or planned change.

    Attributes:
        fault: its kind.
        name: the process, host, data centre or platform affected.
        start: start in seconds since 1970.
        end: end in seconds since 1970; infinite while it lasts.
    """

    fault: Fault
    name: str
    start: float
    end: float = float('inf')

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether it overlaps the time from ``start`` to ``end``."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class Disturbances:
    """Faults and planned changes of one run."""

    records: list[Disturbance] = field(default_factory=list)

    def add(self, fault: Fault, name: str, start: float) -> Disturbance:
        """Record the start of a fault."""
        disturbance = Disturbance(fault, name, start)
        self.records.append(disturbance)
        return disturbance

    def of_kind(self, *faults: Fault) -> list[Disturbance]:
        """Return the records of the given kinds."""
        return [
            disturbance
            for disturbance in self.records
            if disturbance.fault in faults
        ]

    def affected(
        self,
        faults: tuple[Fault, ...],
        name: str | None,
        start: float,
        end: float,
    ) -> bool:
        """Return whether a fault of the given kinds affected ``name``.

        Args:
            faults: kinds to look for.
            name: affected name; None matches any.
            start: start of the time in seconds since 1970.
            end: end of the time in seconds since 1970.
        """
        return any(
            disturbance.overlaps(start, end)
            for disturbance in self.of_kind(*faults)
            if name is None or disturbance.name == name
        )
