"""Queue of instance updates, each sent a bounded number of times."""

from dataclasses import dataclass
from typing import Any

from siskinbank.directory.member_status import MemberStatus
from siskinbank.directory.roster import Record

__all__ = ('UpdateQueue',)

_SENDS_PER_UPDATE = 8
_MAX_QUEUED = 256
_UPDATES_PER_MESSAGE = 12


@dataclass(slots=True)
class _Update:
    parts: list[Any]
    sends_left: int = _SENDS_PER_UPDATE


class UpdateQueue:
    """The newest record and member status of each updated instance."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._records: dict[str, _Update] = {}
        self._statuses: dict[str, _Update] = {}

    def __bool__(self) -> bool:
        """Return whether there is anything to send."""
        return bool(self._records or self._statuses)

    def add_record(self, record: Record) -> None:
        """Queue a record.

        If the queue is full, the record is not queued. Peers then get it when
        they compare the digests of their buckets.
        """
        if len(self._records) < _MAX_QUEUED:
            self._records[record.name] = _Update(record.parts)

    def add_status(self, status: MemberStatus) -> None:
        """Queue a member status, unless the queue is full."""
        if len(self._statuses) < _MAX_QUEUED:
            self._statuses[status.name] = _Update(status.parts)

    def next_records(self) -> list[Any]:
        """Return records for one message."""
        return _next_parts(self._records)

    def next_statuses(self) -> list[Any]:
        """Return member statuses for one message."""
        return _next_parts(self._statuses)


def _next_parts(updates: dict[str, _Update]) -> list[Any]:
    """Return the updates that were sent least often, and count them as sent."""
    if not updates:
        return []
    chosen = sorted(updates, key=lambda name: -updates[name].sends_left)[
        :_UPDATES_PER_MESSAGE
    ]
    parts = []
    for name in chosen:
        update = updates[name]
        parts.append(update.parts)
        update.sends_left -= 1
        if not update.sends_left:
            del updates[name]
    return parts
