"""Gossip of the configuration in force and the membership.

Each second a process compares its state with one random peer (anti-entropy)
and with its two successors on the ring of its data centre, whose liveness it
monitors in this way. Updates are pushed at once to a few peers, which push
them further. Sections and lists are transferred only where digests differ.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from siskinbank.config.sections import DocumentKey
from siskinbank.config.site import Address, Site
from siskinbank.directory.failure_detection import find_gone
from siskinbank.directory.member_status import (
    MemberState,
    MemberStatus,
    MemberStatusTable,
    parse_member_status,
)
from siskinbank.directory.roster import Listing, Record, Roster
from siskinbank.directory.store import DocumentStore
from siskinbank.kernel import events
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop
from siskinbank.peers.ages import DataCentreAges
from siskinbank.peers.document_fetch import DocumentFetch
from siskinbank.peers.freshness import Freshness
from siskinbank.peers.lagging import LaggingProcesses
from siskinbank.peers.rate import TokenBucket
from siskinbank.peers.ring import RingMonitor
from siskinbank.peers.rosters import RosterSync, parse_records
from siskinbank.peers.timing import TimerSource
from siskinbank.peers.update_queue import UpdateQueue
from siskinbank.wire.gossip import (
    FRESH,
    REPLY_WANTED,
    Announce,
    Bucket,
    Buckets,
    Piece,
    PieceRequest,
)
from siskinbank.wire.messages import Message

__all__ = ('Gossip', 'Identity')

TICK_SECONDS = 1
#: Share by which the intervals of timers vary.
_JITTER = 0.2
_GENERATION_FAN_OUT = 4
_UPDATE_FAN_OUT = 3
_UPDATE_DELAY_SECONDS = 0.05
_ASKED_PEERS = 5
_SILENT_REMOVAL_SECONDS = 600
_ALIVE_STATUS_RETENTION_SECONDS = 120
_PRUNE_INTERVAL_SECONDS = 30
#: Limits on the bytes that a process sends to answer its peers.
_UPLOAD_BYTES_PER_SECOND = 20_000
_UPLOAD_BURST_BYTES = 400_000


@dataclass(frozen=True, slots=True)
class Identity:
    """Identifies a process; ``epoch`` numbers its incarnation at the start."""

    name: str
    role: str
    data_centre: str
    address: Address
    epoch: int


class Gossip:
    """Disseminates configuration and membership for one process.

    Attributes:
        seeds: addresses of peers to ask while the roster has few records.
        leaving: names of the instances that are listed as leaving or
            announced it.
        gone: names of the instances that are gone.
        on_adopt: called with each site that comes into force.
        on_membership_change: called when ``leaving`` or ``gone`` has changed.
    """

    def __init__(
        self,
        identity: Identity,
        store: DocumentStore,
        timers: TimerSource,
        send: Callable[[Message, Address], None],
        log: events.EventLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Initialize; nothing is sent before ``start``."""
        self.identity = identity
        self.store = store
        self.roster = Roster()
        self.statuses = MemberStatusTable()
        self.ages = DataCentreAges()
        self.lagging = LaggingProcesses(identity.name)
        self.seeds: tuple[Address, ...] = ()
        self.gone: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.on_adopt: Callable[[Site], None] = _ignore_site
        self.on_membership_change: Callable[[], None] = _ignore_change
        self._timers = timers
        self._send = send
        self._metrics = metrics
        self._rng = rng

        def clock() -> float:
            return timers.now

        upload_rate = TokenBucket(
            _UPLOAD_BYTES_PER_SECOND, _UPLOAD_BURST_BYTES, clock
        )
        self.freshness = Freshness(clock, log, rng)
        self._document_fetch = DocumentFetch(
            store, timers, send, upload_rate, rng, metrics
        )
        self._joining = self._document_fetch.joining
        self._joining.peers = lambda: _reachable_peers(
            self.roster, self.statuses, identity.name
        )
        self._joining.on_ask = lambda peer: self._announce(peer, REPLY_WANTED)
        self._joining.on_settled = self._try_adopt
        self._roster_sync = RosterSync(send, upload_rate, rng, metrics)
        self._ring = RingMonitor(identity.name, identity.data_centre)
        self._updates = UpdateQueue()
        self._push_scheduled = False
        self._epoch = identity.epoch
        self._leaving = False
        self._started_at = timers.now

    @property
    def now(self) -> float:
        """The time on the clock of the process's timers, in seconds."""
        return self._timers.now

    @property
    def joined(self) -> bool:
        """Whether the process may adopt a document of the platform.

        True once a configuration is in force, or peers have shown which one
        is, or a time limit has passed.
        """
        return self._joining.joined

    @property
    def fresh(self) -> bool:
        """Whether the process may act on its known state."""
        return self.freshness.fresh

    @property
    def read_age(self) -> float:
        """Seconds since a reader of the data centre reached the platform.

        At most the seconds since the start, so that a new process gives the
        readers as much time as they have when one of them fails.
        """
        age = self.ages.read_age(self.identity.data_centre, self.now)
        return min(age, self.now - self._started_at)

    def start(self) -> None:
        """Start the timers and send the first announcements."""
        self._started_at = self.now
        self._joining.restart()
        self._timers.every(TICK_SECONDS, self.tick, jitter=_JITTER)
        self._timers.every(_PRUNE_INTERVAL_SECONDS, self._prune, jitter=_JITTER)
        self.ask_peers()

    def subscribe_to(
        self,
        subscribe: Callable[[type[Message], Callable[..., None]], None],
    ) -> None:
        """Subscribe to all gossip messages."""
        subscribe(Announce, self._receive_announce)
        subscribe(PieceRequest, self._document_fetch.receive_request)
        subscribe(Piece, self._document_fetch.receive_piece)
        subscribe(Buckets, self._receive_buckets)
        subscribe(Bucket, self._receive_bucket)

    def tick(self) -> None:
        """Exchange announcements with a random peer and the successors."""
        self.freshness.tick()
        self.ages.note_received(self.identity.data_centre, self.now)
        if self.freshness.lease_valid:
            self._announce_to_some(1, REPLY_WANTED)
        else:
            self.ask_peers()
        successors, silent = self._ring.update(
            self.roster,
            self.statuses,
            self.now,
            reset=not self.freshness.lease_valid,
        )
        for status in silent:
            self._merge_status(status)
        for record in successors:
            self._announce(record.address, REPLY_WANTED)
        self._update_membership()

    def ask_peers(self) -> None:
        """Ask several peers for an announcement."""
        asked = {self._random_peer() for _ in range(_ASKED_PEERS)}
        if len(self.roster) < _ASKED_PEERS:
            asked.update(self.seeds)
        for peer in asked - {self.identity.address}:
            if peer is not None:
                self._announce(peer, REPLY_WANTED)

    def declare_leaving(self) -> None:
        """Announce that this process accepts no new work."""
        self._leaving = True
        self._merge_status(self._own_status())
        # The process may stop before the scheduled push.
        self._push_updates()

    def offer(self, key: DocumentKey) -> bool:
        """Adopt a document whose parts are in the store, if it is newer."""
        return self.store.wants(key) and self._try_adopt(key)

    def take_records(self, records: list[Record]) -> None:
        """Merge records, and pass newer ones on to peers."""
        had_peers = len(self.roster) > 0
        self.roster, newer = self.roster.merged(records)
        if not newer:
            return
        if not had_peers:
            # The time limits start again, now that peers are known.
            self._started_at = self.now
            self._joining.restart()
            self.ask_peers()
        for record in newer:
            self._updates.add_record(record)
        self._schedule_push()
        self._update_membership()

    def note_read(self) -> None:
        """Record that this process has just reached the platform."""
        self.ages.note_read(self.identity.data_centre, self.now)

    def _announce_to_some(self, count: int, flags: int = 0) -> None:
        for _ in range(count):
            peer = self._random_peer()
            if peer is not None:
                self._announce(peer, flags)

    def _announce(
        self,
        peer: Address,
        flags: int = 0,
        echo: int = 0,
        statuses: list[Any] | None = None,
    ) -> None:
        generation, digest = self.store.in_force
        self._joining.note_announced(peer)
        sent = Announce(
            self.identity.name,
            self._epoch,
            flags | FRESH if self.fresh else flags,
            self.freshness.nonce if flags & REPLY_WANTED else 0,
            echo,
            generation,
            digest,
            list(self.store.refused),
            self.roster.root,
            self.ages.parts(self.now),
            self._updates.next_records(),
            statuses or self._updates.next_statuses(),
            self.lagging.parts(generation, self.now),
        )
        self._send(sent, peer)

    def _receive_announce(self, received: Announce, sender: Address) -> None:
        own = self.store.in_force[0]
        self._joining.receive(received)
        self._note_sender(received, sender)
        self.lagging.note(received.name, received.generation, own, self.now)
        self.lagging.merge(received.lagging, own, self.now)
        self._receive_updates(received)
        key = (received.generation, received.digest)
        self._document_fetch.fetch_newer(key, sender)
        self._document_fetch.fetch_refused(received.refused, sender)
        self._joining.adopt_waiting()
        if received.flags & REPLY_WANTED:
            self._announce(sender, echo=received.nonce)
            if received.roster != self.roster.root:
                self._roster_sync.send_digests(self.roster, sender)

    def _note_sender(self, received: Announce, sender: Address) -> None:
        """Record that the sender is alive.

        If the sender's known status is silent, in the same or a higher epoch,
        that status is sent to it. The sender then starts a new epoch.
        """
        record = self.roster.get(received.name)
        if record is not None:
            self.ages.note_received(record.data_centre, self.now)
        self.ages.merge(received.ages, self.now)
        self._ring.note_received(received.name, received.epoch, self.now)
        if received.flags & FRESH or not self.store.in_force[0]:
            self.freshness.note_reply(received.echo)
        known = self.statuses.get(received.name)
        if known is None:
            return
        alive = MemberStatus(received.epoch, MemberState.alive, received.name)
        self._merge_status(alive)
        if known.state == MemberState.silent and known > alive:
            self._announce(sender, statuses=[known.parts])

    def _receive_updates(self, received: Announce) -> None:
        if received.records:
            self.take_records(parse_records(received.records, self._metrics))
        for parts in received.statuses:
            status = parse_member_status(parts)
            if status is None:
                self._metrics.count(Drop.malformed)
            else:
                self._merge_status(status)

    def _own_status(self) -> MemberStatus:
        state = MemberState.leaving if self._leaving else MemberState.alive
        return MemberStatus(self._epoch, state, self.identity.name)

    def _merge_status(self, status: MemberStatus) -> None:
        """Merge a status; refute one about this process with a new epoch."""
        if status.name == self.identity.name and status > self._own_status():
            self._epoch = max(self._epoch, status.epoch) + 1
            self.statuses.forget(status.name)
            self._queue_status(self._own_status())
            # Merged, it would replace its refutation in the queue.
            return
        if self.statuses.merge(status, self.now):
            self._queue_status(status)

    def _queue_status(self, status: MemberStatus) -> None:
        self._updates.add_status(status)
        self._schedule_push()
        self._update_membership()

    def _schedule_push(self) -> None:
        if not self._push_scheduled:
            self._push_scheduled = True
            self._timers.after(_UPDATE_DELAY_SECONDS, self._push_updates)

    def _push_updates(self) -> None:
        self._push_scheduled = False
        if self._updates:
            self._announce_to_some(_UPDATE_FAN_OUT)

    def _try_adopt(self, key: DocumentKey) -> bool:
        site = self.store.try_adopt(key)
        if site is None:
            return False
        self.on_adopt(site)
        # Peers that saw this process without a configuration would report it
        # as lagging until they hear from it again.
        for peer in self._joining.take_told():
            self._announce(peer)
        self._announce_to_some(_GENERATION_FAN_OUT)
        return True

    def _receive_buckets(self, received: Buckets, sender: Address) -> None:
        self._roster_sync.answer_digests(received, self.roster, sender)

    def _receive_bucket(self, received: Bucket, sender: Address) -> None:
        if not 0 <= received.index < len(self.roster.buckets):
            self._metrics.count(Drop.malformed)
            return
        offered = parse_records(received.records, self._metrics)
        self.take_records(offered)
        own = self.roster.bucket(received.index)
        if received.wanted and set(own) != set(offered):
            self._roster_sync.send_bucket(
                received.index,
                self.roster,
                sender,
                wanted=False,
            )

    def _random_peer(self) -> Address | None:
        records = self.roster.index().records
        for _ in range(_ASKED_PEERS if records else 0):
            record = self._rng.choice(records)
            if record.name == self.identity.name:
                continue
            if self.statuses.silent_for(record.name, 0) is None:
                return record.address
        others = [seed for seed in self.seeds if seed != self.identity.address]
        return self._rng.choice(others) if others else None

    def _update_membership(self) -> None:
        leaving = self.roster.index().leaving | self.statuses.leaving
        gone = self.gone
        if self.freshness.lease_valid:
            gone = find_gone(self.roster, self.statuses, self.ages, self.now)
        if (leaving, gone) != (self.leaving, self.gone):
            self.leaving, self.gone = leaving, gone
            self.on_membership_change()

    def _prune(self) -> None:
        self.statuses.prune(self.now, _ALIVE_STATUS_RETENTION_SECONDS)
        removed = [
            name
            for name, seconds in self.statuses.silent(self.now).items()
            if seconds >= _SILENT_REMOVAL_SECONDS and self._is_omitted(name)
        ]
        self.roster = self.roster.without(removed)
        for name in removed:
            self.statuses.forget(name)

    def _is_omitted(self, name: str) -> bool:
        record = self.roster.get(name)
        return record is None or record.listing == Listing.absent


def _reachable_peers(
    roster: Roster, statuses: MemberStatusTable, own_name: str
) -> list[Record] | None:
    """Return the listed peers that are not silent; None without a roster."""
    if not len(roster):
        return None
    return [
        record
        for record in roster.index().records
        if record.name != own_name
        and record.listing != Listing.absent
        and statuses.silent_for(record.name, 0) is None
    ]


def _ignore_site(_site: Site) -> None:
    """Default of ``on_adopt``."""


def _ignore_change() -> None:
    """Default of ``on_membership_change``."""
