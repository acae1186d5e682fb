"""Tests of the queue of first packets."""

import random
import unittest

from siskinbank.admission.pending_queue import (
    PendingQueue,
    QueuedOpening,
    sent_ago_s,
)
from siskinbank.relay.messages import Opening

OPENING = Opening(b'', b'')
TARGET_S = 0.25
# A cold host: the usual processing time of the heaviest service that users
# run, times 1.6.
WORK_S = 0.038
# New requests for one slot, a second: a little over half of its capacity.
RATE = 15
# Half more than the capacity of a slot.
OVERLOAD_RATE = 39
BACKLOG = 20
# Serves in order of arrival, as every flow is late.
NO_TARGET_S = 0
STEP_S = 0.001
DURATION_S = 6


def backlog(target_latency_s: float) -> PendingQueue:
    """Return a queue with first packets retransmitted at the same time."""
    room = PendingQueue()
    for number in range(BACKLOG):
        sent = -sent_ago_s(1 + number % 2)
        room.enqueue(
            b'old%d' % number, QueuedOpening(OPENING, 0, sent, target_latency_s)
        )
    return room


def new_requests(rng: random.Random, rate: float) -> list[float]:
    """Return when new requests are sent, in the first two seconds."""
    steps = [step * STEP_S for step in range(int(2 / STEP_S))]
    return [now for now in steps if rng.random() < rate * STEP_S]


def replay(target_latency_s: float, rate: float = RATE) -> float:
    """Replay a host with one slot after a power failure of 1.5 s.

    Args:
        aim_s: target latency of the clients that the queue assumes, in
            seconds.
        rate: new requests a second.

    Returns:
        The share of the requests sent afterwards that were in time.
    """
    rng = random.Random(7)
    room = backlog(target_latency_s)
    sent_times = new_requests(rng, rate)
    pending = list(sent_times)
    free_at = 0
    in_time = 0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        while pending and pending[0] <= now:
            sent = pending.pop(0)
            room.enqueue(
                b'new%d' % step,
                QueuedOpening(OPENING, now, sent, target_latency_s),
            )
        found = room.next(now, WORK_S, 1) if now >= free_at else None
        if found:
            free_at = now + rng.uniform(0.5, 1.5) * WORK_S
            in_time += found[1].sent >= 0 and free_at - found[1].sent < TARGET_S
    return in_time / len(sent_times)


class TestPendingQueue(unittest.TestCase):
    """Load pattern: a backlog after a power failure, and new requests."""

    def test_new_requests_are_in_time_at_once(self) -> None:
        """Replay: in order of arrival, most of two seconds were late."""
        self.assertGreater(replay(TARGET_S), 0.95)
        self.assertLess(replay(NO_TARGET_S), 0.75)

    def test_too_many_new_requests(self) -> None:
        """Replay: half more than the capacity; what is served is in time."""
        capacity = 1 / WORK_S / OVERLOAD_RATE
        self.assertGreater(replay(TARGET_S, OVERLOAD_RATE), 0.85 * capacity)

    def test_the_newest_of_many_goes_first(self) -> None:
        """Of those that can be in time; a few keep their order."""
        room = PendingQueue()
        for key, sent in ((b'a', 99.97), (b'b', 99.98), (b'c', 99.99)):
            room.enqueue(key, QueuedOpening(OPENING, 100, sent, TARGET_S))
        order = []
        while found := room.next(100, WORK_S, 1):
            order.append(found[0])
        self.assertEqual(order, [b'c', b'a', b'b'])

    def test_late_flows_get_the_slots_that_are_left(self) -> None:
        """In their order, after those that can be in time."""
        room = PendingQueue()
        for key, sent in ((b'a', 99.4), (b'b', 99.8), (b'c', 99.99)):
            room.enqueue(key, QueuedOpening(OPENING, 100, sent, TARGET_S))
        order = []
        while found := room.next(100, WORK_S, 1):
            order.append(found[0])
        self.assertEqual(order, [b'c', b'a', b'b'])

    def test_one_request_waits_at_the_host(self) -> None:
        """One is ready when a slot becomes free; there is no second one."""
        room = PendingQueue()
        for key, sent in ((b'a', 99.4), (b'b', 99.99)):
            room.enqueue(key, QueuedOpening(OPENING, 100, sent, TARGET_S))
        self.assertIsNone(room.next(100, WORK_S, -1))
        found = room.next(100, WORK_S, 0)
        self.assertEqual(found and found[0], b'b')
        self.assertIsNone(room.next(100, WORK_S, -1))
        found = room.next(100, WORK_S, 0)
        self.assertEqual(found and found[0], b'a')

    def test_count_ahead_of_a_new_flow(self) -> None:
        """All, unless it can be in time."""
        room = PendingQueue()
        room.enqueue(b'a', QueuedOpening(OPENING, 100, 99.4, TARGET_S))
        room.enqueue(b'b', QueuedOpening(OPENING, 100, 100, TARGET_S))
        new = QueuedOpening(OPENING, 100, 100, TARGET_S)
        late = QueuedOpening(OPENING, 100, 99.4, TARGET_S)
        self.assertEqual(room.ahead_of(new, 100, WORK_S), 1)
        self.assertEqual(room.ahead_of(late, 100, WORK_S), 2)

    def test_abandoned_flows_are_removed(self) -> None:
        """The host would open them for no client."""
        room = PendingQueue()
        room.enqueue(b'a', QueuedOpening(OPENING, 100, 99.4, TARGET_S))
        room.enqueue(b'b', QueuedOpening(OPENING, 100, 100, TARGET_S))
        gone = room.remove_abandoned(101)
        self.assertEqual([key for key, _ in gone], [b'a'])
        self.assertEqual(len(room), 1)

    def test_capacity(self) -> None:
        """Above some hundreds the queue is full."""
        room = PendingQueue()
        while not room.full:
            room.enqueue(
                b'%d' % len(room), QueuedOpening(OPENING, 0, 0, TARGET_S)
            )
        self.assertLessEqual(len(room), 1000)
        self.assertEqual(len(room.clear()), 256)
        self.assertFalse(room.full)
