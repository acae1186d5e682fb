"""Keep a view up to date by watching the platform."""

import asyncio
import random
from typing import Any

from siskinbank.config.sections import Manifest, join_sections
from siskinbank.kernel import events
from siskinbank.kernel.findings import Findings
from siskinbank.platform.client import PlatformClient, PlatformError
from siskinbank.platform.view import FleetView

__all__ = ('Follower',)

_FIRST_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 10
_LIST_SECONDS = 1


class Follower:
    """Reads changed sections and the live list for one process."""

    def __init__(
        self,
        client: PlatformClient,
        view: FleetView,
        log: events.EventLog,
    ) -> None:
        """Feed ``view`` from ``client``."""
        self._client = client
        self._view = view
        self._log = log
        self._sections: dict[str, tuple[str, Any]] = {}
        self._refused: str | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_configuration())
            group.create_task(self._follow_instances())

    async def _follow_configuration(self) -> None:
        backoff = _FIRST_BACKOFF_SECONDS
        seen = 0
        while True:
            try:
                manifest = await self._client.watch(seen)
                await self._take(manifest)
            except PlatformError as error:
                self._log.write(events.PLATFORM_LOST, error=error)
                await asyncio.sleep(backoff * random.uniform(0.5, 1.5))
                backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)
                continue
            seen = manifest.generation
            backoff = _FIRST_BACKOFF_SECONDS

    async def _take(self, manifest: Manifest) -> None:
        if manifest.generation <= self._view.generation:
            return
        if manifest.digest == self._refused:
            return
        for name, digest in manifest.sections.items():
            if self._sections.get(name, ('', None))[0] != digest:
                section = await self._client.section(name, digest)
                self._sections[name] = (digest, section)
        findings = Findings()
        parsed = {key: self._sections[key][1] for key in manifest.sections}
        site = join_sections(manifest, parsed, findings)
        if site is None:
            self._refused = manifest.digest
            for finding in findings:
                self._log.write(events.REFUSED, finding=finding)
            return
        self._view.adopt(site)

    async def _follow_instances(self) -> None:
        while True:
            try:
                self._view.take_list(await self._client.instances())
            except PlatformError as error:
                self._log.write(events.PLATFORM_LOST, error=error)
            await asyncio.sleep(_LIST_SECONDS * random.uniform(0.8, 1.2))
