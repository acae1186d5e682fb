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

#: Arguments, exit code, and a text that standard error must contain.
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
    """Run the command line in a subprocess."""
    return subprocess.run(
        [sys.executable, '-m', 'siskinbank', *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=30,
        check=False,
    )


class TestCommandLine(unittest.TestCase):
    """Tests of output and exit codes."""

    def test_version(self) -> None:
        """The version is printed."""
        self.assertIn(__version__, run('--version').stdout)

    def test_errors_are_one_line(self) -> None:
        """Errors give an exit code and one line without a traceback."""
        for arguments, code, expected in CASES:
            with self.subTest(arguments):
                result = run(*arguments)
                self.assertEqual(result.returncode, code, result.stderr)
                self.assertIn(expected, result.stderr)
                self.assertNotIn('Traceback', result.stderr)
                self.assertEqual(result.stderr.count('\n'), 1)

    def test_no_command_shows_help(self) -> None:
        """Without a command the help is shown."""
        result = run()
        self.assertEqual(result.returncode, 2)
        self.assertTrue(result.stderr.startswith('Usage: '))

    def test_examples_are_valid(self) -> None:
        """Both example sites are valid."""
        for site in ('gr-north', 'norte'):
            with self.subTest(site):
                result = run(
                    'check', 'examples/base.yaml', f'examples/{site}.yaml'
                )
                self.assertEqual(result.returncode, 0, result.stdout)
                self.assertIn(f'{site}: ', result.stdout)

    def test_render_shows_changes(self) -> None:
        """Only differences from the earlier rendering are printed."""
        files = ('examples/base.yaml', 'examples/norte.yaml')
        with tempfile.TemporaryDirectory() as directory:
            old = Path(directory) / 'old.yaml'
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
        """The published form has the generation and all sections."""
        files = ('examples/base.yaml', 'examples/norte.yaml')
        result = run('render', *files, '--publish', '3')
        published = json.loads(result.stdout)
        manifest = published['manifest']
        self.assertEqual(manifest['generation'], 3)
        self.assertEqual(
            set(manifest['sections']),
            {'site', 'service/bitacora', 'service/campo'},
        )

    def test_port_in_use(self) -> None:
        """A port in use is reported without a traceback."""
        port = free_ports(1)[0]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound_socket:
            bound_socket.bind(('127.0.0.1', port))
            result = run(*ENTRY, f'--bind=127.0.0.1:{port}', f'--keys={KEYS}')
        self.assertEqual(result.returncode, 4)
        self.assertIn('in use', result.stderr)
        self.assertNotIn('Traceback', result.stderr)
