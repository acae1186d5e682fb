"""Measure what the start of a lean program costs, part by part.

    .venv/bin/python tools/start_cost.py [entry | sidecar]

Prints the processor time of the bare interpreter and of the program with its
modules loaded, the time from the start of the program to the first request
that it serves (among stand-ins on loopback), and the time that each module
takes, the largest first. On a machine of the users' platform with a share of
a core, divide by the share.
"""

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

__all__ = ('Part', 'command', 'cost', 'first_request_s', 'parts')

_ROOT = Path(__file__).resolve().parent.parent
# The best of several runs: the others were disturbed.
_ROUNDS = 9
_MS = 1000
_FIELDS = 3


@dataclass(frozen=True, slots=True)
class Part:
    """A module and the time that its import takes by itself."""

    name: str
    own_us: int


def command(code: str, *options: str) -> list[str]:
    """Return how the lean programs' interpreter is started with some code.

    Args:
        code: what it runs.
        options: further options of the interpreter.
    """
    path = f'import sys; sys.path.insert(0, {str(_ROOT)!r}); {code}'
    return [sys.executable, '-S', '-E', *options, '-c', path]


def cost(code: str) -> float:
    """Return the processor time of an interpreter with some code, in seconds.

    Args:
        code: what it runs.
    """
    return min(_cost_once(code) for _ in range(_ROUNDS))


def parts(report: str) -> list[Part]:
    """Read what ``-X importtime`` writes, the largest part first.

    Args:
        report: lines like ``import time:  152 |  300 |   zlib``.
    """
    found = []
    for line in report.splitlines():
        fields = line.removeprefix('import time:').split('|')
        if len(fields) == _FIELDS and fields[0].strip().isdigit():
            found.append(Part(fields[2].strip(), int(fields[0])))
    return sorted(found, key=lambda part: part.own_us, reverse=True)


async def first_request_s(role: str) -> float:
    """Restart a program in a small fleet; return when it serves again.

    Args:
        role: ``entry`` or ``sidecar``.

    Returns:
        Seconds from the start of the process to the end of a request.
    """
    from siskinbank.lab.rig.fleet import Fleet

    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), entry_count=1, host_count=1)
        await fleet.open()
        try:
            await fleet.settle()
            group = fleet.entries if role == 'entry' else fleet.sidecars
            group[0].end()
            began = time.monotonic()
            group[0].start()
            await fleet.settle()
            return time.monotonic() - began
        finally:
            await fleet.close()


def _cost_once(code: str) -> float:
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
    bare = cost('pass')
    whole = cost(code)
    lines = [f'bare interpreter {bare * _MS:.1f} ms']
    beyond = (whole - bare) * _MS
    lines.append(f'{role} beyond it {beyond:.1f} ms')
    serving = asyncio.run(first_request_s(role))
    lines.append(f'{serving * _MS:.0f} ms from its start to a request')
    for part in parts(run.stderr):
        lines.append(f'{part.own_us:7} us {part.name}')
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    sys.path.insert(0, str(_ROOT))
    sys.stdout.write(_report(*sys.argv[1:]))
