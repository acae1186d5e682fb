"""An open flow must not be reset while its host and sidecar are up.

Each load pattern makes the sidecar's status updates late or stops them.
"""

import random
import unittest
from dataclasses import dataclass
from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.relay import messages
from tests.relay.simulated_fleet import SimulatedFleet

# Time from the death of a host to the reset of its flows, in seconds, where
# requests may run again and where they may run once.
MAX_DETECTION_S = 2.0
MAX_DETECTION_ONCE_S = 3.7
# Time after each copy of a request until the next one reaches the entry or its
# client gives up, in seconds: all copies, and all but the second and third.
CLIENT_PAUSES_S = ((0.2, 0.4, 0.8, 1.6), (1.4, 1.6))
# Share of the datagrams that are lost in random schedules.
LOSS = 0.02


class TestResetBesideSoundHost(unittest.TestCase):
    """Flows of hosts whose sidecars answer."""

    def setUp(self) -> None:
        """Create a fleet with an open flow at its first host."""
        self.fleet = SimulatedFleet()
        self.addCleanup(self.fleet.close)
        self.host = self.fleet.hosts[0]
        self.packet = self.fleet.open_flow(self.host)

    def assert_flow_kept(self) -> None:
        """Check that no flow was reset."""
        self.assertEqual(self.fleet.resets, [])

    def test_host_gets_no_new_flows(self) -> None:
        """Load pattern: an evacuation keeps open flows for half a minute.

        Nothing but packets of open flows goes from the entry to the sidecar.
        """
        self.fleet.evacuated.add(self.host)
        self.fleet.run(70, self.packet)
        self.assert_flow_kept()

    def test_packets_keep_updates_coming(self) -> None:
        """A sidecar keeps the entry from which packets of flows come."""
        self.fleet.evacuated.add(self.host)
        self.fleet.run(70, self.packet)
        self.assertNotIn((self.host, 'peer.dropped'), self.fleet.events)

    def test_updates_stop(self) -> None:
        """The sidecar no longer counts the entry among its receivers."""
        reporter = self.fleet.sidecars[self.host]._reporter  # noqa: SLF001
        reporter._entries.clear()  # noqa: SLF001
        self.fleet.run(5, self.packet)
        self.assert_flow_kept()

    def test_updates_are_lost(self) -> None:
        """Four updates in a row, several times; other messages arrive.

        Answers to probes are updates as well.
        """
        sent = 0
        route = (self.host, self.fleet.entry_ip)

        def loss(source: str, target: str, datagram: bytes) -> bool:
            nonlocal sent
            if datagram[0] != messages.STATUS or (source, target) != route:
                return False
            sent += 1
            return sent % 6 > 1

        self.fleet.loss = loss
        for phase in range(6):
            sent = phase
            self.fleet.run(15, self.packet)
            with self.subTest(phase=phase):
                self.assert_flow_kept()

    def test_entry_stalls(self) -> None:
        """Stalls shorter and longer than those that the loop reports.

        The packets of clients are handled before the updates that wait.
        """
        for stalled_s in (0.6, 0.8, 0.95, 0.99, 1.05, 1.5, 3):
            for phase in range(8):
                self.fleet.pause(self.fleet.entry_ip, stalled_s)
                self.fleet.run(stalled_s + 1 + phase * 0.05, self.packet)
                with self.subTest(stalled_s=stalled_s, phase=phase):
                    self.assert_flow_kept()

    def test_sidecar_pauses_together_with_entry(self) -> None:
        """Load pattern: a machine runs entry and sidecar and pauses.

        The entry probes the sidecar before the pause, and the sidecar runs
        again 0.6 s after the entry. The pause must not count as time probed.
        """
        self.fleet.run(1, self.packet)
        self.fleet.pause(self.host, 0.75 + 0.9 + 0.6)
        self.fleet.run(0.75, self.packet)
        self.fleet.pause(self.fleet.entry_ip, 0.9)
        self.fleet.run(2.5, self.packet)
        self.assert_flow_kept()

    def test_record_is_missing(self) -> None:
        """Load pattern: hosts serve on after their records are gone.

        The sidecar announces a long interval, as to an entry among many.
        """
        self.fleet.unlisted.add(self.host)
        sent = 0

        def loss(source: str, target: str, datagram: bytes) -> bool:
            nonlocal sent
            if datagram[0] != messages.STATUS or source != self.host:
                return False
            sent += 1
            return sent % 4 != 0

        self.fleet.run(1)
        self.fleet.loss = loss
        self.fleet.run(20, self.packet)
        self.assert_flow_kept()

    def test_flow_that_another_entry_opened(self) -> None:
        """Its host is known from an answer only, not from a status update."""
        self.fleet.loss = lambda source, target, datagram: (
            datagram[0] == messages.STATUS
        )
        self.fleet.entry._hosts._by_ip.pop(self.host)  # noqa: SLF001
        self.fleet.run(0.2, self.packet)
        self.assert_flow_kept()


class TestResetOfDeadHost(unittest.TestCase):
    """Clients of a dead host learn within a stated time."""

    def detection_s(self, idempotent: bool, unlisted: bool = False) -> float:
        """Return the time from the death of a host to the reset."""
        fleet = SimulatedFleet()
        self.addCleanup(fleet.close)
        fleet.publish(idempotent)
        host = fleet.hosts[0]
        packet = fleet.open_flow(host)
        fleet.run(5, packet)
        died_at = fleet.now
        fleet.dead.add(host)
        if unlisted:
            fleet.unlisted.add(host)
        fleet.run(5, packet)
        self.assertEqual(fleet.resets[0][1], 'host-gone')
        return fleet.resets[0][0] - died_at

    def test_requests_may_run_again(self) -> None:
        """The reset comes soon, so that the client can try elsewhere."""
        self.assertLess(self.detection_s(idempotent=True), MAX_DETECTION_S)

    def test_client_retransmits_at_growing_intervals(self) -> None:
        """The reset doesn't wait for the client's next packet.

        Load pattern: the last copy of a request, 1.4 s after the first, comes
        before the host counts as gone; then the client gives up after 1.6 s.
        Other copies may be lost or reach another entry.
        """
        for phase, pauses_s in product(range(8), CLIENT_PAUSES_S):
            with self.subTest(phase=phase, pauses_s=pauses_s):
                self.assertLess(
                    self.retry_until_reset(phase, pauses_s), MAX_DETECTION_S
                )

    def retry_until_reset(
        self, phase: int, pauses_s: tuple[float, ...]
    ) -> float:
        """Return the time until the flow of a client that retries is reset."""
        fleet = SimulatedFleet()
        try:
            packet = fleet.open_flow(fleet.hosts[0])
            fleet.run(1 + phase * 0.05, packet)
            fleet.dead.add(fleet.hosts[0])
            died_at = fleet.now
            for pause_s in pauses_s:
                fleet.send(packet)
                fleet.run(pause_s)
        finally:
            fleet.close()
        self.assertNotEqual(fleet.resets, [])
        return fleet.resets[0][0] - died_at

    def test_requests_may_run_once(self) -> None:
        """The entry waits for a killed sidecar to restart."""
        detection_s = self.detection_s(idempotent=False)
        self.assertLess(detection_s, MAX_DETECTION_ONCE_S)

    def test_record_is_missing(self) -> None:
        """The store agrees that the host is gone, whatever the requests."""
        detection_s = self.detection_s(idempotent=False, unlisted=True)
        self.assertLess(detection_s, MAX_DETECTION_S)


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One event of a random schedule.

    Attributes:
        kind: what happens, one of ``KINDS``.
        seconds: how long it lasts.
        pause_s: time until the next event after its end.
    """

    kind: str
    seconds: float
    pause_s: float


KINDS = (
    'entry-stalls',
    'sidecar-stalls',
    'updates-lost',
    'unlisted',
    'evacuated',
)
# The longest stall after which a sidecar still answers probes in time.
MAX_SIDECAR_STALL_S = 0.25
SCHEDULES = st.lists(
    st.builds(
        Disturbance,
        st.sampled_from(KINDS),
        st.floats(0.05, 3),
        st.floats(0, 1.5),
    ),
    min_size=1,
    max_size=8,
)


def disturb(fleet: SimulatedFleet, event: Disturbance) -> None:
    """Begin a disturbance of the entry or of the first host."""
    host = fleet.hosts[0]
    if event.kind == 'entry-stalls':
        fleet.pause(fleet.entry_ip, event.seconds)
    elif event.kind == 'sidecar-stalls':
        fleet.pause(host, min(event.seconds, MAX_SIDECAR_STALL_S))
    elif event.kind == 'unlisted':
        fleet.unlisted ^= {host}
    else:
        fleet.evacuated ^= {host}


class TestRandomSchedules(unittest.TestCase):
    """Stalls, lost updates and missing records, in any order."""

    @settings(max_examples=100, deadline=None)
    @given(SCHEDULES, st.booleans(), st.integers(0, 1 << 16))
    def test_schedule(
        self, schedule: list[Disturbance], idempotent: bool, seed: int
    ) -> None:
        """No reset while the host lives, one in time when it is dead."""
        fleet = SimulatedFleet(3)
        try:
            fleet.publish(idempotent)
            self.play(fleet, schedule, random.Random(seed))
            self.assertEqual(fleet.resets, [])
            self.check_dead_host(fleet, idempotent)
        finally:
            fleet.close()

    def play(
        self,
        fleet: SimulatedFleet,
        schedule: list[Disturbance],
        chance: random.Random,
    ) -> None:
        """Play a schedule while one datagram in fifty is lost."""
        host = fleet.hosts[0]
        packet = fleet.open_flow(host)
        updates_lost_until = fleet.now

        def loss(source: str, target: str, datagram: bytes) -> bool:
            is_update = datagram[0] == messages.STATUS and source == host
            if is_update and fleet.now < updates_lost_until:
                # Answers to probes are not lost with them.
                return not fleet.was_greeted(host)
            return chance.random() < LOSS

        fleet.loss = loss
        for event in schedule:
            if event.kind == 'updates-lost':
                updates_lost_until = fleet.now + event.seconds
            else:
                disturb(fleet, event)
            fleet.run(event.seconds + event.pause_s, packet, 0.07)

    def check_dead_host(self, fleet: SimulatedFleet, idempotent: bool) -> None:
        """Let the host die and check that its flow is reset in time."""
        packet = fleet.open_flow(fleet.hosts[0])
        fleet.dead.add(fleet.hosts[0])
        fleet.loss = lambda source, target, datagram: False
        fleet.run(
            MAX_DETECTION_S if idempotent else MAX_DETECTION_ONCE_S, packet
        )
        self.assertNotEqual(fleet.resets, [])
