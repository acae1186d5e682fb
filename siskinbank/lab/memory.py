"""Memory use of processes, as reported by the Linux kernel."""

import subprocess
import sys
from pathlib import Path

__all__ = ('bare_kilobytes', 'import_costs', 'private_kilobytes')

_TIMEOUT_SECONDS = 20
_PRIVATE_FIELDS = ('Private_Clean:', 'Private_Dirty:')
_PRINT_PRIVATE_KILOBYTES = (
    'import sys; print(sum(int(line.split()[1]) '
    "for line in open('/proc/self/smaps_rollup') "
    "if line.startswith('Private')))"
)
_MEASURED_IMPORTS = (
    'asyncio',
    'uvloop',
    'aiomisc',
    'aiohttp',
    'aiohttp.web',
    'pydantic',
    'msgpack',
    'hdrh.histogram',
    'prometheus_client',
    'cryptography.x509',
    'yaml',
    'siskinbank.node',
    'siskinbank.entry.daemon',
    'siskinbank.sidecar.daemon',
)


def private_kilobytes(pid: int) -> int:
    """Return the unique set size (USS) of a process in KiB.

    Raises:
        OSError: there is no such process.
    """
    rollup = Path(f'/proc/{pid}/smaps_rollup').read_text('ascii')
    return sum(
        int(line.split()[1])
        for line in rollup.splitlines()
        if line.startswith(_PRIVATE_FIELDS)
    )


def bare_kilobytes() -> int:
    """Return the USS of a bare Python interpreter in KiB."""
    return _measure_statement('pass')


def import_costs() -> dict[str, int]:
    """Return the USS of each import beyond a bare interpreter, in KiB.

    Each module is imported alone in a new interpreter.
    """
    bare = bare_kilobytes()
    return {
        name: _measure_statement(f'import {name}') - bare
        for name in _MEASURED_IMPORTS
    }


def _measure_statement(statement: str) -> int:
    completed = subprocess.run(
        [sys.executable, '-c', f'{statement}\n{_PRINT_PRIVATE_KILOBYTES}'],
        capture_output=True,
        check=True,
        timeout=_TIMEOUT_SECONDS,
    )
    return int(completed.stdout)
