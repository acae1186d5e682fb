"""Tests of the selection of the store's reader."""

import unittest

from siskinbank.tracking.store_reads import (
    EntryReads,
    StoreAvailability,
    hosts_read_age_s,
    operator_read_age_s,
    pause_after_failures_s,
    reader_rank,
    sidecar_pause_after_failures_s,
)

# Limit of the platform from a host's announcement to its effect everywhere, in
# seconds.
_MAX_APPLY_S = 3


class TestStoreAvailability(unittest.TestCase):
    """When a host without a record in the store is gone."""

    def test_not_soon_after_an_outage(self) -> None:
        """Hosts with expired records register again within two seconds."""
        store = StoreAvailability()
        self.assertFalse(store.absence_is_reliable(100))
        store.note_listing(100, 100)
        self.assertFalse(store.absence_is_reliable(102))
        store.note_listing(101.5, 101.5)
        self.assertTrue(store.absence_is_reliable(102.4))
        store.note_listing(110, 110)
        self.assertFalse(store.absence_is_reliable(111))

    def test_reads_by_other_processes_count(self) -> None:
        """Their listings show that the store was available."""
        store = StoreAvailability()
        for second in range(100, 140):
            store.note_listing(second + 0.3, second)
        store.note_listing(140, 140)
        self.assertTrue(store.absence_is_reliable(140))

    def test_return_noticed_by_a_peer(self) -> None:
        """Load pattern: the store returns, with all records expired.

        A peer reads it first, and this process soon after; until the hosts have
        registered again, neither may take them for gone.
        """
        store = StoreAvailability()
        for tenth in range(1000, 1030):
            store.note_listing(tenth / 10, tenth / 10)
        self.assertTrue(store.absence_is_reliable(103))
        store.note_listing(109.1, 109)
        self.assertFalse(store.absence_is_reliable(109.1))
        store.note_listing(109.7, 109.7)
        self.assertFalse(store.absence_is_reliable(109.7))
        store.note_listing(111.3, 111.3)
        self.assertTrue(store.absence_is_reliable(111.4))

    def test_old_listings_prove_nothing(self) -> None:
        """A peer that has not read for long announces its last listing."""
        store = StoreAvailability()
        store.note_listing(100, 90)
        self.assertFalse(store.absence_is_reliable(100))

    def test_not_after_a_return_from_a_copy(self) -> None:
        """Records written since the copy are missing for a while."""
        store = StoreAvailability()
        for tenth in range(1000, 1030):
            store.note_listing(tenth / 10, tenth / 10)
        store.note_new_era(103)
        store.note_listing(103.1, 103.1)
        self.assertFalse(store.absence_is_reliable(105))
        self.assertTrue(store.absence_is_reliable(105.4))


class TestReadAges(unittest.TestCase):
    """One reader at a time, replaced in time."""

    def test_ranks(self) -> None:
        """Each live process has another rank, in the same order everywhere."""
        entries = [bytes((10, 1, 0, number)) for number in range(20)]
        ranks = [
            reader_rank(own, [other for other in entries if other != own])
            for own in entries
        ]
        self.assertEqual(sorted(ranks), list(range(20)))
        self.assertEqual(reader_rank(b'a', []), 0)

    def test_first_readers_are_spread(self) -> None:
        """Load pattern: a data centre is lost, with all its addresses.

        Of 59 entries in five data centres, the first five aren't in one.
        """
        entries = [
            bytes((10, zone, 0, number))
            for zone in range(1, 6)
            for number in range(23, 35)
        ]
        first = [
            entry[1] for entry in entries if reader_rank(entry, entries) < 5
        ]
        self.assertEqual(len(first), 5)
        self.assertGreater(len(set(first)), 2)

    def test_the_next_reader_waits_for_the_first(self) -> None:
        """A read is announced to all peers within a quarter second."""
        for rank in range(1, 30):
            longer = hosts_read_age_s(rank) - hosts_read_age_s(0)
            self.assertGreaterEqual(longer, 0.25)
            self.assertGreaterEqual(operator_read_age_s(rank), 1.25)

    def test_two_dead_readers_are_replaced_in_time(self) -> None:
        """The third process reads before its data is too old."""
        for read_age_s in (hosts_read_age_s, operator_read_age_s):
            self.assertLessEqual(read_age_s(2) + 0.25, _MAX_APPLY_S - 1)

    def test_sidecars_leave_reads_to_entries(self) -> None:
        """Replay: 20 s from the start, with a record each second or none."""
        for received, max_reads in ((True, 0), (False, 10)):
            reads = 0
            own_read_at = -1e9
            entry_reads = EntryReads(100)
            for step in range(200):
                now = 100 + step / 10
                if received:
                    entry_reads.note(float(int(now)), float(int(now)))
                if entry_reads.sidecar_should_read(now, own_read_at):
                    reads += 1
                    own_read_at = now
            self.assertLessEqual(reads, max_reads)
        # Hosts register within two seconds, and entries tell of that within
        # another one.
        entry_reads = EntryReads(100)
        self.assertFalse(entry_reads.sidecar_should_read(103, -1e9))
        self.assertTrue(entry_reads.sidecar_should_read(104, -1e9))

    def test_listings_do_not_stand_for_operator_keys(self) -> None:
        """Load pattern: an entry lists the hosts but can't read the keys.

        The sidecar reads soon enough for the limit of five seconds.
        """
        entry_reads = EntryReads(90)
        entry_reads.note(100, 100)
        for tenth in range(1000, 1050):
            now = tenth / 10
            entry_reads.note(now, 100)
            if entry_reads.sidecar_should_read(now, -1e9):
                self.assertGreater(now, 103)
                self.assertLess(now, 104)
                return
        self.fail('the sidecar does not read')

    def test_sidecars_spare_a_store_that_is_down(self) -> None:
        """Load pattern: 136 sidecars and no listing for five seconds."""
        self.assertEqual(sidecar_pause_after_failures_s(0), 0)
        self.assertGreater(sidecar_pause_after_failures_s(1), 3)

    def test_pauses_grow_while_the_store_is_down(self) -> None:
        """But the first reader tries at least once a second."""
        pauses = [pause_after_failures_s(count, 0) for count in range(9)]
        self.assertEqual(pauses[0], 0)
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[-1], 1)
        self.assertGreaterEqual(pause_after_failures_s(9, 3), pauses[-1])
