"""Tests of gossip under faults, in virtual time."""

import unittest

from siskinbank.directory.live import Role
from siskinbank.kernel import events
from siskinbank.kernel.reasons import Ignored
from siskinbank.lab.configuration import measure_configuration
from siskinbank.lab.membership import measure_membership
from siskinbank.lab.virtual_fleet import CENTRES, VirtualFleet
from siskinbank.peers.readers import (
    FALLBACK_CALLS_PER_SECOND,
    READERS_PER_DATA_CENTRE,
)

SIZE = 24
SEED = 7


def make_fleet(seed: int = SEED) -> VirtualFleet:
    """Return a small fleet with generation 1 in force."""
    fleet = VirtualFleet(SIZE, seed)
    fleet.start()
    return fleet


def generations(fleet: VirtualFleet) -> set[int]:
    """Return the generations in force on the running nodes."""
    return {node.generation for node in fleet.running_nodes}


class TestGenerationNeverReverts(unittest.TestCase):
    """No restart, stale replica or conflict reverts a generation."""

    def test_restart_of_all_entries_while_stale(self) -> None:
        """Restarted entries get the newer document from sidecars."""
        fleet = make_fleet()
        fleet.publish()
        fleet.run(3)
        fleet.platform.serve_previous()
        entries = [one for one in fleet.instances if one.role is Role.entry]
        for instance in entries:
            fleet.restart(instance.name)
        fleet.run(6)
        self.assertEqual(generations(fleet), {2})
        for instance in entries:
            adopted = fleet.nodes[instance.name].adopted
            self.assertEqual([generation for _at, generation in adopted], [2])

    def test_new_process_while_the_platform_is_down(self) -> None:
        """A new process gets its state from a peer in its settings."""
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

    def test_platform_down_for_long(self) -> None:
        """Nodes stay fresh; calls do not exceed readers plus fallback rate."""
        fleet = make_fleet()
        fleet.platform.down = True
        fleet.run(120)
        self.assertEqual(generations(fleet), {1})
        self.assertTrue(all(node.gossip.fresh for node in fleet.running_nodes))
        self.assertFalse(any(node.gossip.gone for node in fleet.running_nodes))
        readers = 2 * READERS_PER_DATA_CENTRE * len(CENTRES)
        self.assertLessEqual(
            max(fleet.platform.calls.values()),
            readers + FALLBACK_CALLS_PER_SECOND,
        )

    def test_two_documents_with_one_generation(self) -> None:
        """The same document wins on all nodes; the conflict is reported."""
        fleet = make_fleet()
        fleet.publish_conflict()
        fleet.run(8)
        keys = {node.gossip.store.in_force for node in fleet.running_nodes}
        self.assertEqual(len(keys), 1)
        conflicting = fleet.platform.conflicting
        assert conflicting is not None
        self.assertEqual(
            keys, {max(fleet.platform.manifest.key, conflicting[1].key)}
        )
        logged = sum(
            node.log.event_counts[events.GENERATION_CONFLICT.number]
            for node in fleet.running_nodes
        )
        counted = sum(
            node.metrics.value(Ignored.conflict) for node in fleet.running_nodes
        )
        self.assertGreater(logged, 0)
        self.assertGreater(counted, 0)

    def test_invalid_document_is_refused_everywhere(self) -> None:
        """The last valid document stays in force; findings are recorded."""
        fleet = make_fleet()
        fleet.document['data_centres'].pop('south-b')
        fleet.publish()
        fleet.run(6)
        self.assertEqual(generations(fleet), {1})
        for node in fleet.running_nodes:
            self.assertEqual(node.gossip.store.refused[0], 2)
            self.assertIn('no data centre named', node.gossip.store.findings[0])
        fleet.document['data_centres']['south-b'] = {'region': 'south'}
        fleet.publish()
        fleet.run(6)
        self.assertEqual(generations(fleet), {3})

    def test_readers_stopped(self) -> None:
        """The processes next in rank replace stopped readers."""
        fleet = make_fleet()
        reader_names = {
            reader.node.identity.name for reader in fleet.platform.watchers
        }
        self.assertTrue(reader_names)
        for name in reader_names:
            fleet.kill(name)
        fleet.run(25)
        fleet.publish()
        fleet.run(6)
        self.assertEqual(generations(fleet), {2})


class TestSmallExperiments(unittest.TestCase):
    """The experiments stay within their bounds at a small size."""

    def test_configuration(self) -> None:
        """Loss, pauses, a partition, restarts and a stale platform."""
        report = measure_configuration(SEED, 30)
        self.assertTrue(report.holds, report.lines())

    def test_membership(self) -> None:
        """Wrong live lists, a stopped process, pauses and a partition."""
        report = measure_membership(SEED, 30)
        self.assertTrue(report.holds, report.lines())
