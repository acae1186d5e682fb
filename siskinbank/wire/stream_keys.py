"""The keys with which the two sides of one stream authenticated."""

from siskinbank.wire.keys import Key, KeyRing

__all__ = ('StreamKeys',)


class StreamKeys:
    """Compares the keys of an open stream with those that are valid now."""

    def __init__(
        self, ring: KeyRing, own: Key | None, peer: Key | None
    ) -> None:
        """Initialize for a stream that has just been opened.

        Args:
            ring: the keys of this process.
            own: the key that this process presented; None if the peer opened
                the stream, which then checks that key.
            peer: the key that the peer presented; None if it is not valid.
        """
        self._ring = ring
        self._own = own
        self._peer = peer

    @property
    def withdrawn(self) -> bool:
        """Whether a key of the stream is no longer valid."""
        keys = self._ring.keys
        own_withdrawn = self._own is not None and self._own not in keys
        return own_withdrawn or self._peer not in keys

    @property
    def superseded(self) -> bool:
        """Whether this process would open the stream with another key now."""
        return self._own is not None and self._own != self._ring.keys[0]
