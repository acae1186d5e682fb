"""A small faulty link between an entry and a sidecar, on loopback.

It stands where the message stream does: it takes whole frames, and delays,
loses, doubles or reorders them, or holds them while it is paused.
"""

import asyncio
import enum
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass

from siskinbank.config.site import Address
from siskinbank.wire.messages import Message, decode

__all__ = ('Fault', 'FaultyLink', 'LinkFaults')

_LEAD = struct.Struct('!IQ')
_RAW_BYTES = 16 * 1024


@dataclass(slots=True)
class LinkFaults:
    """Chances of faults for each frame, and the longest delay in seconds."""

    lose: float = 0
    double: float = 0
    reorder: float = 0
    cut: float = 0
    delay: float = 0


class Fault(enum.StrEnum):
    """What befalls one frame."""

    lose = 'lose'
    double = 'double'
    reorder = 'reorder'
    cut = 'cut'


#: Chooses the fault of a frame: its message, and whether it goes there.
Script = Callable[[Message, bool], Fault | None]


class FaultyLink:
    """Passes connections on to one address, with faults."""

    def __init__(
        self,
        target: Address,
        faults: LinkFaults,
        rng: random.Random,
        *,
        frames: bool = True,
    ) -> None:
        """Pass on to ``target``; plain bytes instead of frames if not so."""
        self.target = target
        self.faults = faults
        self._rng = rng
        self._frames = frames
        self.script: Script | None = None
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: Address) -> None:
        """Listen.

        Raises:
            OSError: the address could not be bound.
        """
        self._server = await asyncio.start_server(self._accept, *address)

    def pause(self) -> None:
        """Hold what comes, as a suspended process does."""
        self._open.clear()

    def resume(self) -> None:
        """Let go of what was held."""
        self._open.set()

    def cut(self) -> None:
        """Break all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and break all connections."""
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
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        self._writers.add(far_writer)
        there = asyncio.create_task(
            self._pass_on(reader, far_writer, there=True)
        )
        back = asyncio.create_task(
            self._pass_on(far_reader, writer, there=False)
        )
        try:
            await asyncio.wait(
                (there, back),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            await _end(there, back)
            self._writers.discard(far_writer)
        writer.close()
        far_writer.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        there: bool,
    ) -> None:
        held = b''
        while frame := await self._read(reader):
            await self._open.wait()
            if self.faults.delay:
                await asyncio.sleep(self._rng.uniform(0, self.faults.delay))
            fault = self._draw(frame, there=there)
            if fault is Fault.cut:
                writer.transport.abort()
                return
            if fault is Fault.reorder and not held:
                held = frame
                continue
            writer.write(_after(frame, fault) + held)
            held = b''
            await writer.drain()
        writer.write(held)

    def _draw(self, frame: bytes, *, there: bool) -> Fault | None:
        if self.script is not None:
            return self.script(decode(frame[_LEAD.size :]), there)
        chances = (
            (Fault.cut, self.faults.cut),
            (Fault.lose, self.faults.lose),
            (Fault.double, self.faults.double),
            (Fault.reorder, self.faults.reorder),
        )
        draw = self._rng.random()
        for fault, chance in chances:
            if draw < chance:
                return fault
            draw -= chance
        return None

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        if not self._frames:
            return await reader.read(_RAW_BYTES)
        try:
            lead = await reader.readexactly(_LEAD.size)
        except asyncio.IncompleteReadError:
            return b''
        size = _LEAD.unpack(lead)[0]
        return lead + await reader.readexactly(size)


def _after(frame: bytes, fault: Fault | None) -> bytes:
    """Return what is left of a frame."""
    if fault is Fault.lose:
        return b''
    return frame + frame if fault is Fault.double else frame


async def _end(*tasks: asyncio.Task[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
