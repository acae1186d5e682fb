"""Reads the store when it is this process's turn, and keeps what it said."""

from __future__ import annotations

from siskinbank.beliefs.configuration import Configuration
from siskinbank.beliefs.freshness import StoreReturn, pause_after_failures_s
from siskinbank.platform.documents import Unreadable
from siskinbank.platform.records import HostRecord, decode_host
from siskinbank.platform.store import (
    CONFIGURATION_KEY,
    EVACUATIONS,
    HOSTS,
    OPERATOR,
    Change,
    changes_path,
    page_path,
    read_page,
    read_watch,
)
from siskinbank.relay.http import Client
from siskinbank.relay.log import no_blanks
from siskinbank.relay.loop import NEVER

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from siskinbank.relay.node import Node

__all__ = ('Follower',)

# How often it is checked whether a call is due, in seconds.
_CHECK_S = 0.1
# Calls are given up after this, in seconds: the store answers in 4 ms, and
# in a third of a second where it is slow.
_CALL_S = 1.0
# A watch returns after this, in seconds; a connection gone silent is noticed
# soon after, well within the time in which changes must be in force.
_WATCH_S = 1.0

_OK = 200
_GONE = 410


class _Line:
    """One connection to the store and its luck."""

    __slots__ = ('client', 'failures', 'next_try')

    def __init__(self, client: Client) -> None:
        self.client = client
        self.failures = 0
        self.next_try = NEVER


class Follower:
    """What the store says, as read by this process.

    Attributes:
        configuration: the configuration in force, also from peers.
        out: the data centres that the operator took out.
        operator_revision: revision of the operator's last known change.
        operator_seen: when the store last confirmed the operator's part.
        hosts: the hosts' entries by address.
        hosts_revision: revision of the last listing.
        hosts_seen: when that was read.
        hosts_told: when the store confirmed a listing to someone else who
            told this process.
        rank: the place in the order of readers.
    """

    def __init__(
        self,
        node: Node,
        on_hosts: Callable[[], None],
        on_operator: Callable[[], None],
    ) -> None:
        """Prepare two connections: one for listings, one for the watch."""
        self.configuration = Configuration()
        self.out: frozenset[str] = frozenset()
        self.operator_revision = 0
        self.operator_seen = NEVER
        self.hosts: dict[str, HostRecord] = {}
        self.hosts_revision = 0
        self.hosts_seen = NEVER
        self.hosts_told = NEVER
        self.rank = 0
        self.hosts_due: Callable[[], bool] = bool
        self.operator_due: Callable[[], bool] = bool
        self._node = node
        self._on_hosts = on_hosts
        self._on_operator = on_operator
        store = node.settings.store
        self._hosts_line = _Line(Client(node.loop, store))
        self._operator_line = _Line(Client(node.loop, store))
        self._loaded = False
        self._pages: list[Change] = []
        self._return = StoreReturn()
        node.loop.every(_CHECK_S, self.check)

    def check(self) -> None:
        """Make the calls that are due."""
        if self._may_call(self._hosts_line) and self.hosts_due():
            self._pages = []
            self._list_hosts('')
        if self._may_call(self._operator_line) and self.operator_due():
            self._follow_operator()

    def trusts_absence(self) -> bool:
        """Say whether a host without an entry is gone."""
        return self._return.trusts_absence(self._node.loop.now)

    def take_configuration(self, raw: bytes, source: str) -> bool:
        """Take a newer configuration; say whether it was one."""
        before = self.configuration.version
        try:
            taken = self.configuration.offer(raw)
        except Unreadable as error:
            self._refuse('configuration.refused', source, error)
            return False
        if taken:
            self.note_configuration(before, source)
        return taken

    def note_configuration(self, before: int, source: str) -> None:
        """Log a change of the configuration in force."""
        self._node.meters.count('configurations_total')
        self._node.log(
            'configuration.taken',
            version=self.configuration.version,
            before=before,
            routes=len(self.configuration.routes),
            source=source,
        )

    def _may_call(self, line: _Line) -> bool:
        return not line.client.busy and self._node.loop.now >= line.next_try

    def _list_hosts(self, after: str) -> None:
        self._node.meters.count('store_calls_total')
        self._hosts_line.client.get(
            page_path(HOSTS, after),
            _CALL_S,
            self._listed,
        )

    def _listed(self, status: int, body: bytes) -> None:
        line = self._hosts_line
        if not self._note_answer(line, status, 'hosts'):
            return
        try:
            page = read_page(body)
        except Unreadable as error:
            self._refuse('record.refused', 'hosts', error)
            return
        self._pages.extend(page.changes)
        if page.more and page.changes:
            self._list_hosts(page.changes[-1].key)
            return
        now = self._node.loop.now
        self._return.note_read(now, max(self.hosts_seen, self.hosts_told))
        self.hosts = self._decode_hosts(self._pages)
        self.hosts_revision = page.revision
        self.hosts_seen = now
        self._pages = []
        self._on_hosts()

    def _decode_hosts(self, changes: list[Change]) -> dict[str, HostRecord]:
        hosts: dict[str, HostRecord] = {}
        for change in changes:
            try:
                record = decode_host(change.content or b'')
            except Unreadable as error:
                # Another writer's entry; it names no host.
                self._refuse('record.refused', change.key, error)
                continue
            other = hosts.get(record.ip)
            # An address may be in use again; its latest life holds.
            if other is None or other.born_ms <= record.born_ms:
                hosts[record.ip] = record
        return hosts

    def _follow_operator(self) -> None:
        self._node.meters.count('store_calls_total')
        client = self._operator_line.client
        if not self._loaded:
            client.get(page_path(OPERATOR), _CALL_S, self._operator_listed)
            return
        path = changes_path(OPERATOR, self.operator_revision, _WATCH_S)
        client.get(path, _WATCH_S + _CALL_S, self._operator_changed)

    def _operator_listed(self, status: int, body: bytes) -> None:
        if not self._note_answer(self._operator_line, status, 'operator'):
            return
        try:
            page = read_page(body)
        except Unreadable as error:
            self._refuse('record.refused', 'operator', error)
            return
        self._loaded = True
        self.operator_revision = page.revision
        present = {change.key for change in page.changes}
        self._set_out(key for key in present if key.startswith(EVACUATIONS))
        self._apply(page.changes)
        self.check()

    def _operator_changed(self, status: int, body: bytes) -> None:
        if status == _GONE:
            # The history that we would go on from is dropped: list again.
            self._loaded = False
            self._node.log('store.compacted', revision=self.operator_revision)
            self._follow_operator()
            return
        if not self._note_answer(self._operator_line, status, 'watch'):
            return
        try:
            page = read_watch(body)
        except Unreadable as error:
            self._refuse('record.refused', 'operator', error)
            return
        # An empty answer moves nothing: a watch may have been deaf for a
        # while, and what it missed still lies after the old revision.
        for change in page.changes:
            self.operator_revision = max(
                self.operator_revision, change.revision
            )
        self._apply(page.changes)
        self.check()

    def _apply(self, changes: list[Change]) -> None:
        self.operator_seen = self._node.loop.now
        out = {EVACUATIONS + name for name in self.out}
        for change in changes:
            if change.key == CONFIGURATION_KEY and change.content is not None:
                self.take_configuration(change.content, 'store')
            elif change.key.startswith(EVACUATIONS):
                # Set and taken back by turns: the last word holds.
                out.discard(change.key)
                if change.content is not None:
                    out.add(change.key)
        self._set_out(out)
        self._on_operator()

    def _set_out(self, keys: Iterable[str]) -> None:
        names = frozenset(key[len(EVACUATIONS) :] for key in keys)
        if names != self.out:
            self.out = names
            self._node.log(
                'evacuation.changed',
                out=','.join(sorted(names)) or '-',
                revision=self.operator_revision,
            )

    def _note_answer(self, line: _Line, status: int, call: str) -> bool:
        now = self._node.loop.now
        if status == _OK:
            if line.failures:
                self._node.log('store.regained', call=call)
            line.failures = 0
            line.next_try = now
            return True
        self._node.meters.count('store_failures_total')
        if not line.failures:
            self._node.log('store.lost', call=call, status=status)
        line.failures += 1
        line.next_try = now + pause_after_failures_s(line.failures, self.rank)
        return False

    def _refuse(self, event: str, source: str, error: Exception) -> None:
        self._node.meters.count('records_refused_total')
        self._node.log(event, source=source, reason=no_blanks(error))
