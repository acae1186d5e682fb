"""Transfer compressed documents between processes in small datagrams."""

from collections.abc import Callable
from dataclasses import dataclass, field

from siskinbank.config.site import Address
from siskinbank.directory.store import MAX_VALUE_BYTES, DocumentStore
from siskinbank.kernel.clock import Clock
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Ignored
from siskinbank.peers.rate import TokenBucket
from siskinbank.wire.checks import is_number_below
from siskinbank.wire.gossip import Piece, PieceRequest
from siskinbank.wire.messages import Message

__all__ = ('PIECE_BYTES', 'PieceCollector', 'send_pieces')

#: Fits one frame of 1,500 bytes together with all headers.
PIECE_BYTES = 1100
_PIECES_PER_REQUEST = 16
_MAX_PIECES = MAX_VALUE_BYTES // PIECE_BYTES + 1
_MAX_PARALLEL_DOCUMENTS = 16
_RETRY_SECONDS = 0.25

Send = Callable[[Message, Address], None]


def send_pieces(
    request: PieceRequest,
    requester: Address,
    store: DocumentStore,
    send: Send,
    rate: TokenBucket,
    metrics: Metrics,
) -> None:
    """Send the next pieces of a document that a peer requests."""
    blob = store.blob(request.digest)
    if blob is None:
        return
    total = max(-(-len(blob) // PIECE_BYTES), 1)
    last = min(request.first + _PIECES_PER_REQUEST, total)
    for index in range(request.first, last):
        content = blob[index * PIECE_BYTES : (index + 1) * PIECE_BYTES]
        if not rate.take(len(content)):
            metrics.count(Ignored.over_rate)
            return
        send(Piece(request.digest, index, total, content), requester)


@dataclass(slots=True)
class _PartialDocument:
    last_activity_at: float
    pieces: dict[int, bytes] = field(default_factory=dict)
    total: int = 0

    @property
    def first_missing(self) -> int:
        index = 0
        while index in self.pieces:
            index += 1
        return index

    @property
    def blob(self) -> bytes | None:
        if not self.total or len(self.pieces) < self.total:
            return None
        return b''.join(self.pieces[index] for index in range(self.total))


class PieceCollector:
    """Requests and assembles the pieces of missing documents."""

    def __init__(self, store: DocumentStore, send: Send, clock: Clock) -> None:
        """Initialize; complete documents are put into ``store``."""
        self._store = store
        self._send = send
        self._clock = clock
        self._partials: dict[bytes, _PartialDocument] = {}

    def request_missing(self, digests: list[bytes], source: Address) -> None:
        """Request documents from ``source``.

        Documents that were requested already are requested again only if no
        piece has arrived for some time.
        """
        now = self._clock()
        wanted = digests[:_MAX_PARALLEL_DOCUMENTS]
        self._partials = {
            digest: partial
            for digest, partial in self._partials.items()
            if digest in wanted
        }
        for digest in wanted:
            partial = self._partials.get(digest)
            if partial is None:
                self._partials[digest] = _PartialDocument(now)
                self._send(PieceRequest(digest, 0), source)
            elif now - partial.last_activity_at >= _RETRY_SECONDS:
                partial.last_activity_at = now
                self._send(PieceRequest(digest, partial.first_missing), source)

    def add_piece(self, piece: Piece, sender: Address) -> bool:
        """Add a piece; return whether this completed a document."""
        partial = self._partials.get(piece.digest)
        if partial is None or not _is_valid(piece, partial):
            return False
        partial.total = piece.total
        partial.pieces[piece.index] = piece.content
        partial.last_activity_at = self._clock()
        blob = partial.blob
        if blob is None:
            self._request_next(piece, partial, sender)
            return False
        del self._partials[piece.digest]
        return self._store.put_blob(piece.digest, blob)

    def _request_next(
        self,
        piece: Piece,
        partial: _PartialDocument,
        sender: Address,
    ) -> None:
        """Request the next pieces at once, after the last one of a request."""
        if (piece.index + 1) % _PIECES_PER_REQUEST == 0:
            self._send(
                PieceRequest(piece.digest, partial.first_missing), sender
            )


def _is_valid(piece: Piece, partial: _PartialDocument) -> bool:
    if not is_number_below(piece.total, _MAX_PIECES + 1):
        return False
    if not is_number_below(piece.index, piece.total):
        return False
    if len(piece.content) > PIECE_BYTES:
        return False
    return partial.total in {0, piece.total}
