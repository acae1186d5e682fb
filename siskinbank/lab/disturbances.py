"""What a soak run did to the fleet, and what that excuses."""

import enum
from dataclasses import dataclass, field

__all__ = ('Disturbance', 'Disturbances', 'Fault')


class Fault(enum.StrEnum):
    """The kinds of faults and planned changes."""

    entry_killed = 'entry killed'
    entry_paused = 'entry paused'
    entry_stopped = 'entry stopped as planned'
    host_killed = 'host killed'
    sidecar_paused = 'sidecar paused'
    host_drained = 'host drained'
    host_leaving = 'host listed as leaving'
    centre_out = 'data centre out'
    platform_down = 'platform down'
    platform_stale = 'platform stale'
    changed = 'configuration changed'


@dataclass(slots=True)
class Disturbance:
    """One fault of ``name`` from ``start`` to ``end``.

    Times are in seconds since 1970; ``end`` is infinite while it lasts.
    """

    fault: Fault
    name: str
    start: float
    end: float = float('inf')

    def overlaps(self, start: float, end: float) -> bool:
        """Whether it touched the time between ``start`` and ``end``."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class Disturbances:
    """All faults of one run."""

    entries: list[Disturbance] = field(default_factory=list)

    def add(self, fault: Fault, name: str, start: float) -> Disturbance:
        """Note a fault that starts."""
        added = Disturbance(fault, name, start)
        self.entries.append(added)
        return added

    def of(self, *faults: Fault) -> list[Disturbance]:
        """Return the faults of some kinds."""
        return [entry for entry in self.entries if entry.fault in faults]

    def touched(
        self,
        faults: tuple[Fault, ...],
        name: str | None,
        start: float,
        end: float,
    ) -> bool:
        """Whether a fault of a kind touched ``name`` in a time.

        Any name counts if ``name`` is None.
        """
        return any(
            entry.overlaps(start, end)
            for entry in self.of(*faults)
            if name is None or entry.name == name
        )
