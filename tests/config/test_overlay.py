"""Tests of base file, overlays and findings."""

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

#: What is added to the overlay, and the finding it must lead to.
CASES = (
    (
        '    slots: 3\n',
        '11: services.matcher.slots: says what an earlier file says already; remove it here',
    ),
    ('    slot: 3\n', '11: services.matcher.slot: unknown key'),
    ('    slots: 0\n', '11: services.matcher.slots: 0 is not allowed'),
    ('    slots: 3\n    slots: 4\n', '12: services.matcher.slots: key written'),
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
        '11: services.matcher.hosts.matcher-2: 10.0.0.1:7100 is taken by '
        'services.matcher.hosts.matcher-1; give each its own',
    ),
    (
        '    ingress:\n      quic: {port: 1}\n',
        "12: services.matcher.ingress.quic: no ingress named 'quic'; one of",
    ),
    (
        '    ingress:\n      tcp: {address: 10.1.1.1, port: 8080}\n',
        '12: services.matcher.ingress.tcp: port 8080 is taken by '
        'services.matcher.ingress.http',
    ),
    ('    weight: null\n', '11: services.matcher.weight: removes what no'),
    (
        '    slots: &a 4\n    connections: *a\n',
        '11: services.matcher.connections: an alias stands here',
    ),
    ('    cold: &c {x: *c}\n', '11: services.matcher.cold.x: an alias'),
    ('    [a]: 1\n', '11: services.matcher: key is not a plain word'),
    ('    : [\n', '11: not YAML'),
    ('    slots: !!python/object:os.system x\n', '11: services.matcher.slots'),
)


class TestOverlay(unittest.TestCase):
    """Loading files."""

    def setUp(self) -> None:
        """Make a directory for the documents."""
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.directory = Path(holder.name)

    def load(self, base: str, site: str) -> tuple[DocumentModel | None, str]:
        """Write and load two documents."""
        (self.directory / 'base.yaml').write_text(base, encoding='utf-8')
        (self.directory / 'site.yaml').write_text(site, encoding='utf-8')
        findings = Findings()
        model = load_files(
            str(self.directory / 'base.yaml'),
            [str(self.directory / 'site.yaml')],
            findings,
        )
        return model, '\n'.join(str(finding) for finding in findings)

    def test_merges(self) -> None:
        """The overlay adds hosts to the base's service."""
        model, findings = self.load(BASE, SITE)
        self.assertEqual(findings, '')
        assert model is not None
        self.assertEqual(list(model.services['matcher'].hosts), ['matcher-1'])

    def test_findings(self) -> None:
        """Each mistake is found at its line and path."""
        for added, wanted in CASES:
            with self.subTest(wanted):
                model, findings = self.load(BASE, SITE + added)
                self.assertIsNone(model)
                self.assertIn(f'site.yaml:{wanted}', findings)

    def test_null_removes(self) -> None:
        """An overlay takes off what the base file says."""
        added = '    ingress: {http: null}\n'
        model, findings = self.load(BASE, SITE + added)
        self.assertEqual(findings, '')
        assert model is not None
        self.assertEqual(list(model.services['matcher'].ingress), ['fou'])

    def test_all_findings_come_together(self) -> None:
        """Several mistakes are reported in one go."""
        model, findings = self.load(
            BASE.replace('slots: 3', 'slots: x'),
            SITE + '    nonsense: 1\n',
        )
        self.assertIsNone(model)
        self.assertIn('base.yaml:7: services.matcher.slots', findings)
        self.assertIn('services.matcher.nonsense', findings)

    def test_missing_file(self) -> None:
        """A file that cannot be read is a finding."""
        findings = Findings()
        self.assertIsNone(load_files('/nonexistent/base.yaml', [], findings))
        self.assertIn('cannot be read', str(next(iter(findings))))
