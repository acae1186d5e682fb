"""Selection of the process that reads the store, without an election.

Load pattern: every call to the store has a price and counts towards a shared
rate limit, while a change must be in force everywhere within about three
seconds, even if the last reader has failed, is partitioned, or is refused by
the store. Every process receives the age of the newest data. The process with
the lowest rank reads as soon as a read is due; the next ones read only if it
did not.
"""

from __future__ import annotations

from zlib import crc32

from siskinbank.relay.loop import NEVER

__all__ = (
    'EntryReads',
    'StoreAvailability',
    'hosts_read_age_s',
    'operator_read_age_s',
    'pause_after_failures_s',
    'reader_rank',
    'sidecar_pause_after_failures_s',
)

# Ages at which data is read again, in seconds, by the first reader and by the
# next ones, with a step for each further rank. From a host's announcement that
# it drains to its last new flow, three seconds are allowed; the first reader
# leaves two of them to the readers after it.
_HOSTS_AGE_FIRST_S = 0.7
_HOSTS_AGE_NEXT_S = 1.2
_OPERATOR_AGE_NEXT_S = 1.5
_RANK_STEP_S = 0.25
# Number of ranks after which the age no longer increases, and of doublings of
# the pause after failed calls.
_MAX_STEPS = 4
# A sidecar reads the store itself when the newest listing behind a record from an
# entry is older than this, and then at this interval, in seconds.
_SIDECAR_READ_AGE_S = 2.1
# The same for the operator keys: an entry that takes over for another one may
# have read them this long ago when it sends the next record.
_SIDECAR_OPERATOR_AGE_S = 3.5
# A sidecar that has just started reads the store itself this much later, in
# seconds: entries that started at the same time send no records until the hosts
# have had the time to register.
_START_GRACE_S = 1.5

# Hosts whose records expired during an outage of the store are registered again
# within two seconds of its return. Until this time after its return, in
# seconds, a missing record does not show that the host is gone.
_RECOVERY_S = 2.3
# If no process got a listing for this long, in seconds, the store was
# unavailable.
_OUTAGE_S = 2.0

# Pauses after failed calls, in seconds: doubled each time, as calls to a store
# that is down have a price too; the first reader notices its return within a
# second.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.8
_MAX_PAUSE_OTHERS_S = 1.6
# Pause of a sidecar after a failed call, in seconds: there are many of them, and
# they read the store only if no entry can.
_SIDECAR_PAUSE_S = 3.2


class StoreAvailability:
    """Availability of the store, to judge whether a missing host is gone.

    Load pattern: host records expire during an outage of the store, and are
    written again within two seconds of its return. Processes notice the return
    at different times, some only from a peer. If a process did not read for a
    while because others did, that was no outage.
    """

    __slots__ = ('_confirmed_at', '_returned_at')

    def __init__(self) -> None:
        """Initialize the state before the first listing."""
        self._confirmed_at = NEVER
        self._returned_at = NEVER

    def note_listing(self, now: float, confirmed_at: float) -> None:
        """Record that the store answered with a listing of the hosts.

        Args:
            now: time in seconds.
            confirmed_at: time of the answer, to this process or to another one
                that announced it.
        """
        if now - confirmed_at > _OUTAGE_S:
            # Too old to show that the store is available now.
            return
        if confirmed_at - self._confirmed_at > _OUTAGE_S:
            self._returned_at = confirmed_at
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def note_new_era(self, now: float) -> None:
        """Record that the store came back from an older copy.

        Records that hosts wrote since that copy are missing until they are
        written again.
        """
        self._returned_at = now

    def absence_is_reliable(self, now: float) -> bool:
        """Return whether a host without a record in the store is gone."""
        return (
            self._returned_at > NEVER and now - self._returned_at > _RECOVERY_S
        )


class EntryReads:
    """When entries last read what they send to a sidecar.

    Load pattern: a network partition separates a sidecar from the entry that
    reads the store, or that entry gets the listings of the hosts and not the
    operator keys. The sidecar reads both itself until an entry sends it records
    of fresh reads again. What it reads itself does not count here: it would put
    off its next read.
    """

    __slots__ = ('_hosts_at', '_operator_at')

    def __init__(self, started: float) -> None:
        """Initialize the state before the first record.

        Load pattern: all processes start at once, before the hosts have written
        their records; no entry has a record to send yet, and each sidecar would
        read the store.

        Args:
            started: time when the sidecar started, in seconds.
        """
        self._hosts_at = started + _START_GRACE_S
        self._operator_at = started + _START_GRACE_S

    def note(self, hosts_at: float, operator_at: float) -> None:
        """Record the reads behind a record from an entry.

        Args:
            hosts_at: time when the entry listed the hosts, in seconds.
            operator_at: time when it read the operator keys, in seconds.
        """
        self._hosts_at = max(self._hosts_at, hosts_at)
        self._operator_at = max(self._operator_at, operator_at)

    def sidecar_should_read(self, now: float, own_read_at: float) -> bool:
        """Return whether a sidecar reads the store itself.

        Args:
            now: time in seconds.
            own_read_at: time when the sidecar itself last read the keys in
                question, in seconds.
        """
        are_fresh = (
            now - self._hosts_at <= _SIDECAR_READ_AGE_S
            and now - self._operator_at <= _SIDECAR_OPERATOR_AGE_S
        )
        return not are_fresh and now - own_read_at > _SIDECAR_READ_AGE_S


def reader_rank(own: bytes, others: list[bytes]) -> int:
    """Return the rank of an address among the live readers, from 0.

    The order is that of a hash, so that the first readers are spread over the
    data centres, whose addresses are contiguous.
    """
    own_hash = crc32(own)
    return sum(1 for other in others if crc32(other) < own_hash)


def hosts_read_age_s(rank: int) -> float:
    """Return the age in seconds at which the host records are read again."""
    if rank == 0:
        return _HOSTS_AGE_FIRST_S
    return _HOSTS_AGE_NEXT_S + _RANK_STEP_S * min(rank - 1, _MAX_STEPS)


def operator_read_age_s(rank: int) -> float:
    """Return the age in seconds at which the operator keys are read again."""
    if rank == 0:
        return 0
    return _OPERATOR_AGE_NEXT_S + _RANK_STEP_S * min(rank - 1, _MAX_STEPS)


def sidecar_pause_after_failures_s(failures: int) -> float:
    """Return the pause of a sidecar in seconds after failed calls."""
    return _SIDECAR_PAUSE_S if failures else 0


def pause_after_failures_s(failures: int, rank: int) -> float:
    """Return the pause in seconds after consecutive failed calls."""
    if not failures:
        return 0
    longest = _MAX_PAUSE_S if rank == 0 else _MAX_PAUSE_OTHERS_S
    doublings = min(failures - 1, _MAX_STEPS)
    return min(longest, _FIRST_PAUSE_S * (1 << doublings))
