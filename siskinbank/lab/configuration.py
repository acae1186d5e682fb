"""Measure how a configuration comes into force everywhere, and stays."""

import random
from dataclasses import dataclass, field
from typing import Any

from siskinbank.kernel.reasons import Ignored
from siskinbank.lab.experiment import ExperimentReport, at_most
from siskinbank.lab.virtual_fleet import VirtualFleet

__all__ = ('measure_configuration',)

#: Stated targets: seconds to be in force everywhere, reads a second.
_MAX_SECONDS = 11
_MAX_READS = 2000
_STEP_SECONDS = 0.25
_LIMIT_SECONDS = 30
_LOSS = 0.02
_PAUSED_SHARE = 0.02
_FAULT_SECONDS = 4
_RESTARTED_SHARE = 0.1
_SETTLE_SECONDS = 6
_NAIVE_POLL_SECONDS = 1
_READ_SIZES = (10, 30, 100, 300)


def measure_configuration(seed: int, processes: int) -> ExperimentReport:
    """Publish, publish under faults, restart while the service is stale."""
    fleet = VirtualFleet(processes, seed)
    fleet.start()
    figures: dict[str, Any] = {'processes': processes}
    figures['seconds_in_force'] = _in_force(fleet)
    figures['seconds_under_faults'] = _under_faults(fleet)
    figures.update(_restarts_while_stale(fleet))
    figures.update(_conflict(fleet))
    figures.update(_reads(processes, fleet, seed))
    naive = _naive(processes, seed)
    return ExperimentReport(
        'configuration',
        seed,
        figures,
        naive,
        [
            at_most(
                'seconds in force, no faults',
                _MAX_SECONDS,
                figures['seconds_in_force'],
            ),
            at_most(
                'seconds in force, loss, pauses and a partition',
                _MAX_SECONDS,
                figures['seconds_under_faults'],
            ),
            at_most('reverts', 0, figures['reverts']),
            at_most('documents in force at the end', 1, figures['documents']),
            at_most('reads a second', _MAX_READS, figures['reads_a_second']),
            at_most(
                'reads a second, service down',
                _MAX_READS,
                figures['reads_a_second_down'],
            ),
            at_most(
                'reads a process a second: most against fewest processes',
                1,
                figures['read_slope'],
            ),
        ],
    )


def _wait(fleet: VirtualFleet, generation: int) -> float:
    """Return the seconds until a generation is in force everywhere."""
    start = fleet.clock.now
    while fleet.clock.now - start < _LIMIT_SECONDS:
        fleet.run(_STEP_SECONDS)
        if all(node.generation >= generation for node in fleet.alive):
            latest = max(node.adopted[-1][0] for node in fleet.alive)
            return latest - start
    return float('inf')


def _in_force(fleet: VirtualFleet) -> float:
    fleet.publish(1)
    return _wait(fleet, fleet.generation)


def _under_faults(fleet: VirtualFleet) -> float:
    """Publish while datagrams are lost, some pause, and regions are apart."""
    fleet.network.loss = _LOSS
    count = max(int(len(fleet.nodes) * _PAUSED_SHARE), 1)
    paused = fleet.rng.sample(fleet.alive, count)
    for node in paused:
        node.pause()
        fleet.network.after(_FAULT_SECONDS, node.resume)
    fleet.partition_regions()
    fleet.platform.reachable_region = 'north'
    fleet.network.after(_FAULT_SECONDS, fleet.remove_partitions)
    fleet.publish(2)
    seconds = _wait(fleet, fleet.generation)
    fleet.network.loss = 0
    return seconds


def _restarts_while_stale(fleet: VirtualFleet) -> dict[str, Any]:
    """Restart some, a data centre and all entries; the service is stale."""
    now = fleet.generation
    fleet.platform.serve_previous()
    names = fleet.rng.sample(
        list(fleet.nodes),
        max(int(len(fleet.nodes) * _RESTARTED_SHARE), 1),
    )
    centre = fleet.instances[0].data_centre
    for instance in fleet.instances:
        if instance.role.value == 'entry' or instance.data_centre == centre:
            names.append(instance.name)
    restarted = [fleet.restart(name) for name in sorted(set(names))]
    fleet.run(_SETTLE_SECONDS)
    generations = [
        generation for node in restarted for _at, generation in node.adopted
    ]
    lower = sum(generation < now for generation in generations)
    waiting = sum(not node.adopted for node in restarted)
    fleet.platform.serve_latest()
    return {
        'restarted_while_stale': len(restarted),
        'reverts': lower + _own_reverts(fleet),
        'without_configuration_after_restart': waiting,
    }


def _own_reverts(fleet: VirtualFleet) -> int:
    """Count the times that a process itself went back."""
    reverts = 0
    for node in (*fleet.alive, *fleet.stopped_nodes):
        taken = [generation for _at, generation in node.adopted]
        reverts += sum(
            later < earlier
            for earlier, later in zip(taken, taken[1:], strict=False)
        )
    return reverts


def _conflict(fleet: VirtualFleet) -> dict[str, Any]:
    """Publish two documents under one number, one to each region."""
    fleet.publish_conflict()
    fleet.run(_SETTLE_SECONDS)
    keys = {node.gossip.store.in_force for node in fleet.alive}
    counted = sum(node.metrics.value(Ignored.conflict) for node in fleet.alive)
    return {'documents': len(keys), 'conflicts_counted': counted}


def _reads(size: int, fleet: VirtualFleet, seed: int) -> dict[str, Any]:
    """Measure reads a second by fleet size, and with the service down."""
    rates: dict[int, float] = {}
    for smaller in _READ_SIZES:
        if smaller < size:
            other = VirtualFleet(smaller, seed)
            other.start()
            rates[smaller] = _idle_reads(other)
    rates[size] = _idle_reads(fleet)
    fleet.platform.down = True
    start = fleet.clock.now
    fleet.run(_SETTLE_SECONDS * 2)
    down = max(
        fleet.platform.calls[second]
        for second in range(int(start), int(fleet.clock.now))
    )
    fewest, most = min(rates), max(rates)
    return {
        'reads_a_second_by_size': rates,
        'reads_a_second': max(rates.values()),
        'reads_a_second_down': down,
        'read_slope': (rates[most] / most) / (rates[fewest] / fewest),
    }


def _idle_reads(fleet: VirtualFleet) -> float:
    start = fleet.clock.now
    fleet.run(_SETTLE_SECONDS)
    return fleet.platform.rate(start, fleet.clock.now)


@dataclass(slots=True)
class _Poller:
    due: float
    generation: int = 1
    taken: list[int] = field(default_factory=list)


def _naive(processes: int, seed: int) -> dict[str, Any]:
    """Let everyone poll; the service answers up to its limit each second."""
    rng = random.Random(seed)
    pollers = [_Poller(rng.random()) for _ in range(processes)]
    reads = 0
    late: float = 0
    for second in range(_MAX_SECONDS):
        order = rng.sample(pollers, len(pollers))
        reads = max(reads, len(order) * 2)
        # Each poll reads the manifest and the list; the rest is turned away.
        for poller in order[: _MAX_READS // 2]:
            if poller.generation < 2:
                poller.generation = 2
                late = max(late, second + poller.due * _NAIVE_POLL_SECONDS)
    behind = sum(one.generation < 2 for one in pollers)
    restarted = rng.sample(pollers, int(processes * _RESTARTED_SHARE))
    for taken in restarted:
        # A restarted poller takes what the stale service says.
        taken.generation = 1
    return {
        'seconds_in_force': float('inf') if behind else late,
        'reads_a_second': reads,
        'reverts': sum(one.generation < 2 for one in restarted),
    }
