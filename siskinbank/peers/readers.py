"""Selection of the readers: a few processes of each data centre, by rank."""

import functools
import random

from siskinbank.directory.member_status import MemberStatusTable
from siskinbank.directory.roster import Listing, Record, Roster
from siskinbank.util import digest64

__all__ = (
    'FALLBACK_CALLS_PER_SECOND',
    'READERS_PER_DATA_CENTRE',
    'read_interval',
    'reader_rank',
)

#: Number of processes of each data centre that read the platform.
READERS_PER_DATA_CENTRE = 3
READ_INTERVAL_SECONDS = 1
#: The next ranks take over when no reader has reached the platform for this
#: long.
FALLBACK_SECONDS = 4
_RANK_DELAY_SECONDS = 0.5
_MAX_DELAY_STEPS = 20
_MAX_RANK = READERS_PER_DATA_CENTRE + _MAX_DELAY_STEPS
#: Limit on the calls per second of all fallback processes together.
FALLBACK_CALLS_PER_SECOND = 100
_CALLS_PER_READ = 2
#: Range of the factor by which each interval varies.
_JITTER = (0.5, 1.5)
#: More than the data centres of any roster in use.
_MAX_CACHED_ORDERS = 64


@functools.lru_cache(maxsize=_MAX_CACHED_ORDERS)
def _reader_order(roster: Roster, centre: str) -> tuple[Record, ...]:
    """Return the records of a data centre in order of rank."""
    ring = roster.index().rings.get(centre, ())
    return tuple(
        sorted(ring, key=lambda record: digest64(f'reader {record.name}')),
    )


def reader_rank(
    roster: Roster,
    centre: str,
    name: str,
    statuses: MemberStatusTable,
) -> int | None:
    """Return a process's rank among those of its data centre.

    Instances that leave or are silent are skipped. An instance that is only
    missing from the live list keeps its rank.

    Returns:
        The rank, from 0 to an upper limit, or None if the roster is empty.
    """
    rank = 0
    leaving = statuses.leaving
    silent = statuses.silent(0)
    for record in _reader_order(roster, centre):
        if record.name == name or rank >= _MAX_RANK:
            return rank
        unavailable = record.name in silent or record.name in leaving
        if not unavailable and record.listing != Listing.leaving:
            rank += 1
    return rank if len(roster) else None


def read_interval(
    rank: int | None,
    read_age: float,
    fleet_size: int,
    rng: random.Random,
) -> float | None:
    """Return the seconds between a process's reads, or None for no reads.

    Args:
        rank: the process's rank in its data centre; None if no instance is
            known and each process must read for itself.
        read_age: seconds since a reader of the data centre last reached the
            platform, as far as is known.
        fleet_size: the number of known processes.
        rng: draws the jitter.

    Returns:
        ``READ_INTERVAL_SECONDS`` for a reader. For the others, once the
        readers have failed to reach the platform for some time, an interval
        that grows with the fleet, so that all of them together stay below a
        fixed rate.
    """
    if rank is not None and rank < READERS_PER_DATA_CENTRE:
        return READ_INTERVAL_SECONDS
    if rank is not None:
        steps = min(rank - READERS_PER_DATA_CENTRE, _MAX_DELAY_STEPS)
        if read_age <= FALLBACK_SECONDS + steps * _RANK_DELAY_SECONDS:
            return None
    interval = max(
        fleet_size * _CALLS_PER_READ / FALLBACK_CALLS_PER_SECOND,
        READ_INTERVAL_SECONDS,
    )
    return interval * rng.uniform(*_JITTER)
