"""The upstream's slots, and a short bounded queue before them."""

import asyncio
from collections import deque

from siskinbank.kernel.reasons import Refusal
from siskinbank.sidecar.context import SidecarContext

__all__ = ('SlotQueue',)

_MAX_WAIT_SECONDS = 0.5
_WAKE_SECONDS = 0.1
#: Places in the queue for each slot.
_PLACES_A_SLOT = 1


class SlotQueue:
    """Takes slots in the order of asking; refuses what would wait long."""

    def __init__(self, context: SidecarContext) -> None:
        """Queue for the slots of the context's limits."""
        self._context = context
        self._waiting: deque[asyncio.Future[None]] = deque()
        context.process.timers.every(_WAKE_SECONDS, self._wake)

    @property
    def full(self) -> bool:
        """Whether new work would be refused right now."""
        limits = self._context.limits
        if limits is None:
            return True
        limit = limits.slots.limit
        places = max(limit, 1) * _PLACES_A_SLOT
        return limits.slots.used + len(self._waiting) >= limit + places

    async def take(self, due: float) -> Refusal | None:
        """Take a slot, or return why there is none in time.

        Args:
            due: the deadline on the process's clock, in seconds.

        Returns:
            None when a slot was taken, which must then be given back.
        """
        limits = self._context.limits
        if limits is None:
            return Refusal.at_limit
        if not self._waiting and limits.slots.take():
            return None
        if self.full:
            return Refusal.at_limit
        return await self._wait(due)

    def give_back(self) -> None:
        """Return a slot."""
        limits = self._context.limits
        if limits is not None:
            limits.slots.give_back()
        self._wake()

    async def _wait(self, due: float) -> Refusal | None:
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        left = due - self._context.process.timers.now
        try:
            async with asyncio.timeout(min(left, _MAX_WAIT_SECONDS)):
                await turn
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            self._leave(turn)
            if turn.done() and not turn.cancelled():
                self.give_back()
            raise
        self._leave(turn)
        if not turn.done() or turn.cancelled():
            return Refusal.at_limit
        if self._context.process.timers.now >= due:
            self.give_back()
            return Refusal.expired
        return None

    def _leave(self, turn: asyncio.Future[None]) -> None:
        if turn in self._waiting:
            self._waiting.remove(turn)

    def _wake(self) -> None:
        limits = self._context.limits
        if limits is None:
            return
        while self._waiting and limits.slots.take():
            turn = self._waiting.popleft()
            if turn.done():
                limits.slots.give_back()
                continue
            turn.set_result(None)
