"""Decoding of host records and the operator's configuration in the store."""

from __future__ import annotations

from _socket import AF_INET, inet_pton

from siskinbank.platform.documents import (
    DocumentError,
    decode,
    integer_field,
    number_field,
    object_rows,
    port_number,
    split_address,
    text_field,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = (
    'DEFAULT_TIMEOUT_MS',
    'MAX_PRIORITY',
    'HostRecord',
    'Route',
    'WarmUp',
    'decode_configuration',
    'decode_host',
    'pack_ip',
    'route_port',
    'weighted_service',
)

_MS = 1000
# Default of a number that must be stated.
_REQUIRED = -1
# Resolution of the weighted choice of a service.
_WEIGHT_STEPS = 0x10000
# Higher slot counts are capped at this value.
_MAX_SLOTS = 65535
# Lower priorities (higher numbers) are treated as this one: messages hold one
# byte.
MAX_PRIORITY = 255
# Kinds of routes whose requests may run more than once. All others, unknown
# ones too, may run once at most.
_IDEMPOTENT_KINDS = ('safe', 'download')
# Used for routes without a time limit: the shortest time limit that users set
# for their requests.
DEFAULT_TIMEOUT_MS = 1500


class HostRecord:
    """The record that a host writes to the store about itself.

    Attributes:
        service: the service that the host belongs to.
        ip: the host's IP address; its sidecar has the same one.
        data_centre: data centre of the host.
        slots: number of requests that the host processes concurrently.
        draining: whether the host is leaving and accepts no new requests.
        cold_s: remaining warm-up time when the record was read, in seconds.
        born_ms: start time of the host in milliseconds, which distinguishes
            its incarnations, 0 if unknown.
        sequence: number of the heartbeat, within its incarnation, with which the
            host last changed anything else in the record.
    """

    __slots__ = (
        'born_ms',
        'cold_s',
        'data_centre',
        'draining',
        'ip',
        'sequence',
        'service',
        'slots',
    )

    def __init__(self, document: dict[str, object]) -> None:
        """Initialize the record from a decoded document.

        Raises:
            DocumentError: the document does not describe a usable host.
        """
        self.service = text_field(document, 'Service')
        self.ip = split_address(text_field(document, 'Address'))[0]
        self.data_centre = text_field(document, 'Zone')
        self.slots = min(max(1, integer_field(document, 'Slots')), _MAX_SLOTS)
        state = text_field(document, 'State')
        if state not in {'ready', 'draining'}:
            raise DocumentError(
                f'State {state!r} is unknown, expected ready or draining'
            )
        self.draining = state == 'draining'
        # Hosts write these, too. Without them another client of the store has
        # written the document, which may have copied the rest.
        text_field(document, 'Version')
        self.sequence = integer_field(document, 'Sequence')
        # A remaining duration, not a timestamp.
        self.cold_s = number_field(document, 'WarmupLeftMs', _REQUIRED) / _MS
        self.born_ms = (
            integer_field(document, 'born') if 'born' in document else 0
        )

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Order among the records of one address; the highest one counts.

        The latest incarnation comes first. Within one, the sequence rises with
        each change, and a host never returns from draining: a copy of its record
        is as old as the time when it was made.
        """
        return self.born_ms, self.sequence, self.draining

    def is_outdated_by(self, known: HostRecord) -> bool:
        """Return whether this is a copy of an earlier record than a known one.

        Args:
            known: a record of the same address that was read before.
        """
        if not known.born_ms:
            return False
        if self.born_ms == known.born_ms:
            return self.sequence < known.sequence
        return not self.born_ms


class Route:
    """The services and time limits for new flows to one address.

    Attributes:
        shares: the services that receive new flows, each with its weight
            above 0.
        idempotent: whether requests may run more than once.
        target_latency_s: target latency in seconds.
        timeout_s: time in seconds after which a response is of no use to the
            client.
        priority: priority of requests, 0 is the highest.
    """

    __slots__ = (
        'idempotent',
        'priority',
        'shares',
        'target_latency_s',
        'timeout_s',
    )

    def __init__(
        self,
        shares: tuple[tuple[str, float], ...],
        idempotent: bool,
        target_latency_s: float,
        timeout_s: float,
        priority: int = 0,
    ) -> None:
        """Create a route."""
        self.shares = shares
        self.idempotent = idempotent
        self.target_latency_s = target_latency_s
        self.timeout_s = timeout_s
        self.priority = priority

    def service_for(self, flow_hash: int) -> str:
        """Return the service of a new flow; ``shares`` must not be empty.

        Args:
            flow_hash: a hash of the flow key, which is the same in all copies
                of a flow's first packet, so that they go to one service.
        """
        return weighted_service(self.shares, flow_hash)


class WarmUp:
    """Warm-up settings of the hosts of one service.

    Attributes:
        cold_requests_per_s: requests per second that a cold host can process.
        duration_s: duration of the warm-up after a start, in seconds.
    """

    __slots__ = ('cold_requests_per_s', 'duration_s')

    def __init__(self, cold_requests_per_s: float, duration_s: float) -> None:
        """Create warm-up settings."""
        self.cold_requests_per_s = cold_requests_per_s
        self.duration_s = duration_s


def weighted_service(
    shares: Sequence[tuple[str, float]], flow_hash: int
) -> str:
    """Return a service in proportion to the weights.

    Args:
        shares: the services, each with its weight above 0; not empty.
        flow_hash: a hash of the flow key, of which the lower 16 bits count.
    """
    total = sum(weight for _, weight in shares)
    point = flow_hash % _WEIGHT_STEPS / _WEIGHT_STEPS * total
    for service, weight in shares:
        point -= weight
        if point < 0:
            return service
    return shares[-1][0]


def decode_host(raw: bytes) -> HostRecord:
    """Decode the record of a host.

    Raises:
        DocumentError: the bytes do not describe a usable host.
    """
    return HostRecord(decode(raw))


def decode_configuration(
    raw: bytes,
) -> tuple[int, dict[bytes, Route], dict[str, WarmUp], float | None]:
    """Decode the operator's configuration.

    Returns:
        The version, the routes by address and port (4 + 2 bytes, as in a flow
        key), the warm-up settings by service name, and the time in seconds
        after which hosts may discard idle flows, None if it is not stated.

    Raises:
        DocumentError: the configuration is incomplete or malformed; no part
            of it is returned.
    """
    document = decode(raw)
    version = integer_field(document, 'Version')
    routes = dict(
        _parse_route(route) for route in object_rows(document, 'Routes')
    )
    services = dict(
        _parse_warm_up(service) for service in object_rows(document, 'Services')
    )
    return version, routes, services, _idle_timeout_s(document)


def route_port(prefix: str) -> int:
    """Return the port of a route, which is stated between slashes.

    Raises:
        DocumentError: the text is not a port.
    """
    return port_number(prefix.strip('/'))


def pack_ip(ip: str) -> bytes:
    """Return the 4 bytes of an IPv4 address.

    Raises:
        DocumentError: the text is not an IPv4 address.
    """
    try:
        return inet_pton(AF_INET, ip)
    except (OSError, ValueError):
        # ValueError: a null character or a character outside of Unicode.
        raise DocumentError(f'{ip!r} is not an IPv4 address') from None


def _idle_timeout_s(document: dict[str, object]) -> float | None:
    """Return the time in seconds after which hosts may discard idle flows.

    Returns:
        None if the configuration states no number. Its routes are of use
        nevertheless.
    """
    limits = document.get('Limits')
    if not isinstance(limits, dict) or 'IdleTimeoutMs' not in limits:
        return None
    try:
        return number_field(limits, 'IdleTimeoutMs', 0) / _MS
    except DocumentError:
        # Shown by the line that the process logs of each configuration.
        return None


def _parse_route(document: dict[str, object]) -> tuple[bytes, Route]:
    # `Host` is the service's address, `Prefix` its port between slashes.
    port = route_port(text_field(document, 'Prefix'))
    address = pack_ip(text_field(document, 'Host'))
    timeout_ms = number_field(document, 'TimeoutMs', DEFAULT_TIMEOUT_MS)
    route = Route(
        _shares(document),
        document.get('Kind') in _IDEMPOTENT_KINDS,
        number_field(document, 'TargetLatencyMs', timeout_ms) / _MS,
        timeout_ms / _MS,
        min(int(number_field(document, 'Priority', 0)), MAX_PRIORITY),
    )
    return address + port.to_bytes(2, 'big'), route


def _shares(document: dict[str, object]) -> tuple[tuple[str, float], ...]:
    if 'Service' in document:
        return ((text_field(document, 'Service'), 1.0),)
    rows = object_rows(document, 'WeightedBackends')
    pairs = (
        (text_field(row, 'Service'), number_field(row, 'Weight', 0))
        for row in rows
    )
    return tuple((service, weight) for service, weight in pairs if weight > 0)


def _parse_warm_up(document: dict[str, object]) -> tuple[str, WarmUp]:
    warm_up = WarmUp(
        number_field(document, 'WarmupPerS', 0),
        number_field(document, 'WarmupS', 0),
    )
    return text_field(document, 'Name'), warm_up
