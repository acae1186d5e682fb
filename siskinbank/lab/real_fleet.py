"""Measure a limited number of processes on loopback for a fixed time."""

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path

from siskinbank.lab.fleet import Fleet, FleetPlan
from siskinbank.lab.memory import private_kilobytes

__all__ = ('ProcessFigures', 'measure_real')

_SETTLE_SECONDS = 5
_MEASURE_SECONDS = 10
_CENTRES = ('north-a', 'north-b', 'south-a', 'south-b')
_ENTRY_SHARE = 0.25
_START_BATCH_SIZE = 8
#: Index of utime in /proc/PID/stat after the command name; stime is next.
_UTIME_FIELD = 11


@dataclass(frozen=True, slots=True)
class ProcessFigures:
    """Measurements of processes that handle control traffic only.

    Attributes:
        processes: number of processes measured.
        core_share: mean share of a core that a process used.
        bytes_a_second: mean control bytes per second that a process sent.
        kilobytes: largest unique set size of a process in KiB, by role.
    """

    processes: int
    core_share: float
    bytes_a_second: float
    kilobytes: dict[str, int]


async def measure_real(count: int) -> ProcessFigures:
    """Start ``count`` entries and sidecars and measure them without load.

    Raises:
        TimeoutError: the processes did not start in time.
    """
    entries = max(int(count * _ENTRY_SHARE), 1)
    plan = FleetPlan('real', _CENTRES, entries, {'matcher': count - entries})
    fleet = Fleet(plan)
    try:
        await _start(fleet)
        await asyncio.sleep(_SETTLE_SECONDS)
        return await _measure(fleet)
    finally:
        await fleet.stop()


async def _start(fleet: Fleet) -> None:
    """Start the platform, the entries, and the sidecars in batches."""
    await fleet.start_without_hosts()
    ports = fleet.admin_ports()
    names = list(fleet.hosts)
    for first in range(0, len(names), _START_BATCH_SIZE):
        batch = names[first : first + _START_BATCH_SIZE]
        for name in batch:
            await fleet.start_sidecar(name)
        for started in batch:
            await fleet.wait_generation(ports[started])


async def _measure(fleet: Fleet) -> ProcessFigures:
    names = list(fleet.admin_ports())
    pids = {name: fleet.processes.pid(name) for name in names}
    before = await _control_bytes(fleet, names)
    ticks = {name: _cpu_ticks(pids[name]) for name in names}
    await asyncio.sleep(_MEASURE_SECONDS)
    used = sum(_cpu_ticks(pids[name]) - ticks[name] for name in names)
    sent = await _control_bytes(fleet, names) - before
    seconds = _MEASURE_SECONDS * len(names)
    roles = {'entry': list(fleet.entries), 'sidecar': list(fleet.hosts)}
    return ProcessFigures(
        len(names),
        used / os.sysconf('SC_CLK_TCK') / seconds,
        sent / seconds,
        {
            role: max(private_kilobytes(pids[name]) for name in members)
            for role, members in roles.items()
        },
    )


async def _control_bytes(fleet: Fleet, names: list[str]) -> int:
    statuses = [await fleet.status(name) for name in names]
    return sum(
        status['counts'].get('control_bytes', {}).get('', 0)
        for status in statuses
    )


def _cpu_ticks(pid: int) -> int:
    """Return the CPU time of a process in clock ticks."""
    stat = Path(f'/proc/{pid}/stat').read_text('ascii')
    fields = stat.rpartition(')')[2].split()
    return int(fields[_UTIME_FIELD]) + int(fields[_UTIME_FIELD + 1])
