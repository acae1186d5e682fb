"""Start, signal and stop the processes of an experiment."""

import asyncio
import signal
import sys
from collections.abc import Sequence

__all__ = ('ProcessGroup',)

_STOP_TIMEOUT_SECONDS = 10


class ProcessGroup:
    """The processes of one experiment, by name; ``stop`` ends all of them."""

    def __init__(self) -> None:
        """Initialize a group without processes."""
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(
        self,
        name: str,
        arguments: Sequence[str],
        *,
        capture: bool = False,
    ) -> None:
        """Start ``siskinbank ARGUMENTS`` under ``name``.

        Args:
            name: name of the process in this group.
            arguments: command line.
            capture: whether its output is captured for ``output``.
        """
        self._processes[name] = await asyncio.create_subprocess_exec(
            *_own_command(),
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if capture else None,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        process = self._processes[name]
        if process.returncode is None:
            process.send_signal(number)

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._processes[name].pid

    def running(self, name: str) -> bool:
        """Return whether a process is running."""
        process = self._processes.get(name)
        return process is not None and process.returncode is None

    async def output(self, name: str, seconds: float) -> bytes:
        """Wait until a captured process ends and return its output.

        Raises:
            TimeoutError: it did not end within ``seconds``.
        """
        async with asyncio.timeout(seconds):
            written, _errors = await self._processes[name].communicate()
        return written

    async def wait(self, name: str, seconds: float) -> int | None:
        """Wait for a process.

        Returns:
            Its exit code, or None if it did not end within ``seconds``.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._processes[name].wait()
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """Stop all processes; the one started first is stopped last."""
        names = list(self._processes)
        await self._stop_together(names[1:])
        await self._stop_together(names[:1])

    async def _stop_together(self, names: Sequence[str]) -> None:
        """Terminate processes, and kill those that do not stop in time."""
        for started in names:
            self.signal(started, signal.SIGCONT)
            self.signal(started, signal.SIGTERM)
        await asyncio.gather(
            *(self.wait(name, _STOP_TIMEOUT_SECONDS) for name in names)
        )
        for remaining in names:
            self.signal(remaining, signal.SIGKILL)
            await self.wait(remaining, _STOP_TIMEOUT_SECONDS)


def _own_command() -> list[str]:
    """Return the command line that runs the current program."""
    if sys.argv[0].endswith(('.pyz', 'siskinbank')):
        return [sys.executable, sys.argv[0]]
    return [sys.executable, '-m', 'siskinbank']
