"""Addresses of the hosts in the store, from the last listing known here."""

from __future__ import annotations

from zlib import crc32

from siskinbank.relay.loop import NEVER

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('HostListing', 'digest_of_addresses')


class HostListing:
    """The newest listing that this process or a peer has read.

    Load pattern: dozens of entries need a listing that is about a second old
    to tell hosts that are gone from silent ones, and every call to the store
    has a price. One process reads; the others compare a digest.

    Attributes:
        addresses: addresses of the hosts, packed.
        digest: digest of these addresses.
        confirmed_at: time when the store confirmed them, in seconds.
    """

    __slots__ = ('addresses', 'confirmed_at', 'digest')

    def __init__(self) -> None:
        """Create the state before the first listing."""
        self.addresses: frozenset[bytes] = frozenset()
        self.digest = 0
        self.confirmed_at = NEVER

    @property
    def known(self) -> bool:
        """Whether there has been a listing."""
        return self.confirmed_at > NEVER

    def replace(self, addresses: Iterable[bytes], confirmed_at: float) -> None:
        """Apply a listing unless it is older."""
        if confirmed_at >= self.confirmed_at:
            self.addresses = frozenset(addresses)
            self.digest = digest_of_addresses(self.addresses)
            self.confirmed_at = confirmed_at

    def confirm(self, digest: int, confirmed_at: float) -> bool:
        """Apply a listing by its digest; return whether it is the known one."""
        if not self.known or digest != self.digest:
            return False
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return True


def digest_of_addresses(addresses: Iterable[bytes]) -> int:
    """Return a digest of a set of packed addresses."""
    return crc32(b''.join(sorted(addresses)))
