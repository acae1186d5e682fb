"""Tests of a sidecar's known state of its host."""

import unittest

from siskinbank.admission import reasons
from siskinbank.platform.packets import route_key
from siskinbank.relay import messages
from siskinbank.sidecar.tracked_flows import Request
from siskinbank.tracking.own_host import OwnHost
from siskinbank.tracking.store_position import StorePosition

SERVICE = messages.digest('matcher')
OTHER = messages.digest('catalogue')
# Keys of flows to two routes.
SHORT = bytes(range(12))
LONG = bytes(range(1, 13))
HEALTHY = messages.REGISTERED | messages.OPERATOR_READ


def record(
    revision: int = 10,
    operator_revision: int = 10,
    flags: int = HEALTHY,
    era: int = 1,
) -> messages.Record:
    """Return the store's record of a healthy host."""
    found = messages.Record()
    found.flags = flags
    found.service = SERVICE
    found.slots = 2
    found.position = StorePosition(era, revision)
    found.operator_position = StorePosition(era, operator_revision)
    found.born_ms = 7
    found.version = 1
    found.idle_timeout_s = 15
    return found


class TestReasons(unittest.TestCase):
    """Reasons for refusing a flow."""

    def setUp(self) -> None:
        """Create a healthy host at time 100."""
        self.host = OwnHost(SERVICE, 100, 50_000)
        self.host.apply_record(record(), 100)

    def test_reasons_from_the_record(self) -> None:
        """The latest record applies."""
        flags = messages.REGISTERED | messages.OPERATOR_READ
        for step, (more, reason) in enumerate(
            (
                (flags, reasons.NONE),
                (flags | messages.DRAINING, reasons.DRAINING),
                (flags | messages.EVACUATED, reasons.EVACUATED),
                (messages.OPERATOR_READ, reasons.UNREGISTERED),
                (flags, reasons.NONE),
            ),
        ):
            self.host.apply_record(record(20 + step, 20 + step, more), 101)
            found = self.host.refusal_reason(SERVICE, 101)
            self.assertEqual(found, reason)

    def test_another_service(self) -> None:
        """Stated by the entry, or by the record."""
        found = self.host.refusal_reason(OTHER, 101)
        self.assertEqual(found, reasons.OTHER_SERVICE)
        moved = record(11)
        moved.service = OTHER
        self.host.apply_record(moved, 101)
        found = self.host.refusal_reason(SERVICE, 101)
        self.assertEqual(found, reasons.OTHER_SERVICE)

    def test_older_records_are_ignored(self) -> None:
        """Neither host nor operator flags return to an older revision."""
        flags = (
            messages.REGISTERED | messages.EVACUATED | messages.OPERATOR_READ
        )
        self.host.apply_record(record(20, 20, flags), 101)
        self.assertFalse(self.host.apply_record(record(19, 20), 102))
        self.assertEqual(self.host.state(102), reasons.EVACUATED)
        self.assertTrue(self.host.apply_record(record(21, 19), 102))
        self.assertEqual(self.host.state(102), reasons.EVACUATED)
        self.assertTrue(self.host.apply_record(record(22, 21), 102))
        self.assertEqual(self.host.state(102), reasons.NONE)

    def test_newer_keys_with_an_older_listing(self) -> None:
        """Load pattern: one entry lists the hosts, another reads the keys.

        Guards against evacuations that are lost as the listing is older.
        """
        draining = HEALTHY | messages.DRAINING
        for revision, flags, state in (
            (31, HEALTHY | messages.EVACUATED, reasons.EVACUATED),
            (32, HEALTHY, reasons.DRAINING),
            (33, HEALTHY | messages.EVACUATED, reasons.EVACUATED),
            (34, messages.OPERATOR_READ, reasons.EVACUATED),
        ):
            self.host.apply_record(record(40, 10, draining), 101)
            self.host.apply_record(record(39, revision, flags), 102)
            with self.subTest(revision=revision):
                self.assertEqual(self.host.state(102), state)
                self.assertTrue(self.host.is_leaving)
                self.assertEqual(self.host.position.revision, 40)
                self.assertEqual(self.host.age_ms(103), 2000)

    def test_cold_host_with_newer_keys(self) -> None:
        """Neither its warm-up nor its incarnation returns to older ones."""
        cold = record(40)
        cold.cold_s = 5
        cold.cold_per_s = 1
        cold.born_ms = 8
        self.host.apply_record(cold, 100)
        newer_keys = record(39, 11)
        newer_keys.cold_per_s = 3
        self.assertTrue(self.host.apply_record(newer_keys, 101))
        self.assertTrue(self.host.is_cold(104.9))
        self.assertFalse(self.host.is_cold(105.1))
        known = self.host.record
        self.assertEqual(known and (known.born_ms, known.cold_per_s), (8, 3))

    def test_an_unreachable_host_is_tried_again(self) -> None:
        """After a second, or at once when it restarted."""
        self.assertTrue(self.host.note_unreachable(200))
        self.assertFalse(self.host.note_unreachable(200.1))
        self.assertEqual(self.host.state(200.5), reasons.UNREACHABLE)
        self.assertEqual(self.host.state(201.2), reasons.NONE)
        self.host.note_unreachable(300)
        restarted = record(30)
        restarted.born_ms = 8
        self.host.apply_record(restarted, 300.1)
        self.assertEqual(self.host.state(300.1), reasons.NONE)

    def test_a_refusing_host_is_paused(self) -> None:
        """Until it accepts a flow or restarts."""
        self.host.refusal_backoff.note_refusal(200)
        self.assertEqual(self.host.state(200), reasons.NONE)
        self.host.refusal_backoff.note_refusal(200)
        self.assertEqual(self.host.state(200.1), reasons.REFUSING)
        restarted = record(30)
        restarted.born_ms = 8
        self.host.apply_record(restarted, 200.1)
        self.assertEqual(self.host.state(200.1), reasons.NONE)

    def test_the_operators_flags_are_kept(self) -> None:
        """A record with an older operator revision doesn't change them."""
        self.host.apply_record(record(11, 0, messages.REGISTERED), 101)
        known = self.host.record
        self.assertEqual(known and known.flags, HEALTHY)

    def test_a_cold_host_accepts_few_flows(self) -> None:
        """Until it is warm; a service without a rate sets no limit."""
        cold = record(11)
        cold.cold_s = 2
        cold.cold_per_s = 1
        self.host.apply_record(cold, 100)
        for _ in range(4):
            self.assertEqual(
                self.host.refusal_reason(SERVICE, 100),
                reasons.NONE,
            )
            self.host.note_admitted(b'key', 100)
        found = self.host.refusal_reason(SERVICE, 100.5)
        self.assertEqual(found, reasons.COLD)
        self.assertIsNone(self.host.cold_flows_left(102.1))
        cold.cold_per_s = 0
        self.assertIsNone(self.host.cold_flows_left(100.5))

    def test_host_that_seems_to_have_restarted(self) -> None:
        """Load pattern: hosts return cold while the store is down.

        Guards against the record of the warm host, by which nothing is limited.
        """
        for now, note in (
            (100, self.host.note_restart),
            (200, self.host.note_unreachable),
        ):
            warm = record(now)
            warm.cold_per_s = 1
            self.host.apply_record(warm, now)
            self.assertIsNone(self.host.cold_flows_left(now + 1))
            note(now + 1)
            self.assertIsNotNone(self.host.cold_flows_left(now + 3))
            fresh = record(now + 1)
            fresh.cold_per_s = 1
            self.host.apply_record(fresh, now + 4)
            self.assertIsNone(self.host.cold_flows_left(now + 4))

    def test_a_planned_stop(self) -> None:
        """No new flows from then on."""
        self.host.stopping = True
        self.assertEqual(self.host.state(101), reasons.STOPPING)
        evacuated = HEALTHY | messages.EVACUATED
        self.host.apply_record(record(20, 20, evacuated), 102)
        self.assertEqual(self.host.state(102), reasons.STOPPING)

    def test_planned_stop_after_the_end_of_the_host(self) -> None:
        """Load pattern: entries search for flows that the host has lost.

        They need not wait for a host of which its sidecar says that it ended.
        """
        self.host.stopping = True
        self.host.note_unreachable(101)
        self.assertEqual(self.host.state(101.1), reasons.ENDED)

    def test_leaving(self) -> None:
        """While it drains, and after its record is gone."""
        for revision, flags, leaving in (
            (20, HEALTHY, False),
            (21, HEALTHY | messages.DRAINING, True),
            (22, messages.OPERATOR_READ, True),
        ):
            self.host.apply_record(record(revision, revision, flags), 101)
            self.assertEqual(self.host.is_leaving, leaving)


class TestRecordWait(unittest.TestCase):
    """After a start or a stall."""

    def test_waits_until_a_record_arrives(self) -> None:
        """Or for half a second; then the old state is used."""
        host = OwnHost(SERVICE, 100, 50_000)
        self.assertTrue(host.is_waiting_for_record(100.4))
        self.assertFalse(host.is_waiting_for_record(100.6))
        self.assertEqual(host.refusal_reason(SERVICE, 100), reasons.NONE)
        host.wait_for_record(200)
        self.assertTrue(host.is_waiting_for_record(200.1))
        host.apply_record(record(), 200.1)
        self.assertFalse(host.is_waiting_for_record(200.1))
        self.assertEqual(host.age_ms(200.3), 200)


class TestFlowCoverage(unittest.TestCase):
    """Whether the sidecar has observed all flows of its host."""

    def test_started_together_or_observed_for_long(self) -> None:
        """Load pattern: flow searches after a power failure of machines."""
        for born_ms, complete in ((7, False), (49_700, False), (49_900, True)):
            host = OwnHost(SERVICE, 100, 50_000)
            self.assertFalse(host.has_observed_all_flows(101))
            found = record()
            found.born_ms = born_ms
            host.apply_record(found, 101)
            self.assertEqual(host.has_observed_all_flows(101), complete)
            self.assertTrue(host.has_observed_all_flows(119))

    def test_longer_idle_timeout(self) -> None:
        """Flows that paused since before the sidecar's start may be open.

        Guards against resets of flows that the host holds, after the operator
        has raised the idle timeout.
        """
        host = OwnHost(SERVICE, 100, 50_000)
        self.assertFalse(host.has_observed_all_flows(160))
        host.apply_record(record(), 101)
        self.assertTrue(host.has_observed_all_flows(119))
        raised = record(20)
        raised.version = 2
        raised.idle_timeout_s = 40
        host.apply_record(raised, 119)
        self.assertFalse(host.has_observed_all_flows(140))
        self.assertTrue(host.has_observed_all_flows(144))

    def test_idle_timeout_of_an_older_version(self) -> None:
        """An entry that lacks the newest configuration sends its record."""
        host = OwnHost(SERVICE, 100, 50_000)
        raised = record(20)
        raised.version = 2
        raised.idle_timeout_s = 40
        host.apply_record(raised, 101)
        for version in (1, 0):
            older = record(21)
            older.version = version
            host.apply_record(older, 102)
            self.assertEqual(host.idle_timeout.longest_s(200), 40)

    def test_a_host_without_a_record_gets_one_flow(self) -> None:
        """One flow at a time; a stall requires a new record."""
        host = OwnHost(SERVICE, 100, 50_000)
        self.assertFalse(host.is_trusted(100))
        self.assertTrue(host.may_accept_trial_flow(100))
        host.note_admitted(b'first', 100)
        self.assertFalse(host.may_accept_trial_flow(100.001))
        host.note_opened()
        self.assertTrue(host.is_trusted(100.1))
        host.apply_record(record(), 101)
        host.wait_for_record(200)
        self.assertFalse(host.is_trusted(200.1))
        self.assertFalse(host.may_accept_trial_flow(200.1))
        self.assertTrue(host.is_trusted(200.6))

    def test_a_cold_host_without_a_record(self) -> None:
        """Load pattern: a host is added while the store is down (review/10).

        Guards against a host that gets any number of flows as nothing says that
        it is cold. The limit ends with the warm-up, or with a record.
        """
        host = OwnHost(SERVICE, 100, 50_000)
        self.assertIsNone(host.cold_flows_left(100))
        host.note_warm_up(10, 2)
        allowed = host.cold_flows_left(100)
        self.assertIsNotNone(allowed)
        for number in range(allowed or 0):
            now = 100 + number * 0.01
            self.assertGreater(host.cold_flows_left(now) or 0, 0)
            host.note_admitted(bytes((number,)), now)
        self.assertLessEqual(allowed or 0, 15)
        self.assertEqual(host.cold_flows_left(100.5), 0)
        self.assertIsNone(host.cold_flows_left(102.1))
        host.note_unreachable(110)
        self.assertEqual(host.cold_flows_left(110), allowed)
        host.apply_record(record(), 111)
        self.assertIsNone(host.cold_flows_left(111))

    def test_a_restarted_host_is_observed_anew(self) -> None:
        """Flows of its earlier incarnation do not count."""
        host = OwnHost(SERVICE, 100, 50_000)
        host.apply_record(record(), 101)
        self.assertTrue(host.has_observed_all_flows(119))
        restarted = record(20)
        restarted.born_ms = 8
        host.apply_record(restarted, 120)
        self.assertFalse(host.has_observed_all_flows(121))


class TestOlderCopy(unittest.TestCase):
    """Load pattern: the store comes back from a copy some seconds old."""

    def setUp(self) -> None:
        """Create a host that drains in an evacuated data centre."""
        self.host = OwnHost(SERVICE, 100, 50_000)
        self.flags = HEALTHY | messages.DRAINING | messages.EVACUATED
        self.host.apply_record(record(90, 90, self.flags), 100)

    def flags_at(self, now: float, found: messages.Record) -> int:
        """Apply a record and return the flags in force."""
        self.host.apply_record(found, now)
        return self.host.record.flags if self.host.record else 0

    def test_revisions_given_out_again(self) -> None:
        """A change in the new era has a lower revision and applies."""
        drained = record(40, 40, HEALTHY | messages.DRAINING, era=2)
        self.assertTrue(self.host.apply_record(drained, 101))
        self.assertEqual(self.host.position.era, 2)

    def test_late_records_of_the_old_era(self) -> None:
        """From a slow reader, with a higher revision."""
        self.host.apply_record(record(40, 40, era=2), 101)
        self.assertFalse(self.host.apply_record(record(91, 91), 102))
        # A reader that has listed the hosts, but not yet the operator's keys.
        mixed = record(41, 95, era=2)
        mixed.operator_position = StorePosition(1, 95)
        self.host.apply_record(mixed, 110)
        found = self.host.record
        self.assertEqual(found and found.operator_position.era, 2)

    def test_restrictions_outlast_the_copy(self) -> None:
        """Until they were written again, or had the time to be."""
        self.assertEqual(self.flags_at(101, record(40, 40, era=2)), self.flags)
        self.assertEqual(self.flags_at(105, record(41, 41, era=2)), self.flags)
        self.assertEqual(self.flags_at(106.5, record(42, 42, era=2)), HEALTHY)

    def test_restrictions_written_again(self) -> None:
        """They then end only as in any era."""
        self.flags_at(101, record(40, 40, era=2))
        again = record(44, 44, self.flags, era=2)
        self.assertEqual(self.flags_at(103, again), self.flags)
        again = record(45, 45, self.flags, era=2)
        self.assertEqual(self.flags_at(107, again), self.flags)
        self.assertEqual(self.flags_at(108, record(46, 46, era=2)), HEALTHY)

    def test_readers_at_different_positions(self) -> None:
        """One lists the operator's keys, the other has watched them since.

        What the sidecar keeps is not a state that the first reader stated.
        """
        self.flags_at(101, record(40, 45, era=2))
        self.assertEqual(self.flags_at(102, record(41, 41, era=2)), self.flags)
        self.assertEqual(self.flags_at(106.5, record(42, 41, era=2)), HEALTHY)

    def test_earlier_incarnation_in_the_copy(self) -> None:
        """The host has started since; it does not lose its flows."""
        earlier = record(40, 40, era=2)
        earlier.born_ms = 3
        self.assertFalse(self.host.apply_record(earlier, 101))

    def test_second_change_of_era(self) -> None:
        """Restrictions are kept from the first one on."""
        self.flags_at(101, record(40, 40, era=2))
        self.assertEqual(self.flags_at(104, record(20, 20, era=3)), self.flags)
        self.assertEqual(self.flags_at(108, record(21, 21, era=3)), self.flags)
        self.assertEqual(self.flags_at(109.5, record(22, 22, era=3)), HEALTHY)


class TestWait(unittest.TestCase):
    """The wait for a slot, by the routes of what precedes a request."""

    def setUp(self) -> None:
        """Create a host with two slots that knows the times of two routes."""
        self.host = OwnHost(SERVICE, 100, 0)
        self.host.apply_record(record(), 100)
        for _ in range(50):
            self.host.processing_time.note(0.005, route_key(SHORT))
            self.host.processing_time.note(0.072, route_key(LONG))

    def test_requests_in_progress_and_expected(self) -> None:
        """Guards against an estimate by the mean over all routes."""
        self.assertEqual(self.host.wait_s(100), 0)
        for _ in range(2):
            self._start(0.072)
        self.assertAlmostEqual(self.host.wait_s(100), 0.036)
        self.host.note_admitted(SHORT, 100)
        self.assertAlmostEqual(self.host.wait_s(100), 0.0385)
        self.host.note_admitted(LONG, 100)
        self.assertAlmostEqual(self.host.wait_s(100), 0.0745)

    def test_queued_flows(self) -> None:
        """Their times are counted as given, else each with the mean."""
        for _ in range(2):
            self._start(0.072)
        mean_s = self.host.processing_time.seconds
        self.assertAlmostEqual(self.host.wait_s(100, 4), 0.036 + 4 * mean_s / 2)
        self.assertAlmostEqual(self.host.wait_s(100, 4, 0.02), 0.046)

    def test_new_incarnation(self) -> None:
        """Guards against the speed of the machine that a host was moved from."""
        for _ in range(30):
            self.host.processing_time.note_speed(0.2, 100)
        self.host.apply_record(record(11), 101)
        self.assertEqual(self.host.processing_time.speed_ms(101), 200)
        moved = record(12)
        moved.born_ms = 9000
        self.host.apply_record(moved, 102)
        self.assertEqual(self.host.processing_time.speed_ms(102), 0)

    def _start(self, work_s: float) -> None:
        request = Request(100, 'a')
        request.work_s = work_s
        self.host.busy += 1
        self.host.in_progress.add(request, 100, self.host.slots)
