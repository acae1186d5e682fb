"""Tests of the queue of first packets."""

import random
import unittest

from siskinbank.admission.pending_queue import (
    PendingQueue,
    QueuedOpening,
    sent_ago_s,
)
from siskinbank.relay.messages import Opening

TARGET_S = 0.25
# Processing time at a cold host in seconds: 1.6 times the usual one of the
# heaviest service that users run.
WORK_S = 0.038
# New requests for one slot, a second: a little over half of its capacity.
RATE = 15
# The same with 1.5 times the capacity of a slot.
OVERLOAD_RATE = 39
BACKLOG = 20
# Serves in order of arrival, as every flow is late.
NO_TARGET_S = 0
STEP_S = 0.001
DURATION_S = 6


def queued_opening(
    key: bytes, queued_at: float, sent: float, target_latency_s: float
) -> QueuedOpening:
    """Return a queued first packet of the only priority."""
    opening = Opening(b'', b'')
    opening.target_latency_ms = int(target_latency_s * 1000)
    return QueuedOpening(key, opening, queued_at, sent, WORK_S)


def backlog(target_latency_s: float) -> PendingQueue:
    """Return a queue with first packets retransmitted at the same time."""
    queue = PendingQueue()
    for number in range(BACKLOG):
        sent = -sent_ago_s(1 + number % 2)
        queue.enqueue(
            queued_opening(b'old%d' % number, 0, sent, target_latency_s)
        )
    return queue


def new_requests(rng: random.Random, rate: float) -> list[float]:
    """Return when new requests are sent, in the first two seconds."""
    steps = [step * STEP_S for step in range(int(2 / STEP_S))]
    return [now for now in steps if rng.random() < rate * STEP_S]


def replay(target_latency_s: float, rate: float = RATE) -> float:
    """Replay a host with one slot after a power failure of 1.5 s.

    Args:
        target_latency_s: target latency that the queue assumes, in
            seconds.
        rate: new requests a second.

    Returns:
        The share of the requests sent afterwards that were in time.
    """
    rng = random.Random(7)
    queue = backlog(target_latency_s)
    sent_times = new_requests(rng, rate)
    pending = list(sent_times)
    free_at = 0
    in_time = 0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        while pending and pending[0] <= now:
            sent = pending.pop(0)
            queue.enqueue(
                queued_opening(b'new%d' % step, now, sent, target_latency_s)
            )
        found = queue.next(now, lambda _: 1) if now >= free_at else None
        if found:
            free_at = now + rng.uniform(0.5, 1.5) * WORK_S
            in_time += found.sent >= 0 and free_at - found.sent < TARGET_S
    return in_time / len(sent_times)


class TestPendingQueue(unittest.TestCase):
    """Load pattern: a backlog after a power failure, and new requests."""

    def test_new_requests_are_in_time_at_once(self) -> None:
        """Replay: in order of arrival, most requests of 2 s were late."""
        self.assertGreater(replay(TARGET_S), 0.95)
        self.assertLess(replay(NO_TARGET_S), 0.75)

    def test_too_many_new_requests(self) -> None:
        """Replay: 1.5 times the capacity; most served requests are in time."""
        capacity = 1 / WORK_S / OVERLOAD_RATE
        self.assertGreater(replay(TARGET_S, OVERLOAD_RATE), 0.85 * capacity)

    def test_the_newest_of_many_goes_first(self) -> None:
        """Only among those that can be in time; a few keep their order."""
        queue = PendingQueue()
        for key, sent in ((b'a', 99.97), (b'b', 99.98), (b'c', 99.99)):
            queue.enqueue(queued_opening(key, 100, sent, TARGET_S))
        order = []
        while found := queue.next(100, lambda _: 1):
            order.append(found.key)
        self.assertEqual(order, [b'c', b'a', b'b'])

    def test_late_flows_get_the_slots_that_are_left(self) -> None:
        """They go in order of arrival, after those that can be in time."""
        queue = PendingQueue()
        for key, sent in ((b'a', 99.4), (b'b', 99.8), (b'c', 99.99)):
            queue.enqueue(queued_opening(key, 100, sent, TARGET_S))
        order = []
        while found := queue.next(100, lambda _: 1):
            order.append(found.key)
        self.assertEqual(order, [b'c', b'a', b'b'])

    def test_one_request_waits_at_the_host(self) -> None:
        """One is ready when a slot becomes free; there is no second one."""
        queue = PendingQueue()
        for key, sent in ((b'a', 99.4), (b'b', 99.99)):
            queue.enqueue(queued_opening(key, 100, sent, TARGET_S))
        self.assertIsNone(queue.next(100, lambda _: -1))
        found = queue.next(100, lambda _: 0)
        self.assertEqual(found and found.key, b'b')
        self.assertIsNone(queue.next(100, lambda _: -1))
        found = queue.next(100, lambda _: 0)
        self.assertEqual(found and found.key, b'a')

    def test_count_ahead_of_a_new_flow(self) -> None:
        """A late flow goes after all; others only after those in time."""
        queue = PendingQueue()
        queue.enqueue(queued_opening(b'a', 100, 99.4, TARGET_S))
        queue.enqueue(queued_opening(b'b', 100, 100, TARGET_S))
        new = queued_opening(b'new', 100, 100, TARGET_S)
        late = queued_opening(b'late', 100, 99.4, TARGET_S)
        self.assertEqual(queue.work_ahead_of(new, 100), [WORK_S])
        self.assertEqual(queue.work_ahead_of(late, 100), [WORK_S, WORK_S])

    def test_abandoned_flows_are_removed(self) -> None:
        """Their clients would no longer answer the host."""
        queue = PendingQueue()
        queue.enqueue(queued_opening(b'a', 100, 99.4, TARGET_S))
        queue.enqueue(queued_opening(b'b', 100, 100, TARGET_S))
        gone = queue.remove_abandoned(101)
        self.assertEqual([queued.key for queued in gone], [b'a'])
        self.assertEqual(len(queue), 1)

    def test_capacity(self) -> None:
        """The queue holds some hundreds of packets."""
        queue = PendingQueue()
        while not queue.full:
            queue.enqueue(queued_opening(b'%d' % len(queue), 0, 0, TARGET_S))
        self.assertLessEqual(len(queue), 1000)
        self.assertEqual(len(queue.clear()), 256)
        self.assertFalse(queue.full)
