"""Tests of the command line's errors and exit codes."""

import json
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from siskinbank import __version__
from siskinbank.lab.ports import free_ports

ROOT = Path(__file__).parents[2]
KEYS = f'1:{"ab" * 32}'
ENTRY = (
    'entry',
    '--name=e1',
    '--data-centre=a',
    '--platform=http://127.0.0.1:1',
)

#: Arguments, exit code, and what standard error must say.
CASES = (
    (('nonsense',), 2, 'No such command'),
    ((*ENTRY, '--bind=1.2.3.4', f'--keys={KEYS}'), 2, 'write IP:PORT'),
    ((*ENTRY, '--bind=1.2.3.4:1', '--keys=1:aa'), 2, 'key 1: 1 bytes'),
    ((*ENTRY, f'--keys={KEYS}'), 2, "Missing option '--bind'"),
    (
        (*ENTRY, '--bind=127.0.0.1:1', f'--keys={KEYS}', '--platform=x'),
        2,
        "siskinbank entry: Invalid value for '--platform'",
    ),
    (
        (*ENTRY, '--bind=192.0.2.1:1', f'--keys={KEYS}'),
        4,
        'siskinbank entry: ',
    ),
    (('status', '127.0.0.1:1'), 1, 'no answer'),
    (('check', 'examples/absent.yaml'), 1, '1 findings'),
)


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command line."""
    return subprocess.run(
        [sys.executable, '-m', 'siskinbank', *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=30,
        check=False,
    )


class TestCommandLine(unittest.TestCase):
    """What users see."""

    def test_version(self) -> None:
        """The version is printed."""
        self.assertIn(__version__, run('--version').stdout)

    def test_errors_are_one_clear_line(self) -> None:
        """Mistakes have an exit code and no traceback."""
        for arguments, code, wanted in CASES:
            with self.subTest(arguments):
                ended = run(*arguments)
                self.assertEqual(ended.returncode, code, ended.stderr)
                self.assertIn(wanted, ended.stderr)
                self.assertNotIn('Traceback', ended.stderr)
                self.assertEqual(ended.stderr.count('\n'), 1)

    def test_alone_teaches(self) -> None:
        """Without a command the help is shown."""
        ended = run()
        self.assertEqual(ended.returncode, 2)
        self.assertTrue(ended.stderr.startswith('Usage: '))

    def test_examples_are_right(self) -> None:
        """Both example sites pass the check."""
        for site in ('gr-north', 'norte'):
            with self.subTest(site):
                ended = run(
                    'check', 'examples/base.yaml', f'examples/{site}.yaml'
                )
                self.assertEqual(ended.returncode, 0, ended.stdout)
                self.assertIn(f'{site}: ', ended.stdout)

    def test_render_shows_changes(self) -> None:
        """Only what differs from the earlier rendering is printed."""
        files = ('examples/base.yaml', 'examples/norte.yaml')
        with tempfile.TemporaryDirectory() as holder:
            old = Path(holder) / 'old.yaml'
            text = run('render', *files).stdout
            old.write_text(
                text.replace('slots: 2', 'slots: 1', 1),
                encoding='utf-8',
            )
            changes = run('render', *files, '--against', str(old))
        self.assertEqual(
            changes.stdout,
            '~ services.bitacora.slots: 1 -> 2\n',
        )

    def test_render_publishes(self) -> None:
        """The published form carries generation, digests and sections."""
        files = ('examples/base.yaml', 'examples/norte.yaml')
        whole = run('render', *files, '--publish', '3')
        published = json.loads(whole.stdout)
        manifest = published['manifest']
        self.assertEqual(manifest['generation'], 3)
        self.assertEqual(
            set(manifest['sections']),
            {'site', 'service/bitacora', 'service/campo'},
        )

    def test_port_in_use(self) -> None:
        """A taken port is one clear line."""
        port = free_ports(1)[0]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(('127.0.0.1', port))
            ended = run(*ENTRY, f'--bind=127.0.0.1:{port}', f'--keys={KEYS}')
        self.assertEqual(ended.returncode, 4)
        self.assertIn('in use', ended.stderr)
        self.assertNotIn('Traceback', ended.stderr)
