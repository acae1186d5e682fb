"""Check routing configurations and list their differences.

The types hold a routing configuration in this project's terms;
``siskinbank/platform/routing_document.py`` reads them from the platform's
document. A valid configuration is served as it says, so entries that have no
effect or contradict others are warnings. A process doesn't look for them.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from siskinbank.config.changes import list_value_changes
from siskinbank.kernel.findings import Findings, Place

__all__ = (
    'Backend',
    'LocateField',
    'RouteEntry',
    'RoutingTable',
    'ServiceEntry',
    'add_routing_warnings',
    'check_version',
    'list_routing_changes',
    'summarize',
)

#: Returns the place of a field of an entry, of the entry itself for ''. A field
#: is named like the attribute that holds its value.
LocateField = Callable[[str], Place]


@dataclass(frozen=True, slots=True)
class Backend:
    """A service of a route, with its share of the route's new flows."""

    service: str
    weight: float
    locate: LocateField


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route as it is stated.

    Attributes:
        address: IPv4 address of the route.
        port: port of the route.
        backends: the services, also those with weight 0.
        timeout_ms: time limit in milliseconds, the default if none is stated.
        target_latency_ms: target latency in milliseconds, None if none is
            stated.
        priority: the priority, 0 is the highest; not capped.
        kind: the kind of the requests, empty if unknown.
        name: the name of the route, empty if it has none.
        locate: returns the place of a field.
    """

    address: str
    port: int
    backends: tuple[Backend, ...]
    timeout_ms: float
    target_latency_ms: float | None
    priority: int
    kind: str
    name: str
    locate: LocateField

    @property
    def key(self) -> str:
        """The address and port, by which packets are matched."""
        return f'{self.address}:{self.port}'


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """The warm-up of a service's hosts.

    Attributes:
        name: the name of the service.
        cold_requests_per_s: requests a second that a cold host processes.
        warm_up_s: duration of the warm-up in seconds.
        health_path: path of the health check, empty if none is stated.
        locate: returns the place of a field.
    """

    name: str
    cold_requests_per_s: float
    warm_up_s: float
    health_path: str
    locate: LocateField


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """A routing configuration with all its entries in their order.

    Attributes:
        version: the version.
        routes: the routes; of several for one address and port, the last one
            is in force.
        services: the services; of several with one name, the last one is in
            force.
        idle_timeout_ms: time in milliseconds after which idle flows end, None
            if none is stated.
        max_priority: the largest priority that processes distinguish; larger
            ones count as this one.
        locate: returns the place of a field.
    """

    version: int
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    idle_timeout_ms: float | None
    max_priority: int
    locate: LocateField


#: Place, problem and correction.
_Warning = tuple[Place, str, str]


def check_version(
    table: RoutingTable,
    in_force: RoutingTable | None,
    findings: Findings,
) -> None:
    """Add a finding if processes would ignore a version as outdated.

    Args:
        table: the configuration to be sent.
        in_force: the configuration in force, or None if it is unknown;
            processes without a configuration are at version 0.
        findings: collects the problem.
    """
    current = in_force.version if in_force else 0
    if table.version <= current:
        findings.add(
            table.locate('version'),
            f'version {table.version} is not above {current}, which processes '
            'already have',
            f'state {current + 1} or more',
        )


def add_routing_warnings(table: RoutingTable, warnings: Findings) -> None:
    """Add a warning for each entry without effect or contradicting another."""
    for place, problem, correction in (
        *_overridden_routes(table),
        *_overridden_services(table),
        *_backend_warnings(table),
        *_unused_services(table),
        *_limit_warnings(table),
        *_warm_up_warnings(table),
    ):
        warnings.add(place, f'warning: {problem}', correction)


def list_routing_changes(old: RoutingTable, new: RoutingTable) -> list[str]:
    """Return one line for each value in force that differs.

    The lines have the form of ``list_changes``. Versions are not compared, as
    they always differ.
    """
    removed = _routes_in_force(old).keys() - _routes_in_force(new).keys()
    prefixes = tuple(f'- routes.{key}: ' for key in removed)
    return [
        f'{line}; open flows of the route may end'
        if line.startswith(prefixes)
        else line
        for line in list_value_changes(_describe(old), _describe(new))
    ]


def summarize(table: RoutingTable) -> str:
    """Return the version and the number of entries in force."""
    routes = len(_routes_in_force(table))
    services = len(_services_in_force(table))
    return f'version {table.version}: {routes} routes, {services} services'


def _routes_in_force(table: RoutingTable) -> dict[str, RouteEntry]:
    return {route.key: route for route in table.routes}


def _services_in_force(table: RoutingTable) -> dict[str, ServiceEntry]:
    return {service.name: service for service in table.services}


def _overridden_routes(table: RoutingTable) -> Iterator[_Warning]:
    in_force = _routes_in_force(table)
    for route in table.routes:
        last = in_force[route.key]
        yield from _overridden(route, last, 'never matches', f'for {route.key}')


def _overridden_services(table: RoutingTable) -> Iterator[_Warning]:
    in_force = _services_in_force(table)
    for service in table.services:
        last = in_force[service.name]
        yield from _overridden(
            service, last, 'has no effect', f'named {service.name!r}'
        )


def _overridden(
    entry: RouteEntry | ServiceEntry,
    last: RouteEntry | ServiceEntry,
    problem: str,
    shared: str,
) -> Iterator[_Warning]:
    """Warn of an entry unless it is the last one of those that share a key."""
    if last is not entry:
        yield (
            entry.locate(''),
            f'{problem}, as {last.locate("").path} is also {shared} and takes '
            'precedence',
            'remove one of the two',
        )


def _backend_warnings(table: RoutingTable) -> Iterator[_Warning]:
    known = _services_in_force(table)
    for route in table.routes:
        if not any(backend.weight for backend in route.backends):
            yield (
                route.locate('backends'),
                'no service has a weight above 0, so all new flows are refused',
                'state a weight above 0, or remove the route',
            )
            continue
        for backend in route.backends:
            if not backend.weight:
                yield (
                    backend.locate('weight'),
                    f'weight 0, so {backend.service!r} gets no new flows of '
                    'the route',
                    'remove it, or state a weight above 0',
                )
            elif backend.service not in known:
                yield (
                    backend.locate('service'),
                    f'{backend.service!r} is not among the services, so its '
                    'hosts do not warm up',
                    'add it to the services, or correct the name',
                )


def _unused_services(table: RoutingTable) -> Iterator[_Warning]:
    named = {
        backend.service for route in table.routes for backend in route.backends
    }
    for service in table.services:
        if service.name not in named:
            yield (
                service.locate('name'),
                f'no route names {service.name!r}',
                'remove it, or correct the name',
            )


def _limit_warnings(table: RoutingTable) -> Iterator[_Warning]:
    idle_ms = table.idle_timeout_ms
    for route in table.routes:
        timeout = _plain(route.timeout_ms)
        target_ms = route.target_latency_ms
        if target_ms is not None and target_ms > route.timeout_ms:
            yield (
                route.locate('target_latency_ms'),
                f'target latency {_plain(target_ms)} ms is above the timeout '
                f'{timeout} ms',
                f'at most {timeout}',
            )
        if idle_ms is not None and route.timeout_ms > idle_ms:
            yield (
                route.locate('timeout_ms'),
                f'timeout {timeout} ms is above the idle timeout '
                f'{_plain(idle_ms)} ms, after which flows end',
                f'at most {_plain(idle_ms)}, or a longer idle timeout',
            )
        if route.priority > table.max_priority:
            yield (
                route.locate('priority'),
                f'priority {route.priority} counts as {table.max_priority}, '
                'the lowest one',
                f'at most {table.max_priority}',
            )


def _warm_up_warnings(table: RoutingTable) -> Iterator[_Warning]:
    for service in table.services:
        if service.cold_requests_per_s and not service.warm_up_s:
            yield (
                service.locate('cold_requests_per_s'),
                'a warm-up rate without a duration',
                'state a duration above 0, or remove the rate',
            )
        elif service.warm_up_s and not service.cold_requests_per_s:
            yield (
                service.locate('warm_up_s'),
                'a warm-up duration without a rate, so cold hosts are not '
                'limited',
                'state a rate above 0, or remove the duration',
            )


def _describe(table: RoutingTable) -> dict[str, Any]:
    """Return the values in force, as they are compared and printed."""
    return _stated(
        idle_timeout_ms=_plain(table.idle_timeout_ms),
        routes={
            key: _describe_route(route)
            for key, route in _routes_in_force(table).items()
        },
        services={
            _printable(name): _stated(
                cold_requests_per_s=_plain(service.cold_requests_per_s),
                health_path=service.health_path or None,
                warm_up_s=_plain(service.warm_up_s),
            )
            for name, service in _services_in_force(table).items()
        },
    )


def _describe_route(route: RouteEntry) -> dict[str, Any]:
    weights: Counter[str] = Counter()
    for backend in route.backends:
        weights[_printable(backend.service)] += _plain(backend.weight)
    return _stated(
        kind=route.kind or None,
        name=route.name or None,
        priority=route.priority,
        services=dict(weights),
        target_latency_ms=_plain(route.target_latency_ms),
        timeout_ms=_plain(route.timeout_ms),
    )


def _stated(**fields: Any) -> dict[str, Any]:
    """Return the fields that have a value."""
    return {name: value for name, value in fields.items() if value is not None}


def _plain(number: float | None) -> Any:
    """Return a number without a fraction as an integer, which prints as such."""
    if number is None or not float(number).is_integer():
        return number
    return int(number)


def _printable(name: str) -> str:
    """Return a name that may be part of a line."""
    return name if name.isprintable() else ascii(name)
