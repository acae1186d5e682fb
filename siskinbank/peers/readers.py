"""Who reads the platform: a few processes of each data centre, by rank."""

import functools
import random

from siskinbank.directory.roster import Listing, Record, Roster
from siskinbank.directory.words import WordBook
from siskinbank.util import digest64

__all__ = ('FALLBACK_CALLS', 'READERS', 'read_interval', 'reader_rank')

#: How many processes of each data centre read.
READERS = 3
READ_SECONDS = 1
#: After this silence of a data centre's readers the next ranks take over.
FALLBACK_SECONDS = 4
_STEP_SECONDS = 0.5
_MAX_STEPS = 20
_MAX_RANK = READERS + _MAX_STEPS
#: Calls a second that all processes that fall back may make together.
FALLBACK_CALLS = 100
_CALLS_A_READ = 2


@functools.lru_cache(maxsize=64)
def _reader_order(roster: Roster, centre: str) -> tuple[Record, ...]:
    """Return the records of a data centre in the order of their rank."""
    ring = roster.index().rings.get(centre, ())
    return tuple(
        sorted(ring, key=lambda record: digest64(f'reader {record.name}')),
    )


def reader_rank(
    roster: Roster,
    centre: str,
    name: str,
    words: WordBook,
) -> int | None:
    """Return a process's rank among those of its data centre.

    Instances that leave or are silent are passed over. An instance that the
    list merely omits keeps its rank.

    Returns:
        The rank from 0 up to a bound, or None when the roster is empty.
    """
    rank = 0
    leaving = words.leaving
    silent = words.silent(0)
    for record in _reader_order(roster, centre):
        if record.name == name or rank >= _MAX_RANK:
            return rank
        gone = record.name in silent or record.name in leaving
        if not gone and record.listing != Listing.leaving:
            rank += 1
    return rank if len(roster) else None


def read_interval(
    rank: int | None,
    read_age: float,
    fleet: int,
    rng: random.Random,
) -> float | None:
    """Return the seconds between a process's reads; None for no reading.

    Args:
        rank: the process's rank in its data centre, None if nobody is listed
            and each must read for itself.
        read_age: seconds since a reader of the data centre reached the
            platform, as far as is known.
        fleet: the number of known processes.
        rng: draws the jitter.

    Returns:
        ``READ_SECONDS`` for a reader. For others, once their readers have
        been silent, an interval that grows with the fleet, so that all of
        them together stay below a fixed rate.
    """
    if rank is not None and rank < READERS:
        return READ_SECONDS
    if rank is not None:
        steps = min(rank - READERS, _MAX_STEPS)
        if read_age <= FALLBACK_SECONDS + steps * _STEP_SECONDS:
            return None
    interval = max(fleet * _CALLS_A_READ / FALLBACK_CALLS, READ_SECONDS)
    return interval * rng.uniform(0.5, 1.5)
