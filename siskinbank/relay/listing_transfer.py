"""Exchange of the listing of the hosts between entries."""

from __future__ import annotations

from siskinbank.relay import messages
from siskinbank.relay.loop import NEVER
from siskinbank.tracking.host_listing import digest_of_addresses

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.node import Node
    from siskinbank.tracking.host_listing import HostListing

__all__ = ('ListingTransfer',)

# Minimum interval between requests, in seconds: several round trips.
_REQUEST_INTERVAL_S = 0.1
# Listings older than this, in seconds, are not requested: they prove nothing
# about the hosts of now.
_MAX_AGE_S = 2.0

_REQUEST = bytes((messages.LISTING_REQUEST,))


class ListingTransfer:
    """Fetches listings that a peer has read, and serves the own one."""

    __slots__ = ('_listing', '_node', '_on_change', '_pieces', '_requested_at')

    def __init__(
        self,
        node: Node,
        listing: HostListing,
        on_change: Callable[[], None],
    ) -> None:
        """Initialize the transfer and register its message handlers.

        Args:
            node: the process that runs the entry.
            listing: the newest listing known here.
            on_change: called after a listing of a peer was applied.
        """
        self._node = node
        self._listing = listing
        self._on_change = on_change
        self._requested_at = NEVER
        self._pieces: dict[int, dict[int, list[bytes]]] = {}
        node.handlers[messages.LISTING_REQUEST] = self._handle_request
        node.handlers[messages.LISTING] = self._handle_piece

    def note_announced(self, digest: int, confirmed_at: float, ip: str) -> None:
        """Record that a peer read a listing; fetch it if it is another one.

        Args:
            digest: digest of the addresses in it.
            confirmed_at: time when the store confirmed it, in seconds.
            ip: address of the peer.
        """
        now = self._node.loop.now
        listing = self._listing
        if (
            confirmed_at <= listing.confirmed_at
            or now - confirmed_at > _MAX_AGE_S
        ):
            return
        if listing.confirm(digest, confirmed_at):
            return
        if now - self._requested_at > _REQUEST_INTERVAL_S:
            self._requested_at = now
            self._node.send(ip, _REQUEST)

    def _handle_request(self, raw: bytes, ip: str) -> None:
        listing = self._listing
        if not listing.known:
            return
        addresses = sorted(listing.addresses)
        starts = range(0, max(1, len(addresses)), messages.MAX_LISTED)
        age_s = self._node.loop.now - listing.confirmed_at
        for index, start in enumerate(starts):
            piece = messages.pack_listing(
                listing.digest,
                age_s,
                index,
                len(starts),
                addresses[start : start + messages.MAX_LISTED],
            )
            self._node.send(ip, piece)

    def _handle_piece(self, raw: bytes, ip: str) -> None:
        digest, age_s, index, count, addresses = messages.read_listing(raw)
        if digest not in self._pieces:
            # Pieces of an older listing are of no use any more.
            self._pieces = {digest: {}}
        pieces = self._pieces[digest]
        pieces[index] = addresses
        if len(pieces) < count:
            return
        self._pieces = {}
        found = [packed for piece in pieces.values() for packed in piece]
        if digest_of_addresses(found) == digest:
            self._listing.replace(found, self._node.loop.now - age_s)
            self._on_change()
