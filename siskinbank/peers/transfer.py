"""Pass compressed documents between processes in bounded datagrams."""

from collections.abc import Callable
from dataclasses import dataclass, field

from siskinbank.config.site import Address
from siskinbank.kernel.clock import Clock
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Ignored
from siskinbank.peers.rate import TokenBucket
from siskinbank.directory.store import MAX_VALUE_BYTES, DocumentStore
from siskinbank.wire.checks import is_number
from siskinbank.wire.gossip import Ask, Piece
from siskinbank.wire.messages import Message

__all__ = ('PIECE_BYTES', 'Fetcher', 'serve_ask')

#: Small enough for one frame of 1,500 bytes with all headers.
PIECE_BYTES = 1100
_BURST_PIECES = 16
_MAX_PIECES = MAX_VALUE_BYTES // PIECE_BYTES + 1
_IN_FLIGHT = 16
_RETRY_SECONDS = 0.25

Send = Callable[[Message, Address], None]


def serve_ask(
    asked: Ask,
    asker: Address,
    store: DocumentStore,
    send: Send,
    rate: TokenBucket,
    metrics: Metrics,
) -> None:
    """Send the next pieces of a document that a peer asks for."""
    blob = store.blob(asked.digest)
    if blob is None:
        return
    total = max(-(-len(blob) // PIECE_BYTES), 1)
    last = min(asked.first + _BURST_PIECES, total)
    for index in range(asked.first, last):
        content = blob[index * PIECE_BYTES : (index + 1) * PIECE_BYTES]
        if not rate.take(len(content)):
            metrics.count(Ignored.over_rate)
            return
        send(Piece(asked.digest, index, total, content), asker)


@dataclass(slots=True)
class _Partial:
    asked_at: float
    pieces: dict[int, bytes] = field(default_factory=dict)
    total: int = 0

    @property
    def first_missing(self) -> int:
        index = 0
        while index in self.pieces:
            index += 1
        return index

    @property
    def whole(self) -> bytes | None:
        if not self.total or len(self.pieces) < self.total:
            return None
        return b''.join(self.pieces[index] for index in range(self.total))


class Fetcher:
    """Collects the pieces of the documents that are wanted."""

    def __init__(self, store: DocumentStore, send: Send, clock: Clock) -> None:
        """Put whole documents into ``store``."""
        self._store = store
        self._send = send
        self._clock = clock
        self._partials: dict[bytes, _Partial] = {}

    def want(self, digests: list[bytes], source: Address) -> None:
        """Ask ``source`` for what is not asked for, or was not answered."""
        now = self._clock()
        wanted = digests[:_IN_FLIGHT]
        self._partials = {
            digest: partial
            for digest, partial in self._partials.items()
            if digest in wanted
        }
        for digest in wanted:
            partial = self._partials.get(digest)
            if partial is None:
                self._partials[digest] = _Partial(now)
                self._send(Ask(digest, 0), source)
            elif now - partial.asked_at >= _RETRY_SECONDS:
                partial.asked_at = now
                self._send(Ask(digest, partial.first_missing), source)

    def take(self, piece: Piece, sender: Address) -> bool:
        """Take a piece; return whether a document became whole."""
        partial = self._partials.get(piece.digest)
        if partial is None or not _is_sound(piece, partial):
            return False
        partial.total = piece.total
        partial.pieces[piece.index] = piece.content
        partial.asked_at = self._clock()
        blob = partial.whole
        if blob is None:
            self._ask_next(piece, partial, sender)
            return False
        del self._partials[piece.digest]
        return self._store.put_blob(piece.digest, blob)

    def _ask_next(
        self,
        piece: Piece,
        partial: _Partial,
        sender: Address,
    ) -> None:
        """Go on at the end of a burst without waiting for the timer."""
        if (piece.index + 1) % _BURST_PIECES == 0:
            self._send(Ask(piece.digest, partial.first_missing), sender)


def _is_sound(piece: Piece, partial: _Partial) -> bool:
    if not is_number(piece.total, _MAX_PIECES + 1):
        return False
    if not is_number(piece.index, piece.total):
        return False
    if len(piece.content) > PIECE_BYTES:
        return False
    return partial.total in {0, piece.total}
