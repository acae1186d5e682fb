"""Start, watch and stop the processes of a trial on loopback."""

import asyncio
import signal
import sys
from collections.abc import Sequence

__all__ = ('ProcessGroup',)

_STOP_SECONDS = 10


class ProcessGroup:
    """The processes of one trial, by name; none outlives it."""

    def __init__(self) -> None:
        """Start without processes."""
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(
        self,
        name: str,
        arguments: Sequence[str],
        *,
        capture: bool = False,
    ) -> None:
        """Start ``siskinbank ARGUMENTS`` under ``name``."""
        self._processes[name] = await asyncio.create_subprocess_exec(
            *_program(),
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if capture else None,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it still runs."""
        process = self._processes[name]
        if process.returncode is None:
            process.send_signal(number)

    def ident(self, name: str) -> int:
        """Return the process number."""
        return self._processes[name].pid

    def running(self, name: str) -> bool:
        """Whether a process still runs."""
        process = self._processes.get(name)
        return process is not None and process.returncode is None

    async def output(self, name: str, seconds: float) -> bytes:
        """Wait for the end of a captured process and return its output.

        Raises:
            TimeoutError: it did not end in time.
        """
        async with asyncio.timeout(seconds):
            written, _errors = await self._processes[name].communicate()
        return written

    async def wait(self, name: str, seconds: float) -> int | None:
        """Return the exit code, or None if the process did not end."""
        try:
            async with asyncio.timeout(seconds):
                return await self._processes[name].wait()
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """End all processes, the one that was started first at last."""
        names = list(self._processes)
        await self._stop_together(names[1:])
        await self._stop_together(names[:1])

    async def _stop_together(self, names: Sequence[str]) -> None:
        """End processes, by force if they do not stop in time."""
        for started in names:
            self.signal(started, signal.SIGCONT)
            self.signal(started, signal.SIGTERM)
        await asyncio.gather(
            *(self.wait(name, _STOP_SECONDS) for name in names)
        )
        for left in names:
            self.signal(left, signal.SIGKILL)
            await self.wait(left, _STOP_SECONDS)


def _program() -> list[str]:
    """Return the command that runs this very program again."""
    if sys.argv[0].endswith(('.pyz', 'siskinbank')):
        return [sys.executable, sys.argv[0]]
    return [sys.executable, '-m', 'siskinbank']
