"""Synchronize rosters with peers, bucket by bucket."""

import random

from siskinbank.config.site import Address
from siskinbank.directory.roster import (
    BUCKET_DIGEST_BYTES,
    BUCKETS,
    Record,
    Roster,
    parse_record,
)
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop, Ignored
from siskinbank.peers.rate import TokenBucket
from siskinbank.peers.transfer import Send
from siskinbank.wire.gossip import Bucket, Buckets

__all__ = ('RosterSync', 'parse_records')

_BUCKETS_PER_REPLY = 32
#: Assumed size of a record in a message, for the rate limit.
_RECORD_BYTES = 45


def parse_records(
    received_records: list[object], metrics: Metrics
) -> list[Record]:
    """Return the valid records of a message; count malformed ones."""
    records = [parse_record(parts) for parts in received_records]
    valid = [record for record in records if record is not None]
    if len(valid) < len(received_records):
        metrics.count(Drop.malformed)
    return valid


class RosterSync:
    """Sends digests and buckets within the upload rate."""

    def __init__(
        self,
        send: Send,
        rate: TokenBucket,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        """Initialize the synchronization of one process.

        Args:
            send: sends a message to a peer.
            rate: limits the bytes sent.
            rng: chooses which differing buckets to send.
            metrics: counts malformed messages and buckets that exceed the rate.
        """
        self._send = send
        self._rate = rate
        self._rng = rng
        self._metrics = metrics

    def send_digests(self, roster: Roster, peer: Address) -> None:
        """Send a peer the digests of all buckets."""
        if self._rate.take(BUCKETS * BUCKET_DIGEST_BYTES):
            self._send(Buckets(roster.digests), peer)

    def answer_digests(
        self,
        received: Buckets,
        roster: Roster,
        peer: Address,
    ) -> None:
        """Send buckets that differ, and request the peer's records of them."""
        if len(received.digests) != BUCKETS * BUCKET_DIGEST_BYTES:
            self._metrics.count(Drop.malformed)
            return
        differing = roster.differing(received.digests)
        self._rng.shuffle(differing)
        for index in differing[:_BUCKETS_PER_REPLY]:
            self.send_bucket(index, roster, peer, wanted=True)

    def send_bucket(
        self,
        index: int,
        roster: Roster,
        peer: Address,
        *,
        wanted: bool,
    ) -> None:
        """Send one bucket; ``wanted`` requests the peer's records in return."""
        records = [record.parts for record in roster.bucket(index)]
        if self._rate.take(_RECORD_BYTES * (len(records) + 1)):
            self._send(Bucket(index, wanted, records), peer)
        else:
            self._metrics.count(Ignored.over_rate)
