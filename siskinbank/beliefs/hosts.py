"""What an entry believes of the hosts, from the words of their sidecars."""

from __future__ import annotations

from _socket import inet_aton

from siskinbank.admission import reasons
from siskinbank.relay.messages import Status

__all__ = ('SILENT_S', 'HostBelief', 'HostBeliefs')

# A sidecar speaks every 0.4 s; after three words missed it is silent, in
# seconds.
SILENT_S = 1.3
# A host not heard of for this long is forgotten, in seconds: as long as the
# platform lets a flow live.
_FORGET_S = 60.0
# A host that the store no longer knows leaves after its last word, in
# seconds: one word missed.
_LEAVES_S = 0.6
# A longer pause than this is no usual one, in seconds: a cut or a standstill.
_LONGEST_PAUSE_S = 2.0
# What is left of a long pause in the usual one after another word.
_PAUSE_SHARE = 0.8


class HostBelief:
    """One host.

    Attributes:
        ip: its address as text.
        packed: the same in 4 bytes.
        status: the last word of its sidecar.
        heard: when that came.
        heard_first: when the first one came.
        pending: flows placed there since.
        left: it fell silent and is known to be gone.
        pause_s: the usual pause between its sidecar's words.
    """

    __slots__ = (
        'heard',
        'heard_first',
        'ip',
        'left',
        'pause_s',
        'packed',
        'pending',
        'status',
    )

    def __init__(self, ip: str, status: Status, heard: float) -> None:
        """Believe a first word."""
        self.ip = ip
        self.packed = inet_aton(ip)
        self.status = status
        self.heard = heard
        self.heard_first = heard
        self.pending = 0
        self.left = False
        self.pause_s: float = 0

    def has_left(self, now: float) -> bool:
        """Say whether a host without an entry in the store fell silent."""
        if self.status.state == reasons.UNREGISTERED:
            self.left = self.left or now - self.heard > _LEAVES_S
        return self.left


class HostBeliefs:
    """All hosts that an entry has heard of."""

    __slots__ = ('_by_ip', '_by_service')

    def __init__(self) -> None:
        """Know none."""
        self._by_ip: dict[str, HostBelief] = {}
        self._by_service: dict[int, list[HostBelief]] = {}

    def __len__(self) -> int:
        """Count the hosts."""
        return len(self._by_ip)

    def all(self) -> list[HostBelief]:
        """Return all hosts."""
        return list(self._by_ip.values())

    def get(self, ip: str) -> HostBelief | None:
        """Return the host at an address."""
        return self._by_ip.get(ip)

    def of_service(self, service: int) -> list[HostBelief]:
        """Return the hosts of a service, given by its digest."""
        return self._by_service.get(service, [])

    def hear(self, ip: str, status: Status, now: float) -> bool:
        """Believe a sidecar's word; return whether it matters to others."""
        belief = self._by_ip.get(ip)
        if belief is None:
            self._by_ip[ip] = HostBelief(ip, status, now)
            self._index()
            return True
        before = belief.status
        changed = before.state != status.state or now - belief.heard > SILENT_S
        pause = min(now - belief.heard, _LONGEST_PAUSE_S)
        belief.pause_s = max(pause, belief.pause_s * _PAUSE_SHARE)
        belief.status = status
        belief.heard = now
        belief.pending = 0
        belief.left = False
        if before.service != status.service:
            self._index()
            return True
        return changed

    def excuse(self, lost: float) -> None:
        """Allow for time in which this process could not listen."""
        for belief in self._by_ip.values():
            belief.heard += lost

    def sweep(self, now: float) -> None:
        """Forget hosts that are long gone."""
        gone = [
            ip
            for ip, belief in self._by_ip.items()
            if now - belief.heard > _FORGET_S
        ]
        for ip in gone:
            self._by_ip.pop(ip)
        if gone:
            self._index()

    def addresses(self, now: float) -> list[bytes]:
        """Return the addresses of the hosts heard of lately."""
        return [
            belief.packed
            for belief in self._by_ip.values()
            if now - belief.heard < SILENT_S
        ]

    def _index(self) -> None:
        self._by_service = {}
        for belief in self._by_ip.values():
            group = self._by_service.setdefault(belief.status.service, [])
            group.append(belief)
