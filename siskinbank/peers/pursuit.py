"""Go after documents that peers have, and pass on one's own."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from siskinbank.config.sections import DocumentKey
from siskinbank.config.site import Address
from siskinbank.kernel.metrics import Metrics
from siskinbank.peers.rate import TokenBucket
from siskinbank.peers.timing import TimerSource
from siskinbank.peers.transfer import Fetcher, Send, serve_ask
from siskinbank.directory.store import DocumentStore
from siskinbank.wire.gossip import Ask, Piece

__all__ = ('Pursuit',)

_FETCH_SECONDS = 0.25
_SOURCES = 4


@dataclass(slots=True)
class _Candidate:
    key: DocumentKey
    sources: list[Address] = field(default_factory=list)


class Pursuit:
    """The one document that a process fetches from its peers at a time."""

    def __init__(
        self,
        store: DocumentStore,
        timers: TimerSource,
        send: Send,
        rate: TokenBucket,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        """Fetch into ``store``; ``on_complete`` gets what is complete."""
        self._store = store
        self._timers = timers
        self._send = send
        self._rate = rate
        self._rng = rng
        self._metrics = metrics
        self._fetcher = Fetcher(store, send, lambda: timers.now)
        self._candidate: _Candidate | None = None
        self._due = False
        self.on_complete: Callable[[DocumentKey], object] = _ignore

    def consider(self, key: DocumentKey, sender: Address) -> None:
        """Go after a document that a peer has in force."""
        store = self._store
        if key[0] and key > store.in_force and key != store.refused:
            store.raise_floor(key)
            self._follow(key, sender)
        elif key[0] == store.in_force[0]:
            store.wants(key)

    def consider_refused(self, refused: list[object], sender: Address) -> None:
        """Judge for oneself what a peer has refused."""
        if len(refused) != 2:
            return
        generation, digest = refused
        if not isinstance(generation, int) or not isinstance(digest, bytes):
            return
        key = (generation, digest)
        if generation and key > max(self._store.in_force, self._store.refused):
            self._follow(key, sender)

    def take_ask(self, asked: Ask, sender: Address) -> None:
        """Send what a peer asks for."""
        if asked.first >= 0:
            serve_ask(
                asked,
                sender,
                self._store,
                self._send,
                self._rate,
                self._metrics,
            )

    def take_piece(self, piece: Piece, sender: Address) -> None:
        """Take a piece of what was asked for."""
        if self._fetcher.take(piece, sender):
            self._fetch()

    def _follow(self, key: DocumentKey, sender: Address) -> None:
        candidate = self._candidate
        if candidate is None or key > candidate.key:
            candidate = _Candidate(key)
            self._candidate = candidate
        if key == candidate.key and sender not in candidate.sources:
            candidate.sources = [*candidate.sources, sender][-_SOURCES:]
            self._fetch()

    def _fetch(self) -> None:
        """Ask for what is missing, or adopt when nothing is."""
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
            self.on_complete(candidate.key)
            return
        self._fetcher.want(missing, self._rng.choice(candidate.sources))
        if not self._due:
            self._due = True
            self._timers.after(_FETCH_SECONDS, self._fetch_again)

    def _fetch_again(self) -> None:
        self._due = False
        self._fetch()


def _ignore(_key: DocumentKey) -> None:
    """Nobody adopts documents yet."""
