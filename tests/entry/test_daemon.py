"""Tests of the ingresses that an entry opens and closes."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any, cast

from siskinbank.entry.daemon import _IngressOpener
from siskinbank.ingress import IngressHandle, ingresses
from siskinbank.ingress.registry import IngressPlugin
from siskinbank.kernel.process import ProcessContext

_NAME = 'test-ingress'


class TestIngressOpener(unittest.IsolatedAsyncioTestCase):
    """A planned stop while the configuration changes."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Open an ingress on port 1."""
        self.may_start = asyncio.Event()
        self.may_start.set()
        self.may_end = asyncio.Event()
        self.started: list[int] = []
        self.ended: list[int] = []
        plugin = IngressPlugin(_NAME, 'for tests', self.start)
        plugins = ingresses._by_name  # noqa: SLF001
        plugins[_NAME] = plugin
        self.addCleanup(plugins.pop, _NAME)
        self.view = SimpleNamespace(site=None)
        self.process = ProcessContext('entry', 'test')
        self.addAsyncCleanup(self.process.close)
        context = SimpleNamespace(view=self.view, process=self.process)
        self.opener = _IngressOpener(cast(Any, context))
        self.process.start_task(self.opener.run())
        await self.publish(1)

    async def start(self, _context: Any, _ip: str, port: int) -> IngressHandle:
        """Start the ingress of the tests."""
        await self.may_start.wait()
        self.started.append(port)

        async def drain() -> None:
            if port == 1:
                await self.may_end.wait()
            self.ended.append(port)

        return IngressHandle(drain)

    async def publish(self, *ports: int) -> None:
        """Apply a configuration with these ports."""
        endpoints = [
            SimpleNamespace(ingress=_NAME, address='', port=port)
            for port in ports
        ]
        service = SimpleNamespace(endpoints=endpoints)
        self.view.site = SimpleNamespace(services={'a': service})
        self.opener.schedule_update()
        await asyncio.sleep(0.01)

    async def stop(self) -> asyncio.Task[None]:
        """Begin a planned stop."""
        self.process.stopping.set()
        stop = asyncio.create_task(self.opener.drain())
        await asyncio.sleep(0.01)
        return stop

    async def test_removed_before_stop(self) -> None:
        """The stop waits for open work of an ingress removed before it."""
        await self.publish(2)
        stop = await self.stop()
        self.assertFalse(stop.done())
        self.may_end.set()
        await stop
        self.assertEqual(sorted(self.ended), [1, 2])

    async def test_added_during_stop(self) -> None:
        """No ingress opens during the stop."""
        stop = await self.stop()
        await self.publish(1, 2)
        self.may_end.set()
        await stop
        self.assertEqual((self.started, self.ended), ([1], [1]))

    async def test_starting_at_stop(self) -> None:
        """An ingress that is just opening is drained too."""
        self.may_start.clear()
        await self.publish(1, 2)
        stop = await self.stop()
        self.may_start.set()
        self.may_end.set()
        await stop
        self.assertEqual(sorted(self.ended), [1, 2])
