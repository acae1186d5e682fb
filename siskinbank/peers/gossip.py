"""Dissemination: what is in force and who is there, from peer to peer.

Each second a process compares itself with one random peer (anti-entropy) and
with its two successors on the ring of its data centre, which it so watches.
What is new is pushed at once to a few peers, who push it on. Sections and
lists travel only where their digests differ.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from siskinbank.config.sections import DocumentKey
from siskinbank.config.site import Address, Site
from siskinbank.kernel import events
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop
from siskinbank.peers.ages import Ages
from siskinbank.peers.freshness import Freshness
from siskinbank.peers.laggards import Laggards
from siskinbank.peers.news import News
from siskinbank.peers.pursuit import Pursuit
from siskinbank.peers.rate import TokenBucket
from siskinbank.peers.ring import RingWatch
from siskinbank.peers.rosters import RosterSync, parse_records
from siskinbank.peers.timing import TimerSource
from siskinbank.directory.beliefs import find_gone
from siskinbank.directory.roster import Listing, Record, Roster
from siskinbank.directory.store import DocumentStore
from siskinbank.directory.words import Word, WordBook, WordState, parse_word
from siskinbank.wire.gossip import (
    FRESH,
    REPLY_WANTED,
    Announce,
    Ask,
    Bucket,
    Buckets,
    Piece,
)
from siskinbank.wire.messages import Message

__all__ = ('Gossip', 'Identity')

TICK_SECONDS = 1
_FAN_OUT = 4
_NEWS_FAN_OUT = 3
_NEWS_SECONDS = 0.05
_PROBED = 5
_FORGET_SECONDS = 600
_ALIVE_SECONDS = 120
_PRUNE_SECONDS = 30
#: Bytes a second that a process spends on answering others, and at once.
_UPLOAD_RATE = 20_000
_UPLOAD_BURST = 400_000
_JOIN_ANSWERS = 3
_JOIN_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is, and the first epoch of this life of it."""

    name: str
    role: str
    data_centre: str
    address: Address
    epoch: int


class Gossip:
    """The dissemination of one process.

    ``on_adopt`` gets each site that comes into force, ``on_beliefs`` is called
    when the leaving or gone hosts have changed.
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
        """Prepare; nothing is sent before ``start``."""
        self.identity = identity
        self.store = store
        self.roster = Roster()
        self.words = WordBook()
        self.ages = Ages()
        self.laggards = Laggards(identity.name)
        self.seeds: tuple[Address, ...] = ()
        self.gone: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.on_adopt: Callable[[Site], None] = _ignore
        self.on_beliefs: Callable[[], None] = _do_nothing
        self._timers = timers
        self._send = send
        self._metrics = metrics
        self._rng = rng

        def clock() -> float:
            return timers.now

        rate = TokenBucket(_UPLOAD_RATE, _UPLOAD_BURST, clock)
        self.freshness = Freshness(clock, log, rng)
        self._pursuit = Pursuit(store, timers, send, rate, rng, metrics)
        self._pursuit.on_complete = self._try_adopt
        self._sync = RosterSync(send, rate, rng, metrics)
        self._ring = RingWatch(identity.name, identity.data_centre)
        self._news = News()
        self._news_due = False
        self._epoch = identity.epoch
        self._leaving = False
        self._started_at = timers.now
        self._answers: set[Address] = set()

    @property
    def now(self) -> float:
        """The time on the clock of the process's timers, in seconds."""
        return self._timers.now

    @property
    def joined(self) -> bool:
        """Whether enough peers were asked for the process to go on."""
        known = len(self.roster) - 1 if len(self.roster) else _JOIN_ANSWERS
        wanted = min(known, _JOIN_ANSWERS)
        if self.store.in_force[0] or len(self._answers) >= wanted:
            return True
        return self.now - self._started_at >= _JOIN_SECONDS

    @property
    def fresh(self) -> bool:
        """Whether the process may act on its beliefs."""
        return self.freshness.fresh

    @property
    def read_age(self) -> float:
        """Seconds since a reader of the data centre reached the platform.

        At most the seconds since the start: a new process gives the readers
        the time that they would have when one of them dies.
        """
        age = self.ages.read_age(self.identity.data_centre, self.now)
        return min(age, self.now - self._started_at)

    def start(self) -> None:
        """Subscribe to the timers and ask the first peers."""
        self._started_at = self.now
        self._timers.every(TICK_SECONDS, self.tick, jitter=0.2)
        self._timers.every(_PRUNE_SECONDS, self._prune, jitter=0.2)
        self.ask_peers()

    def subscribe_to(
        self,
        subscribe: Callable[[type[Message], Callable[..., None]], None],
    ) -> None:
        """Subscribe to all messages of the dissemination."""
        subscribe(Announce, self._take_announce)
        subscribe(Ask, self._pursuit.take_ask)
        subscribe(Piece, self._pursuit.take_piece)
        subscribe(Buckets, self._take_buckets)
        subscribe(Bucket, self._take_bucket)

    def tick(self) -> None:
        """Compare with one random peer and the successors."""
        self.freshness.tick()
        self.ages.hear(self.identity.data_centre, self.now)
        if self.freshness.heard:
            self._announce_to_some(1, REPLY_WANTED)
        else:
            self.ask_peers()
        successors, silent = self._ring.update(
            self.roster,
            self.words,
            self.now,
            reset=not self.freshness.heard,
        )
        for word in silent:
            self._take_word(word)
        for record in successors:
            self._announce(record.address, REPLY_WANTED)
        self._update_beliefs()

    def ask_peers(self) -> None:
        """Ask several peers what they have in force."""
        asked = {self._random_peer() for _ in range(_PROBED)}
        if len(self.roster) < _PROBED:
            asked.update(self.seeds)
        for peer in asked - {self.identity.address}:
            if peer is not None:
                self._announce(peer, REPLY_WANTED)

    def declare_leaving(self) -> None:
        """Tell others that this process takes no new work."""
        self._leaving = True
        self._take_word(self._own_word())
        # The process may end before the news would be due.
        self._push_news()

    def offer(self, key: DocumentKey) -> bool:
        """Consider a document whose parts are in the store."""
        return self.store.wants(key) and self._try_adopt(key)

    def take_records(self, records: list[Record]) -> None:
        """Take over what is newer, and pass it on."""
        had_peers = len(self.roster) > 0
        self.roster, news = self.roster.merged(records)
        if not news:
            return
        if not had_peers:
            self._started_at = self.now
            self.ask_peers()
        for record in news:
            self._news.add_record(record)
        self._schedule_news()
        self._update_beliefs()

    def note_read(self) -> None:
        """Note that this process has just reached the platform."""
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
        words: list[Any] | None = None,
    ) -> None:
        generation, digest = self.store.in_force
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
            self._news.next_records(),
            words or self._news.next_words(),
            self.laggards.parts(generation, self.now),
        )
        self._send(sent, peer)

    def _take_announce(self, received: Announce, sender: Address) -> None:
        own = self.store.in_force[0]
        if not own:
            self._answers.add(sender)
        self._hear(received, sender)
        self.laggards.note(received.name, received.generation, own, self.now)
        self.laggards.merge(received.laggards, own, self.now)
        self._take_news(received)
        key = (received.generation, received.digest)
        self._pursuit.consider(key, sender)
        self._pursuit.consider_refused(received.refused, sender)
        if received.flags & REPLY_WANTED:
            self._announce(sender, echo=received.nonce)
            if received.roster != self.roster.root:
                self._sync.send_digests(self.roster, sender)

    def _hear(self, received: Announce, sender: Address) -> None:
        """Take the sender's own word for being there."""
        record = self.roster.get(received.name)
        if record is not None:
            self.ages.hear(record.data_centre, self.now)
        self.ages.merge(received.ages, self.now)
        self._ring.hear(received.name, received.epoch, self.now)
        if received.flags & FRESH or not self.store.in_force[0]:
            self.freshness.hear(received.echo)
        said = self.words.get(received.name)
        if said is None:
            return
        alive = Word(received.epoch, WordState.alive, received.name)
        self._take_word(alive)
        if said.state == WordState.silent and said > alive:
            self._announce(sender, words=[said.parts])

    def _take_news(self, received: Announce) -> None:
        if received.records:
            self.take_records(parse_records(received.records, self._metrics))
        for parts in received.words:
            word = parse_word(parts)
            if word is None:
                self._metrics.count(Drop.malformed)
            else:
                self._take_word(word)

    def _own_word(self) -> Word:
        state = WordState.leaving if self._leaving else WordState.alive
        return Word(self._epoch, state, self.identity.name)

    def _take_word(self, word: Word) -> None:
        if word.name == self.identity.name and word > self._own_word():
            self._epoch = max(self._epoch, word.epoch) + 1
            self.words.forget(word.name)
            self._pass_on_word(self._own_word())
        if self.words.take(word, self.now):
            self._pass_on_word(word)

    def _pass_on_word(self, word: Word) -> None:
        self._news.add_word(word)
        self._schedule_news()
        self._update_beliefs()

    def _schedule_news(self) -> None:
        if not self._news_due:
            self._news_due = True
            self._timers.after(_NEWS_SECONDS, self._push_news)

    def _push_news(self) -> None:
        self._news_due = False
        if self._news:
            self._announce_to_some(_NEWS_FAN_OUT)

    def _try_adopt(self, key: DocumentKey) -> bool:
        site = self.store.try_adopt(key)
        if site is None:
            return False
        self.on_adopt(site)
        self._announce_to_some(_FAN_OUT)
        return True

    def _take_buckets(self, received: Buckets, sender: Address) -> None:
        self._sync.answer_digests(received, self.roster, sender)

    def _take_bucket(self, received: Bucket, sender: Address) -> None:
        if not 0 <= received.index < len(self.roster.buckets):
            self._metrics.count(Drop.malformed)
            return
        offered = parse_records(received.records, self._metrics)
        self.take_records(offered)
        own = self.roster.bucket(received.index)
        if received.wanted and set(own) != set(offered):
            self._sync.send_bucket(
                received.index,
                self.roster,
                sender,
                wanted=False,
            )

    def _random_peer(self) -> Address | None:
        records = self.roster.index().records
        for _ in range(_PROBED if records else 0):
            record = self._rng.choice(records)
            if record.name == self.identity.name:
                continue
            if self.words.silent_for(record.name, 0) is None:
                return record.address
        others = [seed for seed in self.seeds if seed != self.identity.address]
        return self._rng.choice(others) if others else None

    def _update_beliefs(self) -> None:
        leaving = self.roster.index().leaving | self.words.leaving
        gone = self.gone
        if self.freshness.heard:
            gone = find_gone(self.roster, self.words, self.ages, self.now)
        if (leaving, gone) != (self.leaving, self.gone):
            self.leaving, self.gone = leaving, gone
            self.on_beliefs()

    def _prune(self) -> None:
        self.words.prune(self.now, _ALIVE_SECONDS)
        forgotten = [
            name
            for name, seconds in self.words.silent(self.now).items()
            if seconds >= _FORGET_SECONDS and self._is_omitted(name)
        ]
        self.roster = self.roster.without(forgotten)
        for name in forgotten:
            self.words.forget(name)

    def _is_omitted(self, name: str) -> bool:
        record = self.roster.get(name)
        return record is None or record.listing == Listing.absent


def _ignore(_site: Site) -> None:
    """Nobody follows what is in force yet."""


def _do_nothing() -> None:
    """Nobody follows the beliefs yet."""
