"""Tests of ``siskinbank check --routes``."""

import json
import tempfile
import unittest
from pathlib import Path

from tests.commands.test_commands import ROOT, run

EXAMPLE = 'examples/routes.json'


class TestCheckRoutes(unittest.TestCase):
    """Tests of output and exit codes."""

    def setUp(self) -> None:
        """Create a file for another version."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, 'other.json')
        self.document = json.loads((ROOT / EXAMPLE).read_text(encoding='utf-8'))

    def write(self) -> str:
        """Write the document to the file and return its name."""
        self.path.write_text(json.dumps(self.document), encoding='utf-8')
        return str(self.path)

    def test_usage(self) -> None:
        """Guards against a combination that checks only one of two formats."""
        for arguments, expected in (
            (('--routes', EXAMPLE, 'examples/base.yaml'), '--routes takes '),
            (
                ('examples/base.yaml', 'examples/norte.yaml', '--routes', 'x'),
                '--routes takes neither BASE nor OVERLAYS',
            ),
            ((), "Missing argument 'BASE', or --routes NEW"),
            (('--against', EXAMPLE), "Missing argument 'BASE', or --routes"),
        ):
            with self.subTest(arguments):
                result = run('check', *arguments)
                self.assertEqual(result.returncode, 2, result.stdout)
                self.assertEqual(result.stdout, '')
                self.assertIn(f'siskinbank check: {expected}', result.stderr)
                self.assertEqual(result.stderr.count('\n'), 1)

    def test_valid(self) -> None:
        """The example is valid and has no warnings."""
        result = run('check', '--routes', EXAMPLE)
        self.assertEqual(result.returncode, 0, result.stdout)
        self.assertEqual(result.stdout, 'version 42: 2 routes, 3 services\n')
        self.assertEqual(result.stderr, '')

    def test_differences(self) -> None:
        """Differences and warnings don't change the exit code."""
        self.document['Version'] = 50
        self.document['Routes'].pop()
        self.document['Routes'][0]['TimeoutMs'] = 2500
        new = self.write()
        result = run('check', '--routes', new, '--against', EXAMPLE)
        self.assertEqual(result.returncode, 0, result.stdout)
        lines = result.stdout.splitlines()
        self.assertTrue(
            lines[0].startswith(
                f"{new}:1: Services.2.Name: warning: no route names 'reports'"
            )
        )
        self.assertEqual(lines[1], 'version 50: 1 routes, 3 services')
        self.assertEqual(
            lines[2], '~ routes.198.18.0.1:443.timeout_ms: 2000 -> 2500'
        )
        self.assertTrue(lines[3].startswith('- routes.198.18.0.1:8443: {'))
        self.assertTrue(lines[3].endswith('}; open flows of the route may end'))
        self.assertEqual(lines[4:], [f'2 differences from {EXAMPLE}'])

    def test_version_in_force(self) -> None:
        """Guards against sending a version that processes ignore."""
        for version in (41, 42):
            with self.subTest(version=version):
                self.document['Version'] = version
                new = self.write()
                result = run('check', '--routes', new, '--against', EXAMPLE)
                self.assertEqual(result.returncode, 1, result.stdout)
                self.assertTrue(
                    result.stdout.startswith(
                        f'{new}:1: Version: version {version} is not above 42, '
                    ),
                    result.stdout,
                )
                self.assertIn(f'0 differences from {EXAMPLE}\n', result.stdout)
                self.assertEqual(result.stderr, '1 findings\n')

    def test_findings_of_both(self) -> None:
        """Guards against a comparison with a damaged version in force."""
        self.document['Routes'][1]['Host'] = 'x'
        del self.document['Services']
        other = self.write()
        for arguments in (
            ('--routes', other),
            ('--routes', EXAMPLE, '--against', other),
        ):
            with self.subTest(arguments):
                result = run('check', *arguments)
                self.assertEqual(result.returncode, 1)
                self.assertIn(f'{other}:1: Routes.1.Host: ', result.stdout)
                self.assertIn(f'{other}:1: Services: missing', result.stdout)
                self.assertNotIn('differences', result.stdout)
                self.assertEqual(result.stderr, '2 findings\n')

    def test_unreadable_files(self) -> None:
        """A file that can't be read is a finding, for both versions."""
        absent = str(self.path)
        folder = str(self.path.parent)
        for arguments, expected in (
            (('--routes', absent), f'{absent}:1: cannot be read (No such '),
            (('--routes', folder), f'{folder}:1: cannot be read (Is a dir'),
            (('--routes', ''), ':1: cannot be read ('),
            (
                ('--routes', EXAMPLE, '--against', absent),
                f'{absent}:1: cannot be read (No such ',
            ),
            (
                ('--routes', 'examples/base.yaml'),
                'examples/base.yaml:1: invalid JSON (Expecting value)',
            ),
        ):
            with self.subTest(arguments):
                result = run('check', *arguments)
                self.assertEqual(result.returncode, 1)
                self.assertIn(expected, result.stdout)
                self.assertEqual(result.stderr, '1 findings\n')
