"""Tests of announcements between entries, without sockets."""

import unittest
from socket import inet_ntoa
from types import SimpleNamespace
from typing import Any

from siskinbank.relay import messages
from siskinbank.relay.gossip import Gossip
from siskinbank.relay.loop import NEVER, Loop
from siskinbank.tracking.configuration import Configuration
from siskinbank.tracking.host_listing import (
    HostListing,
    digest_of_addresses,
)
from siskinbank.tracking.hosts import HostTable
from siskinbank.tracking.store_position import StorePosition

OWN = '10.0.0.1'
OTHERS = ('10.0.0.2', '10.0.0.3')
MANY = tuple(f'10.0.1.{number}' for number in range(1, 101))
HOST = bytes((10, 0, 2, 1))
OTHER_HOST = bytes((10, 0, 2, 2))


class GossipContext:
    """Gossip of one entry with stand-ins for its collaborators.

    Attributes:
        sent: datagrams sent, each with its receiver.
        follower: stand-in for the reader of the store.
        hosts: the known hosts.
        loop: event loop, which is not run.
        gossip: the gossip.
    """

    def __init__(self, others: tuple[str, ...] = OTHERS) -> None:
        """Create the gossip and let it receive announcements of others."""
        self.sent: list[tuple[str, bytes]] = []
        self.loop = Loop()
        self.hosts = HostTable()
        self.follower: Any = SimpleNamespace(
            configuration=Configuration(),
            hosts={},
            hosts_digest=0,
            hosts_position=StorePosition(),
            era=0,
            note_era=self._note_era,
            hosts_read_at=NEVER,
            hosts_read_by_peer_at=NEVER,
            listing=HostListing(),
            note_hosts_read_by_peer=self._note_hosts_read_by_peer,
            absence_is_reliable=lambda: True,
            operator_position=StorePosition(),
            operator_read_at=NEVER,
            is_evacuated=lambda data_centre: False,
            rank=0,
            check=bool,
        )
        self._node: Any = SimpleNamespace(
            loop=self.loop,
            handlers={},
            packed_ip=bytes((10, 0, 0, 1)),
            settings=SimpleNamespace(ip=OWN, seeds=OTHERS, data_centre='a'),
            log=self._log,
            send=lambda ip, datagram: self.sent.append((ip, datagram)),
        )
        configuration_transfer: Any = SimpleNamespace(
            fetch_if_newer=lambda *_: None
        )
        self.gossip = Gossip(
            self._node, self.hosts, self.follower, configuration_transfer
        )
        for ip in others:
            self.receive(messages.Announcement().pack(), ip)
        self.sent.clear()

    def receive(self, datagram: bytes, ip: str) -> None:
        """Handle a datagram of a peer."""
        self._node.handlers[datagram[0]](datagram, ip)

    def announce_listing(self, *hosts: bytes) -> None:
        """Let the first other entry announce a listing that it just read."""
        listing = HostListing()
        listing.replace(hosts, self.loop.now)
        announcement = messages.Announcement()
        announcement.hosts_age_s = 0
        announcement.hosts_digest = listing.digest
        self.receive(announcement.pack(), OTHERS[0])

    def sent_kinds(self) -> list[int]:
        """Return the kinds of the datagrams sent."""
        return [datagram[0] for _, datagram in self.sent]

    def run(self, seconds: float) -> None:
        """Run the timers for some time."""
        end = self.loop.now + seconds
        while self.loop.now < end:
            self.loop.now += 0.05
            self.loop._run_timers()  # noqa: SLF001

    def _note_hosts_read_by_peer(self, confirmed_at: float) -> None:
        self.follower.hosts_read_by_peer_at = confirmed_at

    def _note_era(self, era: int, _source: str) -> None:
        self.follower.era = max(self.follower.era, era)

    def _log(self, event: str, **_inputs: object) -> None:
        """Discard the event."""


class TestAnnouncements(unittest.TestCase):
    """Load pattern: one entry reads for all others."""

    def test_reader_announces_to_all(self) -> None:
        """What it has read is announced to all known entries at once."""
        context = GossipContext(MANY)
        context.gossip.announce()
        receivers = {ip for ip, datagram in context.sent}
        self.assertEqual(receivers, set(MANY))

    def test_others_are_announced_to_in_turn(self) -> None:
        """Load pattern: the cost of liveness with a hundred entries.

        Each entry gets an announcement within five seconds; an entry sends 32
        a second at most.
        """
        context = GossipContext(MANY)
        context.run(5)
        receivers = [
            ip
            for ip, datagram in context.sent
            if datagram[0] == messages.ANNOUNCEMENT
        ]
        self.assertEqual(set(receivers), set(MANY))
        self.assertLessEqual(len(receivers), 5 * 32)


class TestListing(unittest.TestCase):
    """Load pattern: dozens of entries need a fresh listing of the hosts."""

    def test_known_listing_is_confirmed(self) -> None:
        """By its digest, without a request."""
        context = GossipContext()
        context.follower.listing.replace([HOST], context.loop.now)
        context.loop.now += 1
        context.announce_listing(HOST)
        self.assertEqual(context.sent, [])
        listing = context.follower.listing
        self.assertAlmostEqual(listing.confirmed_at, context.loop.now, 2)

    def test_changed_listing_is_fetched(self) -> None:
        """From the peer that announced it."""
        context = GossipContext()
        context.follower.listing.replace([HOST], context.loop.now)
        context.loop.now += 1
        context.announce_listing(HOST, OTHER_HOST)
        request = bytes((messages.LISTING_REQUEST,))
        self.assertEqual(context.sent, [(OTHERS[0], request)])
        peer = GossipContext()
        peer.follower.listing.replace([HOST, OTHER_HOST], peer.loop.now)
        peer.receive(request, OWN)
        for _, datagram in peer.sent:
            context.receive(datagram, OTHERS[0])
        listing = context.follower.listing
        self.assertEqual(listing.addresses, {HOST, OTHER_HOST})

    def test_large_listing(self) -> None:
        """Of 3,200 hosts, in pieces that arrive in any order."""
        hosts = [
            bytes((10, 1, high, low))
            for high in range(32)
            for low in range(100)
        ]
        peer = GossipContext()
        peer.follower.listing.replace(hosts, peer.loop.now)
        peer.receive(bytes((messages.LISTING_REQUEST,)), OWN)
        context = GossipContext()
        for _, datagram in reversed(peer.sent):
            self.assertLess(len(datagram), 1200)
            context.receive(datagram, OTHERS[0])
        self.assertEqual(context.follower.listing.addresses, set(hosts))

    def test_eras(self) -> None:
        """A peer tells of a new era; what was read before counts no more."""
        context = GossipContext()
        context.announce_listing(HOST)
        announcement = messages.Announcement()
        announcement.era = 2
        context.receive(announcement.pack(), OTHERS[1])
        self.assertEqual(context.follower.era, 2)
        context.sent.clear()
        context.loop.now += 1
        context.announce_listing(HOST, OTHER_HOST)
        self.assertEqual(context.sent, [])

    def test_old_listing_is_not_fetched(self) -> None:
        """A peer that could not read for long has announced it."""
        context = GossipContext()
        announcement = messages.Announcement()
        announcement.hosts_age_s = 5
        announcement.hosts_digest = 7
        context.receive(announcement.pack(), OTHERS[0])
        self.assertEqual(context.sent, [])


class TestHellos(unittest.TestCase):
    """Load pattern: 136 sidecars start, before their hosts have registered."""

    def hello(self, flags: int) -> bytes:
        """Return the hello of a sidecar."""
        return messages.pack_hello(messages.FROM_SIDECAR | flags, 1)

    def test_sidecar_gets_what_it_asks_for(self) -> None:
        """Entries but no sidecars, and a record only if there is one."""
        context = GossipContext()
        context.receive(self.hello(messages.WANTS_PEERS), '10.0.2.1')
        self.assertEqual(len(context.sent), 1)
        ip, datagram = context.sent[0]
        entries, sidecars = messages.read_peers(datagram)
        self.assertEqual((ip, len(entries), sidecars), ('10.0.2.1', 3, []))
        context.sent.clear()
        context.receive(self.hello(0), '10.0.2.1')
        self.assertEqual(context.sent, [])

    def test_record_is_requested_from_the_reader(self) -> None:
        """By an entry that has not read the hosts itself."""
        context = GossipContext()
        context.announce_listing()
        context.sent.clear()
        context.receive(self.hello(messages.WANTS_RECORD), '10.0.2.1')
        request = messages.pack_record_request(HOST)
        self.assertEqual(context.sent, [(OTHERS[0], request)])
        reader = GossipContext()
        reader.follower.hosts_read_at = reader.loop.now
        reader.follower.hosts_position = StorePosition(1, 1)
        reader.receive(request, OWN)
        self.assertEqual(reader.sent_kinds(), [messages.RECORD])
        self.assertEqual(reader.sent[0][0], '10.0.2.1')

    def test_unheard_entries_are_not_listed(self) -> None:
        """An entry that is dead would be passed on forever."""
        context = GossipContext()
        peers = messages.pack_addresses(
            messages.PEERS, [bytes((10, 0, 9, 9))], []
        )
        context.receive(peers, OTHERS[0])
        context.sent.clear()
        context.receive(self.hello(messages.WANTS_PEERS), '10.0.2.1')
        entries, _ = messages.read_peers(context.sent[0][1])
        self.assertNotIn(bytes((10, 0, 9, 9)), entries)

    def test_long_list_is_sent_in_parts(self) -> None:
        """Requests of sidecars, who get no sidecars, do not start it anew."""
        context = GossipContext()
        hosts = [
            bytes((10, 0, 3 + number // 200, number % 200))
            for number in range(300)
        ]
        for packed in hosts:
            status = messages.Status(0, 0)
            context.hosts.update_status(
                inet_ntoa(packed), status, context.loop.now
            )
        listed: set[bytes] = set()
        for sender in (0, messages.FROM_SIDECAR, 0):
            context.sent.clear()
            hello = messages.pack_hello(messages.WANTS_PEERS | sender, 1)
            context.receive(hello, OTHERS[0])
            listed.update(messages.read_peers(context.sent[0][1])[1])
        self.assertEqual(listed, set(hosts))


class TestDiscovery(unittest.TestCase):
    """Load pattern: all processes were killed and start at the same time.

    The seeds know nobody yet when the others ask them.
    """

    def receivers(self, context: GossipContext, flags: int) -> set[str]:
        """Return the receivers of hellos with certain flags."""
        return {
            ip
            for ip, datagram in context.sent
            if datagram[0] == messages.HELLO
            and messages.read_hello(datagram)[0] == flags
        }

    def test_seeds_are_asked_again(self) -> None:
        """They have learned more since the first answer."""
        context = GossipContext()
        context.run(0.15)
        empty = messages.pack_addresses(messages.PEERS, [], [])
        context.receive(empty, OTHERS[0])
        context.sent.clear()
        context.run(0.6)
        asked = self.receivers(context, messages.WANTS_PEERS)
        self.assertEqual(asked, set(OTHERS))

    def test_listed_hosts_are_greeted(self) -> None:
        """Their sidecars then send their status."""
        context = GossipContext()
        listing = messages.pack_listing(
            digest_of_addresses([HOST]), 0.1, 0, 1, [HOST]
        )
        context.receive(listing, OTHERS[0])
        self.assertEqual(self.receivers(context, 0), {'10.0.2.1'})


class TestAddedEntry(unittest.TestCase):
    """Load pattern: an entry is added whose seeds are stale.

    Guards against resets of flows at hosts that the store does not list, as the
    added entry learns of them from nobody (review/8).
    """

    def asked(self, context: GossipContext) -> set[str]:
        """Return who is asked for addresses in the next rounds."""
        context.sent.clear()
        context.run(0.5)
        return {
            ip
            for ip, datagram in context.sent
            if datagram[0] == messages.HELLO
            and messages.read_hello(datagram)[0] == messages.WANTS_PEERS
        }

    def test_others_are_asked(self) -> None:
        """Listed sidecars know entries, and these know unlisted hosts."""
        context = GossipContext(others=())
        sidecar, unlisted = '10.0.2.1', bytes((10, 0, 2, 9))
        context.gossip.add_sidecars([HOST])
        self.assertIn(sidecar, self.asked(context))
        self.assertTrue(context.gossip.knows_hosts_of_peers())
        entry = bytes((10, 0, 9, 9))
        peers = messages.pack_addresses(messages.PEERS, [entry], [])
        context.receive(peers, sidecar)
        self.assertFalse(context.gossip.knows_hosts_of_peers())
        self.assertIn('10.0.9.9', self.asked(context))
        peers = messages.pack_addresses(messages.PEERS, [entry], [unlisted])
        context.receive(peers, '10.0.9.9')
        self.assertTrue(context.gossip.knows_hosts_of_peers())
        self.assertIn(unlisted, context.gossip.sidecars)
        self.assertNotIn('10.0.9.9', self.asked(context))

    def test_peers_that_do_not_answer(self) -> None:
        """They have ended; searches wait for them no longer than a start."""
        context = GossipContext(others=())
        peers = messages.pack_addresses(
            messages.PEERS, [bytes((10, 0, 9, 9))], []
        )
        context.receive(peers, '10.0.2.1')
        self.assertFalse(context.gossip.knows_hosts_of_peers())
        context.run(2.1)
        self.assertTrue(context.gossip.knows_hosts_of_peers())

    def test_unlisted_hosts_come_first(self) -> None:
        """A list has not room for all sidecars."""
        context = GossipContext()
        now = context.loop.now
        hosts = [
            bytes((10, 0, 3 + number // 200, number % 200))
            for number in range(600)
        ]
        for packed in hosts:
            status = messages.Status(0, 0)
            context.hosts.update_status(inet_ntoa(packed), status, now)
        context.follower.listing.replace(hosts[:-1], now)
        hello = messages.pack_hello(messages.WANTS_PEERS, 1)
        context.receive(hello, OTHERS[0])
        sidecars = messages.read_peers(context.sent[0][1])[1]
        self.assertIn(hosts[-1], sidecars)


class TestReads(unittest.TestCase):
    """Load pattern: all entries start at once, or one of them restarts."""

    def test_only_seeds_read_at_once(self) -> None:
        """The others wait a moment for what the seeds have read."""
        context = GossipContext()
        self.assertFalse(context.follower.hosts_due())
        self.assertFalse(context.follower.operator_due())
        context.loop.now += 0.1
        self.assertFalse(context.follower.hosts_due())
        context.loop.now += 0.2
        self.assertTrue(context.follower.hosts_due())

    def test_entry_without_peers_reads_soon(self) -> None:
        """Load pattern: after a loss of power the seeds start later."""
        context = GossipContext(())
        self.assertFalse(context.follower.hosts_due())
        context.loop.now += 0.06
        self.assertTrue(context.follower.hosts_due())
        self.assertTrue(context.follower.operator_due())

    def test_entry_does_not_read_beside_a_reader(self) -> None:
        """A restarted entry leaves the reads to the one that reads already."""
        context = GossipContext()
        context.announce_listing(HOST)
        context.loop.now += 0.3
        self.assertFalse(context.follower.hosts_due())


class TestSplitReads(unittest.TestCase):
    """Load pattern: the first reader gets only one kind of its two answers.

    Guards against evacuations that no entry sends to the sidecars: the one that
    lists the hosts has not read the operator keys, or the reverse.
    """

    def due(self, **ages_s: float) -> tuple[bool, bool]:
        """Return whether an entry lists the hosts and reads the keys.

        Args:
            ages_s: ages of what the entry itself and its peer have read.
        """
        context = GossipContext()
        context.run(10)
        follower = context.follower
        follower.rank = 1
        now = context.loop.now
        follower.hosts_read_at = now - ages_s['own_hosts_s']
        follower.operator_read_at = now - ages_s['own_keys_s']
        announcement = messages.Announcement()
        announcement.hosts_age_s = ages_s['hosts_s']
        announcement.operator_age_s = ages_s['keys_s']
        context.receive(announcement.pack(), OTHERS[0])
        return follower.hosts_due(), follower.operator_due()

    def test_peer_reads_both(self) -> None:
        """It is the only reader, whatever this entry has read before."""
        for own_s in (2, 100):
            due = self.due(
                own_hosts_s=own_s, own_keys_s=own_s, hosts_s=0.5, keys_s=0.5
            )
            self.assertEqual(due, (False, False))

    def test_peer_cannot_list(self) -> None:
        """Who lists the hosts in its place reads the keys as well."""
        due = self.due(own_hosts_s=0.5, own_keys_s=100, hosts_s=20, keys_s=0.5)
        self.assertEqual(due, (False, True))

    def test_peer_cannot_read_keys(self) -> None:
        """Who reads the keys in its place lists the hosts as well."""
        due = self.due(own_hosts_s=100, own_keys_s=0.5, hosts_s=0.5, keys_s=20)
        self.assertEqual(due, (True, False))
