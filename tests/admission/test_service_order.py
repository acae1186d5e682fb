"""Tests of the order in which queued requests are served."""

import random
import unittest

from siskinbank.admission.pending_queue import PendingQueue, QueuedOpening
from siskinbank.admission.service_order import (
    HOPELESS,
    IN_TIME,
    LATE,
    QueuedRequest,
    service_order,
)
from siskinbank.relay.messages import Opening

# Requests of both priorities as on the first deployment: target latency, time
# limit and processing time in seconds.
TARGET_S = 0.5
TIMEOUT_S = 3.7
WORK_S = 0.06
# Latest start of processing for an answer in time, after the request was sent.
NEEDED_S = 1.5 * WORK_S + 0.02
SLOTS = 4


def request(
    priority: int, sent: float, target_latency_s: float = TARGET_S
) -> QueuedRequest:
    """Return a queued request."""
    return QueuedRequest(priority, sent, target_latency_s, TIMEOUT_S, WORK_S)


def queued(
    key: bytes, priority: int, sent: float, work_s: float = WORK_S
) -> QueuedOpening:
    """Return a first packet that was queued when it was sent."""
    opening = Opening(b'', b'')
    opening.priority = priority
    opening.target_latency_ms = int(TARGET_S * 1000)
    opening.timeout_ms = int(TIMEOUT_S * 1000)
    opening.wait_limit_ms = int(TIMEOUT_S * 1000 / 2)
    return QueuedOpening(key, opening, sent, sent, work_s)


def wait_s(
    first_packet: QueuedOpening, ahead: int, ahead_work_s: float
) -> float:
    """Return the wait for a slot by the work that goes first, in seconds."""
    return ahead_work_s / SLOTS


def order_without_priorities(
    requests: list[QueuedRequest], now: float
) -> list[QueuedRequest]:
    """Return the order that was in force before there were priorities."""
    left = list(requests)
    ordered = []
    while left:
        in_time = [item for item in left if now < item.in_time_until]
        chosen = left[0]
        if in_time:
            chosen = in_time[0 if len(in_time) <= 2 else -1]
        left.remove(chosen)
        ordered.append(chosen)
    return ordered


class TestServiceOrder(unittest.TestCase):
    """Load pattern: demand exceeds the capacity of a host."""

    def test_stages(self) -> None:
        """A request is late or hopeless once a free slot comes too late."""
        item = request(1, 100)
        self.assertEqual(item.stage(100 + TARGET_S - NEEDED_S - 0.01), IN_TIME)
        self.assertEqual(item.stage(100 + TARGET_S - NEEDED_S + 0.01), LATE)
        self.assertEqual(item.stage(100 + TIMEOUT_S - NEEDED_S - 0.01), LATE)
        self.assertEqual(
            item.stage(100 + TIMEOUT_S - NEEDED_S + 0.01), HOPELESS
        )

    def test_no_time_limit(self) -> None:
        """A request without a time limit is late, never hopeless."""
        item = QueuedRequest(1, 100, TARGET_S, 0, WORK_S)
        self.assertEqual(item.stage(1000), LATE)

    def test_priority_within_each_stage(self) -> None:
        """In time before late before hopeless, each by priority."""
        now = 100
        expected = [
            request(1, now - 0.1),
            request(2, now - 0.05),
            request(1, now - 1),
            request(2, now - 2),
            request(1, now - 4),
            request(2, now - 5),
        ]
        shuffled = list(expected)
        for seed in range(20):
            random.Random(seed).shuffle(shuffled)
            self.assertEqual(service_order(shuffled, now), expected)

    def test_open_flows_precede_first_packets(self) -> None:
        """Within a stage and priority; a higher priority goes before both."""
        opening = queued(b'new', 2, 100)
        higher = queued(b'high', 1, 100)
        on_flow = request(2, 100)
        late = request(1, 99)
        self.assertEqual(
            service_order([opening, late, on_flow, higher], 100),
            [higher, on_flow, opening, late],
        )

    def test_burst_of_higher_priority(self) -> None:
        """Guards against its oldest requests waiting until they are late.

        4 slots serve 26 requests of 60 ms within the 0.39 s that the first of
        them may wait; only beyond these is the newest first.
        """
        low = [request(2, 100 + number / 1000) for number in range(4)]
        high = [request(1, 100 + number / 1000) for number in range(28)]
        newest_first_low = [low[3], low[2], low[0], low[1]]
        self.assertEqual(
            service_order(low + high[:26], 100.03, SLOTS),
            high[:26] + newest_first_low,
        )
        self.assertEqual(
            service_order(low + high, 100.03, SLOTS),
            [high[27], high[26]] + high[:26] + newest_first_low,
        )

    def test_first_packets_of_higher_priority(self) -> None:
        """Guards against first packets that wait out a burst on open flows.

        With many late requests of their priority they are retries, and those
        on open flows go first again: in a replay, goodput was 0.76 of that
        without scheduling when the high priority exceeded the capacity.
        """
        low = request(2, 100)
        opening = queued(b'new', 1, 100)
        on_flow = request(1, 100.01)
        late = [request(1, 99) for _ in range(14)]
        for late_count, first in (
            (0, [opening, on_flow]),
            (13, [opening, on_flow]),
            (14, [on_flow, opening]),
        ):
            requests = [*late[:late_count], low, opening, on_flow]
            self.assertEqual(
                service_order(requests, 100.03, SLOTS),
                [*first, low, *late[:late_count]],
            )

    def test_highest_priority_alone(self) -> None:
        """With one priority in the queue the order is as without priorities."""
        high = [request(1, 100 + number / 1000) for number in range(4)]
        self.assertEqual(
            service_order(high, 100.03, SLOTS),
            [high[3], high[2], high[0], high[1]],
        )

    def test_equal_priorities(self) -> None:
        """The order of existing deployments is unchanged: 500 random queues."""
        rng = random.Random(3)
        for _ in range(500):
            sent = sorted(
                100 - rng.uniform(0, 1.35) for _ in range(rng.randrange(12))
            )
            requests = [request(2, at, rng.choice((0.2, 0.5))) for at in sent]
            self.assertEqual(
                service_order(requests, 100),
                order_without_priorities(requests, 100),
            )


class TestPriorityInQueue(unittest.TestCase):
    """Load pattern: first packets of two priorities wait for a slot."""

    def test_wait_counts_requests_served_before(self) -> None:
        """Lower priorities do not add to the wait of a first packet."""
        queue = PendingQueue()
        for number in range(5):
            queue.enqueue(queued(b'low%d' % number, 2, 100))
        queue.enqueue(queued(b'high', 1, 100))
        for priority, sent, ahead in ((1, 100, 1), (2, 100, 6), (1, 99, 6)):
            new = queued(b'new', priority, sent)
            self.assertEqual(
                queue.work_ahead_of(new, 100), [WORK_S for _ in range(ahead)]
            )

    def test_overtaken_packet_is_rejected(self) -> None:
        """It is not held until its client gives up after 1.4 s."""
        queue = PendingQueue()
        queue.enqueue(queued(b'low', 2, 100))
        for number in range(100):
            queue.enqueue(queued(b'high%d' % number, 1, 100.1))
        gone = queue.remove_hopeless(100.1, wait_s)
        self.assertEqual([item.key for item in gone], [b'low'])
        self.assertEqual(len(queue), 100)

    def test_packet_that_may_still_be_served_stays(self) -> None:
        """With fewer requests of higher priority before it."""
        queue = PendingQueue()
        queue.enqueue(queued(b'low', 2, 100))
        for number in range(50):
            queue.enqueue(queued(b'high%d' % number, 1, 100.1))
        gone = queue.remove_hopeless(100.1, wait_s)
        self.assertEqual(gone, [])

    def test_short_requests_go_before(self) -> None:
        """Guards against counting each request with the mean of all routes.

        200 requests of 5 ms take 0.25 s; at the mean of 60 ms the packet would
        be rejected after a wait that it doesn't have.
        """
        for work, gone_keys in ((0.005, []), (0.072, [b'low'])):
            queue = PendingQueue()
            queue.enqueue(queued(b'low', 2, 100))
            for number in range(200):
                queue.enqueue(queued(b'high%d' % number, 1, 100.1, work))
            gone = queue.remove_hopeless(100.1, wait_s)
            self.assertEqual([item.key for item in gone], gone_keys)

    def test_one_priority_is_not_rejected(self) -> None:
        """Equal priorities stay queued until their clients give up."""
        queue = PendingQueue()
        for number in range(250):
            queue.enqueue(queued(b'%d' % number, 2, 100))
        gone = queue.remove_hopeless(101, wait_s)
        self.assertEqual(gone, [])

    def test_full_queue(self) -> None:
        """The last one makes room for a higher priority, for no other."""
        queue = PendingQueue()
        for number in range(256):
            queue.enqueue(queued(b'%d' % number, 2, 100))
        self.assertTrue(queue.full)
        last = queue.replaceable_by(request(1, 100), 100)
        self.assertEqual(last and last.key, b'1')
        self.assertIsNone(queue.replaceable_by(request(2, 100), 100))
