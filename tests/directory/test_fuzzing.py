"""Fuzz tests of the platform's answers and the operators' files.

Input of any form is valid and accepted, or refused with a reason.
"""

import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.config.check import check_content
from siskinbank.config.documents import parse_document
from siskinbank.config.sections import Manifest, join_sections
from siskinbank.directory.client import PlatformError, _parse_manifest
from siskinbank.directory.live import parse_instances
from siskinbank.kernel.findings import Findings

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(('in', 'out', 'active', '10.0.0.1', 'http', 'a'))
)
NAMES = st.text(max_size=8) | st.sampled_from(
    (
        'site',
        'data_centres',
        'services',
        'hosts',
        'ingress',
        'cold',
        'port',
        'state',
        'name',
        'role',
        'address',
        'generation',
        'sections',
        'slots',
    ),
)
ANY = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(NAMES, inner, max_size=5)
    ),
    max_leaves=20,
)


class TestAnswers(unittest.TestCase):
    """Arbitrary answers of the platform."""

    @given(ANY | st.binary(max_size=60))
    @settings(max_examples=60, deadline=None)
    def test_manifest_and_list(self, answer: Any) -> None:
        """An answer is parsed or refused with the documented error."""
        raw = (
            answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        )
        for parse, refused in (
            (_parse_manifest, PlatformError),
            (parse_instances, ValueError),
        ):
            try:
                parse(raw)
            except refused as error:
                self.assertTrue(str(error))

    @given(st.dictionaries(NAMES, ANY, max_size=4), st.integers(0, 1 << 62))
    @settings(max_examples=60, deadline=None)
    def test_sections(self, parsed: dict[str, Any], generation: int) -> None:
        """Sections yield either a site or findings."""
        findings = Findings()
        digests = dict.fromkeys(parsed, '0' * 32)
        site = join_sections(Manifest(generation, digests), parsed, findings)
        self.assertNotEqual(site is None, not list(findings))


class TestFiles(unittest.TestCase):
    """Arbitrary files of operators."""

    @given(st.text(max_size=200))
    @settings(max_examples=60, deadline=None)
    def test_text(self, text: str) -> None:
        """Any text is parsed or yields findings with a place."""
        findings = Findings()
        document = parse_document('base.yaml', text, findings)
        self.assertIsInstance(document.content, dict)
        for finding in findings:
            self.assertTrue(str(finding).startswith('base.yaml'))

    @given(st.dictionaries(NAMES, ANY, max_size=5))
    @settings(max_examples=60, deadline=None)
    def test_content(self, content: dict[str, Any]) -> None:
        """Any content yields a model or findings."""
        findings = Findings()
        text = json.dumps(content)
        document = parse_document('base.yaml', text, findings)
        model = check_content(document.content, document.place, findings)
        self.assertFalse(model is None and not list(findings))
