"""Tests of body transfer with credit-based flow control."""

import asyncio
import unittest

from siskinbank.kernel.reasons import Drop
from siskinbank.wire.bodies import (
    CHUNK_BYTES,
    WINDOW_BYTES,
    BodyReader,
    BodyTruncatedError,
    SendWindow,
    send_body,
)
from siskinbank.wire.messages import Message
from siskinbank.wire.request_messages import BodyPart, Credit

NUMBER = 3


class TestBodies(unittest.IsolatedAsyncioTestCase):
    """Sending and reading of bodies."""

    async def test_large_body_within_the_window(self) -> None:
        """A body larger than the window arrives complete, within credit."""
        window = SendWindow()
        pending = 0

        def grant(sent: Message) -> None:
            nonlocal pending
            assert isinstance(sent, Credit)
            pending -= sent.size
            window.add_credit(sent.size)

        reader = BodyReader(NUMBER, grant)
        max_pending = 0

        async def deliver(sent: Message) -> None:
            nonlocal pending, max_pending
            assert isinstance(sent, BodyPart)
            self.assertLessEqual(len(sent.content), CHUNK_BYTES)
            self.assertIsNone(reader.put(sent))
            pending += len(sent.content)
            max_pending = max(max_pending, pending)

        chunks = [*(bytes(WINDOW_BYTES) for _ in range(5)), b'end', b'']

        async def read() -> bytes:
            return chunks.pop(0)

        sender = asyncio.create_task(
            send_body(NUMBER, read, deliver, window),
        )
        size = 0
        while part := await reader.read():
            size += len(part)
        await sender
        self.assertEqual(size, 5 * WINDOW_BYTES + 3)
        self.assertLessEqual(max_pending, WINDOW_BYTES)
        self.assertTrue(reader.ended)

    async def test_invalid_parts_are_refused(self) -> None:
        """Duplicate, skipped and oversized parts, and parts after the end."""
        good = BodyPart(NUMBER, 0, False, b'a')
        big = bytes(WINDOW_BYTES + 1)
        cases = (
            ((good, good), Drop.malformed),
            ((BodyPart(NUMBER, 1, False, b'a'),), Drop.malformed),
            ((BodyPart(NUMBER, 0, False, big),), Drop.over_credit),
            (
                (
                    BodyPart(NUMBER, 0, True, b''),
                    BodyPart(NUMBER, 1, True, b''),
                ),
                Drop.malformed,
            ),
        )
        for parts, wanted in cases:
            with self.subTest(wanted):
                reader = BodyReader(NUMBER, lambda _sent: None)
                self.assertEqual(
                    [reader.put(part) for part in parts][-1], wanted
                )

    async def test_truncated_body_raises(self) -> None:
        """Received parts are returned, then the reader raises an error."""
        reader = BodyReader(NUMBER, lambda _sent: None)
        reader.put(BodyPart(NUMBER, 0, False, b'a'))
        reader.fail(OSError('lost'))
        self.assertEqual(await reader.read(), b'a')
        with self.assertRaises(BodyTruncatedError):
            await reader.read()
