"""Which hosts are gone: what list and silence say together."""

from siskinbank.peers.ages import Ages
from siskinbank.directory.roster import Listing, Record, Roster
from siskinbank.directory.words import WordBook

__all__ = ('find_gone',)

#: A silent host that the list omits is gone after this many seconds.
AGREED_SECONDS = 5
#: A silent host is gone after this many seconds whatever the list says.
EVIDENCE_SECONDS = 15


def find_gone(
    roster: Roster,
    words: WordBook,
    ages: Ages,
    now: float,
) -> frozenset[str]:
    """Return the instances that are gone.

    An instance is silent when a neighbour on its ring said so and it has not
    taken that back, or when nobody hears its whole data centre. The list's
    word alone makes none gone.
    """
    gone = [
        name
        for name, seconds in words.silent(now).items()
        if _is_gone(roster.get(name), seconds)
    ]
    for centre in ages.centres:
        silence = ages.silence(centre, now)
        if silence is not None and silence >= AGREED_SECONDS:
            ring = roster.index().rings.get(centre, ())
            gone.extend(
                record.name for record in ring if _is_gone(record, silence)
            )
    return frozenset(gone)


def _is_gone(record: Record | None, silence: float) -> bool:
    if silence >= EVIDENCE_SECONDS:
        return True
    absent = record is None or record.listing == Listing.absent
    return absent and silence >= AGREED_SECONDS
