"""Start an entry: view, peer socket and the ingresses of all services."""

import asyncio

from siskinbank.choice.primary_hosts import PrimaryHosts
from siskinbank.choice.router import Router
from siskinbank.entry.context import EntryContext
from siskinbank.entry.links import RequestLinks
from siskinbank.ingress import IngressHandle, ingresses
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.registry import PluginNotFoundError
from siskinbank.node import start_node
from siskinbank.peers.connect import PeerStreams
from siskinbank.settings import EntrySettings

__all__ = ('start_entry',)


async def start_entry(
    process: ProcessContext,
    settings: EntrySettings,
) -> None:
    """Start an entry process.

    Raises:
        OSError: an address could not be bound.
    """
    node = await start_node(process, settings)
    context = EntryContext(
        process,
        settings,
        node.view,
        Router(node.view),
        node.peers,
        RequestLinks(process, PeerStreams(process, settings.keys)),
        PrimaryHosts(node.view),
    )
    opener = _IngressOpener(context)
    node.view.subscribe(opener.schedule_update)
    process.on_drain(opener.drain)
    process.start_task(opener.run())


class _IngressOpener:
    """Opens and closes ingresses when the configuration changes."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._changed = asyncio.Event()
        self._open: dict[tuple[str, str, int], IngressHandle] = {}
        self._draining: set[asyncio.Task[None]] = set()
        self._updating = asyncio.Lock()

    def schedule_update(self) -> None:
        """Schedule an update after a change of the configuration."""
        self._changed.set()

    async def run(self) -> None:
        """Apply changes of the configuration until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            async with self._updating:
                await self._update()

    async def drain(self) -> None:
        """Stop accepting work and wait until open work has ended."""
        async with self._updating:
            for handle in self._open.values():
                self._start_drain(handle)
            self._open.clear()
        while self._draining:
            await asyncio.wait(self._draining)

    async def _update(self) -> None:
        site = self._context.view.site
        if site is None or self._context.process.stopping.is_set():
            return
        wanted = {
            (endpoint.ingress, endpoint.address, endpoint.port): service
            for service in site.services.values()
            for endpoint in service.endpoints
        }
        for removed in self._open.keys() - wanted.keys():
            self._start_drain(self._open.pop(removed))
        for key in wanted.keys() - self._open.keys():
            await self._start(key)

    def _start_drain(self, handle: IngressHandle) -> None:
        task = self._context.process.start_task(handle.drain())
        self._draining.add(task)
        task.add_done_callback(self._draining.discard)

    async def _start(self, key: tuple[str, str, int]) -> None:
        process = self._context.process
        try:
            plugin = ingresses.find(key[0])
            self._open[key] = await plugin.start(self._context, key[1], key[2])
        except (OSError, PluginNotFoundError) as error:
            process.log.write_failure(error, ingress=key)
