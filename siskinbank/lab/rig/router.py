"""A stand-in for the routers, which probe the entries and spread the flows."""

import asyncio
import time
from zlib import crc32

from siskinbank.lab.rig.fleet import Program, readiness

__all__ = ('Router',)

_READY = 200
# Routers probe twice a second; an entry leaves after two failed probes.
_PROBE_INTERVAL_S = 0.5
_PROBE_TIMEOUT_S = 0.4
_MAX_FAILURES = 2


class Router:
    """Selects the entry for the packets of each flow.

    Attributes:
        samples: time in seconds and statuses of the entries in each round of
            probes.
    """

    def __init__(self, entries: list[Program]) -> None:
        """Take all entries into rotation.

        Args:
            entries: the entries; those that are added later join once ready.
        """
        self.samples: list[tuple[float, list[int]]] = []
        self._entries = entries
        self._failures = {entry.settings.ip: 0 for entry in entries}

    async def probe_entries(self) -> None:
        """Probe the entries until cancelled."""
        while True:
            at = time.monotonic()
            entries = self._entries.copy()
            statuses = await asyncio.gather(
                *(
                    readiness(entry.settings, _PROBE_TIMEOUT_S)
                    for entry in entries
                )
            )
            self.samples.append((at, statuses))
            for entry, status in zip(entries, statuses, strict=True):
                ip = entry.settings.ip
                failures = self._failures.get(ip, _MAX_FAILURES) + 1
                self._failures[ip] = 0 if status == _READY else failures
            await asyncio.sleep(_PROBE_INTERVAL_S)

    def entry_for(self, port: int) -> str:
        """Return the entry for a flow; few move when an entry leaves."""
        ready = [
            ip for ip in self._failures if self._failures[ip] < _MAX_FAILURES
        ]
        if len(ready) * 2 < len(self._failures):
            ready = list(self._failures)
        return max(ready, key=lambda ip: crc32(f'{ip}:{port}'.encode()))
