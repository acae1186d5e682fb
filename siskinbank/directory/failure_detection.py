"""Failure detection: which instances are gone.

It combines the live list with the time for which an instance was silent.
"""

from siskinbank.directory.member_status import MemberStatusTable
from siskinbank.directory.roster import Listing, Record, Roster
from siskinbank.peers.ages import DataCentreAges

__all__ = ('find_gone',)

#: Seconds after which a silent instance that the live list omits is gone.
OMITTED_GONE_SECONDS = 5
#: Seconds after which a silent instance is gone, whatever the live list says.
SILENT_GONE_SECONDS = 15


def find_gone(
    roster: Roster,
    statuses: MemberStatusTable,
    ages: DataCentreAges,
    now: float,
) -> frozenset[str]:
    """Return the instances that are gone.

    An instance is silent if a process that monitors it on the ring has reported
    this and the instance has not refuted the report, or if no process receives
    anything from its whole data centre. An instance is never gone because of
    the live list alone.
    """
    gone = [
        name
        for name, seconds in statuses.silent(now).items()
        if _is_gone(roster.get(name), seconds)
    ]
    for centre in ages.centres:
        silent_seconds = ages.silent_for(centre, now)
        if (
            silent_seconds is not None
            and silent_seconds >= OMITTED_GONE_SECONDS
        ):
            ring = roster.index().rings.get(centre, ())
            gone.extend(
                record.name
                for record in ring
                if _is_gone(record, silent_seconds)
            )
    return frozenset(gone)


def _is_gone(record: Record | None, silent_seconds: float) -> bool:
    if silent_seconds >= SILENT_GONE_SECONDS:
        return True
    absent = record is None or record.listing == Listing.absent
    return absent and silent_seconds >= OMITTED_GONE_SECONDS
