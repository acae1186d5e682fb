"""Short bounded queue of requests for the upstream's slots."""

import asyncio
from collections import deque

from siskinbank.kernel.reasons import Refusal
from siskinbank.sidecar.context import SidecarContext

__all__ = ('SlotQueue',)

_MAX_WAIT_SECONDS = 0.5
_WAKE_INTERVAL_SECONDS = 0.1
#: Maximum length of the queue, per slot.
_MAX_QUEUED_PER_SLOT = 1


class SlotQueue:
    """Assigns slots in order of arrival, with bounds on queue and wait."""

    def __init__(self, context: SidecarContext) -> None:
        """Initialize a queue for the slots of the context's limits."""
        self._context = context
        self._waiting: deque[asyncio.Future[None]] = deque()
        context.process.timers.every(_WAKE_INTERVAL_SECONDS, self._wake)

    @property
    def full(self) -> bool:
        """Return whether a new request would be refused."""
        limits = self._context.limits
        if limits is None:
            return True
        limit = limits.slots.limit
        queue_size = max(limit, 1) * _MAX_QUEUED_PER_SLOT
        return limits.slots.used + len(self._waiting) >= limit + queue_size

    async def take(self, due: float) -> Refusal | None:
        """Take a slot, or return the reason if none is free in time.

        Args:
            due: the deadline on the process's clock, in seconds.

        Returns:
            None if a slot was taken, which must then be released with
            ``give_back``.
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
        """Release a slot and assign it to the next request in the queue."""
        limits = self._context.limits
        if limits is not None:
            limits.slots.give_back()
        self._wake()

    async def _wait(self, due: float) -> Refusal | None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        left = due - self._context.process.timers.now
        try:
            async with asyncio.timeout(min(left, _MAX_WAIT_SECONDS)):
                await waiter
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            self._remove(waiter)
            if waiter.done() and not waiter.cancelled():
                self.give_back()
            raise
        self._remove(waiter)
        if not waiter.done() or waiter.cancelled():
            return Refusal.at_limit
        if self._context.process.timers.now >= due:
            self.give_back()
            return Refusal.expired
        return None

    def _remove(self, waiter: asyncio.Future[None]) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def _wake(self) -> None:
        limits = self._context.limits
        if limits is None:
            return
        while self._waiting and limits.slots.take():
            waiter = self._waiting.popleft()
            if waiter.done():
                limits.slots.give_back()
                continue
            waiter.set_result(None)
