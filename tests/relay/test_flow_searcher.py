"""Tests of the CPU time and bandwidth that searches take at an entry."""

import time
import unittest
from types import SimpleNamespace
from typing import Any

from siskinbank.admission import reasons
from siskinbank.platform.records import Route
from siskinbank.relay import messages
from siskinbank.relay.flow_searcher import FlowSearcher
from siskinbank.relay.host_monitor import DISCOVERY_TIMEOUT_S, HostMonitor
from siskinbank.relay.loop import Loop
from siskinbank.tracking.host_listing import HostListing
from siskinbank.tracking.hosts import HostTable

SERVICE = 'matcher'
ROUTE_KEY = bytes((198, 18, 0, 1, 1, 187))
HOSTS = 60
FLOWS = 25
# CPU time of an entry for all its searches after a power loss, in seconds: on a
# sixth of a core they end within a second, before clients retransmit.
MAX_CPU_S = 0.015
# A tenth of a second on the slowest link, 5 Mbit/s.
MAX_BYTES = 62500
# Queries per second that leave two thirds of the time of a sixth of a core.
MAX_QUERIES = 1100
# Step of simulated time, in seconds.
STEP_S = 0.05
DISCOVERY_S = 0.7
# Time limit of a search, in seconds.
MAX_SEARCH_S = 1.2


def flow_key(number: int) -> bytes:
    """Return the key of a flow of the only route."""
    client = bytes((100, 64, 0, number))
    return client + ROUTE_KEY[:4] + bytes((4, 0)) + ROUTE_KEY[4:]


def packet_of(key: bytes) -> bytes:
    """Return a packet of a flow in which only the key is set."""
    return bytes(13) + key + bytes(6)


class Environment:
    """The environment of a flow searcher without sockets.

    Attributes:
        sent: datagrams sent, each with its destination address.
        resets: reasons for which flows were reset.
        routes: the routes in force, by route key.
        hosts: the known state of the hosts.
    """

    def __init__(self) -> None:
        """Create a searcher with all hosts known and present in the store."""
        self.sent: list[tuple[str, bytes]] = []
        self.resets: list[str] = []
        loop = Loop()
        hosts = HostTable()
        listing = HostListing()
        for number in range(HOSTS):
            ip = f'10.0.0.{number + 1}'
            status = messages.Status(messages.digest(SERVICE), 1)
            hosts.update_status(ip, status, loop.now)
        listing.replace((host.packed for host in hosts.all()), loop.now)
        node: Any = SimpleNamespace(
            loop=loop,
            handlers={},
            packed_ip=bytes((10, 0, 0, 99)),
            meters=SimpleNamespace(count=str),
            log=self._log,
            send=lambda ip, datagram: self.sent.append((ip, datagram)),
            settings=SimpleNamespace(data_centre='a'),
            receive_pending=lambda: True,
        )
        self.routes = {ROUTE_KEY: Route(((SERVICE, 1),), True, 0.25, 2)}
        follower: Any = SimpleNamespace(
            configuration=SimpleNamespace(routes=self.routes),
            listing=listing,
            absence_is_reliable=lambda: True,
            longest_idle_s=15.0,
        )
        self.handlers = node.handlers
        self.hosts = hosts
        self.loop = loop
        self.monitor = HostMonitor(node, hosts, follower)
        self.searcher = FlowSearcher(
            node, hosts, follower, self.monitor, self._reset
        )
        # The entry has had the time to discover all hosts.
        loop.now += DISCOVERY_S
        for host in hosts.all():
            host.last_seen = loop.now
        listing.confirmed_at = loop.now

    def run_timers(self) -> None:
        """Run the timers that are due."""
        self.loop._run_timers()  # noqa: SLF001

    def run(self, seconds: float) -> None:
        """Let time pass in steps and run the timers."""
        end = self.loop.now + seconds
        while self.loop.now < end:
            self.loop.now += STEP_S
            self.run_timers()

    def _log(self, event: str, **_inputs: object) -> None:
        """Ignore a log event."""

    def _reset(self, _packet: bytes, reason: str, **_evidence: object) -> None:
        self.resets.append(reason)


class TestUnknownHosts(unittest.TestCase):
    """Hosts that only other entries know of."""

    def test_search_waits_for_peers(self) -> None:
        """All known hosts lack the flow; one of the others may hold it."""
        env = Environment()
        env.searcher.knows_all_hosts = bool
        key = flow_key(1)
        env.searcher.search(key, packet_of(key))
        env.searcher._send_queries()  # noqa: SLF001
        for ip, datagram in env.sent:
            env.handlers[messages.NOT_HELD](datagram, ip)
        env.run(0.3)
        self.assertEqual(env.resets, [])
        env.searcher.knows_all_hosts = lambda: True
        env.run(0.3)
        self.assertEqual(env.resets, ['no-host-holds-it'])


class TestSearchCost(unittest.TestCase):
    """Load pattern: a power loss ended all flows; all hosts answer queries."""

    def test_answers_are_cheap(self) -> None:
        """CPU time is bounded with 25 flows, 60 hosts and 1,500 answers."""
        env = Environment()
        for number in range(FLOWS):
            key = flow_key(number)
            env.searcher.search(key, packet_of(key))
        env.loop.now += 0.1
        env.searcher._send_queries()  # noqa: SLF001
        # The queries for the first flow were sent without delay.
        self.assertEqual(len(env.sent), 2 * HOSTS)
        handle = env.handlers[messages.NOT_HELD]
        before = time.process_time()
        for ip, datagram in env.sent:
            handle(datagram, ip)
        duration = time.process_time() - before
        self.assertEqual(len(env.resets), FLOWS)
        self.assertEqual(set(env.resets), {'no-host-holds-it'})
        self.assertLess(duration, MAX_CPU_S)

    def test_relayed_packets_limit_bandwidth(self) -> None:
        """No sidecar can answer; each flow has a packet of 231 bytes.

        The packets sent to the hosts must not saturate the entry's link.
        """
        env = Environment()
        for number in range(FLOWS):
            key = flow_key(number)
            env.searcher.search(key, packet_of(key) + bytes(200))
        env.loop.now += 0.1
        env.searcher._send_queries()  # noqa: SLF001
        handle = env.handlers[messages.HELD_UNKNOWN]
        for ip, datagram in list(env.sent):
            keys = messages.read_flows(datagram)
            handle(messages.pack_flows(messages.HELD_UNKNOWN, keys), ip)
        env.sent.clear()
        env.searcher._send_packets()  # noqa: SLF001
        relayed = [messages.read_relayed(raw)[1] for _, raw in env.sent]
        self.assertEqual(len(relayed), FLOWS)
        self.assertEqual({len(others) for others in relayed}, {HOSTS - 1})
        sent = sum(len(raw) for _, raw in env.sent)
        self.assertLess(sent, MAX_BYTES)

    def test_queries_are_rate_limited(self) -> None:
        """Queries stay bounded with a search every 4 ms and 60 hosts.

        The load lasts for a second, and nearly all flows must be queried.
        """
        env = Environment()
        started = env.loop.now
        for number in range(250):
            env.loop.now = started + number * 0.004
            key = flow_key(number)
            env.searcher.search(key, packet_of(key))
            env.run_timers()
        self.assertLess(len(env.sent), MAX_QUERIES)
        asked = {
            flow
            for _, datagram in env.sent
            if datagram[0] == messages.FLOW_QUERY
            for flow in messages.read_flows(datagram)
        }
        self.assertGreater(len(asked), 220)


class TestFormerServices(unittest.TestCase):
    """Load pattern: an entry starts after a route was changed.

    A flow stays at the host where it was opened, whose service may receive no
    new flows of its route any more.
    """

    def ask(self, routes: dict[bytes, Route]) -> set[str]:
        """Return the hosts asked for a flow whose route has changed."""
        env = Environment()
        env.routes.clear()
        env.routes.update(routes)
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        self.assertEqual(env.resets, [])
        return {ip for ip, _ in env.sent}

    def test_services_of_the_route_have_changed(self) -> None:
        """Replaced, dropped from a split, or with the weight 0."""
        other = ('catalogue', 1.0)
        for idempotent in (True, False):
            route = Route((other,), idempotent, 0.25, 2)
            self.assertEqual(len(self.ask({ROUTE_KEY: route})), HOSTS)

    def test_route_is_unknown(self) -> None:
        """The entry has an older or newer configuration than its peers."""
        self.assertEqual(len(self.ask({})), HOSTS)


class TestDiscovery(unittest.TestCase):
    """Searches that start with the entry."""

    def test_no_end_during_discovery(self) -> None:
        """Hosts may be unknown as long as first packets are queued for them."""
        env = Environment()
        env.loop.now += DISCOVERY_TIMEOUT_S - DISCOVERY_S - STEP_S
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        for ip, datagram in env.sent:
            keys = messages.read_flows(datagram)
            answer = messages.pack_flows(messages.NOT_HELD, keys)
            env.handlers[messages.NOT_HELD](answer, ip)
        self.assertEqual(env.resets, [])
        env.run(4 * STEP_S)
        self.assertEqual(env.resets, ['no-host-holds-it'])


class TestEndedHosts(unittest.TestCase):
    """Load pattern: a loss of power in the midst of a release.

    Machines come back whose hosts have ended, and are stopped at once. Searches
    for lost flows must not wait for them.
    """

    def end_host(self, env: Environment, state: int) -> None:
        """Let the sidecar of the first host announce its state and stop."""
        status = messages.Status(messages.digest(SERVICE), 1)
        status.state = state
        env.hosts.update_status('10.0.0.1', status, env.loop.now)

    def answer_all_but_first(self, env: Environment) -> None:
        """Let all hosts but the first one answer the queries sent."""
        for ip, datagram in env.sent:
            if ip != '10.0.0.1':
                keys = messages.read_flows(datagram)
                answer = messages.pack_flows(messages.NOT_HELD, keys)
                env.handlers[messages.NOT_HELD](answer, ip)

    def test_searches_do_not_wait_for_it(self) -> None:
        """Its sidecar has said that it ended."""
        env = Environment()
        self.end_host(env, reasons.ENDED)
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        self.answer_all_but_first(env)
        self.assertEqual(env.resets, ['no-host-holds-it'])

    def test_searches_wait_for_a_host_that_still_runs(self) -> None:
        """Its sidecar has only said that it stops itself."""
        env = Environment()
        self.end_host(env, reasons.STOPPING)
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        self.answer_all_but_first(env)
        self.assertEqual(env.resets, [])

    def answer(self, env: Environment, ip: str, kind: int) -> None:
        """Let one host answer all queries that were sent to it."""
        for target, datagram in env.sent:
            if target == ip and datagram[0] == messages.FLOW_QUERY:
                keys = messages.read_flows(datagram)
                env.handlers[kind](messages.pack_flows(kind, keys), ip)

    def search_before_stop(self, env: Environment) -> None:
        """Let a search end while the second host is silent.

        The first host says that it does not hold the flow. Then its sidecar stops.
        """
        self.end_host(env, reasons.STOPPING)
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        for number in (1, *range(3, HOSTS + 1)):
            self.answer(env, f'10.0.0.{number}', messages.NOT_HELD)
        env.run(MAX_SEARCH_S + 2 * STEP_S)
        self.assertEqual(env.resets, [])
        env.sent.clear()

    def search_after_stop(self, env: Environment) -> None:
        """Let all hosts but the first one answer a search for the same flow."""
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        for number in range(2, HOSTS + 1):
            ip = f'10.0.0.{number}'
            env.hosts.note_message(ip, env.loop.now)
            self.answer(env, ip, messages.NOT_HELD)
        env.run(3 * STEP_S)

    def test_answer_before_the_stop(self) -> None:
        """Guards against a wait for an answer that a sidecar has given.

        Load pattern: sidecars stop beside leaving hosts while searches for lost
        flows wait for another host. A client sends its packet again when its
        first search has ended.
        """
        env = Environment()
        self.search_before_stop(env)
        self.search_after_stop(env)
        self.assertEqual(env.resets, ['no-host-holds-it'])

    def test_answer_of_an_earlier_sidecar(self) -> None:
        """Guards against a reset of a flow that a restarted sidecar may hold."""
        env = Environment()
        self.search_before_stop(env)
        self.end_host(env, reasons.NONE)
        self.end_host(env, reasons.STOPPING)
        self.search_after_stop(env)
        self.assertEqual(env.resets, [])

    def test_host_holds_the_flow_later(self) -> None:
        """Guards against a reset of a flow that the host has opened since.

        The sidecar may pass on a copy of a first packet while it stops.
        """
        env = Environment()
        self.search_before_stop(env)
        env.searcher.finish(flow_key(1), '10.0.0.1')
        self.search_after_stop(env)
        self.assertEqual(env.resets, [])

    def test_sidecar_that_is_back_is_asked(self) -> None:
        """Guards against a restarted sidecar that gets no queries."""
        env = Environment()
        self.search_before_stop(env)
        env.loop.now += 2
        self.end_host(env, reasons.NONE)
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        self.assertIn('10.0.0.1', {ip for ip, _ in env.sent})

    def test_other_flow(self) -> None:
        """Guards against a reset of a flow that the sidecar was not asked for."""
        env = Environment()
        self.search_before_stop(env)
        for number in (1, 2):
            key = flow_key(number)
            env.searcher.search(key, packet_of(key))
        self.search_after_stop(env)
        self.assertEqual(env.resets, ['no-host-holds-it'])

    def test_answer_before_the_announcement(self) -> None:
        """Guards against the use of an answer from before the announcement.

        Until then the host may accept a new flow with the same key.
        """
        env = Environment()
        env.searcher.search(flow_key(1), packet_of(flow_key(1)))
        for number in (1, *range(3, HOSTS + 1)):
            self.answer(env, f'10.0.0.{number}', messages.NOT_HELD)
        self.end_host(env, reasons.STOPPING)
        env.run(MAX_SEARCH_S + 2 * STEP_S)
        env.sent.clear()
        self.search_after_stop(env)
        self.assertEqual(env.resets, [])
