"""Tests of the requests in progress at a host, and of the wait for a slot."""

import unittest

from siskinbank.admission.requests_in_progress import (
    RequestsInProgress,
    wait_for_slot_s,
)
from siskinbank.sidecar.tracked_flows import Request

SLOTS = 2
WORK_S = 0.1


def _requests(count: int) -> list[Request]:
    return [Request(100, str(number)) for number in range(count)]


class TestMeasurement(unittest.TestCase):
    """Load pattern: all requests of a slow host wait."""

    def setUp(self) -> None:
        """Let four requests arrive at once."""
        self.found = RequestsInProgress()
        self.requests = _requests(4)
        for request in self.requests:
            self.found.add(request, 100, SLOTS)

    def test_waiting_requests_are_measured(self) -> None:
        """Guards against a busy host whose speed stays unknown."""
        starts = [request.processed_from for request in self.requests]
        self.assertEqual(starts, [100, 100, None, None])
        self.found.remove(self.requests[1], 100.1, SLOTS, is_answered=True)
        self.found.remove(self.requests[0], 100.3, SLOTS, is_answered=True)
        starts = [request.processed_from for request in self.requests[2:]]
        self.assertEqual(starts, [100.1, 100.3])
        self.assertTrue(self.requests[2].is_measurable)
        self.assertEqual(len(self.found), SLOTS)

    def test_slot_that_may_be_in_use(self) -> None:
        """Guards against times of requests that have not been started."""
        self.found.remove(self.requests[0], 100.1, SLOTS, is_answered=False)
        self.assertFalse(self.requests[2].is_measurable)
        self.found.remove(self.requests[1], 100.2, SLOTS, is_answered=True)
        self.assertTrue(self.requests[3].is_measurable)

    def test_shed_request(self) -> None:
        """Guards against a second use of a slot: it never had one."""
        self.found.remove(self.requests[3], 100, SLOTS, is_answered=True)
        self.assertEqual(self.requests[2].processed_from, None)
        self.assertEqual(len(self.found), 3)

    def test_unknown_slots(self) -> None:
        """Guards against a late start of requests that did not wait."""
        found = RequestsInProgress()
        first, second = _requests(2)
        found.add(first, 100, None)
        found.add(second, 100, None)
        found.remove(first, 100.1, SLOTS, is_answered=True)
        self.assertTrue(first.is_measurable)
        self.assertFalse(second.is_measurable)

    def test_stall(self) -> None:
        """Guards against times that include a stall of the sidecar."""
        self.found.skip_measurements()
        measurable = [request.is_measurable for request in self.requests]
        self.assertFalse(any(measurable))


class TestWait(unittest.TestCase):
    """The expected wait for a slot."""

    def test_equal_requests(self) -> None:
        """Zero with a free slot, then processing time / slots a request."""
        self.assertEqual(wait_for_slot_s([WORK_S], SLOTS), 0)
        for count, wait_s in ((2, 0.05), (21, 1)):
            work = [WORK_S for _ in range(count)]
            self.assertAlmostEqual(wait_for_slot_s(work, SLOTS), wait_s)

    def test_different_requests(self) -> None:
        """Guards against refusals for a queue of short requests."""
        short = [0.005 for _ in range(10)]
        long = [0.072 for _ in range(10)]
        busy = [0.072, 0.072]
        self.assertAlmostEqual(wait_for_slot_s(busy + short, SLOTS), 0.061)
        self.assertAlmostEqual(wait_for_slot_s(busy + long, SLOTS), 0.396)
