"""Tests of the lease, reader selection and document transfer."""

import random
import unittest

from siskinbank.directory.store import DocumentStore
from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.events import EventLog
from siskinbank.kernel.metrics import Metrics
from siskinbank.lab.virtual_node import CountingLog
from siskinbank.peers.freshness import LEASE_SECONDS, Freshness
from siskinbank.peers.rate import TokenBucket
from siskinbank.peers.readers import (
    FALLBACK_CALLS_PER_SECOND,
    READERS_PER_DATA_CENTRE,
    read_interval,
)
from siskinbank.peers.transfer import PIECE_BYTES, PieceCollector, send_pieces
from siskinbank.util import hex_digest
from siskinbank.wire.gossip import Piece, PieceRequest

PEER = ('10.0.0.1', 7100)
SIZE = 60_000


class TestFreshness(unittest.TestCase):
    """A process that was suspended does not act on outdated state."""

    def setUp(self) -> None:
        """Create a lease that a peer has just renewed."""
        self.clock = FakeClock(100)
        log: EventLog = CountingLog()
        self.lease = Freshness(self.clock, log, random.Random(1))
        self.lease.note_reply(self.lease.nonce)

    def tick(self, count: int) -> None:
        """Let seconds pass while the process runs."""
        for _ in range(count):
            self.clock.advance(1)
            self.lease.tick()

    def test_suspension(self) -> None:
        """After a suspension only a reply to a new request renews the lease."""
        old_nonce = self.lease.nonce
        self.clock.advance(LEASE_SECONDS + 5)
        self.assertFalse(self.lease.fresh)
        self.lease.note_reply(old_nonce)
        self.assertFalse(self.lease.fresh)
        self.lease.tick()
        self.lease.note_reply(self.lease.nonce)
        self.assertTrue(self.lease.fresh)

    def test_isolated(self) -> None:
        """Without replies the process is isolated and continues."""
        self.clock.advance(LEASE_SECONDS + 5)
        self.lease.tick()
        self.assertFalse(self.lease.fresh)
        self.tick(4)
        self.assertTrue(self.lease.fresh)
        self.assertTrue(self.lease.isolated)
        self.clock.advance(LEASE_SECONDS + 5)
        self.assertFalse(self.lease.fresh)


class TestReaders(unittest.TestCase):
    """Which processes read, and how often."""

    def test_cases(self) -> None:
        """Other processes read only when the readers fail."""
        rng = random.Random(1)
        self.assertEqual(read_interval(0, 0, 10, rng), 1)
        self.assertIsNone(read_interval(READERS_PER_DATA_CENTRE, 1, 10, rng))
        self.assertIsNotNone(read_interval(READERS_PER_DATA_CENTRE, 5, 10, rng))
        self.assertIsNone(
            read_interval(READERS_PER_DATA_CENTRE + 9, 5, 10, rng)
        )

    def test_fallback_rate(self) -> None:
        """The total fallback rate is bounded for any fleet size."""
        rng = random.Random(1)
        for size in (100, 1000, 3610):
            with self.subTest(size):
                rate = sum(
                    2 / (read_interval(99, 60, size, rng) or 1)
                    for _ in range(size)
                )
                # The mean of 1/x over the jitter is above 1/mean.
                self.assertLess(rate, 1.2 * FALLBACK_CALLS_PER_SECOND)


class TestTransfer(unittest.TestCase):
    """Documents in pieces, with lost and invalid pieces."""

    def test_lossy_transfer(self) -> None:
        """A document arrives complete though every third piece is lost."""
        clock = FakeClock()
        log = CountingLog()
        raw = random.Random(1).randbytes(SIZE)
        digest = bytes.fromhex(hex_digest(raw))
        source = DocumentStore(log, Metrics())
        source.put_raw(raw)
        store = DocumentStore(log, Metrics())
        requests: list[PieceRequest] = []
        collector = PieceCollector(
            store, lambda sent, _to: requests.append(sent), clock
        )
        rate = TokenBucket(SIZE * 9, SIZE * 9, clock)
        rng = random.Random(2)

        def deliver(sent: Piece, _receiver: object) -> None:
            if rng.random() > 1 / 3:
                collector.add_piece(sent, PEER)

        for _ in range(100):
            collector.request_missing([digest], PEER)
            while requests:
                request = requests.pop()
                send_pieces(request, PEER, source, deliver, rate, Metrics())
            if store.blob(digest):
                break
            clock.advance(0.3)
        self.assertEqual(store.blob(digest), source.blob(digest))

    def test_invalid_pieces(self) -> None:
        """Pieces that were not requested or are invalid are dropped."""
        store = DocumentStore(CountingLog(), Metrics())
        collector = PieceCollector(store, lambda _sent, _to: None, FakeClock())
        digest = bytes(16)
        self.assertFalse(collector.add_piece(Piece(digest, 0, 1, b'x'), PEER))
        collector.request_missing([digest], PEER)
        for piece in (
            Piece(digest, 1, 1, b'x'),
            Piece(digest, -1, 1, b'x'),
            Piece(digest, 0, 1 << 40, b'x'),
            Piece(digest, 0, 1, bytes(PIECE_BYTES + 1)),
            Piece(digest, 0, 1, b'not compressed'),
        ):
            with self.subTest(piece):
                self.assertFalse(collector.add_piece(piece, PEER))
                self.assertIsNone(store.blob(digest))
