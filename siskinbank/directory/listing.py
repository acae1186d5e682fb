"""Convert a reader's reads of the live list into record updates.

A reader publishes what changed between its own reads at once. If its read
differs from the roster without such a change (another reader lags or was
wrong), it corrects the roster only after a delay, so that readers of replicas
that disagree do not overwrite each other with every read. A read that omits a
large part of the fleet is held back until the omission has lasted for some
time.
"""

from collections.abc import Sequence
from dataclasses import replace

from siskinbank.directory.live import Instance
from siskinbank.directory.roster import Listing, Record, Roster, record_of
from siskinbank.kernel.clock import Clock

__all__ = ('ListReader',)

_CORRECTION_DELAY_SECONDS = 10
_OMISSION_HOLD_SECONDS = 30
_MASS_OMISSION_SHARE = 0.2
_MASS_OMISSION_COUNT = 3


class ListReader:
    """Compares the reads of one reader with the roster."""

    def __init__(self, clock: Clock) -> None:
        """Initialize without a previous read."""
        self._clock = clock
        self._last_read: dict[str, Record] = {}
        self._differs_since: dict[str, float] = {}
        self._held_since: float | None = None
        self._instances: Sequence[Instance] = ()
        self._last_input: tuple[int, bytes] | None = None

    @property
    def held(self) -> bool:
        """Whether omissions are currently held back."""
        return self._held_since is not None

    def read(
        self,
        instances: Sequence[Instance],
        roster: Roster,
    ) -> list[Record]:
        """Return the records to publish to the fleet."""
        if self._last_input == (id(instances), roster.root):
            return []
        now = self._clock()
        listed = {
            instance.name: record_of(instance, 0) for instance in instances
        }
        omitted = self._accepted_omissions(listed, roster, now)
        for omission in omitted:
            listed[omission.name] = replace(
                omission,
                version=0,
                listing=Listing.absent,
            )
        updates = [
            self._update_of(listed_record, roster, now)
            for listed_record in listed.values()
        ]
        self._last_read = listed
        pending = bool(self._differs_since) or self.held
        # The reference keeps the list's id from being reused.
        self._instances = instances
        self._last_input = None if pending else (id(instances), roster.root)
        return [record for record in updates if record is not None]

    def _accepted_omissions(
        self,
        listed: dict[str, Record],
        roster: Roster,
        now: float,
    ) -> list[Record]:
        omitted = [record for record in roster if record.name not in listed]
        newly_omitted = sum(
            record.listing != Listing.absent for record in omitted
        )
        if (
            newly_omitted < _MASS_OMISSION_COUNT
            or newly_omitted < _MASS_OMISSION_SHARE * len(roster)
        ):
            self._held_since = None
            return omitted
        if self._held_since is None:
            self._held_since = now
        if now - self._held_since >= _OMISSION_HOLD_SECONDS:
            return omitted
        return [
            record for record in omitted if record.listing == Listing.absent
        ]

    def _update_of(
        self,
        record: Record,
        roster: Roster,
        now: float,
    ) -> Record | None:
        known = roster.get(record.name)
        if known is None:
            return replace(record, version=1)
        if known.content == record.content:
            self._differs_since.pop(record.name, None)
            return None
        changed = self._has_changed(record)
        since = self._differs_since.setdefault(record.name, now)
        if not changed and now - since < _CORRECTION_DELAY_SECONDS:
            return None
        self._differs_since.pop(record.name, None)
        return replace(record, version=known.version + 1)

    def _has_changed(self, record: Record) -> bool:
        """Return whether the record differs from this reader's last read.

        A leaving instance counts as changed at the first read too.
        """
        previous = self._last_read.get(record.name)
        if previous is None:
            return record.listing == Listing.leaving
        return previous != record
