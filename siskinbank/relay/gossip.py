"""Membership of entries and sidecars, and the order of store readers."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.relay import messages
from siskinbank.relay.hello_schedule import (
    HELLO_CHECK_INTERVAL_S,
    HelloSchedule,
)
from siskinbank.relay.loop import NEVER
from siskinbank.relay.records import record_for
from siskinbank.tracking.store_reads import (
    hosts_read_age_s,
    operator_read_age_s,
    reader_rank,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.configuration_transfer import ConfigurationTransfer
    from siskinbank.relay.follower import StoreFollower
    from siskinbank.relay.node import Node
    from siskinbank.tracking.hosts import HostTable

__all__ = ('Gossip',)

# Interval between announcements to other entries, in seconds: four of them fit
# into the time after which the next reader takes over.
_ANNOUNCE_INTERVAL_S = 0.25
# Entries silent for this long, in seconds, are not counted as live.
_PEER_TIMEOUT_S = 0.9
# Entries silent for this long, in seconds, are removed.
_FORGET_AFTER_S = 60.0
# Interval between hellos to processes that did not answer, in seconds.
_HELLO_INTERVAL_S = 1.0
_SWEEP_INTERVAL_S = 5.0
# Maximum number of entries that an announcement is sent to.
_MAX_PEERS_PER_TURN = 32
# Maximum number of addresses in a list in a message.
_MAX_ADDRESSES = 250
# Records older than this, in seconds, are not sent in reply to a hello.
_MAX_RECORD_AGE_S = 1.5

_HELLO = bytes((messages.HELLO,))


class Gossip:
    """Exchanges announcements and host records with entries and sidecars.

    Attributes:
        sidecars: packed addresses of all known sidecars.
        stopping: whether this entry is about to stop.
    """

    def __init__(
        self,
        node: Node,
        hosts: HostTable,
        follower: StoreFollower,
        configuration_transfer: ConfigurationTransfer,
    ) -> None:
        """Register the message handlers and send a hello to the seeds."""
        self.sidecars: set[bytes] = set()
        self.stopping = False
        self._node = node
        self._hosts = hosts
        self._follower = follower
        self._configuration_transfer = configuration_transfer
        self._last_seen: dict[bytes, float] = {}
        self._stopping_entries: set[bytes] = set()
        self._operator_read_by_peer_at = NEVER
        self._hosts_read_requested = False
        self._announced_version = 0
        follower.hosts_due = self._hosts_due
        follower.operator_due = self._operator_due
        node.handlers[messages.HELLO] = self._handle_hello
        node.handlers[messages.PEERS] = self._handle_peers
        node.handlers[messages.ANNOUNCEMENT] = self._handle_announcement
        node.loop.every(_ANNOUNCE_INTERVAL_S, self.announce)
        self._hello_schedule = HelloSchedule(node.loop.now, _HELLO_INTERVAL_S)
        node.loop.every(HELLO_CHECK_INTERVAL_S, self._send_hellos_when_due)
        node.loop.every(_SWEEP_INTERVAL_S, self._sweep)
        self._send_hellos()

    def announce(self) -> None:
        """Announce version and ages to other entries; update reader rank."""
        datagram = self._announcement().pack()
        for peer in list(self._last_seen)[:_MAX_PEERS_PER_TURN]:
            self._node.send(inet_ntoa(peer), datagram)
        readers = [
            packed
            for packed in self._live_entries()
            if packed not in self._stopping_entries
        ]
        self._follower.rank = reader_rank(self._node.packed_ip, readers)

    def announce_change(self) -> None:
        """Announce the configuration at once if its version has changed.

        Load pattern: the store returns after a power failure, with a large
        configuration. Once one entry has read it, the others fetch it from
        that entry instead of reading it over a slow link to the store.
        """
        version = self._follower.configuration.version
        if version != self._announced_version:
            self._announced_version = version
            self.announce()

    def send_records(self) -> None:
        """Send each sidecar the record of its host."""
        self.add_sidecars(list(map(inet_aton, self._follower.hosts)))
        now = self._node.loop.now
        for packed in self.sidecars:
            ip = inet_ntoa(packed)
            record = record_for(self._follower, ip, now)
            if record:
                self._node.send(ip, record.pack())

    def add_sidecars(self, sidecars: list[bytes]) -> None:
        """Add sidecars and send a hello to the new ones."""
        for packed in sidecars:
            if packed not in self.sidecars:
                self.sidecars.add(packed)
                self._node.send(inet_ntoa(packed), _HELLO)

    def request_hosts_read(self) -> None:
        """Request an early read of the hosts, at any rank of this entry."""
        self._hosts_read_requested = True

    def _hosts_due(self) -> bool:
        follower = self._follower
        last_confirmed = follower.hosts_read_at
        if not follower.hosts_revision:
            return True
        max_age_s = hosts_read_age_s(follower.rank)
        if self._hosts_read_requested:
            max_age_s = hosts_read_age_s(0)
        else:
            last_confirmed = max(last_confirmed, follower.hosts_read_by_peer_at)
        due = self._node.loop.now - last_confirmed > max_age_s
        if due:
            self._hosts_read_requested = False
        return due

    def _operator_due(self) -> bool:
        follower = self._follower
        if not follower.operator_revision:
            return True
        last_confirmed = max(
            follower.operator_read_at, self._operator_read_by_peer_at
        )
        age = self._node.loop.now - last_confirmed
        return age >= operator_read_age_s(follower.rank)

    def _send_hellos_when_due(self) -> None:
        if self._hello_schedule.is_due(self._node.loop.now):
            self._send_hellos()

    def _send_hellos(self) -> None:
        now = self._node.loop.now
        starting = self._hello_schedule.is_starting(now)
        for seed in self._node.settings.seeds:
            packed = inet_aton(seed)
            silent = (
                now - self._last_seen.get(packed, NEVER) > _HELLO_INTERVAL_S
            )
            if packed != self._node.packed_ip and (silent or not starting):
                self._node.send(seed, _HELLO)
        for packed in list(self.sidecars)[:_MAX_ADDRESSES]:
            ip = inet_ntoa(packed)
            host = self._hosts.get(ip)
            if host is None or now - host.last_seen > _HELLO_INTERVAL_S:
                self._node.send(ip, _HELLO)

    def _handle_hello(self, raw: bytes, ip: str) -> None:
        from_sidecar = len(raw) > 1
        if from_sidecar:
            self.sidecars.add(inet_aton(ip))
        else:
            self._record_contact(inet_aton(ip))
        now = self._node.loop.now
        entries = [*self._live_entries(), self._node.packed_ip]
        reply = messages.pack_addresses(
            messages.PEERS,
            entries[:_MAX_ADDRESSES],
            self._hosts.addresses(now)[:_MAX_ADDRESSES],
        )
        self._node.send(ip, reply)
        if not from_sidecar:
            self._node.send(ip, self._announcement().pack())
            return
        record = record_for(self._follower, ip, now)
        if record and record.age_s < _MAX_RECORD_AGE_S:
            self._node.send(ip, record.pack())

    def _handle_peers(self, raw: bytes, ip: str) -> None:
        entries, sidecars = messages.read_peers(raw)
        for packed in entries:
            if packed not in self._last_seen and packed != self._node.packed_ip:
                self._last_seen[packed] = NEVER
                self._node.send(inet_ntoa(packed), _HELLO)
        self.add_sidecars(sidecars)

    def _handle_announcement(self, raw: bytes, ip: str) -> None:
        announcement = messages.Announcement.read(raw)
        packed = inet_aton(ip)
        self._record_contact(packed)
        if announcement.stopping:
            self._stopping_entries.add(packed)
        else:
            self._stopping_entries.discard(packed)
        now = self._node.loop.now
        self._configuration_transfer.fetch_if_newer(announcement.version, ip)
        if announcement.version == self._follower.configuration.version:
            confirmed_at = now - announcement.operator_age_s
            self._operator_read_by_peer_at = max(
                self._operator_read_by_peer_at, confirmed_at
            )
        self._follower.note_hosts_read_by_peer(now - announcement.hosts_age_s)

    def _record_contact(self, packed: bytes) -> None:
        now = self._node.loop.now
        if now - self._last_seen.get(packed, NEVER) > _PEER_TIMEOUT_S:
            self._node.log('peer.heard', peer=inet_ntoa(packed))
        self._last_seen[packed] = now

    def _live_entries(self) -> list[bytes]:
        cutoff = self._node.loop.now - _PEER_TIMEOUT_S
        return [
            packed
            for packed, last_seen in self._last_seen.items()
            if last_seen > cutoff
        ]

    def _announcement(self) -> messages.Announcement:
        now = self._node.loop.now
        follower = self._follower
        announcement = messages.Announcement()
        announcement.stopping = self.stopping
        announcement.version = follower.configuration.version
        announcement.operator_age_s = now - follower.operator_read_at
        announcement.hosts_age_s = now - follower.hosts_read_at
        return announcement

    def _sweep(self) -> None:
        now = self._node.loop.now
        self._hosts.sweep(now)
        stored = {inet_aton(ip) for ip in self._follower.hosts}
        self.sidecars &= stored.union(self._hosts.addresses(now))
        cutoff = now - _FORGET_AFTER_S
        silent = [
            packed
            for packed, last_seen in self._last_seen.items()
            if last_seen < cutoff
        ]
        for packed in silent:
            self._last_seen.pop(packed)
            self._stopping_entries.discard(packed)
