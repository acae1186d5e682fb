"""Tests of published sections."""

import json
import unittest

from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import (
    Manifest,
    join_sections,
    make_site,
    split_sections,
)
from siskinbank.kernel.findings import Findings
from siskinbank.util import hex_digest

DOCUMENT = {
    'site': 'norte',
    'data_centres': {'norte-bilbao': {}, 'norte-oviedo': {'state': 'out'}},
    'services': {
        'campo': {
            'ingress': {'tcp': {'port': 9000}},
            'cold': {'connections': 10, 'slots': 1, 'warm_up_seconds': 5},
            'hosts': {
                'campo-1': {
                    'data_centre': 'norte-bilbao',
                    'address': '10.0.0.1',
                    'port': 7100,
                },
                'campo-2': {
                    'data_centre': 'norte-oviedo',
                    'address': '10.0.0.2',
                    'port': 7100,
                    'state': 'draining',
                },
            },
        },
    },
}


class TestSections(unittest.TestCase):
    """Tests of splitting and joining sections."""

    def setUp(self) -> None:
        """Split a document into sections."""
        self.model = DocumentModel.model_validate(DOCUMENT)
        self.sections = split_sections(self.model)
        digests = {name: hex_digest(raw) for name, raw in self.sections.items()}
        self.manifest = Manifest(4, digests)

    def test_round_trip(self) -> None:
        """Joined sections give the same site as the document."""
        findings = Findings()
        parsed = {name: json.loads(raw) for name, raw in self.sections.items()}
        site = join_sections(self.manifest, parsed, findings)
        self.assertEqual(site, make_site(self.model, self.manifest))
        self.assertEqual(len(findings), 0)

    def test_hosts_that_accept_work(self) -> None:
        """A host in a data centre that is out of service gets no work."""
        site = make_site(self.model, self.manifest)
        hosts = site.services['campo'].hosts
        self.assertEqual(
            [site.accepts_work(host) for host in hosts], [True, False]
        )
        self.assertEqual([site.is_out(host) for host in hosts], [False, True])

    def test_invalid_sections_are_findings(self) -> None:
        """A document with any invalid section is refused as a whole."""
        for sections in ({}, {'site': 3}, {'site': {'site': 'x'}}):
            with self.subTest(sections):
                findings = Findings()
                site = join_sections(self.manifest, sections, findings)
                self.assertIsNone(site)
                self.assertGreater(len(findings), 0)
