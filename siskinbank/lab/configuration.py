"""Measure the time until a configuration is in force, reverts and reads."""

import random
from dataclasses import dataclass, field
from typing import Any

from siskinbank.kernel.reasons import Ignored
from siskinbank.lab.experiment import ExperimentReport, at_most
from siskinbank.lab.virtual_fleet import VirtualFleet

__all__ = ('measure_configuration',)

#: Targets: seconds until in force in all processes, reads per second.
_MAX_IN_FORCE_SECONDS = 11
_MAX_READS_PER_SECOND = 2000
_STEP_SECONDS = 0.25
_TIMEOUT_SECONDS = 30
_LOSS_SHARE = 0.02
_PAUSED_SHARE = 0.02
_FAULT_SECONDS = 4
_RESTARTED_SHARE = 0.1
_SETTLE_SECONDS = 6
_NAIVE_POLL_SECONDS = 1
_READ_FLEET_SIZES = (10, 30, 100, 300)


def measure_configuration(seed: int, processes: int) -> ExperimentReport:
    """Measure publications with and without faults, restarts and reads.

    Args:
        seed: seed of the simulation.
        processes: number of simulated processes.
    """
    fleet = VirtualFleet(processes, seed)
    fleet.start()
    figures: dict[str, Any] = {'processes': processes}
    figures['seconds_in_force'] = _publish_without_faults(fleet)
    figures['seconds_under_faults'] = _publish_under_faults(fleet)
    figures.update(_restart_while_stale(fleet))
    figures.update(_publish_conflict(fleet))
    figures.update(_measure_reads(processes, fleet, seed))
    naive = _simulate_naive(processes, seed)
    return ExperimentReport(
        'configuration',
        seed,
        figures,
        naive,
        [
            at_most(
                'seconds in force, no faults',
                _MAX_IN_FORCE_SECONDS,
                figures['seconds_in_force'],
            ),
            at_most(
                'seconds in force, loss, pauses and a partition',
                _MAX_IN_FORCE_SECONDS,
                figures['seconds_under_faults'],
            ),
            at_most('reverts', 0, figures['reverts']),
            at_most('documents in force at the end', 1, figures['documents']),
            at_most(
                'reads a second',
                _MAX_READS_PER_SECOND,
                figures['reads_a_second'],
            ),
            at_most(
                'reads a second, service down',
                _MAX_READS_PER_SECOND,
                figures['reads_a_second_down'],
            ),
            at_most(
                'reads a process a second: most against fewest processes',
                1,
                figures['read_slope'],
            ),
        ],
    )


def _wait_until_in_force(fleet: VirtualFleet, generation: int) -> float:
    """Return the seconds until a generation is in force in all processes."""
    start = fleet.clock.now
    while fleet.clock.now - start < _TIMEOUT_SECONDS:
        fleet.run(_STEP_SECONDS)
        if all(node.generation >= generation for node in fleet.running_nodes):
            latest = max(node.adopted[-1][0] for node in fleet.running_nodes)
            return latest - start
    return float('inf')


def _publish_without_faults(fleet: VirtualFleet) -> float:
    fleet.publish(1)
    return _wait_until_in_force(fleet, fleet.generation)


def _publish_under_faults(fleet: VirtualFleet) -> float:
    """Publish during packet loss, paused processes and a region partition."""
    fleet.network.loss = _LOSS_SHARE
    count = max(int(len(fleet.nodes) * _PAUSED_SHARE), 1)
    paused = fleet.rng.sample(fleet.running_nodes, count)
    for node in paused:
        node.pause()
        fleet.network.after(_FAULT_SECONDS, node.resume)
    fleet.partition_regions()
    fleet.platform.reachable_region = 'north'
    fleet.network.after(_FAULT_SECONDS, fleet.remove_partitions)
    fleet.publish(2)
    seconds = _wait_until_in_force(fleet, fleet.generation)
    fleet.network.loss = 0
    return seconds


def _restart_while_stale(fleet: VirtualFleet) -> dict[str, Any]:
    """Restart processes while the platform serves a stale document.

    Restarts a random share, one data centre and all entries.
    """
    latest_generation = fleet.generation
    fleet.platform.serve_previous()
    names = fleet.rng.sample(
        list(fleet.nodes),
        max(int(len(fleet.nodes) * _RESTARTED_SHARE), 1),
    )
    data_centre = fleet.instances[0].data_centre
    for instance in fleet.instances:
        if (
            instance.role.value == 'entry'
            or instance.data_centre == data_centre
        ):
            names.append(instance.name)
    restarted = [fleet.restart(name) for name in sorted(set(names))]
    fleet.run(_SETTLE_SECONDS)
    generations = [
        generation for node in restarted for _at, generation in node.adopted
    ]
    older_count = sum(
        generation < latest_generation for generation in generations
    )
    unconfigured_count = sum(not node.adopted for node in restarted)
    fleet.platform.serve_latest()
    return {
        'restarted_while_stale': len(restarted),
        'reverts': older_count + _count_reverts(fleet),
        'without_configuration_after_restart': unconfigured_count,
    }


def _count_reverts(fleet: VirtualFleet) -> int:
    """Count how often a process returned to an older generation."""
    reverts = 0
    for node in (*fleet.running_nodes, *fleet.stopped_nodes):
        generations = [generation for _at, generation in node.adopted]
        reverts += sum(
            later < earlier
            for earlier, later in zip(
                generations, generations[1:], strict=False
            )
        )
    return reverts


def _publish_conflict(fleet: VirtualFleet) -> dict[str, Any]:
    """Publish two documents of one generation, one to each region."""
    fleet.publish_conflict()
    fleet.run(_SETTLE_SECONDS)
    document_keys = {node.gossip.store.in_force for node in fleet.running_nodes}
    counted = sum(
        node.metrics.value(Ignored.conflict) for node in fleet.running_nodes
    )
    return {'documents': len(document_keys), 'conflicts_counted': counted}


def _measure_reads(size: int, fleet: VirtualFleet, seed: int) -> dict[str, Any]:
    """Measure reads per second by fleet size and with the platform down."""
    rates: dict[int, float] = {}
    for smaller_size in _READ_FLEET_SIZES:
        if smaller_size < size:
            smaller_fleet = VirtualFleet(smaller_size, seed)
            smaller_fleet.start()
            rates[smaller_size] = _measure_idle_reads(smaller_fleet)
    rates[size] = _measure_idle_reads(fleet)
    fleet.platform.down = True
    start = fleet.clock.now
    fleet.run(_SETTLE_SECONDS * 2)
    reads_while_down = max(
        fleet.platform.calls[second]
        for second in range(int(start), int(fleet.clock.now))
    )
    fewest, most = min(rates), max(rates)
    return {
        'reads_a_second_by_size': rates,
        'reads_a_second': max(rates.values()),
        'reads_a_second_down': reads_while_down,
        'read_slope': (rates[most] / most) / (rates[fewest] / fewest),
    }


def _measure_idle_reads(fleet: VirtualFleet) -> float:
    start = fleet.clock.now
    fleet.run(_SETTLE_SECONDS)
    return fleet.platform.mean_call_rate(start, fleet.clock.now)


@dataclass(slots=True)
class _Poller:
    """A process of the naive fleet.

    Attributes:
        poll_phase: time of its polls as a share of the poll interval.
        generation: generation in force.
        adopted: generations put in force so far.
    """

    poll_phase: float
    generation: int = 1
    adopted: list[int] = field(default_factory=list)


def _simulate_naive(processes: int, seed: int) -> dict[str, Any]:
    """Simulate a fleet in which each process polls the platform.

    The platform answers up to its limit of reads each second.
    """
    rng = random.Random(seed)
    pollers = [_Poller(rng.random()) for _ in range(processes)]
    reads = 0
    last_at: float = 0
    for second in range(_MAX_IN_FORCE_SECONDS):
        order = rng.sample(pollers, len(pollers))
        reads = max(reads, len(order) * 2)
        # Each poll reads the manifest and the list; reads over the limit are
        # refused.
        for poller in order[: _MAX_READS_PER_SECOND // 2]:
            if poller.generation < 2:
                poller.generation = 2
                last_at = max(
                    last_at, second + poller.poll_phase * _NAIVE_POLL_SECONDS
                )
    lagging_count = sum(process.generation < 2 for process in pollers)
    restarted = rng.sample(pollers, int(processes * _RESTARTED_SHARE))
    for restarted_poller in restarted:
        # A restarted poller adopts the document of the stale platform.
        restarted_poller.generation = 1
    return {
        'seconds_in_force': float('inf') if lagging_count else last_at,
        'reads_a_second': reads,
        'reverts': sum(process.generation < 2 for process in restarted),
    }
