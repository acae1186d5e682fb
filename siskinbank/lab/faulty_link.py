"""A proxy on loopback that causes faults between an entry and a sidecar.

It forwards the message stream in whole frames, which it delays, loses,
duplicates or reorders, or queues while it is paused.
"""

import asyncio
import enum
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass

from siskinbank.config.site import Address
from siskinbank.wire.messages import Message, decode

__all__ = ('FaultyLink', 'FrameFault', 'LinkFaults')

#: Length of the message in bytes, and its sequence number.
_HEADER = struct.Struct('!IQ')
_READ_BYTES = 16 * 1024


@dataclass(slots=True)
class LinkFaults:
    """Probability of each fault per frame, and the longest delay in seconds.

    ``cut`` aborts the connection; ``double`` sends the frame twice.
    """

    lose: float = 0
    double: float = 0
    reorder: float = 0
    cut: float = 0
    delay: float = 0


class FrameFault(enum.StrEnum):
    """The fault of one frame."""

    lose = 'lose'
    double = 'double'
    reorder = 'reorder'
    cut = 'cut'


#: Chooses the fault of a frame, by its message and whether it goes to the
#: target.
Script = Callable[[Message, bool], FrameFault | None]


class FaultyLink:
    """Forwards connections to one address with faults.

    Attributes:
        target: address that connections are forwarded to.
        faults: probabilities of faults.
        script: chooses the fault of each frame instead, if set.
    """

    def __init__(
        self,
        target: Address,
        faults: LinkFaults,
        rng: random.Random,
        *,
        frames: bool = True,
    ) -> None:
        """Initialize a link.

        Args:
            target: address that connections are forwarded to.
            faults: probabilities of faults.
            rng: draws faults and delays.
            frames: whether to forward whole frames, instead of bytes as they
                are read.
        """
        self.target = target
        self.faults = faults
        self._rng = rng
        self._frames = frames
        self.script: Script | None = None
        self._running = asyncio.Event()
        self._running.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: Address) -> None:
        """Listen at ``address``.

        Raises:
            OSError: the address cannot be bound.
        """
        self._server = await asyncio.start_server(self._accept, *address)

    def pause(self) -> None:
        """Stop forwarding, as a suspended process does."""
        self._running.clear()

    def resume(self) -> None:
        """Forward again, queued frames first."""
        self._running.set()

    def cut(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            *self.target
        )
        self._writers.add(target_writer)
        forward_task = asyncio.create_task(
            self._forward(reader, target_writer, to_target=True)
        )
        return_task = asyncio.create_task(
            self._forward(target_reader, writer, to_target=False)
        )
        try:
            await asyncio.wait(
                (forward_task, return_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            await _cancel(forward_task, return_task)
            self._writers.discard(target_writer)
        writer.close()
        target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_target: bool,
    ) -> None:
        delayed = b''
        while frame := await self._read(reader):
            await self._running.wait()
            if self.faults.delay:
                await asyncio.sleep(self._rng.uniform(0, self.faults.delay))
            fault = self._choose_fault(frame, to_target=to_target)
            if fault is FrameFault.cut:
                writer.transport.abort()
                return
            if fault is FrameFault.reorder and not delayed:
                delayed = frame
                continue
            writer.write(_apply_fault(frame, fault) + delayed)
            delayed = b''
            await writer.drain()
        writer.write(delayed)

    def _choose_fault(
        self, frame: bytes, *, to_target: bool
    ) -> FrameFault | None:
        if self.script is not None:
            return self.script(decode(frame[_HEADER.size :]), to_target)
        chances = (
            (FrameFault.cut, self.faults.cut),
            (FrameFault.lose, self.faults.lose),
            (FrameFault.double, self.faults.double),
            (FrameFault.reorder, self.faults.reorder),
        )
        draw = self._rng.random()
        for fault, chance in chances:
            if draw < chance:
                return fault
            draw -= chance
        return None

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        if not self._frames:
            return await reader.read(_READ_BYTES)
        try:
            header = await reader.readexactly(_HEADER.size)
        except asyncio.IncompleteReadError:
            return b''
        size = _HEADER.unpack(header)[0]
        return header + await reader.readexactly(size)


def _apply_fault(frame: bytes, fault: FrameFault | None) -> bytes:
    """Return the bytes to send for a frame."""
    if fault is FrameFault.lose:
        return b''
    return frame + frame if fault is FrameFault.double else frame


async def _cancel(*tasks: asyncio.Task[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
