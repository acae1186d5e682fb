"""Reads host records and operator keys from the store when a read is due."""

from __future__ import annotations

from _socket import inet_aton

from siskinbank.platform.documents import DocumentError
from siskinbank.platform.records import HostRecord, decode_host
from siskinbank.platform.store import (
    CONFIGURATION_KEY,
    ERA_HEADER,
    EVACUATIONS_PREFIX,
    HOSTS_PREFIX,
    OPERATOR_PREFIX,
    Change,
    Page,
    page_path,
    read_era,
    read_page,
    read_watch,
    watch_path,
)
from siskinbank.relay.http import Client, Response
from siskinbank.relay.log import log_value
from siskinbank.relay.loop import NEVER
from siskinbank.tracking.configuration import Configuration
from siskinbank.tracking.host_listing import HostListing, digest_of_addresses
from siskinbank.tracking.idle_timeout import IdleTimeout
from siskinbank.tracking.store_position import StorePosition
from siskinbank.tracking.store_reads import (
    StoreAvailability,
    pause_after_failures_s,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from siskinbank.relay.node import Node

__all__ = ('StoreFollower',)

# Interval between checks whether a request is due, in seconds.
_CHECK_INTERVAL_S = 0.1
# Request timeout, in seconds: the store answers in 4 ms, or in a third of a
# second where it is slow.
_REQUEST_TIMEOUT_S = 1.0
# A watch request returns after this, in seconds. An unresponsive connection is
# detected soon after, well within the time in which changes must take effect.
_WATCH_DURATION_S = 1.0
# The same for all but the first reader: they read in place of another process
# or for themselves, and confirm what they know by an answer soon.
_SHORT_WATCH_S = 0.1

# Maximum number of records that are remembered: some more than hosts in the
# largest deployment, 3,200.
_MAX_KNOWN_RECORDS = 4096

# Size limit of the response to a watch, in bytes. The largest single value takes
# 1.4 MB in base64; a response beyond this holds several versions of one, of which
# a listing has the newest alone.
_MAX_WATCH_BYTES = 2_097_152

_OK = 200
_GONE = 410


class _StoreConnection:
    """A connection to the store with its failure count.

    Attributes:
        client: HTTP client of the connection.
        failures: number of consecutive failed requests.
        next_attempt: time before which no request is sent, in seconds.
    """

    __slots__ = ('client', 'failures', 'next_attempt')

    def __init__(self, client: Client) -> None:
        self.client = client
        self.failures = 0
        self.next_attempt = NEVER


class _Listing:
    """A listing in progress, which may have several pages.

    Attributes:
        prefix: prefix of the listed keys.
        era: era of the store at the first page.
        revision: revision of the store at the first page: what was written
            while the other pages were read may be missing.
    """

    __slots__ = ('_after', 'era', 'prefix', 'revision')

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self._after = ''
        self.era = 0
        self.revision = 0

    def is_of_era(self, era: int) -> bool:
        """Return whether the next page, of this era, belongs to the listing."""
        if not self.revision:
            self.era = era
        return self.era == era

    def add(self, page: Page) -> str:
        """Add a page; return the key after which the listing goes on, if any.

        Raises:
            DocumentError: the page answers another request.
        """
        for change in page.changes:
            key = change.key
            if not key.startswith(self.prefix) or key <= self._after:
                raise DocumentError(f'{key} was not asked for')
        self.revision = self.revision or page.revision
        if not page.more or not page.changes:
            return ''
        self._after = page.changes[-1].key
        return self._after


class _Refusals:
    """Items of the last listings that are no host records.

    Load pattern: another client of the store leaves items of up to a megabyte.
    They are decoded and logged once, and again after a change.
    """

    __slots__ = ('_current', '_previous')

    def __init__(self) -> None:
        """Start without any item."""
        # Era and revision of each item, by key.
        self._previous: dict[str, tuple[int, int]] = {}
        self._current: dict[str, tuple[int, int]] = {}

    def is_known(self, era: int, change: Change) -> bool:
        """Return whether an item was refused before."""
        if self._previous.get(change.key) != (era, change.revision):
            return False
        self.add(era, change)
        return True

    def add(self, era: int, change: Change) -> None:
        """Add an item that was refused."""
        self._current[change.key] = (era, change.revision)

    def end_listing(self) -> None:
        """Forget the items that are no longer listed."""
        self._previous, self._current = self._current, {}


class StoreFollower:
    """State read from the store by this process.

    Times are those of the loop's clock, in seconds.

    Attributes:
        configuration: configuration in force, from the store or from peers.
        evacuated: names of the data centres evacuated by the operator.
        era: newest era of the store that this process has heard of.
        operator_position: position of the last known operator change.
        operator_read_at: time of the store's last response about operator keys.
        hosts: host records by IP address, from the last listing that this
            process read; empty without a configuration.
        listing: addresses of the hosts, from this process or a peer.
        hosts_position: position of the last listing of the hosts, empty until
            there is a configuration as well.
        hosts_read_at: time when that listing was read, also without a
            configuration.
        hosts_read_by_peer_at: time when the store confirmed the newest listing
            that a peer announced.
        rank: position of this process in the order of readers, from 0.
        hosts_due: returns whether the hosts must be listed now.
        operator_due: returns whether the operator keys must be read now.
        pause_after_failures_s: returns the pause in seconds after a number of
            failed calls.
    """

    def __init__(
        self,
        node: Node,
        on_hosts: Callable[[], None],
        on_operator: Callable[[], None],
    ) -> None:
        """Create connections for host listings and for the operator watch.

        Args:
            node: process that owns the follower.
            on_hosts: called after the hosts were listed.
            on_operator: called after operator keys were read.
        """
        self.configuration = Configuration()
        self._idle_timeout = IdleTimeout(node.settings.flow_lifetime_s)
        self.evacuated: frozenset[str] = frozenset()
        self.era = 0
        self.operator_position = StorePosition()
        self.operator_read_at = NEVER
        self.hosts: dict[str, HostRecord] = {}
        self._hosts_digest = 0
        self.listing = HostListing()
        self.hosts_position = StorePosition()
        self.hosts_read_at = NEVER
        self.hosts_read_by_peer_at = NEVER
        self.rank = 0
        self.hosts_due: Callable[[], bool] = bool
        self.operator_due: Callable[[], bool] = bool
        self.pause_after_failures_s: Callable[[int], float] = lambda failures: (
            pause_after_failures_s(failures, self.rank)
        )
        self._node = node
        self._on_hosts = on_hosts
        self._on_operator = on_operator
        store = node.settings.store
        self._hosts_connection = _StoreConnection(Client(node.loop, store))
        self._operator_connection = _StoreConnection(Client(node.loop, store))
        self._has_operator_listing = False
        # Data centres taken back by the operator, whose hosts may have become
        # cold since the last listing, with the position of the change.
        self._returning: dict[str, StorePosition] = {}
        self._hosts_listing = _Listing(HOSTS_PREFIX)
        self._listed_records: list[HostRecord] = []
        # All records of the last listing, also of services without a
        # configuration, and the position of that listing.
        self._records: list[HostRecord] = []
        self._records_position = StorePosition()
        # Services by which the hosts were selected, None before that.
        self._selected_services: frozenset[str] | None = None
        # Last record that counted of each address in the current era, also after
        # it has left the store; the address that was read last comes last.
        self._known_records: dict[str, HostRecord] = {}
        # Addresses and reasons of the records that were left out.
        self._left_out: set[tuple[str, str]] = set()
        self._refusals = _Refusals()
        self._operator_listing = _Listing(OPERATOR_PREFIX)
        self._operator_changes: list[Change] = []
        self._store_availability = StoreAvailability()
        node.loop.every(_CHECK_INTERVAL_S, self.check)

    @property
    def hosts_digest(self) -> int:
        """Digest of the addresses in the last listing of this process."""
        return self._hosts_digest

    @property
    def longest_idle_s(self) -> float:
        """Time in seconds after which no host keeps an idle flow."""
        return self._idle_timeout.longest_s(self._node.loop.now)

    def check(self) -> None:
        """Send the requests that are due."""
        if self._can_send_request(self._hosts_connection) and (
            self._returning or self.hosts_due()
        ):
            self._begin_hosts_listing()
        if (
            self._can_send_request(self._operator_connection)
            and self.operator_due()
        ):
            self._follow_operator()

    def note_hosts_read_by_peer(self, confirmed_at: float) -> None:
        """Record that the store answered a peer with a listing of the hosts.

        Args:
            confirmed_at: time of the answer, in seconds.
        """
        self._store_availability.note_listing(self._node.loop.now, confirmed_at)
        self.hosts_read_by_peer_at = max(
            self.hosts_read_by_peer_at, confirmed_at
        )

    def note_era(self, era: int, source: str) -> None:
        """Record the era of the store; in a new one all is read again.

        Args:
            era: number of the era, 0 if it was not stated.
            source: ``store`` or the address of the peer that announced it.
        """
        if era <= self.era:
            return
        before, self.era = self.era, era
        if self.hosts_position or self.operator_position:
            self._has_operator_listing = False
            self._known_records = {}
            self._store_availability.note_new_era(self._node.loop.now)
            self._node.log('store.era', era=era, before=before, source=source)
            self._node.meters.count('store_eras_total')

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the hosts of a data centre get no new flows.

        One that the operator has taken back gets flows once its hosts are listed
        again: they may have become cold before.
        """
        return data_centre in self.evacuated or data_centre in self._returning

    def absence_is_reliable(self) -> bool:
        """Return whether a host without a record in the store is gone."""
        return self._store_availability.absence_is_reliable(self._node.loop.now)

    def apply_configuration(self, raw: bytes, source: str) -> bool:
        """Apply a configuration if newer; return whether it was applied."""
        before = self.configuration.version
        try:
            applied = self.configuration.apply(raw)
        except DocumentError as error:
            self._log_refusal('configuration.refused', source, error)
            return False
        if applied:
            self.note_configuration(before, source)
        return applied

    def update_hosts(self) -> None:
        """Select the hosts anew if the services have changed since."""
        is_listed = bool(self._records_position)
        if is_listed and self._selected_services != self.configuration.services:
            self._select_hosts()

    def note_configuration(self, before: int, source: str) -> None:
        """Log and count a change of the configuration in force.

        Args:
            before: version of the configuration before.
            source: ``store`` or the address of the peer that sent it.
        """
        configuration = self.configuration
        idle_timeout_s = configuration.idle_timeout_s
        self._idle_timeout.note(idle_timeout_s, self._node.loop.now)
        self._node.meters.count('configurations_total')
        self._node.log(
            'configuration.taken',
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
            idle_timeout_s=idle_timeout_s,
            source=source,
        )

    def _can_send_request(self, connection: _StoreConnection) -> bool:
        return (
            not connection.client.busy
            and self._node.loop.now >= connection.next_attempt
        )

    def _begin_hosts_listing(self) -> None:
        self._hosts_listing = _Listing(HOSTS_PREFIX)
        self._listed_records = []
        self._list_hosts('')

    def _list_hosts(self, after: str) -> None:
        self._node.meters.count('store_calls_total')
        self._hosts_connection.client.get(
            page_path(HOSTS_PREFIX, after),
            _REQUEST_TIMEOUT_S,
            self._on_hosts_page,
        )

    def _on_hosts_page(self, response: Response) -> None:
        page = self._read(self._hosts_connection, response, 'hosts', read_page)
        if page is None:
            return
        listing = self._hosts_listing
        if not listing.is_of_era(self.era):
            # The pages before this one are of the era before.
            self._begin_hosts_listing()
            return
        after = self._add_page(self._hosts_connection, listing, page)
        if after is None:
            return
        self._add_hosts(listing.era, page.changes)
        if after:
            self._list_hosts(after)
            return
        now = self._node.loop.now
        self._store_availability.note_listing(now, now)
        self._refusals.end_listing()
        self._records, self._listed_records = self._listed_records, []
        self._records_position = StorePosition(listing.era, listing.revision)
        self.hosts_read_at = now
        self._select_hosts()

    def _add_hosts(self, era: int, changes: list[Change]) -> None:
        """Add the hosts of a page to the listing in progress."""
        for change in changes:
            if self._refusals.is_known(era, change):
                continue
            try:
                record = decode_host(change.content or b'')
            except DocumentError as error:
                # Not a host record: written by another client of the store.
                self._log_refusal('record.refused', change.key, error)
                self._refusals.add(era, change)
                continue
            self._listed_records.append(record)

    def _select_hosts(self) -> None:
        """Select the hosts among the records of the last listing.

        Another client of the store may write complete records of services that
        nobody has configured. Until the first configuration is known nothing
        tells them from hosts.
        """
        if not self.configuration.version:
            return
        services = self.configuration.services
        hosts: dict[str, HostRecord] = {}
        left_out: set[tuple[str, str]] = set()
        for record in self._records:
            problem = self._problem_of(record, services)
            if problem:
                left_out.add((record.ip, problem))
                continue
            other = hosts.get(record.ip)
            # Addresses are reused, and others may copy the record of a host.
            if other is None or other.rank <= record.rank:
                hosts[record.ip] = record
        for ip, problem in left_out - self._left_out:
            self._log_refusal('record.refused', ip, DocumentError(problem))
        self._left_out = left_out
        self._remember(hosts)
        self._selected_services = services
        self.hosts = hosts
        self.hosts_position = self._records_position
        self._returning = {
            name: position
            for name, position in self._returning.items()
            if self.hosts_position.is_before(position)
        }
        addresses = frozenset(map(inet_aton, hosts))
        self._hosts_digest = digest_of_addresses(addresses)
        self.listing.replace(addresses, self.hosts_read_at)
        self._on_hosts()

    def _problem_of(self, record: HostRecord, services: frozenset[str]) -> str:
        """Return why a complete record names no host, empty if it may."""
        if record.service not in services:
            return f'service {record.service!r} is not configured'
        known = self._known_records.get(record.ip)
        if known and record.is_outdated_by(known):
            return 'copy of an earlier record of the host'
        return ''

    def _remember(self, hosts: dict[str, HostRecord]) -> None:
        """Keep the records that count, to tell later copies of them."""
        if self._records_position.era != self.era:
            # Hosts may count from lower numbers on in the current era.
            return
        known = self._known_records
        for ip, record in hosts.items():
            known.pop(ip, None)
            known[ip] = record
        while len(known) > max(_MAX_KNOWN_RECORDS, len(hosts)):
            known.pop(next(iter(known)))

    def _follow_operator(self) -> None:
        if not self._has_operator_listing:
            self._operator_listing = _Listing(OPERATOR_PREFIX)
            self._operator_changes = []
            self._list_operator('')
            return
        self._node.meters.count('store_calls_total')
        watch_s = _SHORT_WATCH_S if self.rank else _WATCH_DURATION_S
        path = watch_path(
            OPERATOR_PREFIX, self.operator_position.revision, watch_s
        )
        self._operator_connection.client.get(
            path,
            watch_s + _REQUEST_TIMEOUT_S,
            self._on_operator_watch,
            _REQUEST_TIMEOUT_S,
            _MAX_WATCH_BYTES,
        )

    def _list_operator(self, after: str) -> None:
        self._node.meters.count('store_calls_total')
        self._operator_connection.client.get(
            page_path(OPERATOR_PREFIX, after),
            _REQUEST_TIMEOUT_S,
            self._on_operator_page,
            _REQUEST_TIMEOUT_S,
        )

    def _on_operator_page(self, response: Response) -> None:
        page = self._read(
            self._operator_connection, response, 'operator', read_page
        )
        if page is None:
            return
        listing = self._operator_listing
        if not listing.is_of_era(self.era):
            self._follow_operator()
            return
        after = self._add_page(self._operator_connection, listing, page)
        if after is None:
            return
        self._operator_changes.extend(page.changes)
        if after:
            self._list_operator(after)
            return
        self._has_operator_listing = True
        self.operator_position = StorePosition(listing.era, listing.revision)
        changes, self._operator_changes = self._operator_changes, []
        present = {change.key for change in changes}
        self._set_evacuated(
            key for key in present if key.startswith(EVACUATIONS_PREFIX)
        )
        self._apply_operator_changes(changes)
        self.check()

    def _on_operator_watch(self, response: Response) -> None:
        if response.status == _GONE or response.is_too_large:
            # The store has compacted the revision to continue from, has come back
            # from a copy without it, or has too much to tell: list all keys.
            self.note_era(_era_of(response), 'store')
            self._has_operator_listing = False
            self._node.log(
                'store.compacted',
                revision=self.operator_position,
                too_large=int(response.is_too_large),
            )
            self._follow_operator()
            return
        page = self._read(
            self._operator_connection, response, 'watch', read_watch
        )
        if page is None:
            return
        if not self._has_operator_listing:
            # The changes are those of another history.
            self._follow_operator()
            return
        # An empty response does not advance the revision: a watch may miss
        # changes for a while, and they are still read from the old revision on.
        for change in page.changes:
            self.operator_position = self.operator_position.advance(
                change.revision
            )
        self._apply_operator_changes(page.changes)
        self.check()

    def _apply_operator_changes(self, changes: list[Change]) -> None:
        self.operator_read_at = self._node.loop.now
        evacuated = {EVACUATIONS_PREFIX + name for name in self.evacuated}
        for change in changes:
            if change.key == CONFIGURATION_KEY and change.content is not None:
                self.apply_configuration(change.content, 'store')
            elif change.key.startswith(EVACUATIONS_PREFIX):
                # A key may be set and removed repeatedly; the last change
                # applies.
                evacuated.discard(change.key)
                if change.content is not None:
                    evacuated.add(change.key)
        self._set_evacuated(evacuated)
        self.update_hosts()
        self._on_operator()

    def _set_evacuated(self, keys: Iterable[str]) -> None:
        names = frozenset(key[len(EVACUATIONS_PREFIX) :] for key in keys)
        if names != self.evacuated:
            for name in self.evacuated - names:
                self._returning[name] = self.operator_position
            self.evacuated = names
            self._node.log(
                'evacuation.changed',
                out=log_value(','.join(sorted(names))) or '-',
                revision=self.operator_position,
            )

    def _read(
        self,
        connection: _StoreConnection,
        response: Response,
        call: str,
        decode: Callable[[bytes], Page],
    ) -> Page | None:
        """Return the page in a response, None if there is none to be used."""
        era = _era_of(response)
        self.note_era(era, 'store')
        outdated = 0 < era < self.era
        if outdated:
            self._node.meters.count('store_outdated_total')
        if response.status != _OK or outdated:
            self._note_failure(connection, call, response.status, era)
            return None
        try:
            page = decode(response.body)
        except DocumentError as error:
            self._log_refusal('record.refused', call, error)
            self._note_failure(connection, call, response.status, era)
            return None
        if connection.failures:
            self._node.log('store.regained', call=call)
        connection.failures = 0
        connection.next_attempt = self._node.loop.now
        return page

    def _add_page(
        self, connection: _StoreConnection, listing: _Listing, page: Page
    ) -> str | None:
        """Add a page; return the key to go on after, None if it is refused."""
        try:
            return listing.add(page)
        except DocumentError as error:
            # Responses and requests do not match on this connection.
            connection.client.close()
            self._log_refusal('record.refused', listing.prefix, error)
            self._note_failure(connection, listing.prefix, _OK, listing.era)
            return None

    def _note_failure(
        self, connection: _StoreConnection, call: str, status: int, era: int
    ) -> None:
        self._node.meters.count('store_failures_total')
        if not connection.failures:
            self._node.log('store.lost', call=call, status=status, era=era)
        connection.failures += 1
        pause_s = self.pause_after_failures_s(connection.failures)
        connection.next_attempt = self._node.loop.now + pause_s

    def _log_refusal(self, event: str, source: str, error: Exception) -> None:
        self._node.meters.count('records_refused_total')
        self._node.log(event, source=log_value(source), reason=log_value(error))


def _era_of(response: Response) -> int:
    return read_era(response.header(ERA_HEADER))
