"""Tests of the lease, the reads by rank, and documents in pieces."""

import random
import unittest

from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.events import EventLog
from siskinbank.kernel.metrics import Metrics
from siskinbank.lab.virtual import QuietLog
from siskinbank.peers.freshness import LEASE_SECONDS, Freshness
from siskinbank.peers.rate import TokenBucket
from siskinbank.peers.readers import FALLBACK_CALLS, READERS, read_interval
from siskinbank.peers.transfer import PIECE_BYTES, Fetcher, serve_ask
from siskinbank.directory.store import DocumentStore
from siskinbank.util import hex_digest
from siskinbank.wire.gossip import Ask, Piece

PEER = ('10.0.0.1', 7100)
SIZE = 60_000


class TestFreshness(unittest.TestCase):
    """A process that wakes late does not act on old beliefs."""

    def setUp(self) -> None:
        """Make a lease that a peer has just renewed."""
        self.clock = FakeClock(100)
        log: EventLog = QuietLog()
        self.lease = Freshness(self.clock, log, random.Random(1))
        self.lease.hear(self.lease.nonce)

    def tick(self, count: int) -> None:
        """Let seconds pass awake."""
        for _ in range(count):
            self.clock.advance(1)
            self.lease.tick()

    def test_pause(self) -> None:
        """After a pause only an answer to a new question counts."""
        old = self.lease.nonce
        self.clock.advance(LEASE_SECONDS + 5)
        self.assertFalse(self.lease.fresh)
        self.lease.hear(old)
        self.assertFalse(self.lease.fresh)
        self.lease.tick()
        self.lease.hear(self.lease.nonce)
        self.assertTrue(self.lease.fresh)

    def test_alone(self) -> None:
        """When nobody answers, the process goes on after a while awake."""
        self.clock.advance(LEASE_SECONDS + 5)
        self.lease.tick()
        self.assertFalse(self.lease.fresh)
        self.tick(4)
        self.assertTrue(self.lease.fresh)
        self.assertTrue(self.lease.isolated)
        self.clock.advance(LEASE_SECONDS + 5)
        self.assertFalse(self.lease.fresh)


class TestReaders(unittest.TestCase):
    """Who reads, and how often."""

    def test_cases(self) -> None:
        """Readers read; others only when their readers are silent."""
        rng = random.Random(1)
        self.assertEqual(read_interval(0, 0, 10, rng), 1)
        self.assertIsNone(read_interval(READERS, 1, 10, rng))
        self.assertIsNotNone(read_interval(READERS, 5, 10, rng))
        self.assertIsNone(read_interval(READERS + 9, 5, 10, rng))

    def test_fallback_rate(self) -> None:
        """All together stay below the fixed rate, whatever the fleet."""
        rng = random.Random(1)
        for size in (100, 1000, 3610):
            with self.subTest(size):
                rate = sum(
                    2 / (read_interval(99, 60, size, rng) or 1)
                    for _ in range(size)
                )
                # The mean of 1/x over the jitter is above 1/mean.
                self.assertLess(rate, 1.2 * FALLBACK_CALLS)


class TestTransfer(unittest.TestCase):
    """Documents in pieces, over a link that loses and lies."""

    def test_lossy_transfer(self) -> None:
        """A document arrives whole though every third piece is lost."""
        clock = FakeClock()
        log = QuietLog()
        raw = random.Random(1).randbytes(SIZE)
        digest = bytes.fromhex(hex_digest(raw))
        source = DocumentStore(log, Metrics())
        source.put_raw(raw)
        store = DocumentStore(log, Metrics())
        asks: list[Ask] = []
        fetcher = Fetcher(store, lambda sent, _to: asks.append(sent), clock)
        rate = TokenBucket(SIZE * 9, SIZE * 9, clock)
        rng = random.Random(2)

        def deliver(sent: Piece, _receiver: object) -> None:
            if rng.random() > 1 / 3:
                fetcher.take(sent, PEER)

        for _ in range(100):
            fetcher.want([digest], PEER)
            while asks:
                asked = asks.pop()
                serve_ask(asked, PEER, source, deliver, rate, Metrics())
            if store.blob(digest):
                break
            clock.advance(0.3)
        self.assertEqual(store.blob(digest), source.blob(digest))

    def test_unsound_pieces(self) -> None:
        """Pieces that nobody asked for or that do not fit are dropped."""
        store = DocumentStore(QuietLog(), Metrics())
        fetcher = Fetcher(store, lambda _sent, _to: None, FakeClock())
        digest = bytes(16)
        self.assertFalse(fetcher.take(Piece(digest, 0, 1, b'x'), PEER))
        fetcher.want([digest], PEER)
        for piece in (
            Piece(digest, 1, 1, b'x'),
            Piece(digest, -1, 1, b'x'),
            Piece(digest, 0, 1 << 40, b'x'),
            Piece(digest, 0, 1, bytes(PIECE_BYTES + 1)),
            Piece(digest, 0, 1, b'not compressed'),
        ):
            with self.subTest(piece):
                self.assertFalse(fetcher.take(piece, PEER))
                self.assertIsNone(store.blob(digest))
