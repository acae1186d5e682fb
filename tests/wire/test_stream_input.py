"""Tests of streams with arbitrary input bytes."""

import asyncio
import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.wire.messages import MAX_MESSAGE_BYTES, MessageError
from siskinbank.wire.streams import MessageStream


async def read_all(raw: bytes) -> int:
    """Return the number of messages before the end or an error."""
    reader = asyncio.StreamReader()
    reader.feed_data(raw)
    reader.feed_eof()
    stream = MessageStream(reader, None)  # type: ignore[arg-type]
    count = 0
    try:
        while await stream.receive() is not None:
            count += 1
    except MessageError:
        return count
    return count


class TestStreamInput(unittest.TestCase):
    """Input of a peer that does not follow the protocol."""

    @given(st.binary(max_size=300))
    @settings(max_examples=200, deadline=None)
    def test_any_bytes(self, raw: bytes) -> None:
        """Reading ends, and the only error is the documented one."""
        self.assertLessEqual(asyncio.run(read_all(raw)), len(raw))

    def test_length_field_allocates_no_memory(self) -> None:
        """A large declared length alone allocates no memory."""
        for declared in (MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES + 1, 0xFFFFFFFF):
            with self.subTest(declared=declared):
                tracemalloc.start()
                raw = declared.to_bytes(4, 'big') + bytes(20)
                asyncio.run(read_all(raw))
                _now, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(peak, MAX_MESSAGE_BYTES)
