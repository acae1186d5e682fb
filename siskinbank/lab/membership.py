"""Measure membership under wrong lists, failures, pauses and partitions."""

from typing import Any

from siskinbank.directory.failure_detection import SILENT_GONE_SECONDS
from siskinbank.directory.live import InstanceState
from siskinbank.lab.experiment import ExperimentReport, at_least, at_most
from siskinbank.lab.virtual_fleet import VirtualFleet
from siskinbank.lab.virtual_node import VirtualNode

__all__ = ('measure_membership',)

#: Targets in seconds.
_MAX_LEAVING_SECONDS = 3
_MAX_GONE_SECONDS = 30
_MAX_FRESH_SECONDS = 5
_MAX_HEAL_SECONDS = 10
#: Target for each process.
_MAX_BYTES_PER_SECOND = 28_000
_SETTLE_SECONDS = 8
_PAUSE_SECONDS = 20
_PARTITION_SECONDS = 25
_STEP_SECONDS = 0.25


def measure_membership(seed: int, processes: int) -> ExperimentReport:
    """Serve wrong lists, kill and pause processes, partition the regions.

    Args:
        seed: seed of the simulation.
        processes: number of simulated processes.
    """
    fleet = VirtualFleet(processes, seed)
    fleet.start()
    figures: dict[str, Any] = {'processes': processes}
    naive: dict[str, Any] = {}
    figures['seconds_leaving_by_list'] = _leave_by_list(fleet)
    figures['seconds_leaving_by_word'] = _leave_by_announcement(fleet)
    figures['healthy_dropped'], naive['healthy_dropped'] = _serve_wrong_lists(
        fleet
    )
    figures.update(_kill_one(fleet))
    figures.update(_pause_processes(fleet))
    figures.update(_partition_regions(fleet))
    naive['acted_while_stale'] = figures.pop('would_act_at_once')
    bounds = [
        at_most(
            'seconds until a leaving host is known by list',
            _MAX_LEAVING_SECONDS,
            figures['seconds_leaving_by_list'],
        ),
        at_most(
            'seconds until a leaving host is known by its own word',
            _MAX_LEAVING_SECONDS,
            figures['seconds_leaving_by_word'],
        ),
        at_most(
            'healthy hosts dropped on the word of a list',
            0,
            figures['healthy_dropped'],
        ),
        at_most(
            'seconds until a dead host is gone everywhere',
            _MAX_GONE_SECONDS,
            figures['seconds_gone'],
        ),
        at_least(
            'seconds until a dead host is gone at the first',
            SILENT_GONE_SECONDS,
            figures['seconds_gone_first'],
        ),
        at_most(
            'processes that acted on an old view after a pause',
            0,
            figures['acted_while_stale'],
        ),
        at_most(
            'seconds until a woken process acts again',
            _MAX_FRESH_SECONDS,
            figures['seconds_until_fresh'],
        ),
        at_most(
            'seconds until nobody is gone after regions heal',
            _MAX_HEAL_SECONDS,
            figures['seconds_to_heal'],
        ),
        at_most(
            'bytes a second of a process while regions heal',
            _MAX_BYTES_PER_SECOND,
            figures['bytes_while_healing'],
        ),
    ]
    return ExperimentReport('membership', seed, figures, naive, bounds)


def _leave_by_list(fleet: VirtualFleet) -> float:
    """Mark a host as leaving in the platform's list.

    Returns:
        Seconds from the first process that knows of it to the last.
    """
    name = fleet.instances[-1].name
    fleet.set_listed_state(name, InstanceState.leaving)
    fleet.run(_SETTLE_SECONDS)
    return _detection_spread(fleet, name)


def _leave_by_announcement(fleet: VirtualFleet) -> float:
    name = fleet.instances[-2].name
    fleet.nodes[name].gossip.declare_leaving()
    fleet.run(_SETTLE_SECONDS)
    return _detection_spread(fleet, name)


def _detection_spread(fleet: VirtualFleet, name: str) -> float:
    learned_at = [node.leaving_at.get(name) for node in fleet.running_nodes]
    if any(at is None for at in learned_at):
        return float('inf')
    times = [at for at in learned_at if at is not None]
    return max(times) - min(times)


def _serve_wrong_lists(fleet: VirtualFleet) -> tuple[int, int]:
    """Serve a list of half the fleet, an empty list, then the full list.

    Returns:
        The number of hosts that processes dropped, and the number that a
        process which follows each list would have dropped.
    """
    full_list = fleet.platform.instances
    omitted: set[str] = set()
    for listed in (full_list[::2], [], full_list):
        fleet.platform.instances = listed
        fleet.run(_SETTLE_SECONDS)
        omitted |= set(fleet.nodes) - {instance.name for instance in listed}
    dropped = {name for node in fleet.running_nodes for name in node.ever_gone}
    return len(dropped), len(omitted)


def _kill_one(fleet: VirtualFleet) -> dict[str, Any]:
    """Kill a process that remains in the list."""
    name = fleet.instances[-3].name
    killed_at = fleet.clock.now
    fleet.kill(name)
    while fleet.clock.now - killed_at < _MAX_GONE_SECONDS + 1:
        fleet.run(_STEP_SECONDS)
        if all(name in node.gossip.gone for node in fleet.running_nodes):
            break
    times = [
        node.gone_at.get(name, float('inf')) - killed_at
        for node in fleet.running_nodes
    ]
    return {'seconds_gone': max(times), 'seconds_gone_first': min(times)}


def _pause_processes(fleet: VirtualFleet) -> dict[str, Any]:
    """Pause two processes for longer than their lease on the known state."""
    paused = fleet.running_nodes[:2]
    for paused_node in paused:
        paused_node.pause()
    fleet.publish(1)
    fleet.run(_PAUSE_SECONDS)
    resumed_at = fleet.clock.now
    lagging_count = sum(_is_lagging(node, fleet) for node in paused)
    acted_count = sum(node.gossip.fresh for node in paused)
    for resumed_node in paused:
        resumed_node.resume()
    seconds = float('inf')
    while fleet.clock.now - resumed_at < _SETTLE_SECONDS:
        acted_count += sum(
            process.gossip.fresh and _is_lagging(process, fleet)
            for process in paused
        )
        fleet.run(_STEP_SECONDS / 10)
        if all(process.gossip.fresh for process in paused):
            seconds = fleet.clock.now - resumed_at
            break
    return {
        'acted_while_stale': acted_count,
        'would_act_at_once': lagging_count,
        'seconds_until_fresh': seconds,
    }


def _is_lagging(node: VirtualNode, fleet: VirtualFleet) -> bool:
    return node.generation < fleet.generation


def _partition_regions(fleet: VirtualFleet) -> dict[str, Any]:
    """Partition the regions, publish, and remove the partition."""
    removed_names = {instance.name for instance in fleet.instances[-3:]}
    fleet.partition_regions()
    fleet.platform.reachable_region = 'north'
    fleet.run(_PARTITION_SECONDS / 2)
    fleet.publish(2)
    fleet.run(_PARTITION_SECONDS / 2)
    gone = max(
        len(node.gossip.gone - removed_names) for node in fleet.running_nodes
    )
    fleet.remove_partitions()
    healed_at = fleet.clock.now
    bytes_before = fleet.network.bytes_sent
    seconds = float('inf')
    while fleet.clock.now - healed_at < _MAX_HEAL_SECONDS + 1:
        fleet.run(_STEP_SECONDS)
        none_gone = not any(
            node.gossip.gone - removed_names for node in fleet.running_nodes
        )
        none_lagging = all(
            node.generation == fleet.generation for node in fleet.running_nodes
        )
        if none_gone and none_lagging:
            seconds = fleet.clock.now - healed_at
            break
    bytes_sent = fleet.network.bytes_sent - bytes_before
    elapsed = max(fleet.clock.now - healed_at, 1)
    return {
        'gone_while_apart': gone,
        'seconds_to_heal': seconds,
        'bytes_while_healing': bytes_sent / elapsed / len(fleet.nodes),
    }
