"""Tests of the datagrams between the system's own processes."""

import unittest
from contextlib import suppress
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.relay import messages


class TestMessages(unittest.TestCase):
    """There and back."""

    def test_opening(self) -> None:
        """With candidates and the shortest wait."""
        opening = messages.Opening(b'abcd', b'packet')
        opening.service = 7
        opening.version = 1 << 40
        opening.candidates = [b'efgh', b'\x0a\x00\x00\x01']
        opening.best = b'ijkl'
        opening.best_wait_ms = 300
        opening.limit_ms = 1500
        opening.aim_ms = 150
        opening.hops = 2
        found = messages.Opening.read(opening.pack())
        for name in messages.Opening.__slots__:
            with self.subTest(name=name):
                self.assertEqual(getattr(found, name), getattr(opening, name))
        self.assertEqual(found.pop_next(), '101.102.103.104')

    def test_status_and_record(self) -> None:
        """All fields, ages bounded."""
        status = messages.Status(7, 8)
        status.busy = 3
        status.record_age_ms = 1 << 50
        found = messages.Status.read(status.pack())
        self.assertEqual((found.busy, found.data_centre), (3, 8))
        record = messages.Record()
        record.cold_per_s = 2.5
        record.age_s = 0.25
        record.flags = messages.OUT
        again = messages.Record.read(record.pack())
        self.assertEqual((again.cold_per_s, again.age_s), (2.5, 0.25))
        self.assertEqual(again.flags, messages.OUT)

    def test_news_and_peers(self) -> None:
        """Lists of entries and of sidecars stay apart."""
        news = messages.News()
        news.version = 9
        self.assertEqual(messages.News.read(news.pack()).version, 9)
        raw = messages.pack_addresses(
            messages.PEERS, [b'aaaa'], [b'bbbb', b'cccc']
        )
        found = messages.read_peers(raw)
        self.assertEqual(found, ([b'aaaa'], [b'bbbb', b'cccc']))

    def test_notes_and_pieces(self) -> None:
        """About one flow, and of one configuration."""
        note = messages.flow_note(messages.REFUSED, b'k' * 12, 5, 8)
        self.assertEqual(messages.read_flow_note(note), (b'k' * 12, 5, 8))
        self.assertEqual(len(note), messages.FLOW_NOTE_BYTES)
        piece = messages.pack_piece(9, 1, 3, b'piece')
        self.assertEqual(messages.read_piece(piece), (9, 1, 3, b'piece'))

    def test_keys(self) -> None:
        """Of several flows in one datagram."""
        keys = [bytes((number,)) * 12 for number in range(messages.MOST_KEYS)]
        raw = messages.pack_keys(messages.UNSURE, keys)
        self.assertLessEqual(len(raw), 1200)
        self.assertEqual(messages.read_keys(raw), keys)
        self.assertEqual(messages.read_keys(raw[:-1]), keys[:-1])

    def test_relayed(self) -> None:
        """With the hosts to hand it on to, or without."""
        for others in ([], [b'host', b'next']):
            raw = messages.relayed(b'from', others, b'packet')
            found = messages.read_relayed(raw)
            self.assertEqual(found, (b'from', others, b'packet'))

    @given(st.binary(max_size=80))
    def test_anything_else(self, raw: bytes) -> None:
        """It is read or refused, never more."""
        readers: tuple[Callable[[bytes], object], ...] = (
            messages.Opening.read,
            messages.Status.read,
            messages.News.read,
            messages.Record.read,
            messages.read_flow_note,
            messages.read_piece,
            messages.read_keys,
            messages.read_peers,
            messages.read_relayed,
        )
        for read in readers:
            with suppress(messages.Malformed):
                read(raw)
