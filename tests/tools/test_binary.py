"""Tests of the single-file build."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from siskinbank import __version__

ROOT = Path(__file__).parents[2]
#: Hash seeds that result in different orders of sets of strings.
SEEDS = ('1', '2')
#: Imports extension modules of all libraries that have any.
IMPORT_EXTENSIONS = (
    'import aiohttp._http_parser, cryptography.x509, msgpack._cmsgpack, uvloop,'
    ' pydantic, xxhash, yaml._yaml; print(uvloop.__file__)'
)


def start_build(target: Path, seed: str) -> subprocess.Popen[bytes]:
    """Start a build in a subprocess."""
    return subprocess.Popen(
        [sys.executable, 'tools/build_binary.py', str(target)],
        cwd=ROOT,
        env={**os.environ, 'PYTHONHASHSEED': seed},
    )


class TestBinary(unittest.TestCase):
    """Tests that the build is reproducible and self-contained."""

    def test_builds_the_same_and_runs(self) -> None:
        """Two builds are equal, and the binary runs without site-packages."""
        with tempfile.TemporaryDirectory() as folder:
            directory = Path(folder)
            targets = [directory / f'siskinbank-{seed}' for seed in SEEDS]
            builds = list(map(start_build, targets, SEEDS))
            self.assertEqual([build.wait(120) for build in builds], [0, 0])
            first, second = (target.read_bytes() for target in targets)
            self.assertEqual(first, second)
            binary = str(targets[0])
            # Isolated mode, no site-packages: only the binary's code is loaded.
            python = [sys.executable, '-I', '-S']
            version_run = subprocess.run(
                [*python, binary, '--version'],
                capture_output=True,
                text=True,
                check=True,
                timeout=60,
            )
            self.assertIn(__version__, version_run.stdout)
            import_run = subprocess.run(
                [*python, '-c', _import_script(binary)],
                capture_output=True,
                text=True,
                check=True,
                timeout=60,
            )
            self.assertIn(f'{binary}/uvloop', import_run.stdout)


def _import_script(binary: str) -> str:
    return (
        f'import sys; sys.path.insert(0, {binary!r})\n'
        'import zipimport\n'
        f'code = zipimport.zipimporter({binary!r}).get_code("__main__")\n'
        'space = {"__name__": "bootstrap"}\n'
        'exec(code, space)\n'
        f'sys.meta_path.insert(0, space["ExtensionFinder"]({binary!r}))\n'
        f'{IMPORT_EXTENSIONS}\n'
    )
