"""Measure what control costs a process: bytes, processor time, memory."""

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

#: Stated targets for each process.
_MAX_BYTES = 28_000
_MAX_CORE_SHARE = 0.01
_MAX_KILOBYTES = 32 * 1024
_CHANGES_A_DAY = 260
_DAY_SECONDS = 86_400
_MILLISECONDS = 1000
_IDLE_SECONDS = 4
_CHANGES = 4
_APART_SECONDS = 2
_WORST_SECONDS = 8
_SIZES = (30, 60, 120)
_STATE_SIZES = (100, 400, 1600, 3610)
#: IP and UDP headers of one datagram.
_HEADER_BYTES = 28


def measure_control(
    seed: int,
    processes: int,
    real: int,
) -> ExperimentReport:
    """Measure idle, at the stated changes a day, and at the worst."""
    figures: dict[str, Any] = {'processes': processes}
    figures['by_size'] = {
        size: _idle(VirtualFleet(size, seed))
        for size in (*_SIZES, processes)
        if size <= processes
    }
    figures['state_by_size'] = {
        size: measure_state(size, seed) for size in _STATE_SIZES
    }
    fleet = VirtualFleet(processes, seed)
    idle = _idle(fleet)
    change = _measure(fleet, _change_often)
    changes = _CHANGES / (_CHANGES * _APART_SECONDS)
    figures['bytes_a_second_idle'] = idle['bytes_a_second']
    figures['core_share_idle'] = idle['core_share']
    for cost in ('bytes_a_second', 'core_share'):
        each = max(change[cost] - idle[cost], 0) / changes
        daily = idle[cost] + each * _CHANGES_A_DAY / _DAY_SECONDS
        figures[f'{cost}_260_changes_a_day'] = daily
    worst = _measure(fleet, _worst)
    figures['bytes_a_second_worst'] = worst['bytes_a_second']
    # In virtual time a document is checked once for all processes; here each
    # process pays for its own check of the change in each second.
    checked = measure_state(processes, seed)['judge_ms'] / _MILLISECONDS
    figures['core_share_worst'] = worst['core_share'] + checked
    figures['core_share_260_changes_a_day'] += (
        checked * _CHANGES_A_DAY / _DAY_SECONDS
    )
    naive = _naive(processes)
    bounds = [
        at_most(f'{what}, {when}', limit, figures[f'{what}_{when}'])
        for what, limit in (
            ('bytes_a_second', _MAX_BYTES),
            ('core_share', _MAX_CORE_SHARE),
        )
        for when in ('idle', '260_changes_a_day', 'worst')
    ]
    if real:
        bounds.extend(_real(real, figures))
    return ExperimentReport('control', seed, figures, naive, bounds)


def _measure(
    fleet: VirtualFleet,
    act: Callable[[VirtualFleet], float],
) -> dict[str, float]:
    """Return bytes sent and processor time for each process and second.

    The processor time is that of the product's decisions, codec and codes;
    sockets and the event loop come on top, see ``--real``.
    """
    network = fleet.network
    datagrams, octets = network.datagrams, network.octets
    gc.collect()
    started = time.process_time()
    seconds = act(fleet)
    busy = time.process_time() - started
    sent = network.octets - octets
    sent += (network.datagrams - datagrams) * _HEADER_BYTES
    count = len(fleet.nodes) * seconds
    return {'bytes_a_second': sent / count, 'core_share': busy / count}


def _idle(fleet: VirtualFleet) -> dict[str, float]:
    if not fleet.generation:
        fleet.start()

    def wait(idle: VirtualFleet) -> float:
        idle.run(_IDLE_SECONDS)
        return _IDLE_SECONDS

    return _measure(fleet, wait)


def _change_often(fleet: VirtualFleet) -> float:
    for number in range(_CHANGES):
        fleet.publish(number)
        fleet.run(_APART_SECONDS)
    return _CHANGES * _APART_SECONDS


def _worst(fleet: VirtualFleet) -> float:
    """Lose a data centre, restart others, and change all the while."""
    centre = fleet.instances[0].data_centre
    for instance in fleet.instances:
        if instance.data_centre == centre:
            fleet.kill(instance.name)
    names = [node.identity.name for node in fleet.alive]
    for second in range(_WORST_SECONDS):
        fleet.publish(second)
        fleet.restart(names[second % len(names)])
        fleet.set_listed_state(names[-second - 1], InstanceState.leaving)
        fleet.run(1)
    return _WORST_SECONDS


def _naive(processes: int) -> dict[str, Any]:
    """Let everyone poll manifest and list each second."""
    fleet = VirtualFleet(processes, 0)
    fleet.publish()
    manifest = len(fleet.platform.manifest.raw)
    lines = sum(len(canonical_json(asdict(one))) for one in fleet.instances)
    return {
        'bytes_a_second_idle': manifest + lines,
        'reads_a_second': 2 * processes,
    }


def _real(count: int, figures: dict[str, Any]) -> list[Any]:
    """Measure separate processes on loopback."""
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
        at_most('bytes a second, real', _MAX_BYTES, measured.bytes_a_second),
        *(
            at_most(f'kilobytes beyond bare, {role}', _MAX_KILOBYTES, used)
            for role, used in memory.items()
        ),
    ]
