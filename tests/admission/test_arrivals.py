"""Tests of the admission of new flows, with the load patterns behind it."""

import random
import unittest

from siskinbank.admission import reasons
from siskinbank.admission.arrivals import (
    ColdLimit,
    ExpectedRequests,
    ProcessingTime,
    QueueCapacity,
    RefusalBackoff,
    max_wait_s,
    no_host_is_final,
    queueing_decision,
    refusal_is_final,
)
from siskinbank.admission.requests_in_progress import wait_for_slot_s

LIMIT_S = 2


def _wait_s(processing: ProcessingTime, busy: int) -> float:
    """Return the wait at a host with 2 slots and equal requests."""
    return wait_for_slot_s([processing.seconds for _ in range(busy)], 2)


def _accepting_host(busy: list[int], first: int) -> int:
    """Forward one flow along all hosts; return the one that accepts it."""
    processing = ProcessingTime()
    best: float | None = None
    best_host = first % len(busy)
    for step in range(len(busy)):
        host = (first + step) % len(busy)
        wait = _wait_s(processing, busy[host])
        left = step < len(busy) - 1
        where = queueing_decision(wait, LIMIT_S, best, left)
        if where != 'on':
            return host if where == 'here' else best_host
        if best is None or wait < best:
            best, best_host = wait, host
    raise AssertionError('no host accepted the flow')


class TestQueueingDecision(unittest.TestCase):
    """Load pattern: a backlog after a power failure meets busy hosts."""

    def test_a_free_slot_is_taken(self) -> None:
        """The waits at other hosts don't matter then."""
        self.assertEqual(queueing_decision(0, LIMIT_S, 0, True), 'here')
        self.assertEqual(queueing_decision(0, LIMIT_S, None, False), 'here')

    def test_forwarded_while_others_may_have_room(self) -> None:
        """A short wait here is longer than forwarding takes."""
        self.assertEqual(queueing_decision(0.01, LIMIT_S, None, True), 'on')

    def test_last_candidate_uses_the_shortest_wait(self) -> None:
        """It may be its own wait or that of an earlier candidate."""
        self.assertEqual(queueing_decision(0.3, LIMIT_S, 0.1, False), 'back')
        self.assertEqual(queueing_decision(0.1, LIMIT_S, 0.3, False), 'here')
        self.assertEqual(queueing_decision(0.1, LIMIT_S, None, False), 'here')

    def test_refused_if_it_cannot_be_in_time(self) -> None:
        """A flow is refused only when the shortest wait is too long."""
        self.assertEqual(
            queueing_decision(2.2, LIMIT_S, None, False), 'nowhere'
        )
        self.assertEqual(queueing_decision(2.2, LIMIT_S, 2.1, False), 'nowhere')
        self.assertEqual(queueing_decision(2.2, LIMIT_S, 1.9, False), 'back')

    def test_half_of_the_time_limit_is_the_longest_wait(self) -> None:
        """The rest is for processing, the network and a retry elsewhere."""
        self.assertEqual(max_wait_s(LIMIT_S), LIMIT_S / 2)

    def test_a_burst_fills_hosts_evenly(self) -> None:
        """Replay: 60 first packets at the same time, 5 hosts of 2 slots."""
        busy = [0, 0, 0, 6, 12]
        for first in range(60):
            busy[_accepting_host(busy, first)] += 1
        self.assertEqual(sum(busy), 78)
        self.assertLessEqual(max(busy) - min(busy), 1)


class TestProcessingTime(unittest.TestCase):
    """The expected wait for a slot."""

    def test_expected_wait(self) -> None:
        """Zero with a free slot, then processing time / slots a request."""
        processing = ProcessingTime()
        for _ in range(100):
            processing.note(0.1)
        self.assertEqual(_wait_s(processing, 1), 0)
        self.assertAlmostEqual(_wait_s(processing, 2), 0.05, places=3)
        self.assertAlmostEqual(_wait_s(processing, 21), 1, places=3)


class TestRoutes(unittest.TestCase):
    """Load pattern: requests of 5 ms and of 72 ms go to the same hosts."""

    def test_mean_by_route(self) -> None:
        """Guards against waits that are estimated by another route's time."""
        processing = ProcessingTime()
        for _ in range(4):
            processing.note(0.005, b'roll')
        self.assertEqual(processing.of_route(b'roll'), processing.seconds)
        for _ in range(100):
            processing.note(0.005, b'roll')
            processing.note(0.072, b'intro')
        self.assertAlmostEqual(processing.of_route(b'roll'), 0.005)
        self.assertAlmostEqual(processing.of_route(b'intro'), 0.072)
        self.assertEqual(processing.of_route(b'new'), processing.seconds)

    def test_withdrawn_routes(self) -> None:
        """Guards against growth with each address that was ever used."""
        processing = ProcessingTime()
        for withdrawn in range(1000):
            for _ in range(5):
                work_s = 0.001 * (withdrawn + 1)
                processing.note(work_s, bytes([withdrawn % 256, 1]))
                processing.note(0.3, b'steady')
        self.assertAlmostEqual(processing.of_route(b'steady'), 0.3)
        known = [
            number
            for number in range(256)
            if processing.of_route(bytes([number, 1])) != processing.seconds
        ]
        self.assertEqual(len(known), 63)


class TestSpeed(unittest.TestCase):
    """The mean that entries compare with other hosts."""

    def test_few_measurements(self) -> None:
        """Guards against a rank that rests on the first requests."""
        processing = ProcessingTime()
        for number in range(1, 25):
            processing.note_speed(0.05, 100)
            known = processing.speed_ms(100)
            self.assertEqual(known, 50 if number >= 20 else 0)
        processing.forget_speed()
        self.assertEqual(processing.speed_ms(100), 0)

    def test_no_requests_for_some_time(self) -> None:
        """Guards against starvation of a host that was slow when last used."""
        processing = ProcessingTime()
        for _ in range(20):
            processing.note_speed(0.25, 100)
        self.assertEqual(processing.speed_ms(109), 250)
        self.assertEqual(processing.speed_ms(110), 0)
        for number in range(1, 21):
            processing.note_speed(0.05, 111)
            known = processing.speed_ms(111)
            self.assertEqual(known, 50 if number >= 20 else 0)

    def test_recovery(self) -> None:
        """A host that was five times slower is like others after 100 requests.

        Guards against an average that outlasts the slowness for long.
        """
        processing = ProcessingTime()
        for _ in range(100):
            processing.note_speed(0.25, 100)
        for _ in range(100):
            processing.note_speed(0.05, 100)
        self.assertLess(processing.speed_ms(100), 65)

    def test_mixed_requests(self) -> None:
        """Guards against equal hosts that are ranked by chance.

        Replay: the routes of the first deployment, 30% of 5 ms.
        """
        rng = random.Random(1)
        processing = ProcessingTime()
        speeds = []
        for _ in range(5000):
            work_s = rng.choices((0.056, 0.073, 0.005), (55, 15, 30))[0]
            processing.note_speed(work_s * rng.uniform(0.7, 1.3), 100)
            speeds.append(processing.speed_ms(100))
        known = sorted(speeds[100:])
        median = known[len(known) // 2]
        unlike = [ms for ms in known if abs(ms - median) > 0.23 * median]
        self.assertLess(len(unlike), len(known) // 100)


class TestQueueCapacity(unittest.TestCase):
    """Load pattern: a backlog that fills the queue of every host."""

    def test_learned_from_shed_requests(self) -> None:
        """Unbounded at first; the learned limit is raised gradually."""
        capacity = QueueCapacity()
        self.assertFalse(capacity.is_full(500, 100))
        capacity.note_shed(12, 100)
        self.assertTrue(capacity.is_full(12, 100.5))
        self.assertFalse(capacity.is_full(11, 100.5))
        self.assertFalse(capacity.is_full(12, 104))

    def test_full_hosts(self) -> None:
        """The flow goes to another host, or waits for a retransmission."""
        self.assertEqual(queueing_decision(None, LIMIT_S, None, True), 'on')
        self.assertEqual(queueing_decision(None, LIMIT_S, 0.2, False), 'back')
        self.assertEqual(
            queueing_decision(None, LIMIT_S, None, False), 'nowhere'
        )
        self.assertFalse(refusal_is_final(reasons.FULL, 0))
        self.assertTrue(refusal_is_final(reasons.FULL, 2))


class TestRefusalBackoff(unittest.TestCase):
    """Load pattern: an idle host that refuses every first packet."""

    def test_pauses_grow(self) -> None:
        """Replay: a first packet every 10 ms for 10 s, all refused."""
        host = RefusalBackoff()
        sent = 0
        for step in range(1000):
            if not host.is_paused(step / 100):
                host.note_refusal(step / 100)
                sent += 1
        self.assertLessEqual(sent, 10)
        self.assertGreaterEqual(sent, 7)

    def test_single_refusals_start_no_pause(self) -> None:
        """A host that accepts some of its flows is not paused."""
        host = RefusalBackoff()
        for step in range(20):
            self.assertFalse(host.note_refusal(step))
            host.note_accepted()
        self.assertFalse(host.is_paused(20))

    def test_an_accepted_flow_resets_the_pause(self) -> None:
        """The next pause is short again, after two refusals."""
        host = RefusalBackoff()
        host.note_refusal(100)
        self.assertTrue(host.note_refusal(100))
        self.assertTrue(host.is_paused(100.2))
        host.note_accepted()
        self.assertFalse(host.is_paused(100.2))
        self.assertFalse(host.note_refusal(100.3))

    def test_clients_wait_for_starting_hosts(self) -> None:
        """They are refused if no retransmission of their packet is left."""
        starting = [reasons.DRAINING, reasons.REFUSING]
        self.assertFalse(no_host_is_final(starting, 0))
        self.assertTrue(no_host_is_final(starting, 2))
        self.assertTrue(
            no_host_is_final([reasons.DRAINING, reasons.EVACUATED], 0)
        )
        self.assertTrue(no_host_is_final([], 0))


class TestExpectedRequests(unittest.TestCase):
    """Load pattern: a burst of first packets before any request."""

    def test_accepted_flows_count_until_their_request(self) -> None:
        """Replay: 30 first packets in one millisecond, then their requests."""
        expected = ExpectedRequests()
        for number in range(30):
            expected.add(str(number).encode(), 100)
        self.assertEqual(expected.count(100.001), 30)
        for number in range(20):
            expected.note_request(str(number).encode(), 100.01)
        self.assertEqual(expected.count(100.01), 10)
        self.assertEqual(expected.count(100.4), 0)

    def test_abandoned_flows_are_expected_briefly(self) -> None:
        """Replay: after requests that took 10 ms, 20 that never arrive."""
        expected = ExpectedRequests()
        for step in range(50):
            expected.add(b'usual', 90 + step)
            expected.note_request(b'usual', 90.01 + step)
        for number in range(20):
            expected.add(str(number).encode(), 200)
        self.assertEqual(expected.count(200.02), 20)
        self.assertEqual(expected.count(200.05), 0)

    def test_distant_clients_are_expected_longer(self) -> None:
        """The time for which a request is expected has an upper bound."""
        expected = ExpectedRequests()
        for step in range(100):
            expected.add(b'far', 90 + step)
            expected.note_request(b'far', 90.08 + step)
        expected.add(b'far', 200)
        self.assertEqual(expected.count(200.2), 1)
        self.assertEqual(expected.count(200.31), 0)


class TestColdLimit(unittest.TestCase):
    """Load pattern: all hosts come back cold at the same time."""

    def test_limit_holds_in_every_second(self) -> None:
        """Replay: a flow each millisecond for five seconds."""
        for per_s in (0.5, 4, 20):
            limit = ColdLimit()
            accepted_times: list[float] = []
            for step in range(5000):
                now = step / 1000
                if limit.flows_left(now, per_s):
                    limit.note(now)
                    accepted_times.append(now)
            most = max(
                sum(1 for other in accepted_times if at <= other < at + 1)
                for at in accepted_times
            )
            self.assertLessEqual(most, per_s * 1.5 + 5)
            self.assertGreaterEqual(len(accepted_times), int(per_s) * 4)


class TestRefusal(unittest.TestCase):
    """Which refusals a client gets, and when."""

    def test_only_short_lived_reasons_delay_the_refusal(self) -> None:
        """They delay it up to the last retransmission of the first packet."""
        self.assertTrue(refusal_is_final(reasons.BUSY, 0))
        self.assertTrue(refusal_is_final(reasons.DRAINING, 0))
        self.assertFalse(refusal_is_final(reasons.COLD, 1))
        self.assertTrue(refusal_is_final(reasons.COLD, 2))

    def test_reason_names(self) -> None:
        """Reasons that a newer version sends are unknown."""
        self.assertEqual(reasons.name_of(reasons.EVACUATED), 'data-centre-out')
        self.assertEqual(reasons.name_of(200), 'unknown')
