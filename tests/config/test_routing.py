"""Tests of the rules across the values of a routing configuration."""

import unittest
from dataclasses import replace

from siskinbank.config.routing import (
    Backend,
    LocateField,
    RouteEntry,
    RoutingTable,
    ServiceEntry,
    add_routing_warnings,
    check_version,
    list_routing_changes,
    summarize,
)
from siskinbank.kernel.findings import Findings, Place


def locator(path: str) -> LocateField:
    """Return places in a file whose fields are named like the attributes."""
    return lambda field: Place('new', 1, f'{path}.{field}' if field else path)


def backend(service: str, weight: float = 1) -> Backend:
    """Return a backend at the path ``backend``."""
    return Backend(service, weight, locator('backend'))


ROUTE = RouteEntry(
    '198.18.0.1',
    443,
    (backend('orders'),),
    timeout_ms=2000,
    target_latency_ms=400,
    priority=0,
    kind='safe',
    name='orders',
    locate=locator('first'),
)
SECOND = replace(ROUTE, port=80, locate=locator('second'))
SERVICE = ServiceEntry('orders', 4, 5, '/health', locator('service'))
OTHER = replace(SERVICE, name='reports', locate=locator('other'))
TABLE = RoutingTable(
    7, (ROUTE, SECOND), (SERVICE,), 15000, 255, locator('table')
)

#: Changed routes of the table, its services, and the warnings.
WARNINGS = (
    (
        (ROUTE, replace(SECOND, port=443)),
        (SERVICE,),
        [
            'first: warning: never matches, as second is also for '
            '198.18.0.1:443 and takes precedence; remove one of the two'
        ],
    ),
    (
        (ROUTE,),
        (SERVICE, replace(OTHER, name='orders')),
        [
            "service: warning: has no effect, as other is also named 'orders' "
            'and takes precedence; remove one of the two'
        ],
    ),
    (
        (replace(ROUTE, backends=(backend('orders'), backend('next', 0))),),
        (SERVICE,),
        [
            "backend.weight: warning: weight 0, so 'next' gets no new flows of "
            'the route; remove it, or state a weight above 0'
        ],
    ),
    (
        (replace(ROUTE, backends=(backend('orders', 0), backend('next', 0))),),
        (SERVICE,),
        [
            'first.backends: warning: no service has a weight above 0, so all '
            'new flows are refused; state a weight above 0, or remove the route'
        ],
    ),
    (
        (replace(ROUTE, backends=()),),
        (),
        [
            'first.backends: warning: no service has a weight above 0, so all '
            'new flows are refused; state a weight above 0, or remove the route'
        ],
    ),
    (
        (ROUTE,),
        (SERVICE, OTHER),
        [
            "other.name: warning: no route names 'reports'; remove it, or "
            'correct the name'
        ],
    ),
    (
        (ROUTE,),
        (),
        [
            "backend.service: warning: 'orders' is not among the services, so "
            'its hosts do not warm up; add it to the services, or correct the '
            'name'
        ],
    ),
    (
        (replace(ROUTE, target_latency_ms=2000.5),),
        (SERVICE,),
        [
            'first.target_latency_ms: warning: target latency 2000.5 ms is '
            'above the timeout 2000 ms; at most 2000'
        ],
    ),
    (
        (replace(ROUTE, timeout_ms=15001.0),),
        (SERVICE,),
        [
            'first.timeout_ms: warning: timeout 15001 ms is above the idle '
            'timeout 15000 ms, after which flows end; at most 15000, or a '
            'longer idle timeout'
        ],
    ),
    (
        (replace(ROUTE, priority=256),),
        (SERVICE,),
        [
            'first.priority: warning: priority 256 counts as 255, the lowest '
            'one; at most 255'
        ],
    ),
    (
        (ROUTE,),
        (replace(SERVICE, warm_up_s=0),),
        [
            'service.cold_requests_per_s: warning: a warm-up rate without a '
            'duration; state a duration above 0, or remove the rate'
        ],
    ),
    (
        (ROUTE,),
        (replace(SERVICE, cold_requests_per_s=0),),
        [
            'service.warm_up_s: warning: a warm-up duration without a rate, so '
            'cold hosts are not limited; state a rate above 0, or remove the '
            'duration'
        ],
    ),
)

#: The old and the new table, and the differences.
CHANGES = (
    (TABLE, replace(TABLE, version=8), []),
    (
        TABLE,
        replace(TABLE, routes=(ROUTE,)),
        [
            '- routes.198.18.0.1:80: {"kind": "safe", "name": "orders", '
            '"priority": 0, "services": {"orders": 1}, "target_latency_ms": '
            '400, "timeout_ms": 2000}; open flows of the route may end'
        ],
    ),
    # What is not stated is not printed either.
    (
        TABLE,
        replace(
            TABLE,
            routes=(
                *TABLE.routes,
                replace(
                    ROUTE, port=8, target_latency_ms=None, name='', kind=''
                ),
            ),
        ),
        [
            '+ routes.198.18.0.1:8: {"priority": 0, "services": {"orders": 1}, '
            '"timeout_ms": 2000}'
        ],
    ),
    (
        replace(TABLE, routes=(ROUTE,)),
        TABLE,
        [
            '+ routes.198.18.0.1:80: {"kind": "safe", "name": "orders", '
            '"priority": 0, "services": {"orders": 1}, "target_latency_ms": '
            '400, "timeout_ms": 2000}'
        ],
    ),
    (
        TABLE,
        replace(
            TABLE,
            routes=(
                replace(
                    ROUTE,
                    backends=(backend('orders', 9.0), backend('next', 0.5)),
                    timeout_ms=2500.0,
                    target_latency_ms=None,
                    kind='',
                ),
                SECOND,
            ),
        ),
        [
            '- routes.198.18.0.1:443.kind: "safe"',
            '+ routes.198.18.0.1:443.services.next: 0.5',
            '~ routes.198.18.0.1:443.services.orders: 1 -> 9',
            '- routes.198.18.0.1:443.target_latency_ms: 400',
            '~ routes.198.18.0.1:443.timeout_ms: 2000 -> 2500',
        ],
    ),
    (
        TABLE,
        replace(
            TABLE,
            idle_timeout_ms=None,
            services=(replace(SERVICE, warm_up_s=6.0), OTHER),
        ),
        [
            '- idle_timeout_ms: 15000',
            '~ services.orders.warm_up_s: 5 -> 6',
            '+ services.reports: {"cold_requests_per_s": 4, "health_path": '
            '"/health", "warm_up_s": 5}',
        ],
    ),
    # An overridden route is not in force: only the last one is compared.
    (
        TABLE,
        replace(TABLE, routes=(replace(ROUTE, priority=3), *TABLE.routes)),
        [],
    ),
    (
        TABLE,
        replace(TABLE, routes=(*TABLE.routes, replace(ROUTE, priority=3))),
        ['~ routes.198.18.0.1:443.priority: 0 -> 3'],
    ),
    # A name must not break the line or its encoding.
    (
        TABLE,
        replace(TABLE, services=(SERVICE, replace(OTHER, name='a\n\ud800'))),
        [
            r"+ services.'a\n\ud800': "
            '{"cold_requests_per_s": 4, "health_path": "/health", '
            '"warm_up_s": 5}'
        ],
    ),
)


class TestRouting(unittest.TestCase):
    """Tests of warnings, versions and differences."""

    def test_warnings(self) -> None:
        """Each entry without effect and each contradiction is reported once."""
        for routes, services, expected in WARNINGS:
            with self.subTest(expected):
                warnings = Findings()
                add_routing_warnings(
                    replace(TABLE, routes=routes, services=services), warnings
                )
                self.assertEqual(
                    [str(found) for found in warnings],
                    [f'new:1: {line}' for line in expected],
                )

    def test_sound_tables(self) -> None:
        """Guards against warnings about values at their limits."""
        for table in (
            TABLE,
            replace(TABLE, routes=(), services=()),
            replace(
                TABLE,
                routes=(
                    replace(
                        ROUTE,
                        timeout_ms=15000,
                        target_latency_ms=15000,
                        priority=255,
                    ),
                ),
            ),
            replace(
                TABLE,
                routes=(replace(ROUTE, timeout_ms=99999),),
                idle_timeout_ms=None,
            ),
            replace(
                TABLE,
                services=(
                    replace(SERVICE, cold_requests_per_s=0, warm_up_s=0),
                ),
            ),
        ):
            with self.subTest(table):
                warnings = Findings()
                add_routing_warnings(table, warnings)
                self.assertEqual([str(found) for found in warnings], [])

    def test_versions(self) -> None:
        """Guards against a version that processes ignore."""
        for version, in_force, expected in (
            (7, 6, ''),
            (9, 6, ''),
            (1, None, ''),
            (7, 7, 'version 7 is not above 7'),
            (6, 7, 'version 6 is not above 7'),
            (0, None, 'version 0 is not above 0'),
        ):
            with self.subTest(version=version, in_force=in_force):
                old = None
                if in_force is not None:
                    old = replace(TABLE, version=in_force)
                findings = Findings()
                check_version(replace(TABLE, version=version), old, findings)
                lines = [str(found) for found in findings]
                self.assertEqual(len(lines), bool(expected))
                if expected:
                    self.assertTrue(
                        lines[0].startswith(f'new:1: table.version: {expected}')
                    )

    def test_changes(self) -> None:
        """Only values in force that differ are listed."""
        for old, new, expected in CHANGES:
            with self.subTest(expected):
                self.assertEqual(list_routing_changes(old, new), expected)

    def test_summary(self) -> None:
        """Overridden entries are not counted."""
        table = replace(TABLE, routes=(ROUTE, ROUTE, SECOND))
        self.assertEqual(summarize(table), 'version 7: 2 routes, 1 services')
