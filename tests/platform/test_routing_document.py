"""Tests of the check of the operator's configuration before it is sent."""

import io
import json
import tempfile
import unittest
from collections import Counter
from contextlib import redirect_stderr, redirect_stdout, suppress
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.commands.check import command
from siskinbank.kernel.findings import Findings
from siskinbank.platform.documents import DocumentError, decode
from siskinbank.platform.records import decode_configuration
from siskinbank.platform.routing_document import load_routing

EXAMPLE = (Path(__file__).parents[2] / 'examples/routes.json').read_bytes()
NESTED = b'[' * 400 + b']' * 400

SCALAR = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(),
    # Unpaired surrogates, which JSON can express by escapes.
    st.text(st.characters(categories=['Cs', 'Cc']), max_size=2),
    st.sampled_from([1 << 62, 1 << 70, 1e300]),
)
ANY_VALUE = st.recursive(
    SCALAR,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)
NUMBERS = (0, 0.5, 255, 256, 1 << 62)
NUMBER = st.integers(0, 3000) | st.sampled_from(NUMBERS)
NAME = st.sampled_from(['orders', 'reports', '', 'a\nb', '\ud800'])


def _mostly(valid: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    """Return valid values, and one of any kind in about 20."""
    return st.integers(0, 19).flatmap(lambda draw: valid if draw else ANY_VALUE)


def _object(
    required: dict[str, st.SearchStrategy[Any]],
    optional: dict[str, st.SearchStrategy[Any]],
) -> st.SearchStrategy[Any]:
    """Return objects; a required field is missing in about one of 20."""
    fields = {name: _mostly(value) for name, value in required.items()}
    others = {name: _mostly(value) for name, value in optional.items()}
    complete = st.fixed_dictionaries(fields, optional=others)
    partial = st.fixed_dictionaries({}, optional=fields | others)
    return st.integers(0, 19).flatmap(
        lambda draw: complete if draw else partial
    )


BACKENDS = st.lists(
    _mostly(_object({'Service': NAME}, {'Weight': NUMBER})), max_size=3
)
ROUTE = {
    'Host': st.sampled_from(['198.18.0.1', '198.18.0.2', '0.0.0.0']),
    'Prefix': st.sampled_from(['/443/', '443', '//80', '/65535/', '/00080/']),
}
ROUTE_OPTIONS = {
    'Kind': st.sampled_from(['safe', 'download', 'other']),
    'Name': NAME,
    'Priority': NUMBER,
    'TargetLatencyMs': NUMBER,
    'TimeoutMs': NUMBER,
}
ROUTES = st.one_of(
    _object({**ROUTE, 'Service': NAME}, ROUTE_OPTIONS),
    _object({**ROUTE, 'WeightedBackends': BACKENDS}, ROUTE_OPTIONS),
    _object({**ROUTE, 'Service': NAME, 'WeightedBackends': BACKENDS}, {}),
)
SERVICES = _object(
    {'Name': NAME},
    {'HealthPath': NAME, 'WarmupPerS': NUMBER, 'WarmupS': NUMBER},
)
DOCUMENTS = _object(
    {
        'Version': st.integers(0, 99),
        'Routes': st.lists(ROUTES, max_size=3),
        'Services': st.lists(SERVICES, max_size=2),
    },
    {'Limits': _object({}, {'IdleTimeoutMs': NUMBER}), 'Other': ANY_VALUE},
)


def encode(value: object) -> bytes:
    """Return the JSON encoding of a value, in ASCII."""
    return json.dumps(value).encode()


#: Values of other types, and those that models convert to the expected one.
VALUES = (
    None,
    True,
    False,
    0,
    -1,
    7,
    1.5,
    -0.5,
    1 << 62,
    1 << 70,
    1e300,
    float('nan'),
    float('inf'),
    '',
    '7',
    ' 7 ',
    'x',
    '10.0.0.1',
    '/80/',
    '\ud800',
    [],
    ['7'],
    {},
    [{}],
    {'Service': 'a'},
)

#: Documents at the edges of what the decoder accepts.
EDGES = (
    b'',
    b'\xff',
    b'{',
    b'[]',
    b'7',
    NESTED,
    b'\xef\xbb\xbf' + EXAMPLE,
    EXAMPLE,
    EXAMPLE + b'}',
    EXAMPLE + b'{"Version": 1}',
    b'\x0c\xc2\xa0\n' + EXAMPLE,
    EXAMPLE.replace(b'  ', b'\t'),
    EXAMPLE.replace(b'42', b'0'),
    EXAMPLE.replace(b'42', b'-1'),
    EXAMPLE.replace(b'42', b'42.0'),
    EXAMPLE.replace(b'42', b'true'),
    EXAMPLE.replace(b'42', b'9' * 5000),
    EXAMPLE.replace(b'42', b'42, "Version": "x"'),
    EXAMPLE.replace(b'42', b'"x", "Version": 42'),
    EXAMPLE.replace(b'/443/', b'/44\xc2\xb2/'),
    EXAMPLE.replace(b'/443/', rb'\/443\/'),
    EXAMPLE.replace(b'/443/', b'/0/'),
    EXAMPLE.replace(b'/443/', b'/000443/'),
    EXAMPLE.replace(b'"198.18.0.1"', encode('198.18.0.1\0')),
    EXAMPLE.replace(b'198.18.0.1', b'198.18.0.01'),
    EXAMPLE.replace(b'198.18.0.1', b'::1'),
    EXAMPLE.replace(b'"198.18.0.1"', encode('\ud800')),
    EXAMPLE.replace(b'"orders"', encode('\ud800\n')),
    EXAMPLE.replace(b'2000', NESTED),
    EXAMPLE.replace(b'2000', b'1e999'),
    EXAMPLE.replace(b'2000', b'NaN'),
    EXAMPLE.replace(b'2000', b'-0.0'),
    EXAMPLE.replace(b'2000', b'null'),
    EXAMPLE.replace(b'15000', b'NaN'),
    EXAMPLE.replace(b'15000', NESTED),
    EXAMPLE.replace(b'{"IdleTimeoutMs": 15000}', b'[]'),
    EXAMPLE.replace(b'"unsafe"', NESTED),
    EXAMPLE.replace(b'"Service": "reports"', b'"Service": null'),
    EXAMPLE.replace(b'"Service": "reports"', b'"WeightedBackends": []'),
    EXAMPLE.replace(b'"Service": "reports"', b'"WeightedBackends": {}'),
    EXAMPLE.replace(
        b'"Service": "reports"', b'"Service": "a", "WeightedBackends": 3'
    ),
    EXAMPLE.replace(b'"Prefix": "/8443/",', b''),
)

#: Changes of the example, and the finding that each gives.
FINDINGS = (
    ('42', '"x"', "2: Version: 'x' is not allowed; Version is not a whole"),
    ('"Version": 42,', '', '1: Version: missing; add it'),
    ('"/443/"', '"/x/"', "7: Routes.0.Prefix: '/x/' is not allowed; 'x' is"),
    ('"198.18.0.1"', '3', '6: Routes.0.Host: 3 is not allowed; Host is not'),
    ('"Weight": 90', '"Weight": -1', '9: Routes.0.WeightedBackends.0.Weight: '),
    ('2000', '"2"', "13: Routes.0.TimeoutMs: '2' is not allowed; TimeoutMs is"),
    ('"Service": "reports",', '', '17: Routes.1.WeightedBackends: missing'),
    ('"WarmupS": 5', '"WarmupS": []', '28: Services.0.WarmupS: [] is not'),
    ('"Services": [', '"Services": [7, ', '27: Services.0: not an object'),
    ('"Services"', '"Service"', '1: Services: missing; add it'),
    ('"Version": 42,', '"Version": 42', '3: invalid JSON (Expecting'),
    ('15000}\n}', '15000}\n}\n\n}', '35: invalid JSON (Extra data)'),
    ('42,', '42, "Version": 43,', '1: invalid JSON: a name occurs twice'),
    ('42', 'NaN', '1: invalid JSON: NaN is not JSON'),
)

#: Changes of the example, and the warning that each gives.
WARNINGS = (
    ('15000', '"x"', '32: Limits.IdleTimeoutMs: warning: IdleTimeoutMs is not'),
    (
        '"Service": "reports",',
        '"Service": "reports", "WeightedBackends": [],',
        '21: Routes.1.WeightedBackends: warning: has no effect, as the route',
    ),
    ('5000,', '20000,', '23: Routes.1.TimeoutMs: warning: timeout 20000 ms is'),
    ('400', '2001', '14: Routes.0.TargetLatencyMs: warning: target latency'),
    ('"Priority": 2', '"Priority": 256', '24: Routes.1.Priority: warning: '),
    ('8443', '443', '4: Routes.0: warning: never matches, as Routes.1 is'),
    ('"Weight": 10', '"Weight": 0', '10: Routes.0.WeightedBackends.1.Weight: '),
    ('90', '0', '9: Routes.0.WeightedBackends.0.Weight: warning: weight 0'),
    (
        '"Service": "reports"',
        '"WeightedBackends": []',
        '21: Routes.1.WeightedBackends: warning: no service has a weight',
    ),
    (
        '"Service": "reports"',
        '"Service": "report"',
        "21: Routes.1.Service: warning: 'report' is not among the services",
    ),
    (
        '"Service": "orders-next"',
        '"Service": "order"',
        "10: Routes.0.WeightedBackends.1.Service: warning: 'order' is not",
    ),
    (
        '"Name": "reports", "HealthPath"',
        '"Name": "report", "HealthPath"',
        "30: Services.2.Name: warning: no route names 'report'",
    ),
    (
        '"WarmupS": 5, "WarmupPerS": 4}',
        '"WarmupS": 5}',
        '28: Services.0.WarmupS: warning: a warm-up duration without a rate',
    ),
    (
        '"WarmupS": 5, "WarmupPerS": 4}',
        '"WarmupPerS": 4}',
        '28: Services.0.WarmupPerS: warning: a warm-up rate without a duration',
    ),
    (
        '"Name": "orders-next"',
        '"Name": "orders"',
        '28: Services.0: warning: has no effect, as Services.1 is also named',
    ),
)


class _FileCase(unittest.TestCase):
    """A test with a file for the document."""

    def setUp(self) -> None:
        """Create a temporary directory for the file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, 'new.json')

    def check(self, raw: bytes) -> tuple[int, list[str]]:
        """Run the command on a document; return exit code and output lines."""
        self.path.write_bytes(raw)
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(io.StringIO()):
            code = command.main(
                ['--routes', str(self.path)], standalone_mode=False
            )
        text = output.getvalue()
        # Standard output refuses text that can't be encoded.
        text.encode()
        prefix = f'{self.path}:'
        return code, [line.removeprefix(prefix) for line in text.splitlines()]


class TestAgreement(_FileCase):
    """The check and the processes accept the same documents."""

    def assert_same(self, raw: bytes) -> bool:
        """Compare both; return whether the processes accept the document."""
        code, lines = self.check(raw)
        findings = Findings()
        table = load_routing(str(self.path), findings, Findings())
        self.assertEqual(table is None, bool(findings), raw)
        try:
            version = decode_configuration(raw)[0]
        except DocumentError:
            self.assertEqual(code, 1, raw)
            self.assertIsNone(table, raw)
            with suppress(DocumentError):
                # All problems of a JSON object have a path.
                decode(raw)
                self.assertTrue(all(found.place.path for found in findings))
            return False
        self.assertIsNotNone(table, (raw, lines))
        # The version rule: processes start at version 0 and ignore it.
        self.assertEqual(code, 0 if version else 1, (raw, lines))
        return True

    def test_any_document(self) -> None:
        """Guards against a field that only one of both validates."""
        outcomes: Counter[bool] = Counter()

        @given(DOCUMENTS)
        def compare(document: object) -> None:
            accepted = self.assert_same(encode(document))
            outcomes[accepted] += 1

        compare()
        # Fewer of one kind would show nothing.
        self.assertGreaterEqual(min(outcomes[True], outcomes[False]), 20)

    def test_one_field(self) -> None:
        """Guards against a difference that other malformed fields hide."""
        good = json.loads(EXAMPLE)
        rows = (
            good,
            good['Routes'][0],
            good['Routes'][0]['WeightedBackends'][0],
            good['Routes'][1],
            good['Services'][0],
            good['Limits'],
        )
        for row in rows:
            for name, before in tuple(row.items()):
                for value in VALUES:
                    row[name] = value
                    self.assert_same(encode(good))
                row.pop(name)
                self.assert_same(encode(good))
                row[name] = before

    def test_any_bytes(self) -> None:
        """Guards against another decoding of bytes."""

        @given(st.binary() | ANY_VALUE.map(encode))
        def compare(raw: bytes) -> None:
            self.assert_same(raw)

        compare()

    def test_edges(self) -> None:
        """Guards against another JSON parser, and errors beside DocumentError."""
        outcomes: Counter[bool] = Counter()
        for raw in EDGES:
            with self.subTest(raw=raw):
                outcomes[self.assert_same(raw)] += 1
        self.assertGreaterEqual(min(outcomes[True], outcomes[False]), 10)


class TestPlaces(_FileCase):
    """Problems are reported with their lines and paths in the document."""

    def changed(self, old: str, new: str) -> bytes:
        """Return the example with the first occurrence of a text replaced."""
        text = EXAMPLE.decode()
        self.assertIn(old, text)
        return text.replace(old, new, 1).encode()

    def test_example(self) -> None:
        """Guards against warnings about what takes effect."""
        self.assertEqual(
            self.check(EXAMPLE), (0, ['version 42: 2 routes, 3 services'])
        )

    def test_findings(self) -> None:
        """Guards against a finding without its place."""
        for old, new, expected in FINDINGS:
            with self.subTest(expected):
                code, lines = self.check(self.changed(old, new))
                self.assertEqual(code, 1)
                self.assertEqual(len(lines), 1, lines)
                self.assertTrue(lines[0].startswith(expected), lines)

    def test_warnings(self) -> None:
        """Guards against a warning without its place, or one as a finding."""
        for old, new, expected in WARNINGS:
            with self.subTest(expected):
                code, lines = self.check(self.changed(old, new))
                self.assertEqual(code, 0)
                found = [line for line in lines if line.startswith(expected)]
                self.assertEqual(len(found), 1, lines)

    def test_all_at_once(self) -> None:
        """Guards against a report of the first problem only."""
        document = json.loads(EXAMPLE)
        document['Version'] = -1
        document['Routes'][0]['Host'] = 'x'
        document['Routes'][0]['WeightedBackends'][1]['Weight'] = None
        document['Routes'][1]['Prefix'] = '/'
        document['Services'].append([])
        code, lines = self.check(encode(document))
        self.assertEqual(code, 1)
        self.assertEqual(
            sorted(line.split(': ')[1] for line in lines),
            [
                'Routes.0.Host',
                'Routes.0.WeightedBackends.1.Weight',
                'Routes.1.Prefix',
                'Services.3',
                'Version',
            ],
        )
