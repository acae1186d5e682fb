"""Tests of the example plug-ins of docs/PLUGINS.md."""

import asyncio
import runpy
import types
import unittest
from pathlib import Path
from typing import Any

from siskinbank.choice.registry import ChoicePlugin
from siskinbank.config.site import Host
from siskinbank.ingress.registry import IngressPlugin
from siskinbank.kernel.registry import Registry
from siskinbank.lab.ports import free_ports

EXAMPLES = Path(__file__).parents[2] / 'examples' / 'plugins'
HOSTS = [
    Host(name, 'a', ('10.0.0.1', 1), weight)
    for name, weight in (('b', 1), ('c', 3), ('a', 1))
]


def load(name: str) -> Any:
    """Return the plug-in of an example."""
    return runpy.run_path(str(EXAMPLES / f'{name}.py'))['plugin']


class TestExamples(unittest.IsolatedAsyncioTestCase):
    """Tests of both example plug-ins after registration."""

    def test_choice(self) -> None:
        """The choice plug-in ranks hosts by weight."""
        registry: Registry[ChoicePlugin] = Registry('choice', 'tests')
        registry.register(load('first_choice'))
        rank = registry.find('heaviest').prepare(HOSTS, 2)
        self.assertEqual([host.name for host in rank(7)], ['c', 'a'])

    async def test_ingress(self) -> None:
        """The ingress sends the ranked hosts, and closes its port on drain."""
        registry: Registry[IngressPlugin] = Registry('ingress', 'tests')
        registry.register(load('hello_ingress'))
        port = free_ports(1)[0]
        context = fake_context(port)
        plugin = registry.find('hello')
        handle = await plugin.start(context, '127.0.0.1', port)
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            self.assertEqual(await reader.read(), b'c a\n')
            writer.close()
        await handle.drain()
        with self.assertRaises(OSError):
            await asyncio.open_connection('127.0.0.1', port)


def fake_context(port: int) -> Any:
    """Return a context with one service and a router with two hosts."""
    endpoint = types.SimpleNamespace(ingress='hello', port=port)
    service = types.SimpleNamespace(endpoints=[endpoint])
    site = types.SimpleNamespace(services={'first': service})
    ranked = [HOSTS[1], HOSTS[2]]
    return types.SimpleNamespace(
        view=types.SimpleNamespace(site=site),
        router=types.SimpleNamespace(fresh=lambda _service, _flow: ranked),
    )
