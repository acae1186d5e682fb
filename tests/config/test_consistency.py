"""Tests of warnings about entries without effect and contradicting limits."""

import tempfile
import unittest
from pathlib import Path

from siskinbank.config.overlay import load_files
from siskinbank.kernel.findings import Findings
from tests.config.test_overlay import BASE, SITE

HOST_2 = '{data_centre: gr-north-a, address: 10.0.0.2, port: 7100}'
SECOND_SERVICE = """\
  catalogue:
    ingress: {http: {port: 8081}}
    cold: {connections: 100, slots: 1, warm_up_seconds: 30}
"""
HTTP_ONLY = """\
  plain:
    ingress: {http: {port: 8082}}
    connections: 50
    cold: {connections: 10, slots: 1, warm_up_seconds: 30}
"""

#: Text appended to the base file and to the overlay, and the only warning.
WARNINGS = (
    # A data centre is misspelt, and stays in service.
    (
        '',
        'data_centres: {gr-nort-a: {state: out}}\n',
        'later.yaml:1: data_centres.gr-nort-a: warning: no host is in this '
        'data centre; correct the name (hosts are in gr-north-a), or remove it',
    ),
    (
        '',
        'data_centres: {gr-north-b: {region: gr}}\n',
        'later.yaml:1: data_centres.gr-north-b: warning: no host is in',
    ),
    (
        SECOND_SERVICE,
        'services:\n  catalogue:\n    slots: 4\n',
        'later.yaml:2: services.catalogue: warning: the service has no hosts',
    ),
    (
        '',
        'services:\n  matcher:\n    hosts: {matcher-1: {state: draining}}\n',
        'later.yaml:3: services.matcher.hosts: warning: all hosts are draining',
    ),
    (
        '',
        'data_centres: {gr-north-a: {state: out}}\n',
        'site.yaml:6: services.matcher.hosts: warning: all hosts are draining '
        'or in data centres that are out; keep one host active',
    ),
    (
        '',
        'services:\n  matcher:\n    ingress:\n      fou: {address: 0.0.0.0}\n',
        'later.yaml:4: services.matcher.ingress.fou: warning: no packet has',
    ),
    (
        '',
        'services:\n  matcher: {ingress: {http: null}}\n',
        'base.yaml:7: services.matcher.slots: warning: the limit does not '
        'apply to the ingress fou; remove it',
    ),
    (
        HTTP_ONLY,
        '',
        'base.yaml:11: services.plain.connections: warning: the limit does '
        'not apply to the ingress http; remove it',
    ),
    (
        '',
        'services:\n  matcher:\n    cold: {connections: 2000, slots: 3}\n',
        'base.yaml:8: services.matcher.cold.warm_up_seconds: warning: the cold '
        'limits are the full ones',
    ),
    (
        '',
        'services:\n  matcher:\n    cold: {warm_up_seconds: 0}\n',
        'later.yaml:3: services.matcher.cold: warning: the cold limits never '
        'apply, as the warm-up takes 0 seconds; state a time, or the full '
        'limits 2000 and 3',
    ),
)

#: Text of the last overlay and a finding.
FINDINGS = (
    (
        'services:\n  matchr:\n    slots: 4\n',
        "later.yaml:2: services.matchr: no earlier file has 'matchr', and it "
        'is incomplete here; change one of matcher, or define it completely',
    ),
    (
        'services:\n  matcher:\n    hosts:\n      matcher-9: {state: draining}\n',
        'later.yaml:4: services.matcher.hosts.matcher-9: no earlier file has '
        "'matcher-9', and it is incomplete here; change one of matcher-1",
    ),
    (
        'services:\n  matcher:\n    hosts:\n      matcher-1: {weight: 0}\n',
        'later.yaml:4: services.matcher.hosts.matcher-1.weight: 0 is not',
    ),
)


class TestConsistency(unittest.TestCase):
    """A base file, the overlay of a site and a later overlay."""

    def setUp(self) -> None:
        """Create a directory for the documents."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = Path(temporary.name)

    def load(self, base: str, later: str) -> tuple[list[str], list[str]]:
        """Return findings and warnings, without the directory."""
        contents = {'base.yaml': base, 'site.yaml': SITE, 'later.yaml': later}
        files = []
        for name, text in contents.items():
            if text:
                files.append(str(self.directory / name))
                Path(files[-1]).write_text(text, encoding='utf-8')
        findings = Findings()
        warnings = Findings()
        model = load_files(files[0], files[1:], findings, warnings)
        self.assertEqual(model is None, bool(findings))
        lines = [
            [str(found).rpartition(f'{self.directory}/')[-1] for found in group]
            for group in (findings, warnings)
        ]
        return lines[0], lines[1]

    def test_warnings(self) -> None:
        """Each is reported once, with file, line and path; none is an error."""
        for extra, later, expected in WARNINGS:
            with self.subTest(expected):
                findings, warnings = self.load(BASE + extra, later)
                self.assertEqual(findings, [])
                self.assertEqual(len(warnings), 1, warnings)
                self.assertTrue(warnings[0].startswith(expected), warnings)

    def test_findings(self) -> None:
        """Names that no earlier file has are reported with similar ones."""
        for later, expected in FINDINGS:
            with self.subTest(expected):
                findings, _ = self.load(BASE, later)
                self.assertTrue(
                    any(found.startswith(expected) for found in findings),
                    findings,
                )

    def test_sound_documents(self) -> None:
        """Guards against warnings about what takes effect."""
        for later in (
            '',
            'data_centres: {gr-north-a: {region: north}}\n',
            f'services: {{matcher: {{hosts: {{matcher-2: {HOST_2}}}}}}}\n',
            'services:\n  matcher:\n    hosts:\n'
            f'      matcher-2: {HOST_2}\n'
            '      matcher-1: {state: draining}\n',
        ):
            with self.subTest(later):
                self.assertEqual(
                    self.load(BASE + SECOND_SERVICE, later), ([], [])
                )

    def test_limits_of_plugins(self) -> None:
        """Guards against a warning about the ingress of a plugin."""
        findings, warnings = self.load(
            BASE,
            'services: {matcher: {ingress: {http: null, other: {port: 1}}}}\n',
        )
        self.assertIn("no ingress named 'other'", findings[0])
        self.assertEqual(warnings, [])
