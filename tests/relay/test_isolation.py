"""An entry that no sidecar reaches differs from one with a dead host.

Load pattern: hundreds of entries, so that nearly all sidecars announce intervals
of many seconds to each of them.
"""

import unittest
from socket import inet_aton

from siskinbank.relay import messages
from tests.relay.simulated_fleet import SimulatedFleet
from tests.relay.test_flow_searcher import (
    HOSTS,
    STEP_S,
    Environment,
    flow_key,
)

INTERVAL_MS = 20800
DEAD = '10.0.0.1'
# Time from the first packet for a silent host to its reset, in seconds.
MAX_DETECTION_S = 2.0
# The same for a silent host without a record, until searches leave it out.
MAX_UNREGISTERED_S = 0.7
# Size of the IP and UDP headers of a datagram, in bytes.
HEADER_BYTES = 28
# A third of what control messages may use, in bytes per second.
MAX_BYTES_PER_S = 9333


class TestManyHosts(unittest.TestCase):
    """Hosts of which a sample is asked."""

    def setUp(self) -> None:
        """Let all hosts announce long intervals and be silent since."""
        self.env = Environment()
        self.alive = {host.ip for host in self.env.hosts.all()} - {DEAD}
        for host in self.env.hosts.all():
            host.status.interval_ms = INTERVAL_MS
        self.env.loop.now += 10
        self.answer = messages.Status(1, 1).pack()
        self.bytes_used = 0

    def run_step(self) -> str:
        """Let time pass and hosts answer; return why the dead one is gone."""
        env = self.env
        for ip, datagram in env.sent:
            self.bytes_used += len(datagram) + HEADER_BYTES
            if ip in self.alive:
                self.bytes_used += len(self.answer) + HEADER_BYTES
                env.hosts.note_message(ip, env.loop.now)
        env.sent.clear()
        env.loop.now += STEP_S
        env.run_timers()
        return env.monitor.loss_reason(DEAD, flow_key(1))

    def test_dead_host(self) -> None:
        """It is found in time, although few other hosts are heard."""
        steps = int(MAX_DETECTION_S / STEP_S)
        self.assertIn('unanswered', [self.run_step() for _ in range(steps)])

    def test_third_of_the_hosts_is_dead(self) -> None:
        """All of them are found, whichever hosts are asked."""
        dead = {f'10.0.0.{number + 1}' for number in range(HOSTS // 3)}
        self.alive -= dead
        found = [self.run_step() for _ in range(200)]
        self.assertIn('unanswered', found[: int(MAX_DETECTION_S / STEP_S)])
        for silent in dead:
            self.env.monitor.loss_reason(silent, flow_key(1))
        for _ in range(int(MAX_DETECTION_S / STEP_S)):
            self.run_step()
        reasons = {self.env.monitor.loss_reason(ip, flow_key(1)) for ip in dead}
        self.assertEqual(reasons, {'unanswered'})

    def present(self) -> set[str]:
        """Return the addresses of the hosts that searches ask."""
        return {host.ip for host in self.env.monitor.present_hosts()}

    def test_entry_is_cut_off(self) -> None:
        """No host answers, and none counts as gone."""
        self.alive.clear()
        self.assertEqual({self.run_step() for _ in range(400)}, {''})

    def test_log(self) -> None:
        """Excuses are logged once a second, not for each packet."""
        events: list[str] = []
        self.env.monitor._node.log = (  # type: ignore[method-assign]  # noqa: SLF001
            lambda event, **_inputs: events.append(event)
        )
        self.alive.clear()
        seconds = 5
        for _ in range(int(seconds / STEP_S)):
            self.run_step()
        self.assertIn('host.excused', events)
        self.assertLessEqual(events.count('host.excused'), seconds)

    def test_entry_is_cut_off_and_record_is_missing(self) -> None:
        """The host is not left out of searches either."""
        self.alive.clear()
        listing = self.env.searcher._follower.listing  # noqa: SLF001
        others = listing.addresses - {inet_aton(DEAD)}
        for _ in range(400):
            listing.replace(others, self.env.loop.now)
            self.assertEqual(self.run_step(), '')
            self.assertIn(DEAD, self.present())

    def test_record_of_dead_host_is_missing(self) -> None:
        """It is left out of searches as soon as other hosts are heard."""
        listing = self.env.searcher._follower.listing  # noqa: SLF001
        others = listing.addresses - {inet_aton(DEAD)}
        steps = int(MAX_UNREGISTERED_S / STEP_S)
        for _ in range(steps):
            listing.replace(others, self.env.loop.now)
            self.run_step()
        self.assertNotIn(DEAD, self.present())

    def test_bandwidth(self) -> None:
        """Asking the sample while a host is dead stays cheap."""
        seconds = 20
        for _ in range(int(seconds / STEP_S)):
            self.run_step()
        self.assertLess(self.bytes_used / seconds, MAX_BYTES_PER_S)


class TestFewUpdates(unittest.TestCase):
    """A fleet whose sidecars only answer hellos."""

    def setUp(self) -> None:
        """Let the status updates come only as answers to hellos."""
        self.fleet = SimulatedFleet()
        self.addCleanup(self.fleet.close)
        fleet = self.fleet
        self.host = fleet.hosts[0]
        self.packet = fleet.open_flow(self.host)
        for host in fleet.hosts:
            tracked = fleet.entry._hosts.get(host)  # noqa: SLF001
            assert tracked is not None
            tracked.status.interval_ms = INTERVAL_MS
        fleet.loss = lambda source, target, datagram: (
            datagram[0] == messages.STATUS and not fleet.was_greeted(source)
        )
        fleet.run(3, self.packet)
        self.assertEqual(fleet.resets, [])

    def test_dead_host(self) -> None:
        """Its flow is reset in time."""
        died_at = self.fleet.now
        self.fleet.dead.add(self.host)
        self.fleet.run(4, self.packet)
        self.assertNotEqual(self.fleet.resets, [])
        self.assertLess(self.fleet.resets[0][0] - died_at, MAX_DETECTION_S)
