"""Tests of numbered messages on a stream."""

import asyncio
import unittest
from typing import Any, cast

from siskinbank.wire.messages import MessageError
from siskinbank.wire.request_messages import Cancel
from siskinbank.wire.streams import MessageStream

#: Frames that arrive, messages that are received, and whether reading fails.
CASES = (
    ((0, 1, 2), (0, 1, 2), False),
    ((0, 0, 1, 1, 0, 2), (0, 1, 2), False),
    ((0, 2, 1), (0,), True),
    ((1,), (), True),
)


class _Recorder:
    """Records written frames."""

    def __init__(self) -> None:
        self.frames: list[bytes] = []

    def write(self, frame: bytes) -> None:
        """Record one frame."""
        self.frames.append(frame)


def make_frames(count: int) -> list[bytes]:
    """Return the frames of ``count`` messages."""
    recorder = _Recorder()
    writer = cast(Any, recorder)
    stream = MessageStream(asyncio.StreamReader(), writer)
    for number in range(count):
        stream.post(Cancel(number))
    return recorder.frames


class TestMessageStream(unittest.IsolatedAsyncioTestCase):
    """Duplicate and late frames are dropped, a gap ends the stream."""

    async def receive(self, raw: bytes) -> tuple[list[int], bool]:
        """Return the numbers received, and whether the stream failed."""
        reader = asyncio.StreamReader()
        reader.feed_data(raw)
        reader.feed_eof()
        stream = MessageStream(reader, cast(Any, None))
        numbers = []
        try:
            while (received := await stream.receive()) is not None:
                assert isinstance(received, Cancel)
                numbers.append(received.number)
        except MessageError:
            return numbers, True
        return numbers, False

    async def test_order(self) -> None:
        """Each message is received once and in order."""
        frames = make_frames(3)
        for order, wanted, fails in CASES:
            with self.subTest(order):
                raw = b''.join(frames[number] for number in order)
                got = await self.receive(raw)
                self.assertEqual(got, (list(wanted), fails))

    async def test_truncated_and_oversized(self) -> None:
        """A truncated frame and a length above the maximum end the stream."""
        frame = make_frames(1)[0]
        for raw in (frame[:5], frame[:-1], b'\xff' * 12, b'\0' * 12):
            with self.subTest(raw):
                got = await self.receive(raw)
                self.assertEqual(got, ([], True))
