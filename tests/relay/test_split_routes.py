"""Tests of an entry that places flows of a route with several services."""

import subprocess
import sys
import unittest
from types import SimpleNamespace
from typing import Any
from zlib import crc32

from siskinbank.admission import reasons
from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import FLOW_KEY, SYN, route_key
from siskinbank.platform.records import Route
from siskinbank.relay import messages
from siskinbank.relay.entry import Entry
from siskinbank.relay.loop import Loop
from siskinbank.relay.meters import Meters

ADDRESS = ('198.18.0.1', 443)
FIRST_HOSTS = ('10.0.1.1', '10.0.1.2')
SECOND_HOSTS = ('10.0.2.1', '10.0.2.2')
SERVICES = {'first': FIRST_HOSTS, 'second': SECOND_HOSTS}
SHARES = (('first', 90), ('second', 10))
SLOTS = 3
COUNTER = 'flows_overflowed_total'
# Longer than the time in which hosts are discovered, in seconds.
DISCOVERY_S = 1.0
# Longer than the silence after which a sidecar counts as silent, in seconds.
SILENCE_S = 2.0


def first_packet(port: int, copy: int = 0) -> bytes:
    """Return a copy of the first packet of a flow."""
    return Packet(('100.64.0.7', port), ADDRESS, SYN, 7, copy).write()


class SplitEntry:
    """An entry without peers, and hosts of two services.

    Attributes:
        now: time in seconds.
        placed: the fields of each ``flow.placed``.
        resets: the reason of each reset.
        node: environment of the entry.
    """

    def __init__(self, overflow: bool) -> None:
        """Let the entry discover idle hosts of both services."""
        self.placed: list[dict[str, Any]] = []
        self.resets: list[str] = []
        self.node = SimpleNamespace(
            loop=Loop(),
            log=self._note_event,
            meters=Meters(),
            handlers={},
            on_message=bool,
            packed_ip=b'\x7f\0\0\1',
            settings=SimpleNamespace(
                ip='127.0.0.1',
                data_centre='a',
                seeds=(),
                store=('127.0.0.1', 1),
                packet_port=0,
                peer_port=31001,
                link_kbps=0,
                cores=0,
                flow_lifetime_s=60.0,
            ),
            send=lambda ip, datagram: None,
            stop=lambda: None,
            reset_flow=self._note_reset,
        )
        node: Any = self.node
        self.entry = Entry(node, split_overflow=overflow)
        self.publish(SHARES)
        self.report('first')
        self.report('second')
        self.node.loop.now += DISCOVERY_S
        self.report('first')
        self.report('second')

    def close(self) -> None:
        """Close the port for clients."""
        self.entry._client_socket.close()  # noqa: SLF001

    def publish(self, shares: tuple[tuple[str, float], ...]) -> None:
        """Put a configuration with one route in force."""
        configuration = self.entry._follower.configuration  # noqa: SLF001
        configuration.version += 1
        key = route_key(first_packet(1)[FLOW_KEY])
        configuration.routes = {key: Route(shares, True, 0.5, 4)}

    def report(self, service: str, busy: int = 0, state: int = 0) -> None:
        """Let the sidecars of a service send a status."""
        status = messages.Status(messages.digest(service), messages.digest('a'))
        status.slots = SLOTS
        status.busy = busy
        status.state = state
        status.trusted = True
        for ip in SERVICES[service]:
            self.node.handlers[messages.STATUS](status.pack(), ip)

    def open(self, port: int, copy: int = 0) -> str:
        """Return the service that gets a copy of a first packet."""
        count = len(self.placed)
        self.entry._check_packet(  # noqa: SLF001
            first_packet(port, copy), ('100.64.0.7', port)
        )
        return self._service_since(count)

    def refuse(self, port: int, reason: int) -> str:
        """Let the last host refuse a flow; return the service of the next."""
        packet = first_packet(port)
        note = messages.pack_flow_note(
            messages.REFUSED, packet[FLOW_KEY], 0, reason
        )
        count = len(self.placed)
        host = self.placed[-1]['host']
        self.node.handlers[messages.REFUSED](note + packet, host)
        return self._service_since(count)

    def _service_since(self, count: int) -> str:
        if len(self.placed) == count:
            return ''
        last = self.placed[-1]
        services = [name for name in SERVICES if last['host'] in SERVICES[name]]
        assert services == [last['service']]
        return services[0]

    def _note_event(self, event: str, **fields: Any) -> None:
        if event == 'flow.placed':
            self.placed.append(fields)

    def _note_reset(
        self, sender: object, packet: bytes, reason: str, **evidence: Any
    ) -> None:
        self.resets.append(reason)


def ports_of(service: str, count: int) -> list[int]:
    """Return client ports whose flows the weights send to a service."""
    route = Route(SHARES, True, 0.5, 4)
    ports = [
        port
        for port in range(1024, 4096)
        if route.service_for(crc32(first_packet(port)[FLOW_KEY])) == service
    ]
    return ports[:count]


class SplitCase(unittest.TestCase):
    """A test with one entry whose setting is on."""

    overflow = True

    def setUp(self) -> None:
        """Create the entry."""
        self.fleet = SplitEntry(self.overflow)
        self.addCleanup(self.fleet.close)
        self.port, self.other_port = ports_of('first', 2)

    def overflowed(self) -> int:
        """Return the value of the counter."""
        return self.fleet.node.meters.value(COUNTER)


class TestOverflow(SplitCase):
    """Load pattern: the first service is full, the second one idle."""

    def test_full_service(self) -> None:
        """Flows overflow until the first service has free slots again."""
        self.assertEqual(self.fleet.open(self.port), 'first')
        self.assertEqual(self.fleet.placed[-1]['overflow'], 0)
        self.fleet.report('first', busy=SLOTS)
        self.assertEqual(self.fleet.open(self.other_port), 'second')
        self.assertEqual(self.fleet.placed[-1]['overflow'], 1)
        self.assertEqual(self.overflowed(), 1)
        self.fleet.report('first', busy=1)
        for port in ports_of('first', 4)[2:]:
            self.assertEqual(self.fleet.open(port), 'first')
        self.assertEqual(self.overflowed(), 1)

    def test_own_placements_count(self) -> None:
        """Six slots of the first service, then six of the second."""
        chosen = [self.fleet.open(port) for port in ports_of('first', 13)]
        self.assertEqual(set(chosen[:6]), {'first'})
        self.assertEqual(set(chosen[6:12]), {'second'})
        self.assertEqual(chosen[12], 'first')

    def test_copies_stay(self) -> None:
        """The first service has free slots again before the second copy."""
        self.fleet.report('first', busy=SLOTS)
        self.assertEqual(self.fleet.open(self.port), 'second')
        self.fleet.report('first')
        self.fleet.report('second', busy=SLOTS)
        self.assertEqual(self.fleet.open(self.port, 1), 'second')
        self.assertEqual(self.overflowed(), 1)

    def test_weights_change_between_copies(self) -> None:
        """Copies stay while the service keeps a weight; new flows do not."""
        self.assertEqual(self.fleet.open(self.port), 'first')
        self.fleet.publish((('first', 1), ('second', 1 << 20)))
        self.assertEqual(self.fleet.open(self.port, 1), 'first')
        self.assertEqual(self.fleet.open(self.other_port), 'second')

    def test_service_removed_between_copies(self) -> None:
        """Guards against flows for a service that is not configured."""
        self.fleet.report('first', busy=SLOTS)
        self.assertEqual(self.fleet.open(self.port), 'second')
        self.fleet.publish((('first', 90),))
        self.assertEqual(self.fleet.open(self.port, 1), 'first')
        self.assertEqual(self.fleet.resets, [])


class TestRefusals(SplitCase):
    """Statuses are outdated, or all hosts of a service refuse."""

    def test_all_hosts_refuse(self) -> None:
        """The second refusal leaves the first service without hosts."""
        self.fleet.open(self.port)
        self.assertEqual(
            self.fleet.refuse(self.port, reasons.DRAINING), 'first'
        )
        self.assertEqual(
            self.fleet.refuse(self.port, reasons.DRAINING), 'second'
        )
        self.assertEqual(self.fleet.resets, [])
        self.assertEqual(self.overflowed(), 1)

    def test_outdated_status(self) -> None:
        """All candidates are full although their statuses have free slots."""
        for reason in (reasons.BUSY, reasons.FULL):
            with self.subTest(reason):
                fleet = SplitEntry(overflow=True)
                self.addCleanup(fleet.close)
                fleet.open(self.port)
                self.assertEqual(fleet.refuse(self.port, reason), 'second')
                self.assertEqual(fleet.open(self.port, 1), 'second')
                self.assertEqual(fleet.resets, [])

    def test_both_services_are_full(self) -> None:
        """The flow is refused at once, as on a route with one service."""
        self.fleet.open(self.port)
        self.fleet.report('second', busy=SLOTS)
        self.assertEqual(self.fleet.refuse(self.port, reasons.BUSY), '')
        self.assertEqual(self.fleet.resets, ['busy'])

    def test_placements_are_limited(self) -> None:
        """Guards against a flow that both services pass back and forth."""
        self.fleet.open(self.port)
        chosen = [self.fleet.refuse(self.port, reasons.BUSY) for _ in range(3)]
        self.assertEqual(chosen, ['second', 'first', ''])
        self.assertEqual(self.fleet.resets, ['busy'])

    def test_no_host_accepts(self) -> None:
        """A cold second service may accept the next copy: no reset yet."""
        self.fleet.report('first', state=reasons.DRAINING)
        self.fleet.report('second', state=reasons.COLD)
        self.assertEqual(self.fleet.open(self.port), '')
        self.assertEqual(self.fleet.resets, [])
        self.fleet.report('second')
        self.assertEqual(self.fleet.open(self.port, 1), 'second')
        self.fleet.report('second', state=reasons.DRAINING)
        self.fleet.open(self.other_port)
        self.assertEqual(self.fleet.resets, ['no-host'])

    def test_silent_service(self) -> None:
        """All sidecars of the first service are cut off."""
        self.fleet.open(self.port)
        self.fleet.node.loop.now += SILENCE_S
        self.fleet.report('second', busy=SLOTS)
        self.assertEqual(self.fleet.open(self.other_port), 'second')
        self.assertEqual(self.fleet.open(self.port, 1), 'first')

    def test_no_service_is_heard(self) -> None:
        """The entry is cut off: the weights apply."""
        self.fleet.node.loop.now += SILENCE_S
        self.assertEqual(self.fleet.open(self.port), 'first')


class TestOff(SplitCase):
    """The setting is off, as before."""

    overflow = False

    def test_weights_only(self) -> None:
        """Neither load nor refusals move a flow."""
        self.fleet.report('first', busy=SLOTS)
        self.assertEqual(self.fleet.open(self.port), 'first')
        self.assertEqual(self.fleet.refuse(self.port, reasons.BUSY), '')
        self.assertEqual(self.fleet.resets, ['busy'])
        self.fleet.report('first', state=reasons.DRAINING)
        self.fleet.report('second', state=reasons.COLD)
        self.fleet.open(self.other_port)
        self.assertEqual(self.fleet.resets, ['busy', 'no-host'])
        self.assertEqual(self.overflowed(), 0)


class TestSetting(unittest.TestCase):
    """The environment variable SISKINBANK_SPLIT_OVERFLOW."""

    def test_values(self) -> None:
        """Guards against a misspelt value that counts as off."""
        code = (
            'from siskinbank.relay.main import SPLIT_OVERFLOW_VARIABLE\n'
            'from siskinbank.relay.main import read_switch\n'
            'print(read_switch(SPLIT_OVERFLOW_VARIABLE))\n'
        )
        for variables, expected in (
            ({}, 'False'),
            ({'SISKINBANK_SPLIT_OVERFLOW': 'off'}, 'False'),
            ({'SISKINBANK_SPLIT_OVERFLOW': 'on'}, 'True'),
            ({'SISKINBANK_SPLIT_OVERFLOW': 'true'}, 'expected on or off'),
        ):
            with self.subTest(variables):
                done = subprocess.run(
                    [sys.executable, '-c', code],
                    capture_output=True,
                    check=False,
                    text=True,
                    env=variables,
                )
                self.assertIn(expected, done.stdout + done.stderr)
