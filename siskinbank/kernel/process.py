"""The runtime context and main loop of every process."""

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

_EXIT_STOPPED_IMMEDIATELY = 3


class ProcessContext:
    """Timers, metrics, log and background tasks of one process."""

    def __init__(
        self,
        role: str,
        name: str,
        timers: TimerService | None = None,
    ) -> None:
        """Initialize the context of a process that is not yet running."""
        self.role = role
        self.name = name
        self.timers = timers or TimerService()
        self.metrics = Metrics()
        self.log = events.EventLog(role, name)
        self.timers.on_error = self.log.write_failure
        self.stopping = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._drain_callbacks: list[Callable[[], Awaitable[None]]] = []
        self._close_callbacks: list[Callable[[], Awaitable[None]]] = []
        #: Objects that the ingresses of the process share, by name.
        self.shared: dict[str, Any] = {}
        #: Functions that count the open work, by kind of work.
        self.open_work: dict[str, Callable[[], int]] = {}

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a background task, cancelled on close."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def on_drain(self, drain: Callable[[], Awaitable[None]]) -> None:
        """Register ``drain`` to be awaited during a planned stop."""
        self._drain_callbacks.append(drain)

    def on_close(self, close: Callable[[], Awaitable[None]]) -> None:
        """Register ``close`` to be awaited whenever the process ends."""
        self._close_callbacks.append(close)

    async def drain(self) -> None:
        """Finish open work, in reverse order of registration."""
        for drain in reversed(self._drain_callbacks):
            await drain()

    async def close(self) -> None:
        """Cancel the background tasks and run the close callbacks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for close in reversed(self._close_callbacks):
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
    """Run a process until it is stopped; return its exit code.

    The first SIGTERM or SIGINT starts a planned stop; the second one ends the
    process immediately.

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
    stop_immediately = asyncio.Event()

    def stop() -> None:
        if context.stopping.is_set():
            stop_immediately.set()
        context.stopping.set()

    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _loop, failure: _log_failure(context, failure),
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    context.start_task(context.timers.run())
    try:
        await start(context)
        context.log.write(events.STARTED)
        await context.stopping.wait()
        context.log.write(events.STOPPING)
        return await _stop(context, stop_immediately)
    finally:
        await context.close()


def _log_failure(context: ProcessContext, failure: dict[str, Any]) -> None:
    """Log an error of a callback that the event loop caught."""
    error = failure.get('exception')
    cause = repr(error) if error is not None else failure.get('message', '')
    context.log.write(events.HANDLER_FAILED, error=cause)


async def _stop(
    context: ProcessContext, stop_immediately: asyncio.Event
) -> int:
    drain = asyncio.create_task(context.drain())
    second_signal = asyncio.create_task(stop_immediately.wait())
    await asyncio.wait(
        (drain, second_signal), return_when=asyncio.FIRST_COMPLETED
    )
    second_signal.cancel()
    if drain.done():
        drain.result()
        context.log.write(events.STOPPED)
        return 0
    drain.cancel()
    interrupted = {name: count() for name, count in context.open_work.items()}
    context.log.write(events.STOPPED_IMMEDIATELY, cut=interrupted)
    return _EXIT_STOPPED_IMMEDIATELY
