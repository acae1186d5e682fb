"""Fetch configuration documents from peers, and serve them."""

import random
from dataclasses import dataclass, field

from siskinbank.config.sections import DocumentKey
from siskinbank.config.site import Address
from siskinbank.directory.store import DocumentStore
from siskinbank.kernel.metrics import Metrics
from siskinbank.peers.joining import Joining
from siskinbank.peers.rate import TokenBucket
from siskinbank.peers.timing import TimerSource
from siskinbank.peers.transfer import PieceCollector, Send, send_pieces
from siskinbank.wire.gossip import Piece, PieceRequest

__all__ = ('DocumentFetch',)

_FETCH_INTERVAL_SECONDS = 0.25
_MAX_SOURCES = 4


@dataclass(slots=True)
class _Candidate:
    key: DocumentKey
    sources: list[Address] = field(default_factory=list)


class DocumentFetch:
    """Fetches one document at a time from the peers that have it.

    Attributes:
        joining: delays the first document until peers have answered.
    """

    def __init__(
        self,
        store: DocumentStore,
        timers: TimerSource,
        send: Send,
        rate: TokenBucket,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        """Initialize; complete documents are passed to ``joining``.

        Args:
            store: receives the fetched documents and holds those to serve.
            timers: schedules retries.
            send: sends a message to a peer.
            rate: limits the bytes sent to peers.
            rng: chooses the peer to ask.
            metrics: counts requests that the rate limit refused.
        """
        self._store = store
        self._timers = timers
        self._send = send
        self._rate = rate
        self._rng = rng
        self._metrics = metrics
        self._collector = PieceCollector(store, send, lambda: timers.now)
        self._candidate: _Candidate | None = None
        self._fetch_scheduled = False
        self.joining = Joining(store, timers, rng)

    def fetch_newer(self, key: DocumentKey, sender: Address) -> None:
        """Fetch a document that a peer has in force, if it is newer."""
        store = self._store
        if key[0] and key > store.in_force and key != store.refused:
            store.raise_floor(key)
            self._add_source(key, sender)
        elif key[0] == store.in_force[0]:
            # Counts and logs a different document of the same generation.
            store.wants(key)

    def fetch_refused(self, refused: list[object], sender: Address) -> None:
        """Fetch a document that a peer has refused, to check it here too."""
        if len(refused) != 2:
            return
        generation, digest = refused
        if not isinstance(generation, int) or not isinstance(digest, bytes):
            return
        key = (generation, digest)
        if generation and key > max(self._store.in_force, self._store.refused):
            self._add_source(key, sender)

    def receive_request(self, request: PieceRequest, sender: Address) -> None:
        """Send the pieces that a peer requests."""
        if request.first >= 0:
            send_pieces(
                request,
                sender,
                self._store,
                self._send,
                self._rate,
                self._metrics,
            )

    def receive_piece(self, piece: Piece, sender: Address) -> None:
        """Store a piece of a requested document."""
        if self._collector.add_piece(piece, sender):
            self._fetch()

    def _add_source(self, key: DocumentKey, sender: Address) -> None:
        candidate = self._candidate
        if candidate is None or key > candidate.key:
            candidate = _Candidate(key)
            self._candidate = candidate
        if key == candidate.key and sender not in candidate.sources:
            candidate.sources = [*candidate.sources, sender][-_MAX_SOURCES:]
            self._fetch()

    def _fetch(self) -> None:
        """Request the missing parts; complete the fetch if there are none."""
        candidate = self._candidate
        if candidate is None:
            return
        try:
            missing = self._store.missing(candidate.key)
        except ValueError as error:
            self._store.refuse(candidate.key, str(error))
            self._candidate = None
            return
        if not missing:
            self._candidate = None
            self.joining.add_document(candidate.key)
            return
        self._collector.request_missing(
            missing, self._rng.choice(candidate.sources)
        )
        if not self._fetch_scheduled:
            self._fetch_scheduled = True
            self._timers.after(_FETCH_INTERVAL_SECONDS, self._fetch_again)

    def _fetch_again(self) -> None:
        self._fetch_scheduled = False
        self._fetch()
