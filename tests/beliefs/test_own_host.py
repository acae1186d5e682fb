"""Tests of what a sidecar believes of its host."""

import unittest

from siskinbank.admission import reasons
from siskinbank.beliefs.own_host import OwnHost
from siskinbank.relay import messages

SERVICE = messages.digest('matcher')
OTHER = messages.digest('catalogue')
HEALTHY = messages.REGISTERED | messages.OPERATOR


def record(
    revision: int = 10,
    operator_revision: int = 10,
    flags: int = HEALTHY,
) -> messages.Record:
    """Return what the store says of a healthy host."""
    found = messages.Record()
    found.flags = flags
    found.service = SERVICE
    found.slots = 2
    found.revision = revision
    found.operator_revision = operator_revision
    found.born_ms = 7
    return found


class TestReasons(unittest.TestCase):
    """Why a flow is not taken."""

    def setUp(self) -> None:
        """Know a healthy host at time 100."""
        self.host = OwnHost(SERVICE, 100, 50_000)
        self.host.believe(record(), 100)

    def test_from_the_store(self) -> None:
        """The latest word holds."""
        flags = messages.REGISTERED | messages.OPERATOR
        for step, (more, reason) in enumerate(
            (
                (flags, reasons.NONE),
                (flags | messages.DRAINING, reasons.DRAINING),
                (flags | messages.OUT, reasons.OUT),
                (messages.OPERATOR, reasons.UNREGISTERED),
                (flags, reasons.NONE),
            ),
        ):
            self.host.believe(record(20 + step, 20 + step, more), 101)
            found = self.host.reason_against(SERVICE, 101)
            self.assertEqual(found, reason)

    def test_another_service(self) -> None:
        """By the entry's word, or by the store's."""
        found = self.host.reason_against(OTHER, 101)
        self.assertEqual(found, reasons.OTHER_SERVICE)
        moved = record(11)
        moved.service = OTHER
        self.host.believe(moved, 101)
        found = self.host.reason_against(SERVICE, 101)
        self.assertEqual(found, reasons.OTHER_SERVICE)

    def test_an_older_word_changes_nothing(self) -> None:
        """Not of the host, not of the operator."""
        flags = messages.REGISTERED | messages.OUT | messages.OPERATOR
        self.host.believe(record(20, 20, flags), 101)
        self.assertFalse(self.host.believe(record(19, 30), 102))
        self.assertEqual(self.host.state(102), reasons.OUT)
        self.assertTrue(self.host.believe(record(21, 19), 102))
        self.assertEqual(self.host.state(102), reasons.OUT)
        self.assertTrue(self.host.believe(record(22, 21), 102))
        self.assertEqual(self.host.state(102), reasons.NONE)

    def test_an_unreachable_host_is_tried_again(self) -> None:
        """After a second, or at once when it started anew."""
        self.assertTrue(self.host.lose(200))
        self.assertFalse(self.host.lose(200.1))
        self.assertEqual(self.host.state(200.5), reasons.UNREACHABLE)
        self.assertEqual(self.host.state(201.2), reasons.NONE)
        self.host.lose(300)
        reborn = record(30)
        reborn.born_ms = 8
        self.host.believe(reborn, 300.1)
        self.assertEqual(self.host.state(300.1), reasons.NONE)

    def test_a_host_that_refuses_all_is_left_alone(self) -> None:
        """Until it takes a flow or starts anew."""
        self.host.refusing.note_refusal(200)
        self.assertEqual(self.host.state(200), reasons.NONE)
        self.host.refusing.note_refusal(200)
        self.assertEqual(self.host.state(200.1), reasons.REFUSING)
        reborn = record(30)
        reborn.born_ms = 8
        self.host.believe(reborn, 200.1)
        self.assertEqual(self.host.state(200.1), reasons.NONE)

    def test_the_operators_part_stays_known(self) -> None:
        """A reader that knows less of it changes nothing."""
        self.host.believe(record(11, 0, messages.REGISTERED), 101)
        known = self.host.record
        self.assertEqual(known and known.flags, HEALTHY)

    def test_a_cold_host_takes_few(self) -> None:
        """Until it is warm; a service without a rate sets no limit."""
        cold = record(11)
        cold.cold_s = 2
        cold.cold_per_s = 1
        self.host.believe(cold, 100)
        for _ in range(4):
            self.assertEqual(
                self.host.reason_against(SERVICE, 100),
                reasons.NONE,
            )
            self.host.note_taken(b'key', 100)
        found = self.host.reason_against(SERVICE, 100.5)
        self.assertEqual(found, reasons.COLD)
        self.assertIsNone(self.host.spare(102.1))
        cold.cold_per_s = 0
        self.assertIsNone(self.host.spare(100.5))

    def test_a_planned_stop(self) -> None:
        """No new flows from then on."""
        self.host.stopping = True
        self.assertEqual(self.host.state(101), reasons.STOPPING)


class TestDoubt(unittest.TestCase):
    """After a start or a standstill."""

    def test_until_a_word_comes(self) -> None:
        """Or half a second has passed: then old beliefs serve."""
        host = OwnHost(SERVICE, 100, 50_000)
        self.assertTrue(host.in_doubt(100.4))
        self.assertFalse(host.in_doubt(100.6))
        self.assertEqual(host.reason_against(SERVICE, 100), reasons.NONE)
        host.doubt(200)
        self.assertTrue(host.in_doubt(200.1))
        host.believe(record(), 200.1)
        self.assertFalse(host.in_doubt(200.1))
        self.assertEqual(host.age_ms(200.3), 200)


class TestSeenWhole(unittest.TestCase):
    """Whether the sidecar can speak for its host."""

    def test_started_together_or_watched_for_long(self) -> None:
        """Load pattern: searches after a loss of power of whole machines."""
        for born_ms, whole in ((7, False), (49_700, False), (49_900, True)):
            host = OwnHost(SERVICE, 100, 50_000)
            self.assertFalse(host.seen_whole(101))
            found = record()
            found.born_ms = born_ms
            host.believe(found, 101)
            self.assertEqual(host.seen_whole(101), whole)
            self.assertTrue(host.seen_whole(119))

    def test_an_unknown_host_proves_itself(self) -> None:
        """With one flow at a time; a standstill asks for the store's word."""
        host = OwnHost(SERVICE, 100, 50_000)
        self.assertFalse(host.is_trusted(100))
        self.assertTrue(host.may_prove_itself(100))
        host.note_taken(b'first', 100)
        self.assertFalse(host.may_prove_itself(100.001))
        host.note_opened()
        self.assertTrue(host.is_trusted(100.1))
        host.believe(record(), 101)
        host.doubt(200)
        self.assertFalse(host.is_trusted(200.1))
        self.assertFalse(host.may_prove_itself(200.1))
        self.assertTrue(host.is_trusted(200.6))

    def test_a_host_that_starts_anew_is_watched_anew(self) -> None:
        """What was seen of its life before says nothing."""
        host = OwnHost(SERVICE, 100, 50_000)
        host.believe(record(), 101)
        self.assertTrue(host.seen_whole(119))
        reborn = record(20)
        reborn.born_ms = 8
        host.believe(reborn, 120)
        self.assertFalse(host.seen_whole(121))
