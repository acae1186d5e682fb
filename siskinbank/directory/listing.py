"""Turn one reader's reads of the live list into news for the fleet.

A reader passes on what changed between its own reads at once. Where its read
differs from what the fleet believes without such a change (another reader
lags, or was wrong), it corrects the belief only after a while, so that readers
of replicas that disagree do not contradict each other with every read. A read
that omits much of the fleet is held back until it has been so for a while.
"""

from collections.abc import Sequence
from dataclasses import replace

from siskinbank.kernel.clock import Clock
from siskinbank.directory.live import Instance
from siskinbank.directory.roster import Listing, Record, Roster, record_of

__all__ = ('ListReader',)

_CORRECT_SECONDS = 10
_HOLD_SECONDS = 30
_MASS_SHARE = 0.2
_MASS_COUNT = 3


class ListReader:
    """What one reader read last, and since when it has disagreed."""

    def __init__(self, clock: Clock) -> None:
        """Start without a read."""
        self._clock = clock
        self._last: dict[str, Record] = {}
        self._odd_since: dict[str, float] = {}
        self._held_since: float | None = None
        self._instances: Sequence[Instance] = ()
        self._settled: tuple[int, bytes] | None = None

    @property
    def held(self) -> bool:
        """Whether omissions are held back now."""
        return self._held_since is not None

    def read(
        self,
        instances: Sequence[Instance],
        roster: Roster,
    ) -> list[Record]:
        """Return the records that the fleet should take over."""
        if self._settled == (id(instances), roster.root):
            return []
        now = self._clock()
        said = {instance.name: record_of(instance, 0) for instance in instances}
        omitted = self._believe_omissions(said, roster, now)
        for left_out in omitted:
            said[left_out.name] = replace(
                left_out,
                version=0,
                listing=Listing.absent,
            )
        judged = [self._judge(line, roster, now) for line in said.values()]
        self._last = said
        waits = bool(self._odd_since) or self.held
        self._instances = instances
        self._settled = None if waits else (id(instances), roster.root)
        return [record for record in judged if record is not None]

    def _believe_omissions(
        self,
        said: dict[str, Record],
        roster: Roster,
        now: float,
    ) -> list[Record]:
        omitted = [record for record in roster if record.name not in said]
        fresh = sum(record.listing != Listing.absent for record in omitted)
        if fresh < _MASS_COUNT or fresh < _MASS_SHARE * len(roster):
            self._held_since = None
            return omitted
        if self._held_since is None:
            self._held_since = now
        if now - self._held_since >= _HOLD_SECONDS:
            return omitted
        return [
            record for record in omitted if record.listing == Listing.absent
        ]

    def _judge(
        self,
        record: Record,
        roster: Roster,
        now: float,
    ) -> Record | None:
        known = roster.get(record.name)
        if known is None:
            return replace(record, version=1)
        if known.said == record.said:
            self._odd_since.pop(record.name, None)
            return None
        changed = self._has_changed(record)
        since = self._odd_since.setdefault(record.name, now)
        if not changed and now - since < _CORRECT_SECONDS:
            return None
        self._odd_since.pop(record.name, None)
        return replace(record, version=known.version + 1)

    def _has_changed(self, record: Record) -> bool:
        """Whether this reader's own reads differ; leaving is news at once."""
        last = self._last.get(record.name)
        if last is None:
            return record.listing == Listing.leaving
        return last != record
