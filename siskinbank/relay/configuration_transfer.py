"""Transfer of the configuration between entries."""

from __future__ import annotations

from siskinbank.platform.documents import DocumentError
from siskinbank.relay import messages
from siskinbank.relay.log import log_value
from siskinbank.relay.loop import NEVER

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.follower import StoreFollower
    from siskinbank.relay.node import Node

__all__ = ('ConfigurationTransfer',)

# Bytes of configuration per datagram: fits any link without IP fragmentation.
_PIECE_BYTES = 1100
# Minimum interval between requests, and after the last piece received, in
# seconds: several round trips. A large configuration takes longer over a
# low-bandwidth link.
_REQUEST_INTERVAL_S = 0.1


class ConfigurationTransfer:
    """Fetches newer configurations and serves the one in force to peers."""

    __slots__ = (
        '_follower',
        '_node',
        '_on_change',
        '_pending_version',
        '_pieces',
        '_requested_at',
    )

    def __init__(
        self,
        node: Node,
        follower: StoreFollower,
        on_change: Callable[[], None],
    ) -> None:
        """Initialize the transfer and register its message handlers.

        Args:
            node: the process that runs the entry.
            follower: holds the configuration in force.
            on_change: called after a newer configuration was applied.
        """
        self._node = node
        self._follower = follower
        self._on_change = on_change
        self._requested_at = NEVER
        self._pending_version = 0
        self._pieces: dict[int, bytes] = {}
        node.handlers[messages.CONFIGURATION_REQUEST] = self._handle_request
        node.handlers[messages.CONFIGURATION] = self._handle_piece

    def fetch_if_newer(self, version: int, ip: str) -> None:
        """Request the configuration of a peer that has a newer version."""
        now = self._node.loop.now
        newer = version > self._follower.configuration.version
        if newer and now - self._requested_at > _REQUEST_INTERVAL_S:
            self._requested_at = now
            self._node.send(ip, bytes((messages.CONFIGURATION_REQUEST,)))

    def _handle_request(self, raw: bytes, ip: str) -> None:
        configuration = self._follower.configuration
        if not configuration.version:
            return
        packed = configuration.packed
        starts = range(0, len(packed), _PIECE_BYTES)
        for index, start in enumerate(starts):
            piece = messages.pack_piece(
                configuration.version,
                index,
                len(starts),
                packed[start : start + _PIECE_BYTES],
            )
            self._node.send(ip, piece)

    def _handle_piece(self, raw: bytes, ip: str) -> None:
        version, index, count, piece = messages.read_piece(raw)
        known = max(
            self._follower.configuration.version, self._pending_version - 1
        )
        if version <= known:
            return
        self._requested_at = self._node.loop.now
        if version > self._pending_version:
            self._pending_version = version
            self._pieces = {}
        self._pieces[index] = piece
        if len(self._pieces) == count:
            whole = b''.join(self._pieces[step] for step in range(count))
            self._pieces = {}
            self._apply(whole, ip)

    def _apply(self, packed: bytes, ip: str) -> None:
        follower = self._follower
        before = follower.configuration.version
        try:
            applied = follower.configuration.apply_packed(packed)
        except DocumentError as error:
            self._node.log(
                'configuration.refused',
                source=ip,
                reason=log_value(error),
            )
            return
        if applied:
            follower.note_configuration(before, ip)
            follower.update_hosts()
            self._on_change()
