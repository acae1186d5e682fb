"""What every process of the system shares while it runs."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import aiomisc
import uvloop

from siskinbank.kernel import events
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.timers import TimerService

__all__ = ('ProcessContext', 'run_process')

_EXIT_CUT = 3


class ProcessContext:
    """Timers, metrics, log and background tasks of one process."""

    def __init__(
        self,
        role: str,
        name: str,
        timers: TimerService | None = None,
    ) -> None:
        """Prepare a process that is not yet running."""
        self.role = role
        self.name = name
        self.timers = timers or TimerService()
        self.metrics = Metrics()
        self.log = events.EventLog(role, name)
        self.stopping = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._drains: list[Callable[[], Awaitable[None]]] = []
        self._closers: list[Callable[[], Awaitable[None]]] = []
        self.shared: dict[str, Any] = {}
        #: Tells for each kind of open work how much there is.
        self.open_work: dict[str, Callable[[], int]] = {}

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run ``work`` in a task that is cancelled when the process ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def on_drain(self, drain: Callable[[], Awaitable[None]]) -> None:
        """Await ``drain`` in a planned stop, before the process ends."""
        self._drains.append(drain)

    def on_close(self, close: Callable[[], Awaitable[None]]) -> None:
        """Await ``close`` when the process ends, however it ends."""
        self._closers.append(close)

    async def drain(self) -> None:
        """Finish open work; later parts first."""
        for drain in reversed(self._drains):
            await drain()

    async def close(self) -> None:
        """Cancel the background tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for close in reversed(self._closers):
            await close()

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.log.write(events.HANDLER_FAILED, error=repr(error))


def run_process(
    role: str,
    name: str,
    start: Callable[[ProcessContext], Awaitable[None]],
) -> int:
    """Run a process until it is told to stop; return its exit code.

    The first SIGTERM or SIGINT starts a planned stop; the second one ends the
    process at once.

    Raises:
        OSError: an address could not be bound.
    """
    with aiomisc.entrypoint(
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        catch_signals=(),
        pool_size=1,
    ) as loop:
        return int(loop.run_until_complete(_serve(role, name, start)))


async def _serve(
    role: str,
    name: str,
    start: Callable[[ProcessContext], Awaitable[None]],
) -> int:
    context = ProcessContext(role, name)
    stopped_at_once = asyncio.Event()

    def stop() -> None:
        if context.stopping.is_set():
            stopped_at_once.set()
        context.stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    context.start_task(context.timers.run())
    try:
        await start(context)
        context.log.write(events.STARTED)
        await context.stopping.wait()
        context.log.write(events.STOPPING)
        return await _stop(context, stopped_at_once)
    finally:
        await context.close()


async def _stop(context: ProcessContext, at_once: asyncio.Event) -> int:
    drain = asyncio.create_task(context.drain())
    second = asyncio.create_task(at_once.wait())
    await asyncio.wait((drain, second), return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if drain.done():
        drain.result()
        context.log.write(events.STOPPED)
        return 0
    drain.cancel()
    cut = {name: count() for name, count in context.open_work.items()}
    context.log.write(events.CUT, cut=cut)
    return _EXIT_CUT
