"""Measure the start of an entry or sidecar in total and by imported module.

    .venv/bin/python tools/start_cost.py [entry | sidecar]

The entry and the sidecar are those of siskinbank.relay for the users' platform.
Prints the processor time of the bare interpreter and of the process with its
modules loaded, the time from the start of the process to the first request
that it serves (with stand-ins on loopback), and the import time of each
module, in descending order. If a machine of the users' platform provides
only a fraction of a core, divide the times by the fraction.
"""

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

__all__ = (
    'ImportTime',
    'command',
    'parse_import_times',
    'processor_time_s',
    'time_to_first_request_s',
)

_ROOT = Path(__file__).resolve().parent.parent
# The minimum of several runs excludes the effect of other processes.
_ROUNDS = 9
_MS_PER_SECOND = 1000
_FIELDS_PER_LINE = 3


@dataclass(frozen=True, slots=True)
class ImportTime:
    """The import time of a module, without the modules it imports."""

    name: str
    self_us: int


def command(code: str, *options: str) -> list[str]:
    """Return the command that runs code as the relay's processes do.

    Args:
        code: the Python code to run.
        options: additional interpreter options.
    """
    program = f'import sys; sys.path.insert(0, {str(_ROOT)!r}); {code}'
    return [sys.executable, '-S', '-E', *options, '-c', program]


def processor_time_s(code: str) -> float:
    """Return the processor time of an interpreter running code, in seconds.

    Args:
        code: the Python code to run.
    """
    return min(_measure_once_s(code) for _ in range(_ROUNDS))


def parse_import_times(report: str) -> list[ImportTime]:
    """Parse the output of ``-X importtime``, in descending order of time.

    Args:
        report: lines like ``import time:  152 |  300 |   zlib``.
    """
    import_times = []
    for line in report.splitlines():
        fields = line.removeprefix('import time:').split('|')
        if len(fields) == _FIELDS_PER_LINE and fields[0].strip().isdigit():
            import_times.append(ImportTime(fields[2].strip(), int(fields[0])))
    return sorted(import_times, key=lambda module: module.self_us, reverse=True)


async def time_to_first_request_s(role: str) -> float:
    """Restart a process in a small fleet and measure until it serves again.

    Args:
        role: ``entry`` or ``sidecar``.

    Returns:
        Seconds from the start of the process to the end of a request.
    """
    from siskinbank.lab.rig.fleet import RelayFleet

    with tempfile.TemporaryDirectory() as folder:
        fleet = RelayFleet(Path(folder), entry_count=1, host_count=1)
        await fleet.open()
        try:
            await fleet.wait_until_ready()
            group = fleet.entries if role == 'entry' else fleet.sidecars
            group[0].kill()
            started_at = time.monotonic()
            group[0].start()
            await fleet.wait_until_ready()
            return time.monotonic() - started_at
        finally:
            await fleet.close()


def _measure_once_s(code: str) -> float:
    before = os.times()
    subprocess.run(command(code), check=True)
    after = os.times()
    used = after.children_user + after.children_system
    return used - before.children_user - before.children_system


def _report(role: str = 'entry') -> str:
    code = f'import siskinbank.relay.main, siskinbank.relay.{role}'
    run = subprocess.run(
        command(code, '-X', 'importtime'),
        capture_output=True,
        text=True,
        check=True,
    )
    bare = processor_time_s('pass')
    total = processor_time_s(code)
    lines = [f'bare interpreter {bare * _MS_PER_SECOND:.1f} ms']
    beyond_ms = (total - bare) * _MS_PER_SECOND
    lines.append(f'{role} beyond it {beyond_ms:.1f} ms')
    serving_s = asyncio.run(time_to_first_request_s(role))
    lines.append(
        f'{serving_s * _MS_PER_SECOND:.0f} ms from its start to a request'
    )
    for module in parse_import_times(run.stderr):
        lines.append(f'{module.self_us:7} us {module.name}')
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    sys.path.insert(0, str(_ROOT))
    sys.stdout.write(_report(*sys.argv[1:]))
