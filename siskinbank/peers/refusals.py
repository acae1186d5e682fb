"""Log datagrams and streams that were refused for lack of a valid key."""

from siskinbank.kernel import events
from siskinbank.kernel.process import ProcessContext

__all__ = ('RefusalLog',)

_LOG_INTERVAL_SECONDS = 60


class RefusalLog:
    """Logs at most one refusal per minute and kind."""

    def __init__(self, process: ProcessContext) -> None:
        """Initialize with the process whose log is written."""
        self._process = process
        self._written_at: dict[str, float] = {}

    def write(self, kind: str, why: str) -> None:
        """Log a refused datagram or stream."""
        now = self._process.timers.now
        written_at = self._written_at.get(kind)
        if written_at is not None and now - written_at < _LOG_INTERVAL_SECONDS:
            return
        self._written_at[kind] = now
        self._process.log.write(events.UNKEYED, what=kind, why=why)
