"""Measure what a lying list, silence, pauses and partitions lead to."""

from typing import Any

from siskinbank.directory.failure_detection import SILENT_GONE_SECONDS
from siskinbank.directory.live import InstanceState
from siskinbank.lab.experiment import ExperimentReport, at_least, at_most
from siskinbank.lab.virtual_fleet import VirtualFleet
from siskinbank.lab.virtual_node import VirtualNode

__all__ = ('measure_membership',)

#: Stated targets in seconds.
_LEAVING_SECONDS = 3
_GONE_SECONDS = 30
_FRESH_SECONDS = 5
_HEAL_SECONDS = 10
#: Stated target in bytes a second for each process.
_MAX_BYTES = 28_000
_LIST_SECONDS = 8
_PAUSE_SECONDS = 20
_APART_SECONDS = 25
_STEP_SECONDS = 0.25


def measure_membership(seed: int, processes: int) -> ExperimentReport:
    """Lie about the fleet, lose and pause processes, part the regions."""
    fleet = VirtualFleet(processes, seed)
    fleet.start()
    figures: dict[str, Any] = {'processes': processes}
    naive: dict[str, Any] = {}
    figures['seconds_leaving_by_list'] = _leave_by_list(fleet)
    figures['seconds_leaving_by_word'] = _leave_by_word(fleet)
    figures['healthy_dropped'], naive['healthy_dropped'] = _lie(fleet)
    figures.update(_lose_one(fleet))
    figures.update(_pause(fleet))
    figures.update(_part(fleet))
    naive['acted_while_stale'] = figures.pop('would_act_at_once')
    bounds = [
        at_most(
            'seconds until a leaving host is known by list',
            _LEAVING_SECONDS,
            figures['seconds_leaving_by_list'],
        ),
        at_most(
            'seconds until a leaving host is known by its own word',
            _LEAVING_SECONDS,
            figures['seconds_leaving_by_word'],
        ),
        at_most(
            'healthy hosts dropped on the word of a list',
            0,
            figures['healthy_dropped'],
        ),
        at_most(
            'seconds until a dead host is gone everywhere',
            _GONE_SECONDS,
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
            _FRESH_SECONDS,
            figures['seconds_until_fresh'],
        ),
        at_most(
            'seconds until nobody is gone after regions heal',
            _HEAL_SECONDS,
            figures['seconds_to_heal'],
        ),
        at_most(
            'bytes a second of a process while regions heal',
            _MAX_BYTES,
            figures['bytes_while_healing'],
        ),
    ]
    return ExperimentReport('membership', seed, figures, naive, bounds)


def _leave_by_list(fleet: VirtualFleet) -> float:
    """Return the seconds from the first process that knows to the last."""
    name = fleet.instances[-1].name
    fleet.set_listed_state(name, InstanceState.leaving)
    fleet.run(_LIST_SECONDS)
    return _spread(fleet, name)


def _leave_by_word(fleet: VirtualFleet) -> float:
    name = fleet.instances[-2].name
    fleet.nodes[name].gossip.declare_leaving()
    fleet.run(_LIST_SECONDS)
    return _spread(fleet, name)


def _spread(fleet: VirtualFleet, name: str) -> float:
    known = [node.leaving_at.get(name) for node in fleet.alive]
    if any(at is None for at in known):
        return float('inf')
    times = [at for at in known if at is not None]
    return max(times) - min(times)


def _lie(fleet: VirtualFleet) -> tuple[int, int]:
    """Omit half the fleet, then list nobody.

    Returns:
        How many were dropped, and how many a process would have dropped that
        believes each list.
    """
    whole = fleet.platform.instances
    omitted: set[str] = set()
    for listed in (whole[::2], [], whole):
        fleet.platform.instances = listed
        fleet.run(_LIST_SECONDS)
        omitted |= set(fleet.nodes) - {one.name for one in listed}
    dropped = {name for node in fleet.alive for name in node.ever_gone}
    return len(dropped), len(omitted)


def _lose_one(fleet: VirtualFleet) -> dict[str, Any]:
    """Kill a process that the list goes on to name."""
    name = fleet.instances[-3].name
    died_at = fleet.clock.now
    fleet.kill(name)
    while fleet.clock.now - died_at < _GONE_SECONDS + 1:
        fleet.run(_STEP_SECONDS)
        if all(name in node.gossip.gone for node in fleet.alive):
            break
    times = [
        node.gone_at.get(name, float('inf')) - died_at for node in fleet.alive
    ]
    return {'seconds_gone': max(times), 'seconds_gone_first': min(times)}


def _pause(fleet: VirtualFleet) -> dict[str, Any]:
    """Pause two processes for longer than the lease, and wake them."""
    paused = fleet.alive[:2]
    for tired in paused:
        tired.pause()
    fleet.publish(1)
    fleet.run(_PAUSE_SECONDS)
    woke_at = fleet.clock.now
    behind = sum(_is_behind(node, fleet) for node in paused)
    acted = sum(node.gossip.fresh for node in paused)
    for woken in paused:
        woken.resume()
    seconds = float('inf')
    while fleet.clock.now - woke_at < _LIST_SECONDS:
        acted += sum(
            one.gossip.fresh and _is_behind(one, fleet) for one in paused
        )
        fleet.run(_STEP_SECONDS / 10)
        if all(one.gossip.fresh for one in paused):
            seconds = fleet.clock.now - woke_at
            break
    return {
        'acted_while_stale': acted,
        'would_act_at_once': behind,
        'seconds_until_fresh': seconds,
    }


def _is_behind(node: VirtualNode, fleet: VirtualFleet) -> bool:
    return node.generation < fleet.generation


def _part(fleet: VirtualFleet) -> dict[str, Any]:
    """Let regions lose each other, publish, and let them find each other."""
    lost = {instance.name for instance in fleet.instances[-3:]}
    fleet.partition_regions()
    fleet.platform.reachable_region = 'north'
    fleet.run(_APART_SECONDS / 2)
    fleet.publish(2)
    fleet.run(_APART_SECONDS / 2)
    gone = max(len(node.gossip.gone - lost) for node in fleet.alive)
    fleet.remove_partitions()
    healed_at = fleet.clock.now
    before = fleet.network.octets
    seconds = float('inf')
    while fleet.clock.now - healed_at < _HEAL_SECONDS + 1:
        fleet.run(_STEP_SECONDS)
        whole = not any(node.gossip.gone - lost for node in fleet.alive)
        newest = all(
            node.generation == fleet.generation for node in fleet.alive
        )
        if whole and newest:
            seconds = fleet.clock.now - healed_at
            break
    octets = fleet.network.octets - before
    passed = max(fleet.clock.now - healed_at, 1)
    return {
        'gone_while_apart': gone,
        'seconds_to_heal': seconds,
        'bytes_while_healing': octets / passed / len(fleet.nodes),
    }
