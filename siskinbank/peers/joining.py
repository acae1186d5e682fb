"""What a process without a configuration waits for before it adopts one.

A process that was restarted adopts no document before peers have shown which
one is in force: the platform may serve an older document, and so may a peer
that missed the last publication.
"""

import random
from collections.abc import Callable, Collection

from siskinbank.config.sections import DocumentKey
from siskinbank.config.site import Address
from siskinbank.directory.roster import Record
from siskinbank.directory.store import DocumentStore
from siskinbank.peers.timing import TimerSource
from siskinbank.wire.gossip import FRESH, Announce

__all__ = ('JoinAnswers', 'Joining')

_WANTED_ANSWERS = 3
#: Peers drawn at random coincide in a small fleet, and answers may be lost.
_MIN_ASKED = 5
#: Limit on the peers that a process asks while none of them can tell it the
#: document in force. With nine of ten processes restarting, 64 peers miss one
#: that knows in 0.1% of the starts.
_MAX_ASKED = 64
#: A document of a peer waits this long for the answers of further peers.
_PEER_WAIT_SECONDS = 0.5
#: A document of the platform waits longer: no process vouches for it.
_PLATFORM_WAIT_SECONDS = 1.5


class JoinAnswers:
    """The peers that a process without a configuration asked, and who answered.

    Load pattern: many processes restart at once while the platform serves an
    older document. Most peers that a process asks know nothing themselves, and
    an answer without a configuration does not tell which one is in force.

    Attributes:
        asked: addresses that were sent an announcement without configuration.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._answered: set[str] = set()
        self._knowing: set[str] = set()
        self.asked: set[Address] = set()

    def note_asked(self, peer: Address) -> None:
        """Record that a peer was sent an announcement."""
        if len(self.asked) < _MAX_ASKED:
            self.asked.add(peer)

    def note_answer(self, name: str, *, knows: bool) -> None:
        """Record an announcement of a peer.

        Args:
            name: name of the peer.
            knows: whether the peer is fresh and has a configuration.
        """
        self._answered.add(name)
        if knows:
            self._knowing.add(name)

    def suffice(self, peers: Collection[Record] | None) -> bool:
        """Return whether the peers have shown the document in force.

        Args:
            peers: the peers that can be asked; None if none is known yet.
        """
        if len(self._knowing) >= _WANTED_ANSWERS:
            return True
        return peers is not None and all(
            peer.name in self._answered for peer in peers
        )

    def unasked(self, peers: Collection[Record]) -> list[Address]:
        """Return the peers that may still be asked; none at the limit."""
        if len(self.asked) >= _MAX_ASKED:
            return []
        return [
            peer.address for peer in peers if peer.address not in self.asked
        ]


class Joining:
    """Delays the first configuration of a process until peers have answered.

    Attributes:
        peers: returns the peers that can be asked; None if none is known yet.
        on_ask: called with the address of each further peer to ask.
        on_settled: called with each complete document that may be adopted, in
            ascending order.
    """

    def __init__(
        self,
        store: DocumentStore,
        timers: TimerSource,
        rng: random.Random,
    ) -> None:
        """Initialize without answers.

        Args:
            store: tells whether a configuration is in force.
            timers: limits the wait.
            rng: chooses the peers to ask.
        """
        self._store = store
        self._timers = timers
        self._rng = rng
        self._answers = JoinAnswers()
        self._started_at = timers.now
        self._waiting: set[DocumentKey] = set()
        self.peers: Callable[[], list[Record] | None] = lambda: None
        self.on_ask: Callable[[Address], None] = _ignore
        self.on_settled: Callable[[DocumentKey], object] = _ignore

    @property
    def joined(self) -> bool:
        """Whether the process may adopt a document of the platform."""
        return self._is_settled(_PLATFORM_WAIT_SECONDS)

    def restart(self) -> None:
        """Start the time limits again; the answers are kept."""
        self._started_at = self._timers.now
        self._timers.after(_PEER_WAIT_SECONDS, self.adopt_waiting)

    def note_announced(self, peer: Address) -> None:
        """Record that a peer was told the configuration of this process."""
        if not self._store.in_force[0]:
            self._answers.note_asked(peer)

    def take_told(self) -> set[Address]:
        """Return the peers that saw this process without a configuration."""
        told, self._answers.asked = self._answers.asked, set()
        return told

    def receive(self, received: Announce) -> None:
        """Record an answer; ask another peer if it shows no configuration.

        Another one is asked as well while few have been. A process that has
        just resumed after a suspension is not fresh: it shows the configuration
        that was in force before.
        """
        if self._store.in_force[0]:
            return
        knows = bool(received.generation and received.flags & FRESH)
        self._answers.note_answer(received.name, knows=knows)
        if knows and len(self._answers.asked) >= _MIN_ASKED:
            return
        unasked = self._answers.unasked(self.peers() or [])
        if unasked:
            self.on_ask(self._rng.choice(unasked))

    def add_document(self, key: DocumentKey) -> None:
        """Add a complete document of a peer, to be adopted when it may be."""
        self._waiting.add(key)
        self.adopt_waiting()

    def adopt_waiting(self) -> None:
        """Pass on the complete documents if they may be adopted."""
        if not self._waiting or not self._is_settled(_PEER_WAIT_SECONDS):
            return
        # The store ignores documents below the highest one in force at a peer.
        # One above it may be invalid, so it comes last.
        waiting, self._waiting = sorted(self._waiting), set()
        for key in waiting:
            self.on_settled(key)

    def _is_settled(self, limit: float) -> bool:
        if self._store.in_force[0]:
            return True
        if self._timers.now - self._started_at >= limit:
            return True
        return self._answers.suffice(self.peers())


def _ignore(_argument: object) -> None:
    """Default of ``on_ask`` and ``on_settled``."""
