"""Tests of the settings file."""

import json
import tempfile
import unittest
from contextlib import suppress
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.platform.documents import DocumentError, split_address
from siskinbank.platform.encoding import ProcessSettings
from siskinbank.platform.settings import Settings, read_settings

SETTINGS = ProcessSettings(
    'side-1',
    '10.0.0.2',
    'a',
    (8172, 8167, 7720, 8162),
    ('10.0.0.1',),
    ('10.9.9.9', 8169),
    'matcher',
    ('10.0.0.2', 8165),
)


_SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text()
)
# JSON values, also of the wrong type.
VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


class TestFuzzing(unittest.TestCase):
    """The file may be written by hand."""

    @given(
        field=st.sampled_from(sorted(json.loads(SETTINGS.encode()))),
        value=VALUES,
    )
    def test_any_value_is_read_or_refused(
        self, field: str, value: object
    ) -> None:
        """A refused file is reported; no other error ends the process."""
        document = json.loads(SETTINGS.encode())
        document[field] = value
        with suppress(DocumentError):
            Settings(document)

    @given(st.text())
    def test_any_address_is_read_or_refused(self, text: str) -> None:
        """Also with digits that are no decimal ones."""
        for address in (text, f'10.0.0.1:{text}', f'{text}:80'):
            with suppress(DocumentError):
                ip, port = split_address(address)
                self.assertEqual(f'{ip}:{port}', f'{ip}:{int(port)}')


class TestSettings(unittest.TestCase):
    """Decoding of the settings file."""

    def setUp(self) -> None:
        """Create a temporary directory for the file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, 'boot.json')

    def test_sidecar_settings(self) -> None:
        """All fields of a sidecar are read; unknown fields are ignored."""
        self.path.write_bytes(SETTINGS.encode())
        settings = read_settings(str(self.path))
        self.assertEqual(settings.instance, 'side-1')
        self.assertEqual(settings.packet_port, 8172)
        self.assertEqual(settings.peer_port, 7720)
        self.assertEqual(settings.ready_address, ('10.0.0.2', 8167))
        self.assertEqual(settings.outbound_address, ('10.0.0.2', 8162))
        self.assertEqual(settings.host_address, ('10.0.0.2', 8165))
        self.assertEqual(settings.seeds, ('10.0.0.1',))
        self.assertEqual(settings.store, ('10.9.9.9', 8169))

    def test_seeds_are_optional(self) -> None:
        """Settings without usable seeds are valid."""
        document = json.loads(SETTINGS.encode())
        for seeds in (None, [], 'later'):
            document['Seeds'] = seeds
            self.path.write_text(json.dumps(document))
            self.assertEqual(read_settings(str(self.path)).seeds, ())

    def test_limits(self) -> None:
        """Missing or malformed limits count as unknown; the process starts."""
        document = json.loads(SETTINGS.encode())
        for limits, expected in (
            ({'LinkMbps': 5.5, 'CpuShare': 0.5, 'Cores': 3}, (5500, 1.5)),
            ({'LinkMbps': 'fast', 'CpuShare': -1, 'Cores': 2}, (0, 0)),
            ({'LinkMbps': 100}, (100_000, 0)),
            ([], (0, 0)),
            (None, (0, 0)),
        ):
            with self.subTest(limits=limits):
                document['Limits'] = limits
                settings = Settings(document)
                found = (settings.link_kbps, settings.cores)
                self.assertEqual(found, expected)

    def test_flow_lifetime(self) -> None:
        """It is that of the platform's pages unless the settings state one."""
        document = json.loads(SETTINGS.encode())
        self.assertEqual(Settings(document).flow_lifetime_s, 60)
        for bounds, expected in (
            ({'FlowLifetimeS': 90}, 90),
            ({'FlowLifetimeS': 'long'}, 60),
            ({'FlowLifetimeS': 0}, 60),
            ({}, 60),
            ([], 60),
        ):
            with self.subTest(bounds=bounds):
                document['Bounds'] = bounds
                found = Settings(document).flow_lifetime_s
                self.assertEqual(found, expected)

    def test_invalid_fields(self) -> None:
        """A malformed field is refused."""
        document = json.loads(SETTINGS.encode())
        for field, content in (
            ('Ip', 7),
            ('Listen', []),
            ('InternalPortRange', []),
            ('InternalPortRange', [True]),
            ('InternalPortRange', [70000]),
            ('Seeds', ['10.0.0.1:²']),
            ('app', 'host:80'),
            ('platform', {'Address': '10.9.9.9:0'}),
            ('InternalPortRange', ['x']),
            ('platform', {'Address': 'nowhere'}),
            ('app', '10.0.0.2'),
        ):
            with self.subTest(field=field):
                changed = {**document, field: content}
                self.path.write_text(json.dumps(changed))
                with self.assertRaises(DocumentError):
                    read_settings(str(self.path))
