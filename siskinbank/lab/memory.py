"""Memory of processes, as the kernel accounts it."""

import subprocess
import sys
from pathlib import Path

__all__ = ('bare_kilobytes', 'import_costs', 'private_kilobytes')

_SECONDS = 20
_PRIVATE = ('Private_Clean:', 'Private_Dirty:')
_READ = (
    'import sys; print(sum(int(line.split()[1]) '
    "for line in open('/proc/self/smaps_rollup') "
    "if line.startswith('Private')))"
)
_IMPORTS = (
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


def private_kilobytes(process: int) -> int:
    """Return the memory that belongs to one process alone (USS).

    Raises:
        OSError: there is no such process.
    """
    rollup = Path(f'/proc/{process}/smaps_rollup').read_text('ascii')
    return sum(
        int(line.split()[1])
        for line in rollup.splitlines()
        if line.startswith(_PRIVATE)
    )


def bare_kilobytes() -> int:
    """Return the memory of an interpreter that does nothing."""
    return _run('pass')


def import_costs() -> dict[str, int]:
    """Return what each import holds beyond the bare interpreter, alone."""
    bare = bare_kilobytes()
    return {name: _run(f'import {name}') - bare for name in _IMPORTS}


def _run(statement: str) -> int:
    ended = subprocess.run(
        [sys.executable, '-c', f'{statement}\n{_READ}'],
        capture_output=True,
        check=True,
        timeout=_SECONDS,
    )
    return int(ended.stdout)
