"""Tests of merging and validating base file and overlays."""

import tempfile
import unittest
from pathlib import Path

from siskinbank.config.models import DocumentModel
from siskinbank.config.overlay import load_files
from siskinbank.kernel.findings import Findings

BASE = """\
services:
  matcher:
    ingress:
      fou: {address: 203.0.113.1, port: 443}
      http: {port: 8080}
    connections: 2000
    slots: 3
    cold: {connections: 100, slots: 1, warm_up_seconds: 30}
"""
SITE = """\
site: gr-north
data_centres:
  gr-north-a: {region: gr}
services:
  matcher:
    hosts:
      matcher-1:
        data_centre: gr-north-a
        address: 10.0.0.1
        port: 7100
"""

#: Lines appended to the overlay, and the expected finding.
CASES = (
    (
        '    slots: 3\n',
        '11: services.matcher.slots: same value as in an earlier file; remove it here',
    ),
    ('    slot: 3\n', '11: services.matcher.slot: unknown key'),
    ('    slots: 0\n', '11: services.matcher.slots: 0 is not allowed'),
    (
        '    slots: 3\n    slots: 4\n',
        '12: services.matcher.slots: duplicate key',
    ),
    (
        '    cold: {connections: 9000}\n',
        '11: services.matcher.cold.connections: cold limit 9000',
    ),
    (
        '      matcher-2: {data_centre: x, address: 10.0.0.2, port: 1}\n',
        '11: services.matcher.hosts.matcher-2.data_centre: no data centre',
    ),
    (
        '      matcher-2: '
        '{data_centre: gr-north-a, address: 10.0.0.1, port: 7100}\n',
        '11: services.matcher.hosts.matcher-2: 10.0.0.1:7100 is already used by '
        'services.matcher.hosts.matcher-1; use a unique value',
    ),
    (
        '    ingress:\n      quic: {port: 1}\n',
        "12: services.matcher.ingress.quic: no ingress named 'quic'; one of",
    ),
    (
        '    ingress:\n      tcp: {address: 10.1.1.1, port: 8080}\n',
        '12: services.matcher.ingress.tcp: port 8080 is already used by '
        'services.matcher.ingress.http',
    ),
    (
        '    weight: null\n',
        '11: services.matcher.weight: removes a key that no',
    ),
    (
        '    slots: &a 4\n    connections: *a\n',
        '11: services.matcher.connections: aliases are not supported',
    ),
    ('    cold: &c {x: *c}\n', '11: services.matcher.cold.x: aliases'),
    ('    [a]: 1\n', '11: services.matcher: key is not a scalar'),
    ('    : [\n', '11: invalid YAML'),
    ('    slots: !!python/object:os.system x\n', '11: services.matcher.slots'),
)


class TestOverlay(unittest.TestCase):
    """Tests of loading files."""

    def setUp(self) -> None:
        """Create a directory for the documents."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = Path(temporary.name)

    def load(self, base: str, site: str) -> tuple[DocumentModel | None, str]:
        """Write two documents, load them, and return model and findings."""
        (self.directory / 'base.yaml').write_text(base, encoding='utf-8')
        (self.directory / 'site.yaml').write_text(site, encoding='utf-8')
        findings = Findings()
        model = load_files(
            str(self.directory / 'base.yaml'),
            [str(self.directory / 'site.yaml')],
            findings,
        )
        return model, '\n'.join(str(finding) for finding in findings)

    def test_deeply_nested(self) -> None:
        """Guards against a traceback in place of a finding."""
        nested = f'site: {"[" * 900}{"]" * 900}\n'
        model, findings = self.load(BASE, nested)
        self.assertIsNone(model)
        self.assertIn('site.yaml:1: nested too deeply', findings)

    def test_merges(self) -> None:
        """The overlay adds hosts to a service of the base file."""
        model, findings = self.load(BASE, SITE)
        self.assertEqual(findings, '')
        assert model is not None
        self.assertEqual(list(model.services['matcher'].hosts), ['matcher-1'])

    def test_findings(self) -> None:
        """Each error is reported with its line and path."""
        for extra_lines, expected in CASES:
            with self.subTest(expected):
                model, findings = self.load(BASE, SITE + extra_lines)
                self.assertIsNone(model)
                self.assertIn(f'site.yaml:{expected}', findings)

    def test_null_removes(self) -> None:
        """A null value in an overlay removes a key of the base file."""
        extra_lines = '    ingress: {http: null}\n'
        model, findings = self.load(BASE, SITE + extra_lines)
        self.assertEqual(findings, '')
        assert model is not None
        self.assertEqual(list(model.services['matcher'].ingress), ['fou'])

    def test_reports_all_findings(self) -> None:
        """All errors of a document are reported together."""
        model, findings = self.load(
            BASE.replace('slots: 3', 'slots: x'),
            SITE + '    nonsense: 1\n',
        )
        self.assertIsNone(model)
        self.assertIn('base.yaml:7: services.matcher.slots', findings)
        self.assertIn('services.matcher.nonsense', findings)

    def test_missing_file(self) -> None:
        """An unreadable file is reported as a finding."""
        findings = Findings()
        self.assertIsNone(load_files('/nonexistent/base.yaml', [], findings))
        self.assertIn('cannot be read', str(next(iter(findings))))
