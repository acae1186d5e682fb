"""Tests of an entry whose link is backlogged."""

import unittest
from unittest.mock import patch

from siskinbank.platform.documents import DocumentError
from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import (
    ACK,
    FIN,
    FLOW_KEY,
    RST,
    SYN,
    route_key,
)
from siskinbank.platform.records import Route
from siskinbank.relay import entry, main, messages
from tests.relay.simulated_fleet import ADDRESS, SERVICE, SimulatedFleet

LINK_KBPS = 5000
GIGABIT_KBPS = 1_000_000
HIGH_ADDRESS = ('198.18.0.2', 443)
CLIENT_IP = '100.64.0.7'
LOW = 2
HIGH = 1
CONTENT = bytes(1200)
# Packets that a link of 5 Mbit/s carries in 0.15 s, less than the limit of
# 0.18 s, and in more than a second.
MEDIUM = 72
MANY = 600
# Longer than the interval between updates of rate and gauge, in seconds.
UPDATE_S = 0.3
# Below this backlog, packets aren't examined. The bytes since the last update,
# also those of gossip, count as sent just now.
SHORT_MS = 18
DROPPED = f'packets_dropped_link_priority_{LOW}_total'
REJECTED = f'flows_rejected_link_priority_{LOW}_total'


def packet(
    port: int,
    flags: int,
    address: tuple[str, int] = ADDRESS,
    content: bytes = b'',
    copy: int = 0,
) -> bytes:
    """Return a client's packet."""
    return Packet((CLIENT_IP, port), address, flags, 7, copy, content).write()


class LinkTest(unittest.TestCase):
    """An entry with a link, an open flow of low and one of high priority."""

    link_budget = True

    def setUp(self) -> None:
        """Start the fleet; record what the entry forwards."""
        self.fleet = SimulatedFleet(hosts=3, link_budget=self.link_budget)
        self.addCleanup(self.fleet.close)
        self.node = self.fleet._nodes[self.fleet.entry_ip]  # noqa: SLF001
        configuration = self.fleet.entry._follower.configuration  # noqa: SLF001
        configuration.routes = {
            route_key(packet(1, SYN, address)[FLOW_KEY]): Route(
                ((SERVICE, 1),), True, 0.25, 2, priority
            )
            for address, priority in ((ADDRESS, LOW), (HIGH_ADDRESS, HIGH))
        }
        self.upload = packet(40001, ACK, content=CONTENT)
        self.short = packet(40002, ACK, HIGH_ADDRESS, bytes(150))
        for number, opened in enumerate((self.upload, self.short)):
            flow = self.fleet.entry._flows.add(  # noqa: SLF001
                opened[FLOW_KEY], self.fleet.hosts[number], self.fleet.now
            )
            flow.add_holder(self.fleet.hosts[number], 8, established=True)
        self.forwarded: list[bytes] = []
        self.fleet.loss = self.note_datagram

    def note_datagram(self, source: str, target: str, datagram: bytes) -> bool:
        """Record the packets that the entry forwards."""
        kinds = (messages.FORWARD, messages.OPEN)
        if source == self.fleet.entry_ip and datagram[0] in kinds:
            self.forwarded.append(datagram)
        return False

    def set_rate(self, link_kbps: int) -> None:
        """Change the settings of the entry."""
        self.node.settings.link_kbps = link_kbps
        self.fleet.run(UPDATE_S)

    def send(self, *packets: bytes) -> int:
        """Let packets arrive in one turn; return how many are forwarded."""
        before = len(self.forwarded)
        for sent in packets:
            self.fleet.send(sent)
        self.fleet.run(0.01)
        return len(self.forwarded) - before

    def gauge_ms(self) -> int:
        """Return the backlog that the metrics show, in milliseconds."""
        name = 'siskinbank_link_backlog_ms '
        return int(self.node.meters.text().partition(name)[2].split()[0])

    def reset_reasons(self) -> list[str]:
        """Return the reasons of all resets."""
        return [reason for _, reason, _ in self.fleet.resets]


class TestBackloggedLink(LinkTest):
    """Load pattern: uploads saturate the link of 5 Mbit/s of an entry."""

    def setUp(self) -> None:
        """Set the rate of the link."""
        super().setUp()
        self.set_rate(LINK_KBPS)

    def test_order(self) -> None:
        """Guards against data that is dropped before flows are rejected."""
        self.send(self.short)
        self.assertEqual(self.send(*(self.upload for _ in range(MEDIUM))), 72)
        self.assertEqual(self.send(packet(41000, SYN)), 0)
        self.assertEqual(self.reset_reasons(), ['link-full'])
        self.assertGreater(self.fleet.resets[0][2]['backlog_ms'], 100)
        self.assertEqual(self.send(self.upload), 1)
        self.assertEqual(self.node.meters.value(REJECTED), 1)
        self.assertEqual(self.node.meters.value(DROPPED), 0)

    def test_open_flows(self) -> None:
        """Guards against resets of open flows and shedding of what must pass.

        Only data of the uploads is dropped, and it never exceeds the limit.
        """
        count = self.send(*(self.upload for _ in range(MANY)))
        size = len(self.upload) + 66
        self.assertLessEqual(count * size, 0.19 * LINK_KBPS * 125)
        self.assertEqual(self.node.meters.value(DROPPED), MANY - count)
        passing = (
            self.short,
            packet(40001, ACK),
            packet(40001, FIN | ACK, content=b'x'),
            packet(40001, RST),
            # Copies of the first packets of flows that are open, or of which
            # another entry may have forwarded the first copy.
            packet(40001, SYN),
            packet(41001, SYN, copy=1),
            packet(41002, SYN, HIGH_ADDRESS),
        )
        # Uploads fill the queue up to the limit again in the same turn.
        fill = [self.upload for _ in range(MANY)]
        self.forwarded.clear()
        self.send(*fill, *passing)
        sent = b''.join(self.forwarded)
        self.assertEqual([raw for raw in passing if raw not in sent], [])
        self.assertEqual(self.reset_reasons(), [])
        self.send(*fill, packet(41003, SYN))
        self.assertEqual(self.reset_reasons(), ['link-full'])

    def test_copies_of_forwarded_first_packet(self) -> None:
        """Guards against the reset of a flow that its host may have opened."""
        first = packet(41000, SYN)
        self.assertEqual(self.send(first), 1)
        self.send(*(self.upload for _ in range(MANY)))
        self.send(first)
        self.assertEqual(self.reset_reasons(), [])

    def test_unknown_address(self) -> None:
        """Guards against a wrong reason where there is no route."""
        self.send(*(self.upload for _ in range(MANY)))
        self.send(packet(41000, SYN, ('198.18.0.9', 443)))
        self.assertEqual(self.reset_reasons(), ['no-route'])

    def test_stall(self) -> None:
        """Guards against a backlog that outlasts a stall of the process."""
        self.send(*(self.upload for _ in range(MANY)))
        self.fleet.pause(self.fleet.entry_ip, 0.5)
        self.fleet.send(packet(41000, SYN))
        self.fleet.run(0.6)
        self.assertEqual(self.reset_reasons(), [])

    def test_backlog_ends(self) -> None:
        """Guards against rejections after the load, and a stale gauge."""
        self.send(*(self.upload for _ in range(MANY)))
        self.assertEqual(self.send(packet(41000, SYN)), 0)
        self.fleet.run(UPDATE_S)
        self.assertEqual(self.send(packet(41001, SYN)), 1)
        # The update before may come before the queue of 0.18 s has drained.
        self.fleet.run(UPDATE_S)
        self.assertLess(self.gauge_ms(), SHORT_MS)

    def test_gauge(self) -> None:
        """Guards against a gauge that does not show the backlog."""
        for _ in range(30):
            self.send(*(self.upload for _ in range(MEDIUM)))
        self.assertGreater(self.gauge_ms(), 100)

    def test_other_messages_count(self) -> None:
        """Guards against a backlog that leaves out what is no packet."""
        # The entry learns that packets of the route are large.
        self.send(*(self.upload for _ in range(MEDIUM)))
        self.fleet.run(UPDATE_S)
        self.fleet.loss = lambda source, target, datagram: True
        self.send(self.upload)
        for _ in range(MEDIUM):
            self.node.send(self.fleet.hosts[0], bytes(len(self.upload)))
        self.send(packet(41000, SYN))
        self.assertEqual(self.reset_reasons(), ['link-full'])


class TestNoLimit(LinkTest):
    """Links that are fast or unknown, and the setting."""

    def test_rates(self) -> None:
        """Guards against rejections at entries that are not limited."""
        for link_kbps in (0, GIGABIT_KBPS):
            self.set_rate(link_kbps)
            count = self.send(*(self.upload for _ in range(MANY)))
            with self.subTest(link_kbps):
                self.assertEqual(count, MANY)
                self.assertEqual(
                    self.send(packet(41000 + bool(link_kbps), SYN)), 1
                )
        self.assertEqual(self.node.meters.value(DROPPED), 0)
        self.assertEqual(self.reset_reasons(), [])


class TestSwitchedOff(LinkTest):
    """An entry with the setting off."""

    link_budget = False

    def test_off(self) -> None:
        """Guards against a setting that is ignored."""
        self.set_rate(LINK_KBPS)
        count = self.send(*(self.upload for _ in range(MANY)))
        self.assertEqual(count, MANY)
        self.assertEqual(self.send(packet(41000, SYN)), 1)
        self.assertEqual(self.reset_reasons(), [])


class TestSetting(unittest.TestCase):
    """The environment variable SISKINBANK_LINK_BUDGET."""

    def test_values(self) -> None:
        """Guards against a wrong default, or a value that has no effect."""
        for environ, expected in (
            ({}, True),
            ({b'SISKINBANK_LINK_BUDGET': b'on'}, True),
            ({b'SISKINBANK_LINK_BUDGET': b'off'}, False),
        ):
            with (
                self.subTest(environ),
                patch.object(main, 'environ', environ),
                patch.object(entry, 'Entry') as create,
            ):
                main._create_program('entry', create)  # noqa: SLF001
                create.assert_called_once_with(
                    create,
                    'capacity',
                    split_overflow=False,
                    link_budget=expected,
                    detours=True,
                )

    def test_other_value(self) -> None:
        """Guards against a misspelt value that counts as on."""
        environ = {b'SISKINBANK_LINK_BUDGET': b'no'}
        with (
            patch.object(main, 'environ', environ),
            patch.object(entry, 'Entry') as create,
            self.assertRaisesRegex(DocumentError, 'expected on or off'),
        ):
            main._create_program('entry', create)  # noqa: SLF001
