"""Tests with real processes: another client writes odd items among the hosts.

They guard against processes that end, or stop to follow the store, because of one
item: deeply nested, with a number that is too large, or with a port out of range.
"""

import asyncio
import json
import unittest

from siskinbank.lab.rig.client import FlowFailed
from siskinbank.lab.rig.fleet import TARGET
from siskinbank.platform.documents import DocumentError
from siskinbank.platform.encoding import HostDocument
from siskinbank.platform.records import decode_host
from siskinbank.platform.store import HOSTS_PREFIX, OPERATOR_PREFIX
from tests.relay.fleet_case import FleetCase

# Limit of the platform for a change to be in force, in seconds.
_MAX_APPLY_S = 3
_REQUESTS = 12
# Time in which a listing is read several times, in seconds.
_LISTINGS_S = 3
# Length limit of a log line: some values that other programs determine.
_MAX_LINE = 1000
_NESTED = 100_000
_GOOD = json.loads(HostDocument('matcher', ('10.9.9.9', 80), 'a').encode())


def changed(**fields: object) -> bytes:
    """Return a host's record with some fields changed."""
    return json.dumps({**_GOOD, **fields}).encode()


def extended(field: str, value: str) -> bytes:
    """Return a host's record with a field that JSON libraries don't write."""
    return f'{json.dumps(_GOOD)[:-1]},"{field}":{value}}}'.encode()


def nested(levels: int) -> str:
    """Return nested lists."""
    return '[' * levels + ']' * levels


#: Contents of items, none of which is a host to use, by the end of their keys.
ODD = {
    'nested-open': b'[' * _NESTED,
    'nested-list': nested(_NESTED).encode(),
    'nested-object': b'{"a":' * _NESTED,
    'nested-field': extended('Sequence', nested(_NESTED)),
    'nested-address': extended('Address', nested(900)),
    'nested-megabyte': b'[' * 1_000_000,
    'whole-number': extended('born', '9' * 5000),
    'whole-slots': extended('Slots', '9' * 400),
    'negative-number': extended('Slots', '-' + '9' * 30),
    'exponent': extended('WarmupLeftMs', '1e999'),
    'large-float': extended('WarmupLeftMs', '1e308'),
    'not-a-number': extended('WarmupLeftMs', 'NaN'),
    'infinity': extended('WarmupLeftMs', '-Infinity'),
    'port-too-large': changed(Address='10.9.9.9:70000'),
    'port-zero': changed(Address='10.9.9.9:0'),
    'port-negative': changed(Address='10.9.9.9:-80'),
    'port-of-digits': changed(Address='10.9.9.9:' + '9' * 5000),
    'port-superscript': changed(Address='10.9.9.9:8²'),
    'no-address': changed(Address=''),
    'long-state': changed(State='asleep\n' * 100_000),
    'surrogate': json.dumps({'Service': '\ud800'}).encode(),
    'not-utf8': b'\xff\xfe{}',
    'empty': b'',
    'null': b'null',
    'line\n0 R0 process.fault reason=in-a-key': b'{}',
    '\u2028' * 60: b'[]',
}


class TestDecoding(unittest.TestCase):
    """The decoder by itself."""

    def test_odd_contents(self) -> None:
        """Each is refused with the error that readers expect."""
        for name, content in ODD.items():
            with self.subTest(name=name), self.assertRaises(DocumentError):
                decode_host(content)


class TestOddEntries(FleetCase):
    """Two entries and three hosts on a store with odd items."""

    async def prepare(self) -> None:
        """Leave the start to the tests."""

    async def write_odd(self, prefix: str = HOSTS_PREFIX) -> None:
        """Write all odd items."""
        for name, content in ODD.items():
            await self.fleet.store.put(f'{prefix}{name}', content)

    async def assert_follows(self) -> None:
        """Check that all processes run, serve and follow the store."""
        await asyncio.sleep(_LISTINGS_S)
        await self.drain_and_return(0)
        for number in range(_REQUESTS):
            client = self.fleet.clients[number % len(self.fleet.clients)]
            await client.request(TARGET, f'request-{id(client)}-{number}')
        for program in self.programs:
            process = program.process
            self.assertIsNotNone(process)
            self.assertIsNone(process and process.poll())
            for line in program.log.splitlines():
                self.assertLess(len(line), _MAX_LINE, line[:_MAX_LINE])
                time, _, event, *_ = line.split()
                self.assertGreater(float(time), 0)
                self.assertNotEqual(event, 'process.fault', line)

    async def drain_and_return(self, index: int) -> None:
        """Check that a host gets no new flows while it drains."""
        host = self.fleet.hosts[index]
        await self.fleet.register(index, draining=True)
        await asyncio.sleep(_MAX_APPLY_S)
        before = len(host.accepted)
        for number in range(_REQUESTS):
            client = self.fleet.clients[number % len(self.fleet.clients)]
            await client.request(TARGET, f'drained-{before}-{number}')
        self.assertEqual(len(host.accepted), before)
        await self.fleet.register(index)
        async with asyncio.timeout(_MAX_APPLY_S):
            while len(host.accepted) == before:
                try:
                    await self.fleet.clients[0].request(TARGET, 'returned')
                except FlowFailed as error:
                    self.fail(str(error))

    async def test_at_start_and_after_restarts(self) -> None:
        """The items are there before any process starts."""
        await self.write_odd()
        await self.start_fleet()
        await self.assert_follows()
        for program in self.programs:
            program.kill()
        for program in self.programs:
            program.start()
        await self.fleet.wait_until_ready()
        await self.assert_follows()

    async def test_while_running(self) -> None:
        """The items are written, changed and removed while processes run.

        Listings read them; watches are of the operator's keys.
        """
        await self.start_fleet()
        await self.write_odd()
        await self.write_odd(OPERATOR_PREFIX)
        await self.assert_follows()
        await self.write_odd()
        for name in ODD:
            await self.fleet.store.put(f'{OPERATOR_PREFIX}{name}', None)
            await self.fleet.store.put(f'{HOSTS_PREFIX}{name}', None)
        await self.assert_follows()

    async def test_copies_with_text_behind(self) -> None:
        """Guards against new flows to a draining host (review/12).

        The copies are of the time when it was ready.
        """
        await self.start_fleet()
        for host in self.fleet.hosts:
            document = HostDocument('matcher', host.address, 'a', born_ms=1)
            for key in ('.copy', f'{host.name}.copy', f'z-{host.name}'):
                await self.fleet.store.put(
                    f'{HOSTS_PREFIX}{key}', document.encode() + b'\n# 02:00\n'
                )
        await self.assert_follows()

    async def test_sidecars_that_read_themselves(self) -> None:
        """No entry reads for them."""
        await self.write_odd()
        await self.start_fleet()
        for entry in self.fleet.entries:
            entry.kill()
        await asyncio.sleep(_LISTINGS_S)
        for sidecar in self.fleet.sidecars:
            sidecar.kill()
            sidecar.start()
        await asyncio.sleep(_LISTINGS_S + _MAX_APPLY_S)
        for entry in self.fleet.entries:
            entry.start()
        await self.fleet.wait_until_ready()
        await self.assert_follows()
        for sidecar in self.fleet.sidecars:
            self.assertIn(' record.refused ', sidecar.log)


if __name__ == '__main__':
    unittest.main()
