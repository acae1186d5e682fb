"""Say in the log that something without a valid key was refused."""

from siskinbank.kernel import events
from siskinbank.kernel.process import ProcessContext

__all__ = ('RefusalLog',)

_EVENT_SECONDS = 60


class RefusalLog:
    """Writes at most one event a minute for each kind, however many come."""

    def __init__(self, process: ProcessContext) -> None:
        """Write to the log of ``process``."""
        self._process = process
        self._written_at: dict[str, float] = {}

    def write(self, kind: str, why: str) -> None:
        """Write that a datagram or stream was refused."""
        now = self._process.timers.now
        before = self._written_at.get(kind)
        if before is not None and now - before < _EVENT_SECONDS:
            return
        self._written_at[kind] = now
        self._process.log.write(events.UNKEYED, what=kind, why=why)
