"""Measure the control plane cost of a process: bytes, CPU time, memory."""

import asyncio
import gc
import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from siskinbank.directory.live import InstanceState
from siskinbank.lab.experiment import ExperimentReport, at_most
from siskinbank.lab.memory import bare_kilobytes, import_costs
from siskinbank.lab.node_state import measure_state
from siskinbank.lab.real_fleet import measure_real
from siskinbank.lab.virtual_fleet import VirtualFleet
from siskinbank.util import canonical_json

__all__ = ('measure_control',)

#: Targets for each process: bytes per second, share of a core, KiB.
_MAX_BYTES_PER_SECOND = 28_000
_MAX_CORE_SHARE = 0.01
_MAX_KILOBYTES = 32 * 1024
_CHANGES_PER_DAY = 260
_SECONDS_PER_DAY = 86_400
_MILLISECONDS_PER_SECOND = 1000
_IDLE_SECONDS = 4
_CHANGES = 4
_CHANGE_INTERVAL_SECONDS = 2
_WORST_CASE_SECONDS = 8
_FLEET_SIZES = (30, 60, 120)
_STATE_FLEET_SIZES = (100, 400, 1600, 3610)
#: IP and UDP headers of one datagram.
_HEADER_BYTES = 28


def measure_control(
    seed: int,
    processes: int,
    real: int,
) -> ExperimentReport:
    """Measure the cost when idle, at 260 changes a day, and in the worst case.

    Args:
        seed: seed of the simulation.
        processes: number of simulated processes.
        real: number of processes to measure on loopback besides; 0 for none.
    """
    figures: dict[str, Any] = {'processes': processes}
    figures['by_size'] = {
        size: _measure_idle(VirtualFleet(size, seed))
        for size in (*_FLEET_SIZES, processes)
        if size <= processes
    }
    figures['state_by_size'] = {
        size: measure_state(size, seed) for size in _STATE_FLEET_SIZES
    }
    fleet = VirtualFleet(processes, seed)
    idle = _measure_idle(fleet)
    change = _measure_cost(fleet, _run_frequent_changes)
    changes_per_second = _CHANGES / (_CHANGES * _CHANGE_INTERVAL_SECONDS)
    figures['bytes_a_second_idle'] = idle['bytes_a_second']
    figures['core_share_idle'] = idle['core_share']
    for name in ('bytes_a_second', 'core_share'):
        cost_per_change = max(change[name] - idle[name], 0) / changes_per_second
        daily = (
            idle[name] + cost_per_change * _CHANGES_PER_DAY / _SECONDS_PER_DAY
        )
        figures[f'{name}_260_changes_a_day'] = daily
    worst = _measure_cost(fleet, _run_worst_case)
    figures['bytes_a_second_worst'] = worst['bytes_a_second']
    # The simulation validates each document once for all processes, so the
    # cost of one validation per process and change is added here; the worst
    # case has one change each second.
    validation_seconds = (
        measure_state(processes, seed)['judge_ms'] / _MILLISECONDS_PER_SECOND
    )
    figures['core_share_worst'] = worst['core_share'] + validation_seconds
    figures['core_share_260_changes_a_day'] += (
        validation_seconds * _CHANGES_PER_DAY / _SECONDS_PER_DAY
    )
    naive = _naive_cost(processes)
    bounds = [
        at_most(f'{what}, {when}', limit, figures[f'{what}_{when}'])
        for what, limit in (
            ('bytes_a_second', _MAX_BYTES_PER_SECOND),
            ('core_share', _MAX_CORE_SHARE),
        )
        for when in ('idle', '260_changes_a_day', 'worst')
    ]
    if real:
        bounds.extend(_measure_processes(real, figures))
    return ExperimentReport('control', seed, figures, naive, bounds)


def _measure_cost(
    fleet: VirtualFleet,
    run_scenario: Callable[[VirtualFleet], float],
) -> dict[str, float]:
    """Return bytes sent and CPU time per process and second.

    The CPU time covers siskinbank's decisions, codec and message
    authentication, without sockets and the event loop; for those see
    ``--real``.
    """
    network = fleet.network
    datagrams_before, bytes_before = network.datagrams, network.bytes_sent
    gc.collect()
    started = time.process_time()
    seconds = run_scenario(fleet)
    cpu_seconds = time.process_time() - started
    bytes_sent = network.bytes_sent - bytes_before
    bytes_sent += (network.datagrams - datagrams_before) * _HEADER_BYTES
    process_seconds = len(fleet.nodes) * seconds
    return {
        'bytes_a_second': bytes_sent / process_seconds,
        'core_share': cpu_seconds / process_seconds,
    }


def _measure_idle(fleet: VirtualFleet) -> dict[str, float]:
    if not fleet.generation:
        fleet.start()

    def wait(idle_fleet: VirtualFleet) -> float:
        idle_fleet.run(_IDLE_SECONDS)
        return _IDLE_SECONDS

    return _measure_cost(fleet, wait)


def _run_frequent_changes(fleet: VirtualFleet) -> float:
    for number in range(_CHANGES):
        fleet.publish(number)
        fleet.run(_CHANGE_INTERVAL_SECONDS)
    return _CHANGES * _CHANGE_INTERVAL_SECONDS


def _run_worst_case(fleet: VirtualFleet) -> float:
    """Kill all processes of a data centre, then change the fleet every second.

    Each change publishes a document, restarts a process and lists another one
    as leaving.
    """
    data_centre = fleet.instances[0].data_centre
    for instance in fleet.instances:
        if instance.data_centre == data_centre:
            fleet.kill(instance.name)
    names = [node.identity.name for node in fleet.running_nodes]
    for second in range(_WORST_CASE_SECONDS):
        fleet.publish(second)
        fleet.restart(names[second % len(names)])
        fleet.set_listed_state(names[-second - 1], InstanceState.leaving)
        fleet.run(1)
    return _WORST_CASE_SECONDS


def _naive_cost(processes: int) -> dict[str, Any]:
    """Return the cost if each process polled manifest and list each second."""
    fleet = VirtualFleet(processes, 0)
    fleet.publish()
    manifest_bytes = len(fleet.platform.manifest.raw)
    list_bytes = sum(
        len(canonical_json(asdict(instance))) for instance in fleet.instances
    )
    return {
        'bytes_a_second_idle': manifest_bytes + list_bytes,
        'reads_a_second': 2 * processes,
    }


def _measure_processes(count: int, figures: dict[str, Any]) -> list[Any]:
    """Measure ``count`` separate processes on loopback."""
    measured = asyncio.run(measure_real(count))
    bare = bare_kilobytes()
    memory = {
        role: kilobytes - bare for role, kilobytes in measured.kilobytes.items()
    }
    figures['real_processes'] = measured.processes
    figures['real_core_share'] = measured.core_share
    figures['real_bytes_a_second'] = measured.bytes_a_second
    figures['bare_interpreter_kilobytes'] = bare
    figures['kilobytes_beyond_bare'] = memory
    figures['kilobytes_by_import'] = import_costs()
    return [
        at_most('core share, real', _MAX_CORE_SHARE, measured.core_share),
        at_most(
            'bytes a second, real',
            _MAX_BYTES_PER_SECOND,
            measured.bytes_a_second,
        ),
        *(
            at_most(f'kilobytes beyond bare, {role}', _MAX_KILOBYTES, used)
            for role, used in memory.items()
        ),
    ]
