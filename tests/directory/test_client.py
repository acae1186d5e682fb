"""Tests of reading the platform over HTTP."""

import unittest

from aiohttp import web

from siskinbank.directory.client import PlatformClient, PlatformError
from siskinbank.lab.ports import free_ports
from siskinbank.lab.standins.platform import PlatformStandIn
from siskinbank.util import hex_digest

LINE = {
    'name': 'x',
    'role': 'entry',
    'data_centre': 'a',
    'address': '10.0.0.1',
    'port': 7100,
}


class TestClient(unittest.IsolatedAsyncioTestCase):
    """The client against the stand-in of the platform."""

    async def asyncSetUp(self) -> None:
        """Start the stand-in and create a client."""
        self.platform = PlatformStandIn()
        runner = web.AppRunner(self.platform.application())
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = free_ports(1)[0]
        await web.TCPSite(runner, '127.0.0.1', port).start()
        self.client = PlatformClient(f'http://127.0.0.1:{port}')
        self.addAsyncCleanup(self.client.close)

    async def test_unchanged_list_is_not_sent_again(self) -> None:
        """An unchanged list is neither transferred nor parsed again."""
        self.platform._instances = [LINE]
        first = await self.client.instances()
        self.assertGreater(self.client.list_transfer_bytes, 0)
        self.assertIs(await self.client.instances(), first)
        self.assertEqual(self.client.list_transfer_bytes, 0)
        self.platform._instances = [{**LINE, 'state': 'leaving'}]
        self.assertNotEqual(await self.client.instances(), first)

    async def test_invalid_answers(self) -> None:
        """A wrong digest, a malformed list or a failed service is an error."""
        raw = '{}'
        digest = hex_digest(raw.encode())
        await self.platform.publish(
            {
                'manifest': {'generation': 1, 'sections': {'site': digest}},
                'sections': {'site': raw},
            },
        )
        section = await self.client.section('site', digest)
        self.assertEqual(section, raw.encode())
        with self.assertRaises(PlatformError):
            await self.client.section('site', '0' * 32)
        self.platform._instances = [{'name': 'x'}]
        with self.assertRaises(PlatformError):
            await self.client.instances()
        self.platform.down = True
        with self.assertRaises(PlatformError):
            await self.client.manifest()
