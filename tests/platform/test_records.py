"""Tests of host records and the operator's configuration."""

import json
import unittest
from contextlib import suppress
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from siskinbank.platform.documents import DocumentError, decode
from siskinbank.platform.encoding import (
    HostDocument,
    RouteDocument,
    encode_configuration,
)
from siskinbank.platform.records import decode_configuration, decode_host

HOST = HostDocument(
    'matcher', ('10.0.0.9', 8080), 'a', 3, cold_s=1.5, born_ms=7
)
PLAIN = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(),
)
JSON = st.recursive(
    PLAIN,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def changed_record(**fields: Any) -> bytes:
    """Return the encoded record with some fields changed."""
    return json.dumps({**json.loads(HOST.encode()), **fields}).encode()


class TestHost(unittest.TestCase):
    """Decoding of host records."""

    def test_all_fields(self) -> None:
        """All fields are decoded."""
        record = decode_host(HOST.encode())
        self.assertEqual(record.service, 'matcher')
        self.assertEqual(record.ip, '10.0.0.9')
        self.assertEqual(record.data_centre, 'a')
        self.assertEqual((record.slots, record.born_ms), (3, 7))
        self.assertEqual((record.draining, record.cold_s), (False, 1.5))

    def test_invalid_host_records(self) -> None:
        """Wrong types, unknown states and invalid documents are refused."""
        for raw in (
            b'',
            b'\xff',
            b'{',
            b'7',
            changed_record(Service=None),
            changed_record(Slots='3'),
            changed_record(Slots=True),
            changed_record(Slots=-1),
            changed_record(born=-1),
            changed_record(born=1 << 70),
            changed_record(WarmupLeftMs=float('nan')),
            changed_record(WarmupLeftMs=float('inf')),
            changed_record(State='asleep'),
            changed_record(Address='here'),
            changed_record(Address='10.0.0:80'),
            changed_record(Address='x:80'),
            changed_record(WarmupLeftMs='soon'),
            changed_record(born=1.5),
            changed_record(Zone=[]),
        ):
            with self.subTest(raw=raw), self.assertRaises(DocumentError):
                decode_host(raw)

    def test_bytes_that_are_no_json(self) -> None:
        """Guards against records that only seem to be read (review/12)."""
        text = HOST.encode().decode()
        again = text.replace('"State"', '"State": "ready", "State"')
        for odd in (
            f'{text}\n# copy of 02:00\n',
            f'{text}{text}',
            f'{text}}}',
            f'{text}\0',
            f'\x0c{text}',
            f'{text}\xa0',
            f'{text}\x1f',
            f'\ufeff{text}',
            again,
            text.replace('1500', 'Infinity'),
            text.replace('{', '{"x": NaN, '),
            text.replace('{', '{"x": [{"y": 1, "y": 1}], '),
            text.replace('{', "{'x': 1, "),
            text.replace('{', '{"x": 01, '),
            text.replace('{', '{"x": 1., '),
            text.replace('{', '{"x": "\t", '),
            text.replace('}', ', }'),
        ):
            with self.subTest(odd=odd), self.assertRaises(DocumentError):
                decode_host(odd.encode())
        for encoding in ('utf-16', 'utf-32', 'utf-8-sig'):
            with self.subTest(odd=encoding), self.assertRaises(DocumentError):
                decode_host(text.encode(encoding))
        for white_space in ('\n', ' \r\n\t'):
            padded = white_space + text + white_space
            self.assertEqual(decode_host(padded.encode()).sequence, 1)

    def test_slots_are_capped(self) -> None:
        """A higher number of slots is capped at the maximum."""
        self.assertEqual(decode_host(changed_record(Slots=10**9)).slots, 65535)

    @given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
    def test_any_input(self, raw: bytes) -> None:
        """Any input is decoded or raises ``DocumentError``."""
        for read in (decode, decode_host, decode_configuration):
            with suppress(DocumentError):
                read(raw)


class TestConfiguration(unittest.TestCase):
    """Decoding of the operator's configuration."""

    def test_routes_by_address_and_port(self) -> None:
        """Routes are keyed by address and port as in a flow key."""
        raw = encode_configuration(
            9,
            [
                RouteDocument(
                    'matcher', ('198.18.0.1', 443), 1.5, idempotent=False
                )
            ],
            cold_per_s=4,
        )
        version, routes, warm_ups, _ = decode_configuration(raw)
        self.assertEqual(version, 9)
        route = routes[bytes((198, 18, 0, 1, 443 >> 8, 443 & 255))]
        self.assertEqual(route.service_for(5), 'matcher')
        self.assertEqual((route.timeout_s, route.target_latency_s), (1.5, 1.5))
        self.assertFalse(route.idempotent)
        self.assertEqual(warm_ups['matcher'].cold_requests_per_s, 4)

    def test_idle_timeout(self) -> None:
        """A timeout that is no number leaves the routes in force."""
        document = json.loads(
            encode_configuration(1, [RouteDocument('a', ('1.2.3.4', 80))]),
        )
        for limits, expected in (
            ({'IdleTimeoutMs': 40000}, 40),
            ({'IdleTimeoutMs': 0}, 0),
            ({'IdleTimeoutMs': 2.5}, 0.0025),
            ({'IdleTimeoutMs': '40000'}, None),
            ({'IdleTimeoutMs': -1}, None),
            ({'IdleTimeoutMs': True}, None),
            ({}, None),
            ([], None),
            (None, None),
        ):
            document['Limits'] = limits
            raw = json.dumps(document).encode()
            _, routes, _, idle_timeout_s = decode_configuration(raw)
            self.assertEqual((len(routes), idle_timeout_s), (1, expected))
        document.pop('Limits')
        raw = json.dumps(document).encode()
        self.assertIsNone(decode_configuration(raw)[-1])

    def test_kinds(self) -> None:
        """Requests of unknown kinds may run once at most."""
        document = json.loads(
            encode_configuration(1, [RouteDocument('a', ('1.2.3.4', 80))]),
        )
        for kind, idempotent in (
            ('safe', True),
            ('download', True),
            ('unsafe', False),
            ('upload', False),
            ('new-kind', False),
            (['safe'], False),
            (None, False),
        ):
            document['Routes'][0]['Kind'] = kind
            _, routes, *_ = decode_configuration(json.dumps(document).encode())
            found = [route.idempotent for route in routes.values()]
            self.assertEqual(found, [idempotent], kind)

    def test_priorities(self) -> None:
        """A route without a priority has the highest; low ones are capped."""
        document = json.loads(
            encode_configuration(1, [RouteDocument('a', ('1.2.3.4', 80))]),
        )
        self.assertEqual(_priority(document), 0)
        for stated, expected in ((2, 2), (0, 0), (1000, 255)):
            document['Routes'][0]['Priority'] = stated
            self.assertEqual(_priority(document), expected)
        document['Routes'][0]['Priority'] = 'high'
        with self.assertRaises(DocumentError):
            _priority(document)

    def test_weighted_services(self) -> None:
        """Services are chosen by weight; one of weight 0 gets no flows."""
        document = json.loads(
            encode_configuration(1, [RouteDocument('a', ('1.2.3.4', 80))]),
        )
        route = document['Routes'][0]
        route.pop('Service')
        route['WeightedBackends'] = [
            {'Service': 'a', 'Weight': 90},
            {'Service': 'b', 'Weight': 10},
            {'Service': 'c', 'Weight': 0},
        ]
        _, routes, *_ = decode_configuration(json.dumps(document).encode())
        found = next(iter(routes.values()))
        draws = [found.service_for(draw) for draw in range(1 << 16)]
        self.assertAlmostEqual(draws.count('a') / len(draws), 0.9, places=3)
        self.assertAlmostEqual(draws.count('b') / len(draws), 0.1, places=3)

    def test_invalid_configurations(self) -> None:
        """A configuration with any malformed part is refused."""
        good = json.loads(
            encode_configuration(1, [RouteDocument('a', ('1.2.3.4', 80))]),
        )
        for change in (
            {'Version': '1'},
            {'Routes': {}},
            {'Routes': [3]},
            {'Routes': [{**good['Routes'][0], 'Host': 'nowhere'}]},
            {'Routes': [{**good['Routes'][0], 'Host': '1.2.3.4\0'}]},
            {'Routes': [{**good['Routes'][0], 'Host': '\ud800'}]},
            {'Routes': [{**good['Routes'][0], 'Service': '\ud800'}]},
            {'Routes': [{**good['Routes'][0], 'Prefix': '/x/'}]},
            {'Services': None},
        ):
            raw = json.dumps({**good, **change}).encode()
            with self.subTest(change=change), self.assertRaises(DocumentError):
                decode_configuration(raw)


def _priority(document: dict[str, object]) -> int:
    _, routes, *_ = decode_configuration(json.dumps(document).encode())
    return next(iter(routes.values())).priority
