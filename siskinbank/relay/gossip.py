"""How entries find each other and the sidecars, and who of them reads."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.beliefs.freshness import (
    hosts_patience_s,
    operator_patience_s,
    rank_of,
)
from siskinbank.relay import messages
from siskinbank.relay.greetings import LOOK_S, GreetingPace
from siskinbank.relay.loop import NEVER
from siskinbank.relay.records import record_for

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.beliefs.hosts import HostBeliefs
    from siskinbank.relay.follower import Follower
    from siskinbank.relay.handover import Handover
    from siskinbank.relay.node import Node

__all__ = ('Gossip',)

# Words between entries, in seconds: four of them within the time after which
# the next reader steps in.
_NEWS_S = 0.25
# An entry that says nothing for this long is no reader, in seconds.
_SILENT_S = 0.9
# Entries not heard of for this long get no more words, in seconds.
_FORGET_S = 60.0
# Whoever has not answered is greeted this often, in seconds.
_GREET_S = 1.0
_SWEEP_S = 5.0
# Words go to this many peers a turn at most.
_MOST_PEERS = 32
# Lists of addresses hold this many at most.
_MOST_ADDRESSES = 250
# A record older than this is no answer to a sidecar that asks, in seconds.
_FRESH_RECORD_S = 1.5

_HELLO = bytes((messages.HELLO,))


class Gossip:
    """The circle of entries, as seen by one of them.

    Attributes:
        sidecars: packed addresses of all sidecars heard of.
        stopping: this entry is about to stop.
    """

    def __init__(
        self,
        node: Node,
        hosts: HostBeliefs,
        follower: Follower,
        handover: Handover,
    ) -> None:
        """Greet the seeds and take part from now on."""
        self.sidecars: set[bytes] = set()
        self.stopping = False
        self._node = node
        self._hosts = hosts
        self._follower = follower
        self._handover = handover
        self._heard: dict[bytes, float] = {}
        self._stopping: set[bytes] = set()
        self._operator_confirmed = NEVER
        self._wanted = False
        self._version_told = 0
        follower.hosts_due = self._hosts_due
        follower.operator_due = self._operator_due
        node.handlers[messages.HELLO] = self._hear_hello
        node.handlers[messages.PEERS] = self._hear_peers
        node.handlers[messages.NEWS] = self._hear_news
        node.loop.every(_NEWS_S, self.tell)
        self._pace = GreetingPace(node.loop.now, _GREET_S)
        node.loop.every(LOOK_S, self._greet_when_due)
        node.loop.every(_SWEEP_S, self._sweep)
        self._greet()

    def tell(self) -> None:
        """Tell the other entries what this one knows."""
        datagram = self._news().pack()
        for peer in list(self._heard)[:_MOST_PEERS]:
            self._node.send(inet_ntoa(peer), datagram)
        readers = [
            packed for packed in self._live() if packed not in self._stopping
        ]
        self._follower.rank = rank_of(self._node.packed_ip, readers)

    def tell_of_change(self) -> None:
        """Tell the others at once if the configuration has changed.

        Load pattern: the store is back after a loss of power, with a large
        configuration; the first entry that has read it spares the others a
        long read over a thin link.
        """
        version = self._follower.configuration.version
        if version != self._version_told:
            self._version_told = version
            self.tell()

    def tell_records(self) -> None:
        """Tell each sidecar what the store says of its host."""
        self.meet(list(map(inet_aton, self._follower.hosts)))
        now = self._node.loop.now
        for packed in self.sidecars:
            ip = inet_ntoa(packed)
            record = record_for(self._follower, ip, now)
            if record:
                self._node.send(ip, record.pack())

    def meet(self, sidecars: list[bytes]) -> None:
        """Greet sidecars that are new to this entry."""
        for packed in sidecars:
            if packed not in self.sidecars:
                self.sidecars.add(packed)
                self._node.send(inet_ntoa(packed), _HELLO)

    def want_hosts(self) -> None:
        """Have the hosts' entries read soon, whoever's turn it is."""
        self._wanted = True

    def _hosts_due(self) -> bool:
        follower = self._follower
        newest = follower.hosts_seen
        if not follower.hosts_revision:
            return True
        patience = hosts_patience_s(follower.rank)
        if self._wanted:
            patience = hosts_patience_s(0)
        else:
            newest = max(newest, follower.hosts_told)
        due = self._node.loop.now - newest > patience
        if due:
            self._wanted = False
        return due

    def _operator_due(self) -> bool:
        follower = self._follower
        if not follower.operator_revision:
            return True
        newest = max(follower.operator_seen, self._operator_confirmed)
        age = self._node.loop.now - newest
        return age >= operator_patience_s(follower.rank)

    def _greet_when_due(self) -> None:
        if self._pace.is_due(self._node.loop.now):
            self._greet()

    def _greet(self) -> None:
        now = self._node.loop.now
        young = self._pace.is_young(now)
        for seed in self._node.settings.seeds:
            packed = inet_aton(seed)
            silent = now - self._heard.get(packed, NEVER) > _GREET_S
            if packed != self._node.packed_ip and (silent or not young):
                self._node.send(seed, _HELLO)
        for packed in list(self.sidecars)[:_MOST_ADDRESSES]:
            ip = inet_ntoa(packed)
            host = self._hosts.get(ip)
            if host is None or now - host.heard > _GREET_S:
                self._node.send(ip, _HELLO)

    def _hear_hello(self, raw: bytes, ip: str) -> None:
        from_sidecar = len(raw) > 1
        if from_sidecar:
            self.sidecars.add(inet_aton(ip))
        else:
            self._note(inet_aton(ip))
        now = self._node.loop.now
        entries = [*self._live(), self._node.packed_ip]
        reply = messages.pack_addresses(
            messages.PEERS,
            entries[:_MOST_ADDRESSES],
            self._hosts.addresses(now)[:_MOST_ADDRESSES],
        )
        self._node.send(ip, reply)
        if not from_sidecar:
            self._node.send(ip, self._news().pack())
            return
        record = record_for(self._follower, ip, now)
        if record and record.age_s < _FRESH_RECORD_S:
            self._node.send(ip, record.pack())

    def _hear_peers(self, raw: bytes, ip: str) -> None:
        entries, sidecars = messages.read_peers(raw)
        for packed in entries:
            if packed not in self._heard and packed != self._node.packed_ip:
                self._heard[packed] = NEVER
                self._node.send(inet_ntoa(packed), _HELLO)
        self.meet(sidecars)

    def _hear_news(self, raw: bytes, ip: str) -> None:
        news = messages.News.read(raw)
        packed = inet_aton(ip)
        self._note(packed)
        if news.stopping:
            self._stopping.add(packed)
        else:
            self._stopping.discard(packed)
        now = self._node.loop.now
        self._handover.ask_if_newer(news.version, ip)
        if news.version == self._follower.configuration.version:
            confirmed = now - news.operator_age_s
            self._operator_confirmed = max(self._operator_confirmed, confirmed)
        confirmed = now - news.hosts_age_s
        follower = self._follower
        follower.hosts_told = max(follower.hosts_told, confirmed)

    def _note(self, packed: bytes) -> None:
        now = self._node.loop.now
        if now - self._heard.get(packed, NEVER) > _SILENT_S:
            self._node.log('peer.heard', peer=inet_ntoa(packed))
        self._heard[packed] = now

    def _live(self) -> list[bytes]:
        edge = self._node.loop.now - _SILENT_S
        return [packed for packed, heard in self._heard.items() if heard > edge]

    def _news(self) -> messages.News:
        now = self._node.loop.now
        follower = self._follower
        news = messages.News()
        news.stopping = self.stopping
        news.version = follower.configuration.version
        news.operator_age_s = now - follower.operator_seen
        news.hosts_age_s = now - follower.hosts_seen
        return news

    def _sweep(self) -> None:
        now = self._node.loop.now
        self._hosts.sweep(now)
        stored = {inet_aton(ip) for ip in self._follower.hosts}
        self.sidecars &= stored.union(self._hosts.addresses(now))
        edge = now - _FORGET_S
        silent = [packed for packed, at in self._heard.items() if at < edge]
        for packed in silent:
            self._heard.pop(packed)
            self._stopping.discard(packed)
