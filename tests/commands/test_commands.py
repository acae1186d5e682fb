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

    def test_check_against_version_in_force(self) -> None:
        """Differences don't change the exit code; OLD may be published."""
        files = ('examples/base.yaml', 'examples/norte.yaml')
        with tempfile.TemporaryDirectory() as directory:
            old = Path(directory) / 'old'
            # The first service in the rendering and in the publication.
            for service, text, arguments in (
                ('bitacora', 'slots: 2', ()),
                ('campo', r'\"slots\":2', ('--publish', '3')),
            ):
                with self.subTest(arguments):
                    rendered = run('render', *files, *arguments).stdout
                    changed = text.replace('2', '1')
                    self.assertIn(text, rendered)
                    old.write_text(
                        rendered.replace(text, changed, 1), encoding='utf-8'
                    )
                    result = run('check', *files, '--against', str(old))
                    self.assertEqual(result.returncode, 0, result.stderr)
                    self.assertIn('norte: 2 services', result.stdout)
                    self.assertTrue(
                        result.stdout.endswith(
                            f'~ services.{service}.slots: 1 -> 2\n'
                            f'1 differences from {old}\n'
                        ),
                        result.stdout,
                    )

    def test_check_against_invalid_version(self) -> None:
        """A damaged version in force is reported with exit code 1."""
        files = ('examples/base.yaml', 'examples/norte.yaml')
        with tempfile.TemporaryDirectory() as directory:
            old = Path(directory) / 'old'
            for text, expected in (
                ('site: norte\n', 'old:1: data_centres: missing'),
                (
                    '{"manifest": {}, "sections": {}}',
                    'old:1: sections: not the',
                ),
                (
                    '{"manifest": {}, "sections": {"site": "{"}}',
                    'old:1: sections: not the',
                ),
                (
                    '{"manifest": {}, "sections": {"site": 3}}',
                    'old:1: sections: not the',
                ),
                ('{"manifest": {}, "sections": 3}', 'old:1: sections: not the'),
                ('', 'old:1: not a mapping'),
            ):
                with self.subTest(text):
                    old.write_text(text, encoding='utf-8')
                    result = run('check', *files, '--against', str(old))
                    self.assertEqual(result.returncode, 1, result.stdout)
                    self.assertIn(expected, result.stdout)
                    self.assertEqual(result.stderr, '1 findings\n')

    def test_check_warnings(self) -> None:
        """A warning is printed and leaves the exit code 0."""
        files = ('examples/base.yaml', 'examples/norte.yaml')
        with tempfile.TemporaryDirectory() as directory:
            overlay = Path(directory) / 'out.yaml'
            overlay.write_text(
                'data_centres: {norte-ovied: {state: out}}\n', encoding='utf-8'
            )
            result = run('check', *files, str(overlay))
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(result.stderr, '')
        self.assertTrue(
            result.stdout.startswith(
                f'{overlay}:1: data_centres.norte-ovied: warning: no host is in '
            ),
            result.stdout,
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
