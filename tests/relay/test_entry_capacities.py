"""Tests of rotation by capacity among several entries, without a network."""

import random
import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.relay import entry, main, messages
from tests.relay.simulated_entries import EntryCluster
from tests.relay.simulated_fleet import OTHER_ENTRIES, SimulatedFleet

FAST = 100_000
MEDIUM = 30_000
SLOW = 5_000
# Time after a start within which an entry may leave, in seconds: a second until
# others have heard of it, three for which the condition holds, and a check.
SETTLE_S = 4.5
# Time after a death by which the others have returned, in seconds: the
# freshness limit of 3 s after its last report, a check, and a step.
RETURN_S = 3.4
# Time by which a dead entry no longer counts and the others have settled.
FORGET_S = 66.0
EXAMPLES = 40
LINKS = st.sampled_from((0, SLOW, SLOW, MEDIUM, FAST, FAST))


class ClusterCase(unittest.TestCase):
    """Base of tests with several entries."""

    def setUp(self) -> None:
        """Create a cluster without entries."""
        self.cluster = EntryCluster()

    def start(self, *links: int, data_centre: str = 'a') -> list[str]:
        """Start entries with the given links; return their addresses."""
        first = len(self.cluster.entries) + 1
        addresses = [f'10.0.0.{first + place}' for place in range(len(links))]
        for ip, link_kbps in zip(addresses, links, strict=True):
            self.cluster.start(ip, link_kbps, data_centre=data_centre)
        return addresses

    def events(self, ip: str) -> list[str]:
        """Return the names of the events that an entry has logged."""
        return [event for _, event, _ in self.cluster.entries[ip].events]


class TestLoad(ClusterCase):
    """Load pattern: entries of one data centre with unequal links."""

    def test_cases(self) -> None:
        """The slow ones leave where the others carry more without them."""
        cases = (
            ((FAST, FAST, MEDIUM, SLOW, SLOW, SLOW), 3),
            ((FAST, FAST, *(SLOW for _ in range(7))), 9),
            ((FAST, FAST, FAST, FAST), 4),
            ((0, 0, 0), 3),
            ((FAST, FAST, SLOW), 2),
            ((SLOW,), 1),
        )
        for links, expected in cases:
            with self.subTest(links=links):
                self.setUp()
                ips = self.start(*links)
                self.cluster.run(SETTLE_S + 1)
                self.assertEqual(self.cluster.in_rotation(), ips[:expected])

    def test_data_centres_are_separate(self) -> None:
        """Each data centre decides by its own entries only.

        Entries that have asked once whether they share a data centre do not
        ask again.
        """
        local = self.start(FAST, SLOW)
        remote = self.start(SLOW, SLOW, data_centre='b')
        self.cluster.run(SETTLE_S + 1)
        self.assertEqual(self.cluster.in_rotation(), local[:1])
        self.assertEqual(self.cluster.in_rotation('b'), remote)
        self.cluster.sent.clear()
        self.cluster.run(10)
        crossing = [pair for pair in self.cluster.sent if pair[0] in local]
        self.assertEqual({target for _, target in crossing}, set(local))

    def test_slow_entries_do_not_hear_each_other(self) -> None:
        """Six slow entries each hear two fast ones only.

        If each decided as one of three, all six would leave: two of eight
        entries would be in rotation.
        """
        slow = {f'10.0.0.{number}' for number in range(3, 9)}
        self.cluster.network = lambda source, target: (
            None if {source, target} <= slow else 0.002
        )
        ips = self.start(FAST, FAST, *(SLOW for _ in slow))
        self.cluster.run(30, lambda: _check_half(self.cluster))
        self.assertEqual(self.cluster.in_rotation(), ips)

    def test_setting_all(self) -> None:
        """An entry that never leaves still reports to the others."""
        fast, slow = self.start(FAST)[0], '10.0.0.9'
        other = '10.0.0.8'
        self.cluster.start(slow, SLOW, setting='all')
        self.cluster.start(other, MEDIUM, setting='sometimes')
        self.cluster.run(SETTLE_S + 1)
        self.assertEqual(self.cluster.in_rotation(), [fast, slow, other])
        self.assertEqual(self.events(slow), [])
        self.assertEqual(self.events(other), ['settings.refused'])

    def test_log_and_metrics(self) -> None:
        """Operators see the decision with its inputs."""
        _, slow = self.start(FAST, SLOW)
        self.cluster.run(SETTLE_S + 1)
        entry = self.cluster.entries[slow]
        _, event, inputs = entry.events[-1]
        self.assertEqual(event, 'rotation.left')
        self.assertEqual((inputs['known'], inputs['wanted']), (2, 1))
        lines = entry.node.meters.text().splitlines()
        for line in (
            'siskinbank_rotation_left_total 1',
            'siskinbank_entries_known 2',
            'siskinbank_entries_in_rotation 1',
            'siskinbank_in_rotation 0',
        ):
            self.assertIn(line, lines)

    def test_many_entries(self) -> None:
        """Load pattern: 103 entries of a data centre among 410.

        Messages stay within the limits of a turn, and the slow entries leave
        and stay out although each is heard every second turn only.
        """
        links = [FAST if number % 4 else SLOW for number in range(103)]
        self.start(*links)
        self.cluster.run(30)
        kept = len(self.cluster.in_rotation())
        self.assertEqual(kept, links.count(FAST))
        self.cluster.sent.clear()
        self.cluster.run(10)
        own = [pair for pair in self.cluster.sent if pair[0] == '10.0.0.1']
        self.assertLessEqual(len(own), 11 * 64)
        self.assertEqual(len(self.cluster.in_rotation()), kept)


class TestFailures(ClusterCase):
    """Entries that fail while slow ones are out of rotation."""

    def setUp(self) -> None:
        """Let three slow entries of six leave."""
        super().setUp()
        self.ips = self.start(FAST, FAST, MEDIUM, SLOW, SLOW, SLOW)
        self.cluster.run(SETTLE_S + 1)
        self.assertEqual(self.cluster.in_rotation(), self.ips[:3])

    def test_strong_entry_is_killed(self) -> None:
        """The slow ones return, until the dead one no longer counts."""
        self.cluster.kill(self.ips[0])
        self.cluster.run(RETURN_S)
        self.assertEqual(self.cluster.in_rotation(), self.ips[1:])

    def test_strong_entry_returns(self) -> None:
        """They leave again after it has restarted."""
        self.cluster.kill(self.ips[0])
        self.cluster.run(RETURN_S + 5)
        self.cluster.start(self.ips[0], FAST)
        self.cluster.run(SETTLE_S + 1)
        self.assertEqual(set(self.cluster.in_rotation()), set(self.ips[:3]))

    def test_planned_stop(self) -> None:
        """They return as soon as the announcement arrives."""
        self.cluster.stop(self.ips[1])
        self.cluster.run(0.1)
        self.assertLess(set(self.ips[3:]), set(self.cluster.in_rotation()))

    def test_announcement_of_stop_is_lost(self) -> None:
        """Further reports say so, or silence does."""
        self.cluster.network = lambda source, target: None
        self.cluster.stop(self.ips[1])
        self.cluster.run(0.1)
        self.cluster.network = lambda source, target: 0.002
        self.cluster.run(1)
        self.assertLess(set(self.ips[3:]), set(self.cluster.in_rotation()))

    def test_slow_entry_is_cut_off(self) -> None:
        """An entry that hears nobody returns; the others are not affected."""
        alone = self.ips[-1]
        self.cluster.network = lambda source, target: (
            None if alone in {source, target} else 0.002
        )
        self.cluster.run(RETURN_S + 1)
        self.assertEqual(self.cluster.in_rotation(), [*self.ips[:3], alone])

    def test_all_strong_entries_are_killed(self) -> None:
        """Power is lost in a rack: the rest serve, and settle among them."""
        for ip in self.ips[:3]:
            self.cluster.kill(ip)
        self.cluster.run(RETURN_S)
        self.assertEqual(self.cluster.in_rotation(), self.ips[3:])

    def test_unready_entry_does_not_count(self) -> None:
        """One without configuration serves nobody, so others return."""
        self.cluster.entries[self.ips[0]].prepared = False
        self.cluster.run(0.5)
        self.assertEqual(self.cluster.in_rotation(), self.ips)
        self.cluster.entries[self.ips[0]].prepared = True
        self.cluster.run(SETTLE_S)
        self.assertEqual(self.cluster.in_rotation(), self.ips[:3])

    def test_flapping_neighbour(self) -> None:
        """One that is ready every other second: no entry flaps with it."""
        flapping = self.cluster.entries[self.ips[0]]
        for turn in range(30):
            flapping.prepared = turn % 2 == 0
            self.cluster.run(1)
        joined = ['rotation.left', 'rotation.joined']
        self.assertEqual(self.events(self.ips[3]), joined)
        # The best of the slow entries replaces it for the others.
        for ip in self.ips[4:]:
            self.assertEqual(self.events(ip), [*joined, 'rotation.left'])

    def test_lost_messages(self) -> None:
        """A tenth of all messages is lost: half stay in rotation throughout.

        A report is fresh for three intervals, so entries seldom return.
        """
        chance = random.Random(7)
        self.cluster.network = lambda source, target: (
            0.002 if chance.randrange(10) else None
        )
        self.cluster.run(60, self.check_half)
        for ip in self.ips[3:]:
            self.assertLessEqual(len(self.events(ip)), 12)

    def test_rolling_restart(self) -> None:
        """Half or more of the entries are in rotation at any time."""
        for ip in self.ips:
            link_kbps = self.cluster.entries[ip].node.settings.link_kbps
            self.cluster.stop(ip)
            self.cluster.run(2, self.check_half)
            self.cluster.start(ip, link_kbps)
            self.cluster.run(3, self.check_half)
        self.cluster.run(SETTLE_S + 2)
        self.assertEqual(set(self.cluster.in_rotation()), set(self.ips[:3]))

    def test_addition(self) -> None:
        """New entries start in rotation; slow ones leave it."""
        fast, slow = '10.0.0.20', '10.0.0.21'
        self.cluster.start(fast, FAST)
        self.cluster.start(slow, SLOW)
        self.cluster.run(1)
        self.assertIn(slow, self.cluster.in_rotation())
        self.cluster.run(SETTLE_S)
        self.assertEqual(set(self.cluster.in_rotation()), {*self.ips[:3], fast})

    def test_stopping_entry_keeps_its_decision(self) -> None:
        """Readiness ends anyway; its change is not announced twice."""
        slow = self.ips[-1]
        self.cluster.stop(slow)
        self.cluster.kill(self.ips[0])
        self.cluster.run(1)
        self.assertEqual(self.events(slow), ['rotation.left'])

    def check_half(self) -> None:
        """Assert that half of the entries that do not stop are in rotation."""
        _check_half(self.cluster)


class TestMessages(ClusterCase):
    """Reports that arrive damaged or from an unexpected sender."""

    def test_wrong_length(self) -> None:
        """Datagrams of another length are rejected."""
        raw = messages.EntryCapacity(7).pack()
        for damaged in (raw[:-1], raw + b'x', b''):
            with self.assertRaises(messages.DatagramError):
                messages.EntryCapacity.read(damaged)

    def test_fields(self) -> None:
        """All fields are restored and limited."""
        report = messages.EntryCapacity(7)
        report.capacity = 1 << 40
        report.serving = True
        report.interval_ms = 1 << 20
        decoded = messages.EntryCapacity.read(report.pack())
        self.assertEqual(decoded.data_centre, 7)
        self.assertEqual(decoded.capacity, 0xFFFFFFFF)
        self.assertEqual((decoded.serving, decoded.stopping), (True, False))
        self.assertEqual(decoded.interval_ms, 0xFFFF)

    def test_answers_are_not_answered(self) -> None:
        """Two data centres never send each other messages in a loop."""
        own = self.start(SLOW)[0]
        remote = '10.0.9.1'
        for interval_ms, expected in ((1000, 1), (0, 0)):
            with self.subTest(interval_ms=interval_ms):
                self.cluster.sent.clear()
                self.cluster.forge(
                    remote, own, data_centre=8, interval_ms=interval_ms
                )
                self.cluster.entries[own].receive()
                self.assertEqual(
                    self.cluster.sent.count((own, remote)), expected
                )


class TestEntry(unittest.TestCase):
    """A real entry with a slow link beside four fast ones."""

    def setUp(self) -> None:
        """Let the fast entries report, so that the slow one leaves."""
        self.fleet = SimulatedFleet(2)
        self.addCleanup(self.fleet.close)
        self.node = self.fleet._nodes[self.fleet.entry_ip]  # noqa: SLF001
        self.node.settings.link_kbps = SLOW

    def test_readiness(self) -> None:
        """It fails the probe while the others are in rotation."""
        self.report(SETTLE_S)
        self.assertFalse(self.node.is_ready())
        self.fleet.run(RETURN_S)
        self.assertTrue(self.node.is_ready())

    def test_one_reports_only(self) -> None:
        """It stays while the data centre of the others is not known."""
        self.report(SETTLE_S, OTHER_ENTRIES[:1])
        self.assertTrue(self.node.is_ready())

    def test_stop(self) -> None:
        """The first message after a stop says so, at once."""
        self.report(1)
        received: list[bytes] = []
        self.fleet.loss = lambda source, target, datagram: bool(
            source == self.fleet.entry_ip
            and datagram[0] == messages.ENTRY_CAPACITY
            and received.append(datagram)
        )
        self.node.on_stop()
        self.assertEqual(len(received), len(OTHER_ENTRIES))
        report = messages.EntryCapacity.read(received[0])
        self.assertEqual((report.stopping, report.serving), (True, False))
        self.assertFalse(self.node.is_ready())

    def report(
        self, seconds: float, entries: tuple[str, ...] = OTHER_ENTRIES
    ) -> None:
        """Let fast entries report twice a second for some time."""
        report = messages.EntryCapacity(messages.digest('a'))
        report.capacity = 10_000
        report.serving = True
        report.interval_ms = 1000
        for _ in range(int(seconds * 2)):
            for ip in entries:
                self.fleet._send(  # noqa: SLF001
                    ip, self.fleet.entry_ip, report.pack()
                )
            self.fleet.run(0.5)


class TestSetting(unittest.TestCase):
    """The environment variable reaches the entry."""

    def test_values(self) -> None:
        """Entries rotate by capacity unless the operator says otherwise."""
        cases = (
            ({}, 'capacity'),
            ({b'SISKINBANK_ENTRY_ROTATION': b'all'}, 'all'),
            ({b'SISKINBANK_ENTRY_ROTATION': b'\xff'}, '\ufffd'),
        )
        for environ, expected in cases:
            with (
                self.subTest(environ=environ),
                patch.object(main, 'environ', environ),
                patch.object(entry, 'Entry') as create,
            ):
                main._create_program('entry', create)  # noqa: SLF001
                create.assert_called_once_with(
                    create,
                    expected,
                    split_overflow=False,
                    link_budget=True,
                    detours=True,
                )


class Scenario:
    """Random faults of a cluster, and the check of the property."""

    def __init__(self, found: st.DataObject) -> None:
        """Start up to eight entries on a network of random quality."""
        self._draw = found.draw
        self.cluster = EntryCluster()
        self._links: dict[str, int] = {}
        loss = self._draw(st.sampled_from((0, 0.1, 0.3, 0.6)))
        delay_s = self._draw(st.sampled_from((0.01, 0.3, 1.0)))
        chance = self._draw(st.randoms(use_true_random=False))
        self.cluster.network = lambda source, target: (
            None if chance.random() < loss else chance.random() * delay_s
        )
        #: A report that was sent before a death may arrive after it.
        self._grace_s = RETURN_S + delay_s
        self._checked_from = self.cluster.now
        for number in range(self._draw(st.integers(1, 8))):
            self._start(number)

    def run(self) -> None:
        """Let faults happen for some time, then repair the network."""
        for _ in range(self._draw(st.integers(0, 10))):
            self.cluster.run(self._draw(st.floats(0.1, 6)), self._check)
            if self._draw(st.booleans()):
                self._start(self._draw(st.integers(0, 11)))
            elif self.cluster.entries:
                self._end()
        self.cluster.run(10, self._check)
        self.cluster.network = lambda source, target: 0.002
        self.cluster.run(FORGET_S + 5, self._check)

    def _start(self, number: int) -> None:
        ip = f'10.0.0.{number}'
        if ip not in self.cluster.entries:
            if ip not in self._links:
                self._links[ip] = self._draw(LINKS)
            self.cluster.start(ip, self._links[ip])

    def _end(self) -> None:
        """Kill or stop an entry; the check is suspended for a while."""
        ip = self._draw(st.sampled_from(sorted(self.cluster.entries)))
        self._checked_from = self.cluster.now + self._grace_s
        if self._draw(st.booleans()):
            self.cluster.kill(ip)
        elif not self.cluster.entries[ip].stopping:
            self.cluster.stop(ip)

    def _check(self) -> None:
        if self.cluster.now >= self._checked_from:
            _check_half(self.cluster)


class TestProperty(unittest.TestCase):
    """Random loss, delays, deaths, stops and starts."""

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.data())
    def test_half_in_rotation(self, found: st.DataObject) -> None:
        """At least half of the live entries are in rotation, then the best.

        Stated exception: RETURN_S after a death, and the longest delay of a
        message. Without further faults exactly the best entries are in
        rotation after FORGET_S.
        """
        scenario = Scenario(found)
        scenario.run()
        _check_settled(scenario.cluster)


def _check_half(cluster: EntryCluster) -> None:
    """Assert that half of the entries that do not stop are in rotation."""
    live = {ip for ip, entry in cluster.entries.items() if not entry.stopping}
    in_rotation = live.intersection(cluster.in_rotation())
    assert len(in_rotation) * 2 >= len(live), (in_rotation, live)


def _check_settled(cluster: EntryCluster) -> None:
    """Assert that exactly the best entries are in rotation."""
    rotations = [
        entry.capacities._rotation  # noqa: SLF001
        for entry in cluster.entries.values()
    ]
    for rotation in rotations:
        inputs = rotation.describe(cluster.now)
        assert inputs['known'] == len(rotations), inputs
        rank, wanted = inputs['rank'], inputs['wanted']
        assert isinstance(rank, int)
        assert isinstance(wanted, int)
        assert rotation.in_rotation == (rank <= wanted), inputs
