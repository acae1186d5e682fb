"""Random schedules of a store that comes back from older copies.

The followers are the real ones; store and time are stand-ins. Thousands of
schedules replace an exhaustive search, as the number of orders in which calls,
answers and changes may happen is too large for one. More of them by hand, with
other seeds::

    STORE_SCHEDULE_SEEDS=2000-51999 .venv/bin/python -m nose2 \\
        --config unittest.cfg tests.relay.test_store_eras.TestSchedules
"""

import json
import random
import unittest
from collections import Counter
from itertools import product
from types import SimpleNamespace
from typing import Any

from siskinbank.platform.encoding import (
    HostDocument,
    Item,
    RouteDocument,
    encode_configuration,
    encode_page,
    read_store_call,
)
from siskinbank.platform.store import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    HOSTS_PREFIX,
)
from siskinbank.relay.follower import StoreFollower
from siskinbank.relay.http import Response
from siskinbank.relay.loop import NEVER
from siskinbank.tracking.host_listing import HostListing
from tests.seeds import seeds_to_run

SEEDS = seeds_to_run('STORE_SCHEDULE_SEEDS', range(2000))
STEPS = 120
# Limit of the platform for a change to be in force, in seconds.
MAX_APPLY_S = 3
# Size limit of a response, unless a request states another one.
MAX_RESPONSE_BYTES = 4_194_304
_PAGE_SIZE = 2
_STEP_S = 0.05


class ModelStore:
    """A store with eras and revisions.

    Attributes:
        era: number of the era.
        items: the items by key.
        revision: revision of the last change.
    """

    def __init__(self) -> None:
        """Create a store with a first configuration."""
        self.era = 1
        self.revision = 1
        self.items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._copies: list[tuple[int, dict[str, Item]]] = []

    def put(self, key: str, content: bytes | None) -> None:
        """Write or remove an item."""
        self.revision += 1
        item = Item(key, content, self.revision)
        self.items[key] = item
        if content is None:
            self.items.pop(key)
        self._history.append(item)

    def copy(self) -> None:
        """Keep a copy to come back from."""
        self._copies.append((self.revision, dict(self.items)))

    def restore(self, rng: random.Random) -> None:
        """Come back from one of the copies."""
        if not self._copies:
            return
        self.revision, items = rng.choice(self._copies)
        self.items = dict(items)
        self._copies = [
            copy for copy in self._copies if copy[0] <= self.revision
        ]
        self._history = [
            item for item in self._history if item.revision <= self.revision
        ]
        self.era += 1

    def answer(self, path: str) -> Response:
        """Return the response to a call at this moment."""
        call = read_store_call(path)
        if call.kind == 'watch':
            after = int(call.after)
            if after > self.revision:
                return self._response(410, b'{}')
            found = [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(call.prefix)
            ]
            return self._response(
                200, encode_page(found, self.revision, watch=True)
            )
        keys = sorted(
            key
            for key in self.items
            if key.startswith(call.prefix) and key > call.after
        )
        page = [self.items[key] for key in keys[:_PAGE_SIZE]]
        more = len(keys) > _PAGE_SIZE
        return self._response(200, encode_page(page, self.revision, more=more))

    def _response(self, status: int, body: bytes) -> Response:
        head = f'HTTP/1.1 {status} -\r\nStore-Era: {self.era}'
        return Response(head.encode(), body)


class ModelClient:
    """A connection whose answers arrive some time after they were given."""

    def __init__(self, store: ModelStore) -> None:
        """Create a connection without a request."""
        self._store = store
        self._path = ''
        self._on_response: Any = None
        self._response: Response | None = None
        self._max_bytes = MAX_RESPONSE_BYTES

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._on_response is not None

    def get(
        self,
        path: str,
        _timeout: float,
        on_response: Any,
        _silence_s: float = 0,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Send a request."""
        self._path = path
        self._max_bytes = max_bytes
        self._on_response = on_response
        self._response = None

    def close(self) -> None:
        """Close the connection; the next request opens another one."""

    def step(self) -> None:
        """Let the store answer, or else let its answer arrive."""
        if self._on_response is None:
            return
        if self._response is None:
            self._response = self._store.answer(self._path)
            if len(self._response.body) > self._max_bytes:
                self._response = Response(is_too_large=True)
            return
        on_response, self._on_response = self._on_response, None
        on_response(self._response)


class Schedule:
    """One follower and one store in a random order of events.

    Attributes:
        store: the store.
        follower: the follower.
        versions: versions of the configuration that were in force.
        refusals: what was refused.
        counts: values of the counters.
    """

    def __init__(self, seed: int) -> None:
        """Create the parts; the seed determines all that happens."""
        self._rng = random.Random(seed)
        self.store = ModelStore()
        self._version = 1
        self._evacuated: set[str] = set()
        self._hosts: set[int] = {1, 2, 3}
        self._loop = SimpleNamespace(now=100.0, every=lambda *_: None)
        node: Any = SimpleNamespace(
            loop=self._loop,
            settings=SimpleNamespace(
                store=('127.0.0.1', 1), flow_lifetime_s=60.0
            ),
            meters=SimpleNamespace(count=self._count),
            log=self._log,
        )
        self.refusals: list[object] = []
        self.counts: Counter[str] = Counter()
        self.follower = StoreFollower(node, bool, bool)
        self.follower.hosts_due = lambda: True
        self.follower.operator_due = lambda: True
        self._clients = [ModelClient(self.store), ModelClient(self.store)]
        self.follower._hosts_connection.client = self._clients[0]  # type: ignore[assignment]  # noqa: SLF001
        self.follower._operator_connection.client = self._clients[1]  # type: ignore[assignment]  # noqa: SLF001
        self.versions: list[int] = []
        self.write_all()

    def run(self) -> None:
        """Run the random part, then the time in which all must be settled."""
        events = (
            self.store.copy,
            self.publish,
            self.evacuate,
            self.change_hosts,
            self.restore,
        )
        for _ in range(STEPS):
            if not self._rng.randrange(5):
                self._rng.choice(events)()
            self.advance()
        self.write_all()
        for _ in range(int(MAX_APPLY_S / _STEP_S)):
            self.advance()

    def advance(self) -> None:
        """Let a little time pass."""
        self._loop.now += _STEP_S
        self.follower.check()
        for client in self._clients:
            if self._rng.randrange(3):
                client.step()
        self.versions.append(self.follower.configuration.version)

    def write_all(self) -> None:
        """Write what operator and hosts hold again."""
        content = encode_configuration(
            self._version, [RouteDocument('a', ('1.2.3.4', 80))]
        )
        self.store.put(CONFIGURATION_KEY, content)
        for name in ('x', 'y'):
            key = f'{EVACUATIONS_PREFIX}{name}'
            self.store.put(key, b'{}' if name in self._evacuated else None)
        for number in range(1, 9):
            self._write_host(number)

    def publish(self) -> None:
        """Publish a newer configuration."""
        self._version += self._rng.randint(1, 3)
        self.write_all()

    def evacuate(self) -> None:
        """Evacuate a data centre or take it back."""
        name = self._rng.choice('xy')
        self._evacuated ^= {name}
        key = f'{EVACUATIONS_PREFIX}{name}'
        self.store.put(key, b'{}' if name in self._evacuated else None)

    def change_hosts(self) -> None:
        """Let a host register or leave."""
        number = self._rng.randint(1, 8)
        self._hosts ^= {number}
        self._write_host(number)

    def restore(self) -> None:
        """Come back from a copy; what was written since is missing at first."""
        self.store.restore(self._rng)

    def _count(self, name: str) -> None:
        self.counts[name] += 1

    def _log(self, event: str, **fields: object) -> None:
        if event == 'record.refused':
            self.refusals.append(fields['source'])

    def _write_host(self, number: int) -> None:
        document = HostDocument('a', (f'10.0.0.{number}', 80), 'x')
        content = document.encode() if number in self._hosts else None
        self.store.put(f'{HOSTS_PREFIX}i-{number}', content)


class TestSchedules(unittest.TestCase):
    """Followers of a store that comes back from older copies."""

    def test_followers_agree_with_the_store(self) -> None:
        """Once operator and hosts have written again, within the limit."""
        eras = 0
        for seed in SEEDS:
            schedule = Schedule(seed)
            schedule.run()
            follower, store = schedule.follower, schedule.store
            eras += store.era - 1
            with self.subTest(seed=seed):
                self.assertEqual(follower.era, store.era)
                evacuated = {
                    EVACUATIONS_PREFIX + name for name in follower.evacuated
                }
                expected = {
                    key
                    for key in store.items
                    if key.startswith(EVACUATIONS_PREFIX)
                }
                self.assertEqual(evacuated, expected)
                hosts = [
                    key for key in store.items if key.startswith(HOSTS_PREFIX)
                ]
                self.assertEqual(len(follower.hosts), len(hosts))
                versions = schedule.versions
                self.assertEqual(versions, sorted(versions))
                self.assertEqual(versions[-1], schedule._version)  # noqa: SLF001
        # The schedules do what they are for.
        self.assertGreater(eras, len(SEEDS))

    def test_unreadable_pages_are_not_read_at_once(self) -> None:
        """Pauses grow as after other failures."""
        schedule = Schedule(2)
        calls = 0

        def answer(_path: str) -> Response:
            nonlocal calls
            calls += 1
            return Response(b'HTTP/1.1 200 OK', b'no document')

        schedule.store.answer = answer  # type: ignore[method-assign]
        for _ in range(int(10 / _STEP_S)):
            schedule.advance()
        # Two connections with a call a second each, and the first attempts.
        self.assertLess(calls, 35)

    def test_page_of_another_request(self) -> None:
        """A second copy of the first page comes in place of the second one.

        It is refused, and the hosts are listed again.
        """
        schedule = Schedule(3)
        answers = schedule.store.answer
        first: list[Response] = []

        def answer(path: str) -> Response:
            call = read_store_call(path)
            if call.prefix != HOSTS_PREFIX or len(first) > 1:
                return answers(path)
            first.append(answers(path))
            return first[0]

        schedule.store.answer = answer  # type: ignore[method-assign]
        for _ in range(int(MAX_APPLY_S / _STEP_S)):
            schedule.advance()
        self.assertEqual(len(first), 2)
        self.assertEqual(len(schedule.follower.hosts), 3)
        self.assertEqual(schedule.refusals, ['servers/'])

    def test_answers_of_an_earlier_era_are_counted(self) -> None:
        """A peer has told of the new era; the store's answers are older."""
        schedule = Schedule(4)
        schedule.follower.note_era(2, '10.0.0.2')
        for _ in range(int(MAX_APPLY_S / _STEP_S)):
            schedule.advance()
        self.assertGreater(schedule.counts['store_outdated_total'], 0)
        self.assertEqual(schedule.follower.hosts, {})

    def test_hosts_of_a_returning_data_centre(self) -> None:
        """They count as evacuated until they are listed again.

        Guards against flows to hosts that were replaced by cold ones, of which
        only the next listing tells; that comes at once.
        """
        for seed in range(20):
            schedule = Schedule(seed)
            key = f'{EVACUATIONS_PREFIX}x'
            schedule.store.put(key, b'{}')
            for _ in range(40):
                schedule.advance()
            follower = schedule.follower
            self.assertTrue(follower.is_evacuated('x'))
            follower.hosts_due = bool
            for _ in range(20):
                schedule.advance()
            schedule.store.put(key, None)
            for _ in range(20):
                schedule.advance()
                if not follower.is_evacuated('x'):
                    break
            self.assertFalse(follower.is_evacuated('x'))
            position = follower.hosts_position
            self.assertGreaterEqual(position.revision, schedule.store.revision)

    def test_items_of_another_client(self) -> None:
        """They don't stand for the host at their address.

        Guards against a draining host that gets flows on, as a copy of its
        record without some field hides it.
        """
        draining = HostDocument('a', ('10.0.0.1', 80), 'x', draining=True)
        document = json.loads(draining.encode())
        copies = [
            {name: document[name] for name in document if name != missing}
            for missing in ('Sequence', 'Version', 'WarmupLeftMs')
        ]
        copies.extend(
            document | changes | {'State': 'ready'}
            for changes in (
                {'Service': 'nobody', 'born': 99},
                {'Sequence': 'x'},
                {'Version': 7},
                {'WarmupLeftMs': None},
            )
        )
        for order, copy in product(('a', 'z'), copies):
            schedule = Schedule(1)
            schedule.store.put(f'{HOSTS_PREFIX}i-1', draining.encode())
            content = json.dumps({**copy, 'State': 'ready'}).encode()
            schedule.store.put(f'{HOSTS_PREFIX}{order}', content)
            for _ in range(40):
                schedule.advance()
            with self.subTest(order=order, copy=copy):
                self.assertTrue(schedule.follower.hosts['10.0.0.1'].draining)

    def test_missed_versions_are_too_large(self) -> None:
        """Guards against a watch that is repeated without end (review/11).

        A process does not run while large versions come in quick succession.
        """
        schedule = Schedule(1)
        routes = [
            RouteDocument('a', (f'10.1.{number // 250}.{number % 250}', 80))
            for number in range(1500)
        ]
        for _ in range(20):
            schedule.advance()
        follower = schedule.follower
        for version in range(10, 60):
            content = encode_configuration(version, routes)
            schedule.store.put(CONFIGURATION_KEY, content)
        schedule.store.put(f'{EVACUATIONS_PREFIX}x', b'{}')
        for _ in range(20):
            schedule.advance()
        self.assertEqual(follower.configuration.version, 59)
        self.assertTrue(follower.is_evacuated('x'))
        # Watches go on from there.
        schedule.store.put(
            CONFIGURATION_KEY, encode_configuration(60, routes[:1])
        )
        for _ in range(20):
            schedule.advance()
        self.assertEqual(follower.configuration.version, 60)

    def test_copies_of_earlier_records(self) -> None:
        """Guards against a draining host that a copy of its record hides.

        The copies are of the time when it was ready; one is no JSON document any
        more (review/12).
        """
        ready = json.loads(HostDocument('a', ('10.0.0.1', 80), 'x').encode())
        ready |= {'Sequence': 5, 'born': 1000}
        draining = ready | {'Sequence': 7, 'State': 'draining'}
        without_start = {name: ready[name] for name in ready if name != 'born'}
        copies = (
            json.dumps(ready).encode() + b'\n# copy of 02:00\n',
            json.dumps(draining)
            .encode()
            .replace(b'"draining"', b'"draining", "State": "ready"'),
            json.dumps(ready).encode(),
            json.dumps(ready | {'WarmupLeftMs': 0, 'Zone': 'y'}).encode(),
            json.dumps(without_start).encode(),
            json.dumps(ready | {'Sequence': 7}).encode(),
        )
        for order, copy in product(('a', 'z'), copies):
            schedule = Schedule(1)
            schedule.store.put(
                f'{HOSTS_PREFIX}i-1', json.dumps(draining).encode()
            )
            schedule.store.put(f'{HOSTS_PREFIX}{order}', copy)
            for _ in range(40):
                schedule.advance()
            with self.subTest(order=order, copy=copy):
                self.assertTrue(schedule.follower.hosts['10.0.0.1'].draining)

    def test_copies_outlast_the_host(self) -> None:
        """Guards against a host that has left and is listed on by a copy."""
        ready = json.loads(HostDocument('a', ('10.0.0.1', 80), 'x').encode())
        ready |= {'Sequence': 5, 'born': 1000}
        without_start = {name: ready[name] for name in ready if name != 'born'}
        for copy in (ready, without_start):
            schedule = Schedule(1)
            key = f'{HOSTS_PREFIX}i-1'
            schedule.store.put(
                key, json.dumps(ready | {'Sequence': 6}).encode()
            )
            schedule.store.put(f'{HOSTS_PREFIX}z', json.dumps(copy).encode())
            for _ in range(40):
                schedule.advance()
            self.assertIn('10.0.0.1', schedule.follower.hosts)
            schedule.store.put(key, None)
            for _ in range(40):
                schedule.advance()
            with self.subTest(copy=copy):
                self.assertNotIn('10.0.0.1', schedule.follower.hosts)
            # It starts again, and counts from the begin.
            again = ready | {'Sequence': 1, 'born': 900}
            schedule.store.put(key, json.dumps(again).encode())
            for _ in range(40):
                schedule.advance()
            with self.subTest(copy=copy):
                self.assertIn('10.0.0.1', schedule.follower.hosts)

    def test_copy_of_the_store_counts_from_lower_numbers(self) -> None:
        """Guards against hosts that count as copies after a new era."""
        schedule = Schedule(1)
        ready = json.loads(HostDocument('a', ('10.0.0.1', 80), 'x').encode())
        key = f'{HOSTS_PREFIX}i-1'
        schedule.store.put(key, json.dumps(ready | {'Sequence': 5}).encode())
        schedule.store.copy()
        schedule.store.put(key, json.dumps(ready | {'Sequence': 9}).encode())
        for _ in range(40):
            schedule.advance()
        schedule.store.restore(random.Random(1))
        for _ in range(40):
            schedule.advance()
        self.assertEqual(schedule.follower.hosts['10.0.0.1'].sequence, 5)

    def test_absence_proves_nothing_in_a_new_era(self) -> None:
        """Hosts that registered since the copy are missing for a while."""
        schedule = Schedule(1)
        for _ in range(80):
            schedule.advance()
        self.assertTrue(schedule.follower.absence_is_reliable())
        schedule.store.copy()
        schedule.store.restore(random.Random(1))
        for _ in range(10):
            schedule.advance()
        self.assertEqual(schedule.follower.era, 2)
        self.assertFalse(schedule.follower.absence_is_reliable())
        listing = schedule.follower.listing
        self.assertIsInstance(listing, HostListing)
        self.assertGreater(listing.confirmed_at, NEVER)
