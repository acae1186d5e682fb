"""The configuration on its way from one entry to another."""

from __future__ import annotations

from siskinbank.platform.documents import Unreadable
from siskinbank.relay import messages
from siskinbank.relay.log import no_blanks
from siskinbank.relay.loop import NEVER

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.follower import Follower
    from siskinbank.relay.node import Node

__all__ = ('Handover',)

# Bytes of a configuration in one datagram: fits any link unbroken.
_PIECE_BYTES = 1100
# Pauses between questions, in seconds: several ways there and back.
_ASK_S = 0.1


class Handover:
    """Asks peers for a newer configuration, and gives them the own one."""

    __slots__ = (
        '_asked',
        '_follower',
        '_node',
        '_pieces',
        '_taken',
        '_version',
    )

    def __init__(
        self,
        node: Node,
        follower: Follower,
        taken: Callable[[], None],
    ) -> None:
        """Serve the questions of peers from now on."""
        self._node = node
        self._follower = follower
        self._taken = taken
        self._asked = NEVER
        self._version = 0
        self._pieces: dict[int, bytes] = {}
        node.handlers[messages.ASK_CONFIGURATION] = self._give
        node.handlers[messages.CONFIGURATION] = self._hear_piece

    def ask_if_newer(self, version: int, ip: str) -> None:
        """Ask a peer that knows a newer version for it."""
        now = self._node.loop.now
        newer = version > self._follower.configuration.version
        if newer and now - self._asked > _ASK_S:
            self._asked = now
            self._node.send(ip, bytes((messages.ASK_CONFIGURATION,)))

    def _give(self, raw: bytes, ip: str) -> None:
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

    def _hear_piece(self, raw: bytes, ip: str) -> None:
        version, index, count, piece = messages.read_piece(raw)
        known = max(self._follower.configuration.version, self._version - 1)
        if version <= known:
            return
        if version > self._version:
            self._version = version
            self._pieces = {}
        self._pieces[index] = piece
        if len(self._pieces) == count:
            whole = b''.join(self._pieces[step] for step in range(count))
            self._pieces = {}
            self._offer(whole, ip)

    def _offer(self, packed: bytes, ip: str) -> None:
        follower = self._follower
        before = follower.configuration.version
        try:
            taken = follower.configuration.offer_packed(packed)
        except Unreadable as error:
            self._node.log(
                'configuration.refused',
                source=ip,
                reason=no_blanks(error),
            )
            return
        if taken:
            follower.note_configuration(before, ip)
            self._taken()
