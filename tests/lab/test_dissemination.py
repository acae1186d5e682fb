"""Tests of the dissemination in virtual time: each failure it is meant for."""

import unittest

from siskinbank.kernel import events
from siskinbank.kernel.reasons import Ignored
from siskinbank.lab.configuration import measure_configuration
from siskinbank.lab.membership import measure_membership
from siskinbank.lab.virtual_fleet import CENTRES, VirtualFleet
from siskinbank.peers.readers import FALLBACK_CALLS, READERS
from siskinbank.directory.live import Role

SIZE = 24
SEED = 7


def make_fleet(seed: int = SEED) -> VirtualFleet:
    """Return a small fleet with generation 1 in force."""
    fleet = VirtualFleet(SIZE, seed)
    fleet.start()
    return fleet


def generations(fleet: VirtualFleet) -> set[int]:
    """Return the generations that are in force anywhere."""
    return {node.generation for node in fleet.alive}


class TestNeverOlder(unittest.TestCase):
    """No restart, replay or stale service turns anyone back."""

    def test_restart_of_all_entries_while_stale(self) -> None:
        """Sidecars still know what the service has forgotten."""
        fleet = make_fleet()
        fleet.publish()
        fleet.run(3)
        fleet.platform.go_back()
        entries = [one for one in fleet.instances if one.role is Role.entry]
        for instance in entries:
            fleet.restart(instance.name)
        fleet.run(6)
        self.assertEqual(generations(fleet), {2})
        for instance in entries:
            adopted = fleet.nodes[instance.name].adopted
            self.assertEqual([made for _at, made in adopted], [2])

    def test_new_process_while_the_service_is_down(self) -> None:
        """A new process starts from a peer that it was told."""
        fleet = make_fleet()
        fleet.platform.down = True
        fleet.run(5)
        seed = fleet.instances[0].address
        name = fleet.instances[-1].name
        node = fleet.restart(name)
        node.gossip.seeds = (seed,)
        fleet.run(6)
        self.assertEqual(node.generation, 1)
        self.assertEqual(len(node.gossip.roster), SIZE)

    def test_service_down_for_long(self) -> None:
        """All goes on, and reads stay within readers and fallback rate."""
        fleet = make_fleet()
        fleet.platform.down = True
        fleet.run(120)
        self.assertEqual(generations(fleet), {1})
        self.assertTrue(all(node.gossip.fresh for node in fleet.alive))
        self.assertFalse(any(node.gossip.gone for node in fleet.alive))
        readers = 2 * READERS * len(CENTRES)
        self.assertLessEqual(
            max(fleet.platform.calls.values()),
            readers + FALLBACK_CALLS,
        )

    def test_two_documents_with_one_generation(self) -> None:
        """One of the two wins everywhere; it is logged and counted."""
        fleet = make_fleet()
        fleet.publish_conflict()
        fleet.run(8)
        keys = {node.gossip.store.in_force for node in fleet.alive}
        self.assertEqual(len(keys), 1)
        other = fleet.platform.other
        assert other is not None
        self.assertEqual(keys, {max(fleet.platform.manifest.key, other[1].key)})
        logged = sum(
            node.log.numbers[events.CONFLICT.number] for node in fleet.alive
        )
        counted = sum(
            node.metrics.value(Ignored.conflict) for node in fleet.alive
        )
        self.assertGreater(logged, 0)
        self.assertGreater(counted, 0)

    def test_invalid_document_is_refused_everywhere(self) -> None:
        """The last good one stays in force, and the findings are told."""
        fleet = make_fleet()
        fleet.document['data_centres'].pop('south-b')
        fleet.publish()
        fleet.run(6)
        self.assertEqual(generations(fleet), {1})
        for node in fleet.alive:
            self.assertEqual(node.gossip.store.refused[0], 2)
            self.assertIn('no data centre named', node.gossip.store.findings[0])
        fleet.document['data_centres']['south-b'] = {'region': 'south'}
        fleet.publish()
        fleet.run(6)
        self.assertEqual(generations(fleet), {3})

    def test_reader_dies(self) -> None:
        """The next by rank read in the place of dead readers."""
        fleet = make_fleet()
        reading = {
            reader.node.identity.name for reader in fleet.platform.watchers
        }
        self.assertTrue(reading)
        for name in reading:
            fleet.kill(name)
        fleet.run(25)
        fleet.publish()
        fleet.run(6)
        self.assertEqual(generations(fleet), {2})


class TestSmallExperiments(unittest.TestCase):
    """The experiments hold their bounds at a small size."""

    def test_configuration(self) -> None:
        """Loss, pauses, a partition, restarts and a stale service."""
        report = measure_configuration(SEED, 30)
        self.assertTrue(report.holds, report.lines())

    def test_membership(self) -> None:
        """Lying lists, a death, pauses, and regions apart."""
        report = measure_membership(SEED, 30)
        self.assertTrue(report.holds, report.lines())
