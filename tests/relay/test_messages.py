"""Tests of the datagrams between entries and sidecars."""

import unittest
from collections.abc import Callable
from contextlib import suppress

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.relay import messages


class TestMessages(unittest.TestCase):
    """Encoding and decoding."""

    def test_opening(self) -> None:
        """All fields of an opening, with candidates and the shortest wait."""
        opening = messages.Opening(b'abcd', b'packet')
        opening.service = 7
        opening.version = 1 << 40
        opening.candidates = [b'efgh', b'\x0a\x00\x00\x01']
        opening.best = b'ijkl'
        opening.best_wait_ms = 300
        opening.wait_limit_ms = 1500
        opening.target_latency_ms = 150
        opening.timeout_ms = 90_000
        opening.priority = 2
        opening.idempotent = True
        opening.warm_up = (7.5, 2.25)
        opening.hops = 2
        decoded = messages.Opening.read(opening.pack())
        for name in messages.Opening.__slots__:
            with self.subTest(name=name):
                self.assertEqual(getattr(decoded, name), getattr(opening, name))
        self.assertEqual(decoded.pop_next(), '101.102.103.104')

    def test_status_and_record(self) -> None:
        """Fields are restored, and ages are limited."""
        status = messages.Status(7, 8)
        status.busy = 3
        status.record_age_ms = 1 << 50
        decoded = messages.Status.read(status.pack())
        self.assertEqual((decoded.busy, decoded.data_centre), (3, 8))
        self.assertEqual(decoded.processing_ms, 0)
        status.processing_ms = 1 << 20
        self.assertEqual(
            messages.Status.read(status.pack()).processing_ms, 0xFFFF
        )
        record = messages.Record()
        record.cold_per_s = 2.5
        record.age_s = 0.25
        record.flags = messages.EVACUATED
        decoded_record = messages.Record.read(record.pack())
        self.assertEqual(
            (decoded_record.cold_per_s, decoded_record.age_s), (2.5, 0.25)
        )
        self.assertEqual(decoded_record.flags, messages.EVACUATED)

    def test_announcement_and_peers(self) -> None:
        """Lists of entries and of sidecars are kept separate."""
        announcement = messages.Announcement()
        announcement.version = 9
        self.assertEqual(
            messages.Announcement.read(announcement.pack()).version, 9
        )
        raw = messages.pack_addresses(
            messages.PEERS, [b'aaaa'], [b'bbbb', b'cccc']
        )
        decoded = messages.read_peers(raw)
        self.assertEqual(decoded, ([b'aaaa'], [b'bbbb', b'cccc']))

    def test_flow_notes_and_configuration_pieces(self) -> None:
        """A note about one flow, and a piece of a configuration."""
        note = messages.pack_flow_note(messages.REFUSED, b'k' * 12, 5, 8)
        self.assertEqual(messages.read_flow_note(note), (b'k' * 12, 5, 8))
        self.assertIsNone(messages.read_note_sequence(note))
        for sequence in (0, 0xFFFFFFFF):
            note = messages.pack_flow_note(
                messages.HELD, b'k' * 12, 5, 1, sequence
            )
            self.assertEqual(messages.read_flow_note(note), (b'k' * 12, 5, 1))
            self.assertEqual(messages.read_note_sequence(note), sequence)
        self.assertEqual(len(note), messages.FLOW_NOTE_BYTES)
        piece = messages.pack_piece(9, 1, 3, b'piece')
        self.assertEqual(messages.read_piece(piece), (9, 1, 3, b'piece'))

    def test_keys(self) -> None:
        """Several flows in one datagram; a truncated one is refused."""
        keys = [
            (bytes((number,)) * 12, number << 24)
            for number in range(messages.MAX_FLOWS)
        ]
        raw = messages.pack_flows(messages.HELD_UNKNOWN, keys)
        self.assertLessEqual(len(raw), 1200)
        self.assertEqual(messages.read_flows(raw), keys)
        with self.assertRaises(messages.DatagramError):
            messages.read_flows(raw[:-1])

    def test_relayed(self) -> None:
        """With and without hosts to forward the packet to."""
        for others in ([], [b'host', b'next']):
            raw = messages.pack_relayed(b'from', others, b'packet')
            decoded = messages.read_relayed(raw)
            self.assertEqual(decoded, (b'from', others, b'packet'))

    def test_other_lengths(self) -> None:
        """Guards against messages of which only the begin is read."""
        readers: tuple[tuple[Callable[[bytes], object], bytes], ...] = (
            (messages.Status.read, messages.Status(7, 8).pack()),
            (messages.Announcement.read, messages.Announcement().pack()),
            (messages.EntryCapacity.read, messages.EntryCapacity(7).pack()),
            (messages.Record.read, messages.Record().pack()),
            (messages.read_hello, messages.pack_hello(1, 7)),
            (
                messages.read_peers,
                messages.pack_addresses(messages.PEERS, [b'aaaa'], [b'bbbb']),
            ),
            (
                messages.read_record_request,
                messages.pack_record_request(b'aaaa'),
            ),
            (
                messages.read_listing,
                messages.pack_listing(7, 1, 0, 1, [b'aaaa']),
            ),
        )
        for read, raw in readers:
            read(raw)
            for odd in (raw + b'x', raw[:-1]):
                with (
                    self.subTest(read=read, odd=odd),
                    self.assertRaises(messages.DatagramError),
                ):
                    read(odd)

    def test_pieces_beyond_their_number(self) -> None:
        """They would be waited for, or be missing when all seem to be there."""
        for read, raw in (
            (messages.read_piece, messages.pack_piece(9, 3, 3, b'piece')),
            (messages.read_listing, messages.pack_listing(7, 1, 1, 1, [])),
        ):
            with (
                self.subTest(read=read),
                self.assertRaises(messages.DatagramError),
            ):
                read(raw)

    @given(st.binary(max_size=80))
    def test_arbitrary_bytes(self, raw: bytes) -> None:
        """Decoding succeeds or raises DatagramError, nothing else."""
        readers: tuple[Callable[[bytes], object], ...] = (
            messages.Opening.read,
            messages.Status.read,
            messages.Announcement.read,
            messages.EntryCapacity.read,
            messages.Record.read,
            messages.read_flow_note,
            messages.read_piece,
            messages.read_flows,
            messages.read_peers,
            messages.read_relayed,
        )
        for read in readers:
            with suppress(messages.DatagramError):
                read(raw)


class TestRecordOfStatus(unittest.TestCase):
    """Whether a sidecar has a record, which decides how long it may be silent."""

    def test_has_record(self) -> None:
        """Guards against the age of a missing record that counts as an age."""
        status = messages.Status(1, 1)
        self.assertFalse(messages.Status.read(status.pack()).has_record)
        status.record_age_ms = 0
        self.assertTrue(messages.Status.read(status.pack()).has_record)
