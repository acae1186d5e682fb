"""Membership of entries and sidecars, and the order of store readers."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.relay import messages
from siskinbank.relay.hello_schedule import (
    HELLO_CHECK_INTERVAL_S,
    STARTUP_PEERS_INTERVAL_S,
    HelloSchedule,
)
from siskinbank.relay.listing_transfer import ListingTransfer
from siskinbank.relay.loop import NEVER
from siskinbank.relay.peer_discovery import PeerDiscovery
from siskinbank.relay.records import record_for
from siskinbank.relay.rotation import Rotation
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

# Interval between announcements to the entries whose turn it is, in seconds.
_ANNOUNCE_INTERVAL_S = 1.0
# Maximum number of entries per turn; the next turn serves the ones after them.
_MAX_PEERS_PER_TURN = 32
# Interval between updates of the order of readers, in seconds.
_RANK_INTERVAL_S = 0.25
# Entries silent for this long, in seconds, are not counted as live readers.
_PEER_TIMEOUT_S = 2.5
# Entries silent for this long, in seconds, are removed.
_FORGET_AFTER_S = 60.0
# Interval between hellos to processes that did not answer, in seconds.
_HELLO_INTERVAL_S = 1.0
# Interval between requests for the addresses of other processes, in seconds.
_PEERS_INTERVAL_S = 5.0
_SWEEP_INTERVAL_S = 5.0
# Maximum number of addresses in a list in a message.
_MAX_ADDRESSES = 250
# Maximum number of addresses of unlisted hosts that precede such a list.
_MAX_UNLISTED = 50
# Records older than this, in seconds, are not sent in reply to a hello.
_MAX_RECORD_AGE_S = 1.5
# Time for which an entry that is no seed waits at its start for a first peer,
# and for what peers have read if there are any, in seconds: a few round trips,
# and those that a transfer takes on a busy machine.
_FIRST_PEER_WAIT_S = 0.05
_START_WAIT_S = 0.2


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
        self._data_centre = messages.digest(node.settings.data_centre)
        self._last_seen: dict[bytes, float] = {}
        self._stopping_entries: set[bytes] = set()
        self._operator_read_by_peer_at = NEVER
        self._listing_transfer = ListingTransfer(
            node, follower.listing, self._add_listed_sidecars
        )
        self._announce_turn = Rotation(_MAX_PEERS_PER_TURN)
        self._entries_turn = Rotation(_MAX_ADDRESSES)
        self._sidecars_turn = Rotation(_MAX_ADDRESSES)
        self._unlisted_turn = Rotation(_MAX_UNLISTED)
        self._greeting_turn = Rotation(_MAX_ADDRESSES)
        self._peers_received_at = NEVER
        #: Address of the peer that announced the newest listing.
        self._reader = node.settings.ip
        self._sent_operator_state = ('', 0)
        self._started = node.loop.now
        self._discovery = PeerDiscovery(node.loop.now)
        self._is_seed = node.settings.ip in node.settings.seeds
        node.loop.after(_FIRST_PEER_WAIT_S, follower.check)
        follower.hosts_due = self._hosts_due
        follower.operator_due = self._operator_due
        node.handlers[messages.HELLO] = self._handle_hello
        node.handlers[messages.PEERS] = self._handle_peers
        node.handlers[messages.ANNOUNCEMENT] = self._handle_announcement
        node.handlers[messages.RECORD_REQUEST] = self._handle_record_request
        node.loop.every(_ANNOUNCE_INTERVAL_S, self._announce_in_turn)
        node.loop.every(_RANK_INTERVAL_S, self._update_rank)
        self._hello_schedule = HelloSchedule(node.loop.now, _HELLO_INTERVAL_S)
        node.loop.every(HELLO_CHECK_INTERVAL_S, self._send_hellos_when_due)
        node.loop.every(_SWEEP_INTERVAL_S, self._sweep)
        self._send_hellos()

    def entries(self) -> list[bytes]:
        """Return the packed addresses of all other entries."""
        return list(self._last_seen)

    def knows_hosts_of_peers(self) -> bool:
        """Return whether other entries have said which hosts they know."""
        return self._discovery.knows_hosts(self._node.loop.now, self._last_seen)

    def announce(self) -> None:
        """Announce version and ages to all other entries."""
        self._send_announcement(list(self._last_seen))

    def send_records(self) -> None:
        """Send each sidecar the record of its host."""
        self._add_listed_sidecars()
        now = self._node.loop.now
        for packed in self.sidecars:
            ip = inet_ntoa(packed)
            record = record_for(self._follower, ip, now)
            if record:
                self._node.send(ip, record.pack())

    def send_changed_records(self) -> None:
        """Send the records if the operator has changed anything."""
        follower = self._follower
        state = (
            str(follower.operator_position),
            follower.configuration.version,
        )
        if state != self._sent_operator_state:
            self._sent_operator_state = state
            self.send_records()

    def add_sidecars(self, sidecars: list[bytes]) -> None:
        """Add sidecars and send a hello to the new ones."""
        for packed in sidecars:
            if packed not in self.sidecars:
                self.sidecars.add(packed)
                self._send_hello(inet_ntoa(packed), 0)

    def _add_listed_sidecars(self) -> None:
        self.add_sidecars(list(self._follower.listing.addresses))

    def _announce_in_turn(self) -> None:
        self._send_announcement(self._announce_turn.next(list(self._last_seen)))

    def _send_announcement(self, peers: list[bytes]) -> None:
        datagram = self._announcement().pack()
        for peer in peers:
            self._node.send(inet_ntoa(peer), datagram)

    def _update_rank(self) -> None:
        readers = [
            packed
            for packed in self._live_entries()
            if packed not in self._stopping_entries
        ]
        self._follower.rank = reader_rank(self._node.packed_ip, readers)

    def _is_waiting_for_peers(self) -> bool:
        """Return whether peers may still send what they have read."""
        if self._is_seed:
            return False
        any_heard = any(seen > NEVER for seen in self._last_seen.values())
        wait_s = _START_WAIT_S if any_heard else _FIRST_PEER_WAIT_S
        return self._node.loop.now - self._started < wait_s

    def _hosts_due(self) -> bool:
        """Return whether to list the hosts.

        Sidecars get records only from an entry that has listed the hosts, and
        evacuations only from one that has read the operator keys, so that an
        entry that reads the one for its peers reads the other as well.
        """
        follower = self._follower
        now = self._node.loop.now
        if self._is_waiting_for_peers():
            return False
        last_confirmed = follower.hosts_read_at
        if follower.operator_read_at <= self._operator_read_by_peer_at:
            last_confirmed = max(last_confirmed, follower.hosts_read_by_peer_at)
        return now - last_confirmed > hosts_read_age_s(follower.rank)

    def _operator_due(self) -> bool:
        """Return whether to read the operator keys; see ``_hosts_due``."""
        follower = self._follower
        now = self._node.loop.now
        if self._is_waiting_for_peers():
            return False
        last_confirmed = follower.operator_read_at
        if follower.hosts_read_at <= follower.hosts_read_by_peer_at:
            last_confirmed = max(last_confirmed, self._operator_read_by_peer_at)
        return now - last_confirmed >= operator_read_age_s(follower.rank)

    def _send_hellos_when_due(self) -> None:
        if self._hello_schedule.is_due(self._node.loop.now):
            self._send_hellos()

    def _send_hellos(self) -> None:
        now = self._node.loop.now
        starting = self._hello_schedule.is_starting(now)
        interval_s = STARTUP_PEERS_INTERVAL_S if starting else _PEERS_INTERVAL_S
        wants_peers = now - self._peers_received_at > interval_s
        self._greet_seeds(messages.WANTS_PEERS if wants_peers else 0)
        self._greet_sidecars()
        seeds = map(inet_aton, self._node.settings.seeds)
        if any(self._last_seen.get(seed, NEVER) > NEVER for seed in seeds):
            return
        asked = self._discovery.next_asked(self._last_seen, self.sidecars)
        for packed in asked:
            self._send_hello(inet_ntoa(packed), messages.WANTS_PEERS)

    def _greet_seeds(self, flags: int) -> None:
        for seed in self._node.settings.seeds:
            packed = inet_aton(seed)
            last_seen = self._last_seen.get(packed, NEVER)
            silent = self._node.loop.now - last_seen > _PEER_TIMEOUT_S
            if packed != self._node.packed_ip and (flags or silent):
                self._send_hello(seed, flags)

    def _greet_sidecars(self) -> None:
        for packed in self._greeting_turn.next(list(self.sidecars)):
            ip = inet_ntoa(packed)
            if self._hosts.get(ip) is None:
                self._send_hello(ip, 0)

    def _send_hello(self, ip: str, flags: int) -> None:
        self._node.send(ip, messages.pack_hello(flags, self._data_centre))

    def _handle_hello(self, raw: bytes, ip: str) -> None:
        flags, _ = messages.read_hello(raw)
        if flags & messages.WANTS_PEERS:
            self._send_peers(ip, bool(flags & messages.FROM_SIDECAR))
        if not flags & messages.FROM_SIDECAR:
            self._record_contact(inet_aton(ip))
            self._node.send(ip, self._announcement().pack())
            return
        self.sidecars.add(inet_aton(ip))
        if flags & messages.WANTS_RECORD and not self._send_record(ip):
            request = messages.pack_record_request(inet_aton(ip))
            self._node.send(self._reader, request)

    def _handle_record_request(self, raw: bytes, ip: str) -> None:
        self._send_record(inet_ntoa(messages.read_record_request(raw)))

    def _send_record(self, ip: str) -> bool:
        """Send a sidecar the record of its host; return whether it is known."""
        record = record_for(self._follower, ip, self._node.loop.now)
        if record is None or record.age_s > _MAX_RECORD_AGE_S:
            return False
        self._node.send(ip, record.pack())
        return True

    def _send_peers(self, ip: str, to_sidecar: bool) -> None:
        """Send addresses of entries, and to entries also those of sidecars."""
        # Entries that only others have heard of are not passed on: dead ones
        # would be listed forever.
        entries = [
            packed
            for packed, last_seen in self._last_seen.items()
            if last_seen > NEVER
        ]
        entries.append(self._node.packed_ip)
        sidecars: list[bytes] = []
        if not to_sidecar:
            addresses = self._hosts.addresses(self._node.loop.now)
            listed = self._follower.listing.addresses
            # No listing of the store names these to the receiver.
            sidecars = self._unlisted_turn.next(
                [packed for packed in addresses if packed not in listed]
            )
            sidecars.extend(self._sidecars_turn.next(addresses))
        reply = messages.pack_addresses(
            messages.PEERS,
            self._entries_turn.next(entries),
            sidecars,
        )
        self._node.send(ip, reply)

    def _handle_peers(self, raw: bytes, ip: str) -> None:
        entries, sidecars = messages.read_peers(raw)
        self._peers_received_at = self._node.loop.now
        self._discovery.note_hosts(sidecars)
        for packed in entries:
            if packed not in self._last_seen and packed != self._node.packed_ip:
                self._last_seen[packed] = NEVER
                self._send_hello(inet_ntoa(packed), 0)
        self.add_sidecars(sidecars)

    def _handle_announcement(self, raw: bytes, ip: str) -> None:
        announcement = messages.Announcement.read(raw)
        packed = inet_aton(ip)
        self._record_contact(packed)
        if announcement.stopping:
            self._stopping_entries.add(packed)
        else:
            self._stopping_entries.discard(packed)
        self._configuration_transfer.fetch_if_newer(announcement.version, ip)
        if announcement.era < self._follower.era:
            # What the peer has read may be undone.
            return
        self._follower.note_era(announcement.era, ip)
        self._note_read_by_peer(announcement, ip)

    def _note_read_by_peer(
        self, announcement: messages.Announcement, ip: str
    ) -> None:
        follower = self._follower
        now = self._node.loop.now
        if announcement.version == follower.configuration.version:
            confirmed_at = now - announcement.operator_age_s
            self._operator_read_by_peer_at = max(
                self._operator_read_by_peer_at, confirmed_at
            )
        confirmed_at = now - announcement.hosts_age_s
        if confirmed_at > follower.hosts_read_by_peer_at:
            self._reader = ip
        follower.note_hosts_read_by_peer(confirmed_at)
        self._listing_transfer.note_announced(
            announcement.hosts_digest, confirmed_at, ip
        )

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
        # Without a configuration this entry sends no records of what it has read.
        hosts_read_at = (
            follower.hosts_read_at if follower.hosts_position else NEVER
        )
        announcement.hosts_age_s = now - hosts_read_at
        announcement.hosts_digest = follower.hosts_digest
        announcement.era = follower.era
        return announcement

    def _sweep(self) -> None:
        now = self._node.loop.now
        self._hosts.sweep(now)
        listed = self._follower.listing.addresses
        self.sidecars &= listed.union(self._hosts.addresses(now))
        cutoff = now - _FORGET_AFTER_S
        silent = [
            packed
            for packed, last_seen in self._last_seen.items()
            if last_seen < cutoff
        ]
        for packed in silent:
            self._last_seen.pop(packed)
            self._stopping_entries.discard(packed)
