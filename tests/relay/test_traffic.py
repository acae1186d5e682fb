"""Tests of the counters of messages between processes."""

import asyncio
import os
import random
import re
import signal
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from urllib.request import urlopen

from siskinbank.lab.rig.fleet import TARGET, Program
from siskinbank.platform.encoding import ProcessSettings
from siskinbank.relay import messages
from siskinbank.relay.meters import Traffic
from siskinbank.relay.node import METRICS_PATH, METRICS_PORT, Node
from tests.relay.fleet_case import FleetCase

_LINE = re.compile(
    r'siskinbank_message(s|_bytes)_(sent|received)_total'
    r'\{kind="([a-z_]+)"\} (\d+)'
)
_PACKET = bytes(200)
# Longer than any interval between messages and reads in the fleet, in seconds.
_MAX_SETTLE_S = 5

#: Counters by unit ('s' for datagrams), direction and kind.
Totals = dict[tuple[str, str, str], int]


def _totals(text: str) -> Totals:
    return {
        (unit, direction, kind): int(amount)
        for unit, direction, kind, amount in _LINE.findall(text)
    }


class TestKinds(unittest.TestCase):
    """Names of the kinds in metrics."""

    def test_names(self) -> None:
        """Each kind has the name of its constant."""
        for kind, name in enumerate(messages.KIND_NAMES):
            with self.subTest(name=name):
                self.assertEqual(getattr(messages, name.upper()), kind)

    def test_handled_kinds_have_a_name(self) -> None:
        """No process handles a kind that the counters do not have."""
        sources = Path(messages.__file__).parent.glob('*.py')
        registered = re.findall(
            r'handlers\[messages\.([A-Z_]+)\] =',
            ''.join(source.read_text() for source in sources),
        )
        self.assertGreater(len(registered), 0)
        names = {name.lower() for name in registered}
        self.assertEqual(names - set(messages.KIND_NAMES), set())


class TestTraffic(unittest.TestCase):
    """Counters of one direction."""

    def test_kinds_that_occurred(self) -> None:
        """Only these are listed, each with its datagrams and bytes."""
        traffic = Traffic()
        for size_bytes in (20, 30):
            traffic.add(messages.STATUS, size_bytes)
        self.assertEqual(
            traffic.lines('sent'),
            [
                'siskinbank_messages_sent_total{kind="status"} 2',
                'siskinbank_message_bytes_sent_total{kind="status"} 50',
            ],
        )


class TestNodes(unittest.TestCase):
    """Two nodes on loopback, without the fleet around them."""

    def setUp(self) -> None:
        """Create the nodes, and restore the signal handlers later."""
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGPIPE):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(os.set_blocking, 1, os.get_blocking(1))
        prefix = f'127.{random.randrange(1, 250)}.{random.randrange(250)}'
        self.sender, self.receiver = (
            self._create_node(f'{prefix}.{host}') for host in (1, 2)
        )

    def test_each_kind(self) -> None:
        """Both ends count datagrams and bytes by kind."""
        expected: Totals = {}
        for kind in range(1, len(messages.KIND_NAMES)):
            self.receiver.handlers[kind] = lambda datagram, sender: None
            datagram = bytes((kind,)) + _PACKET[:kind]
            for _ in range(2):
                self._send(datagram)
            name = messages.KIND_NAMES[kind]
            expected['s', 'sent', name] = 2
            expected['_bytes', 'sent', name] = 2 * len(datagram)
        self._receive()
        self.assertEqual(_totals(self.sender.meters.text()), expected)
        self.assertEqual(
            _totals(self.receiver.meters.text()),
            {
                (unit, 'received', expected_kind): amount
                for (unit, _, expected_kind), amount in expected.items()
            },
        )

    def test_malformed_message(self) -> None:
        """It is counted as what it claims to be."""
        self.receiver.handlers[messages.STATUS] = self._refuse
        self._send(bytes((messages.STATUS,)))
        self._receive()
        totals = _totals(self.receiver.meters.text())
        self.assertEqual(totals['s', 'received', 'status'], 1)

    def test_unknown_kinds_take_one_counter(self) -> None:
        """Load pattern: any bytes from machines of the system."""
        total_bytes = 0
        for kind in range(256):
            datagram = bytes((kind,)) + bytes(kind)
            total_bytes += len(datagram)
            self.receiver._dispatch(  # noqa: SLF001
                datagram, ('127.0.0.1', 1)
            )
        self.receiver._dispatch(b'', ('127.0.0.1', 1))  # noqa: SLF001
        self.assertEqual(
            _totals(self.receiver.meters.text()),
            {
                ('s', 'received', 'unknown'): 257,
                ('_bytes', 'received', 'unknown'): total_bytes,
            },
        )

    def test_failed_send_is_not_counted(self) -> None:
        """Nothing has left the process."""
        self.sender.send('not an address', bytes((messages.STATUS,)))
        self.assertEqual(_totals(self.sender.meters.text()), {})
        self.assertEqual(self.sender.meters.value('send_errors_total'), 1)

    def _create_node(self, ip: str) -> Node:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, 'boot.json')
            settings = ProcessSettings(
                'entry-1',
                ip,
                'a',
                (31000, 31001, 31002, 31003),
                (),
                ('127.0.0.1', 1),
                None,
                None,
            )
            path.write_bytes(settings.encode())
            return Node(str(path))

    def _send(self, datagram: bytes) -> None:
        self.sender.send(self.receiver.settings.ip, datagram)

    def _receive(self) -> None:
        self.receiver._receive(0)  # noqa: SLF001

    def _refuse(self, _datagram: bytes, _sender: str) -> None:
        raise messages.DatagramError('truncated')


class TestFleet(FleetCase):
    """Two entries and three hosts, each with its sidecar."""

    async def test_entries_and_sidecars_agree(self) -> None:
        """What entries have sent about flows, sidecars have received."""
        for number in range(10):
            client = self.fleet.clients[number % 2]
            await client.request(TARGET, f'calm-{number}')
        async with asyncio.timeout(_MAX_SETTLE_S):
            while True:
                entries = await self._sum(self.fleet.entries)
                sidecars = await self._sum(self.fleet.sidecars)
                forwarded = _forwarded(entries, 'sent')
                if forwarded == _forwarded(sidecars, 'received'):
                    break
                await asyncio.sleep(0.05)
        self.assertGreater(min(forwarded), 10)
        for kind in ('held', 'status', 'hello'):
            self.assertGreater(sidecars['s', 'sent', kind], 0)
            self.assertGreater(entries['s', 'received', kind], 0)

    async def _sum(
        self, programs: list[Program]
    ) -> Counter[tuple[str, str, str]]:
        """Return the counters on the metrics addresses of processes, added."""
        total: Counter[tuple[str, str, str]] = Counter()
        for program in programs:
            url = f'http://{program.settings.ip}:{METRICS_PORT}{METRICS_PATH}'
            text = await asyncio.to_thread(_fetch, url)
            total.update(_totals(text))
        return total


def _forwarded(totals: Totals, direction: str) -> tuple[int, int]:
    """Return the datagrams and bytes of packets of known flows."""
    return (
        totals['s', direction, 'forward'],
        totals['_bytes', direction, 'forward'],
    )


def _fetch(url: str) -> str:
    with urlopen(url, timeout=_MAX_SETTLE_S) as response:
        text: str = response.read().decode()
        return text
