"""Tests of the tables of owned flows and pointers."""

import time
import unittest

from siskinbank.sidecar.flows import FlowTable, Pointer, PointerTable

ONE = b'one'.ljust(13)
HOST = b'hostaa'


def _table(kind: str) -> FlowTable:
    """Return a table with one flow in the given state."""
    table = FlowTable()
    if kind == 'adopted':
        table.adopt(ONE, 0, charged=False)
        return table
    owned = table.add(ONE, 0)
    if kind == 'closing':
        owned.close()
    return table


def _cost_of_extending(pointers: PointerTable, incarnation: int) -> float:
    """Return the least processor time of several calls, in seconds."""
    costs = []
    for _ in range(5):
        start = time.process_time()
        pointers.extend(HOST, incarnation, 50)
        costs.append(time.process_time() - start)
    return min(costs)


class TestFlowTable(unittest.TestCase):
    """Idle timeouts of flows."""

    def test_idle_timeouts(self) -> None:
        """Open, closing and adopted flows have different idle timeouts."""
        cases = (
            ('open', 800, 1000),
            ('closing', 20, 40),
            ('adopted', 50, 70),
        )
        for kind, alive, gone in cases:
            with self.subTest(kind):
                table = _table(kind)
                self.assertEqual(table.expire(alive), [])
                self.assertEqual(len(table.expire(gone)), 1)
                self.assertNotIn(ONE, list(table))

    def test_adopted_flow_in_use_is_open(self) -> None:
        """A second packet raises the timeout of an adopted flow."""
        table = FlowTable()
        table.adopt(ONE, 0, charged=False)
        owned = table.get(ONE)
        assert owned is not None
        owned.last_seen = 10
        self.assertEqual(table.expire(200), [])

    def test_reopened_flow_lasts(self) -> None:
        """A new connection with the same ports is open, not closing."""
        table = FlowTable()
        owned = table.add(ONE, 0)
        owned.close()
        owned.reopen()
        self.assertEqual(table.expire(100), [])


class TestPointers(unittest.TestCase):
    """Leases of pointers and the size of the table."""

    def test_bound(self) -> None:
        """A full table evicts the oldest pointers."""
        pointers = PointerTable(10)
        for number in range(100):
            pointers.put(number, Pointer(HOST, 1, 1, 50))
        self.assertEqual(len(pointers), 10)
        self.assertIsNone(pointers.get(0, 0))
        self.assertIsNotNone(pointers.get(99, 0))

    def test_leases_expire(self) -> None:
        """An expired pointer is not returned, even before it is removed."""
        pointers = PointerTable(10)
        pointers.put(1, Pointer(HOST, 1, 1, 50))
        self.assertIsNotNone(pointers.get(1, 49))
        self.assertIsNone(pointers.get(1, 51))
        pointers.expire(51)
        self.assertEqual(len(pointers), 0)

    def test_extend_pointers_to_earlier_incarnations(self) -> None:
        """Only pointers to earlier incarnations of that host are extended."""
        pointers = PointerTable(10)
        pointers.put(1, Pointer(HOST, 1, 1, 50))
        pointers.put(2, Pointer(HOST, 2, 1, 50))
        pointers.put(3, Pointer(b'otherh', 1, 1, 50))
        pointers.extend(HOST, 2, 500)
        kept = [number for number in (1, 2, 3) if pointers.get(number, 60)]
        self.assertEqual(kept, [1])

    def test_extend_after_removals(self) -> None:
        """Removed pointers hide that there is one to an earlier incarnation."""
        pointers = PointerTable(3)
        for number in range(5):
            pointers.put(number, Pointer(HOST, 1, 1, 50))
        pointers.forget(2)
        pointers.forget(2)
        pointers.put(3, Pointer(HOST, 2, 1, 50))
        pointers.put(5, Pointer(HOST, 1, 1, 20))
        pointers.expire(30)
        pointers.extend(HOST, 2, 500)
        self.assertIsNotNone(pointers.get(4, 60))
        self.assertIsNone(pointers.get(3, 60))
        self.assertEqual(len(pointers), 2)

    def test_cost_of_start_of_pool(self) -> None:
        """Each announced start searches all pointers, though none is earlier.

        Load pattern: all hosts of a pool start at once and announce it.
        """
        pointers = PointerTable(20_000)
        for number in range(20_000):
            pointers.put(number, Pointer(HOST, 1, 1, 50))
        needless = _cost_of_extending(pointers, 1)
        needed = _cost_of_extending(pointers, 2)
        self.assertLess(needless, needed / 500)
