"""Tests of what a process waits for before its first configuration."""

import random
import unittest

from siskinbank.config.site import Address
from siskinbank.directory.live import Instance, Role
from siskinbank.directory.roster import Record, record_of
from siskinbank.directory.store import NO_DOCUMENT, DocumentStore
from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.metrics import Metrics
from siskinbank.lab.network import FakeNetwork
from siskinbank.lab.virtual_fleet import VirtualFleet
from siskinbank.lab.virtual_node import CountingLog, VirtualTimers
from siskinbank.peers.joining import JoinAnswers, Joining
from siskinbank.wire.gossip import FRESH, Announce

_PORT = 7100
_MANY_PEERS = 100
_MAX_ASKED = 64
_OLDER = (2, b'older')
_NEWER = (3, b'newer')


def make_peers(count: int) -> list[Record]:
    """Return the records of ``count`` sidecars."""
    return [
        record_of(
            Instance(
                f'host-{number}', Role.sidecar, 'a', (f'10.0.0.{number}', _PORT)
            ),
            1,
        )
        for number in range(count)
    ]


def make_announce(name: str, generation: int, flags: int = FRESH) -> Announce:
    """Return an announcement with a generation in force."""
    digest = b'digest' if generation else b''
    return Announce(
        name, 1, flags, 0, 0, generation, digest, [], b'', [], [], [], []
    )


class TestJoinAnswers(unittest.TestCase):
    """Load pattern: many processes restart while the platform is stale."""

    def test_answers_without_configuration_do_not_count(self) -> None:
        """Guards against adopting the platform's older document.

        Three answers of processes that were restarted as well were enough.
        """
        peers = make_peers(5)
        answers = JoinAnswers()
        for peer in peers[:-1]:
            answers.note_answer(peer.name, knows=False)
            self.assertFalse(answers.suffice(peers))
        answers.note_answer(peers[-1].name, knows=True)
        self.assertTrue(answers.suffice(peers))

    def test_three_peers_that_know_suffice(self) -> None:
        """With or without a roster, but no peers at all do not."""
        answers = JoinAnswers()
        for peer in make_peers(3):
            self.assertFalse(answers.suffice(None))
            self.assertFalse(answers.suffice(make_peers(_MANY_PEERS)))
            answers.note_answer(peer.name, knows=True)
        self.assertTrue(answers.suffice(None))
        self.assertTrue(answers.suffice(make_peers(_MANY_PEERS)))

    def test_number_of_asked_peers_is_limited(self) -> None:
        """Guards against a start of a large fleet in which all ask all."""
        peers = make_peers(_MANY_PEERS)
        answers = JoinAnswers()
        while unasked := answers.unasked(peers):
            self.assertNotIn(unasked[0], answers.asked)
            answers.note_asked(unasked[0])
        self.assertEqual(len(answers.asked), _MAX_ASKED)


class TestJoining(unittest.TestCase):
    """Load pattern: a process restarts and peers disagree for a moment."""

    def setUp(self) -> None:
        """Create a process that knows ten peers."""
        self.network_clock = FakeClock()
        rng = random.Random(1)
        self.network = FakeNetwork(self.network_clock, rng)
        timers = VirtualTimers(self.network, self.network_clock, rng)
        self.store = DocumentStore(CountingLog(), Metrics())
        self.joining = Joining(self.store, timers, rng)
        self.peers = make_peers(10)
        self.joining.peers = lambda: self.peers
        self.asked: list[object] = []
        self.joining.on_ask = self.asked.append
        self.adopted: list[object] = []
        self.joining.on_settled = self.adopted.append
        self.joining.restart()

    def test_document_waits_for_answers(self) -> None:
        """Guards against adopting what the first peer to answer has."""
        self.joining.receive(make_announce('host-1', 2))
        self.joining.add_document(_OLDER)
        self.joining.receive(make_announce('host-2', 3))
        self.joining.add_document(_NEWER)
        self.assertEqual(self.adopted, [])
        self.joining.receive(make_announce('host-3', 3))
        self.joining.adopt_waiting()
        self.assertEqual(self.adopted, [_OLDER, _NEWER])
        self.assertEqual(self.store.in_force, NO_DOCUMENT)

    def test_document_does_not_wait_for_ever(self) -> None:
        """A fleet of which few processes run gets a configuration."""
        self.joining.add_document(_NEWER)
        self.network.run(0.4)
        self.assertEqual(self.adopted, [])
        self.network.run(0.2)
        self.assertEqual(self.adopted, [_NEWER])
        self.assertFalse(self.joining.joined)
        self.network.run(1)
        self.assertTrue(self.joining.joined)

    def test_who_does_not_know_is_followed_by_another(self) -> None:
        """A process without configuration, or one that just resumed."""
        for peer in self.peers[:5]:
            self.joining.note_announced(peer.address)
        self.joining.receive(make_announce('host-1', 0))
        self.assertEqual(len(self.asked), 1)
        self.joining.receive(make_announce('host-2', 2, flags=0))
        self.assertEqual(len(self.asked), 2)
        self.joining.receive(make_announce('host-3', 3))
        self.assertEqual(len(self.asked), 2)

    def test_more_peers_are_asked_while_few_are(self) -> None:
        """Guards against 0.5 s of waiting, as the same peer was drawn twice."""
        self.joining.on_ask = self.joining.note_announced
        self.joining.note_announced(self.peers[0].address)
        self.joining.add_document(_NEWER)
        for peer in self.peers[:3]:
            self.joining.receive(make_announce(peer.name, 3))
        self.assertEqual(len(self.joining.take_told()), 4)


class TestRestartsWhileStale(unittest.TestCase):
    """Load pattern: restarts while the platform serves an older document."""

    def test_all_processes_but_one_restart(self) -> None:
        """Guards against adopting the older document, as nobody asked knows.

        The one process that knows the newer document is found.
        """
        for seed in range(8):
            fleet = VirtualFleet(24, seed)
            fleet.start()
            fleet.publish()
            fleet.run(3)
            fleet.platform.serve_previous()
            nodes = [fleet.restart(name) for name in list(fleet.nodes)[1:]]
            fleet.run(3)
            adopted = {
                generation for node in nodes for _at, generation in node.adopted
            }
            self.assertEqual(adopted, {2}, seed)

    def test_peer_that_missed_the_publication(self) -> None:
        """Guards against adopting the older document of a peer.

        One peer is cut off from all others, but not from the process that was
        restarted.
        """
        for seed in range(40):
            fleet = VirtualFleet(6, seed)
            fleet.start()
            name = fleet.instances[5].name
            fleet.kill(name)
            peer = fleet.instances[2].address
            own = fleet.instances[5].address

            def cut(
                sender: Address,
                receiver: Address,
                peer: Address = peer,
                own: Address = own,
            ) -> bool:
                ends = {sender, receiver}
                return peer in ends and own not in ends

            fleet.network.cut = cut
            fleet.platform.reachable_region = 'north'
            fleet.publish()
            fleet.run(3)
            fleet.platform.down = True
            self.assertEqual(fleet.nodes[fleet.instances[2].name].generation, 1)
            node = fleet.start_node(name)
            fleet.run(4)
            adopted = [generation for _at, generation in node.adopted]
            self.assertEqual(adopted, [2], seed)
