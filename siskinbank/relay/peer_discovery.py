"""Discovery of other entries, and of the hosts that only they know.

Load pattern: an entry is added whose seeds are stale or down. Sidecars that the
store lists know other entries, and these know the hosts that serve though the
store does not list them. A search for a flow must not end before they have said
so.
"""

from __future__ import annotations

from siskinbank.relay.loop import NEVER
from siskinbank.relay.rotation import Rotation

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ('PeerDiscovery',)

# Processes that are asked in each round of hellos until an entry has sent its
# hosts: single datagrams may be lost, and some processes may have ended.
_ASKED_PER_ROUND = 3
# Time after the start for which an answer of other entries is waited for, in
# seconds: longer than a single one takes after a pause.
_MAX_WAIT_S = 1.0


class PeerDiscovery:
    """What a starting entry has yet to learn from others."""

    __slots__ = ('_entries_turn', '_has_hosts', '_sidecars_turn', '_started')

    def __init__(self, started: float) -> None:
        """Initialize without any answer.

        Args:
            started: time of the start of the process, in seconds.
        """
        self._started = started
        self._has_hosts = False
        self._entries_turn = Rotation(_ASKED_PER_ROUND)
        self._sidecars_turn = Rotation(_ASKED_PER_ROUND)

    def note_hosts(self, sidecars: list[bytes]) -> None:
        """Record a list of sidecars that an entry sent, if there are any."""
        self._has_hosts |= bool(sidecars)

    def knows_hosts(self, now: float, entries: Mapping[bytes, float]) -> bool:
        """Return whether other entries have said which hosts they know.

        They are not waited for if there are none, or if they don't answer.

        Args:
            now: time in seconds.
            entries: time of the last message of each other entry.
        """
        is_late = now - self._started > _MAX_WAIT_S
        return self._has_hosts or not entries or is_late

    def next_asked(
        self, entries: Mapping[bytes, float], sidecars: Iterable[bytes]
    ) -> list[bytes]:
        """Return the processes to ask for addresses in this round.

        Args:
            entries: time of the last message of each other entry.
            sidecars: addresses of all known sidecars.
        """
        if self._has_hosts:
            return []
        asked = self._entries_turn.next(list(entries))
        if not any(seen > NEVER for seen in entries.values()):
            asked.extend(self._sidecars_turn.next(list(sidecars)))
        return asked
