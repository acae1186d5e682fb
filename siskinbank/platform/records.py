"""What hosts and operators write into the platform's store, decoded."""

from __future__ import annotations

from _socket import AF_INET, inet_pton

from siskinbank.platform.documents import (
    Unreadable,
    decode,
    number_in,
    text_in,
    whole_in,
)

__all__ = (
    'HostRecord',
    'Route',
    'Warmth',
    'decode_configuration',
    'decode_host',
)

_MS = 1000
# Steps in which the share of a weighted service is drawn.
_DRAWS = 1 << 16
_MAX_PORT = 65535
# More slots than this are not counted.
_MOST_SLOTS = 65535
# For a route that states no time limit: the shortest of the users' requests.
_DEFAULT_LIMIT_MS = 1500


class HostRecord:
    """A host's own entry in the store.

    Attributes:
        service: the service that it says it belongs to.
        ip: its address; its sidecar has the same one.
        data_centre: where it stands.
        slots: requests that it works on at a time.
        draining: it is leaving and takes no new work.
        cold_s: for how much longer it is cold, in seconds at the time of the
            read.
        born_ms: the time of its start, which tells one life from the next.
    """

    __slots__ = (
        'born_ms',
        'cold_s',
        'data_centre',
        'draining',
        'ip',
        'service',
        'slots',
    )

    def __init__(self, document: dict[str, object]) -> None:
        """Decode an entry.

        Raises:
            Unreadable: the entry names no host to use.
        """
        self.service = text_in(document, 'Service')
        self.ip = _host_ip(text_in(document, 'Address'))
        self.data_centre = text_in(document, 'Zone')
        self.slots = min(max(1, whole_in(document, 'Slots')), _MOST_SLOTS)
        state = text_in(document, 'State')
        if state not in {'ready', 'draining'}:
            raise Unreadable(f'State {state!r} is unknown')
        self.draining = state == 'draining'
        # The rest of the cold time, not a time of day.
        self.cold_s = number_in(document, 'WarmupLeftMs', 0) / _MS
        self.born_ms = whole_in(document, 'born') if 'born' in document else 0


class Route:
    """Where new flows to one address go.

    Attributes:
        shares: the services that take new flows, each with its weight above 0.
        repeatable: whether a request may run more than once.
        aim_s: latency that users expect.
        limit_s: time after which a request's answer is of no use.
    """

    __slots__ = ('aim_s', 'limit_s', 'repeatable', 'shares')

    def __init__(
        self,
        shares: tuple[tuple[str, float], ...],
        repeatable: bool,
        aim_s: float,
        limit_s: float,
    ) -> None:
        """Name the services and describe the requests inside."""
        self.shares = shares
        self.repeatable = repeatable
        self.aim_s = aim_s
        self.limit_s = limit_s

    def service_for(self, draw: int) -> str:
        """Return the service of a new flow; there must be shares.

        Args:
            draw: a number drawn from the flow's key, so that all copies of a
                flow's first packet go to one service.
        """
        total = sum(weight for _, weight in self.shares)
        point = draw % _DRAWS / _DRAWS * total
        for service, weight in self.shares:
            point -= weight
            if point < 0:
                return service
        return self.shares[-1][0]


class Warmth:
    """How a service's hosts bear a cold start.

    Attributes:
        per_s: requests a second that a cold host bears.
        cold_s: how long a host is cold after its start.
    """

    __slots__ = ('cold_s', 'per_s')

    def __init__(self, per_s: float, cold_s: float) -> None:
        """Set both figures."""
        self.per_s = per_s
        self.cold_s = cold_s


def decode_host(raw: bytes) -> HostRecord:
    """Decode the entry of a host.

    Raises:
        Unreadable: the bytes name no host to use.
    """
    return HostRecord(decode(raw))


def decode_configuration(
    raw: bytes,
) -> tuple[int, dict[bytes, Route], dict[str, Warmth]]:
    """Decode the operator's configuration.

    Returns:
        The version, the routes by address and port (4 + 2 bytes, as in a
        flow's key), and the services by name.

    Raises:
        Unreadable: the configuration is not whole; none of it holds.
    """
    document = decode(raw)
    version = whole_in(document, 'Version')
    routes = dict(_route(route) for route in _rows(document, 'Routes'))
    services = dict(_warmth(service) for service in _rows(document, 'Services'))
    return version, routes, services


def _rows(document: dict[str, object], name: str) -> list[dict[str, object]]:
    found = document.get(name)
    if not isinstance(found, list):
        raise Unreadable(f'{name} is no list')
    for row in found:
        if not isinstance(row, dict):
            raise Unreadable(f'{name} holds no tables')
    return found


def _route(document: dict[str, object]) -> tuple[bytes, Route]:
    # `Host` is the service's address and `Prefix` its port between slashes.
    port = text_in(document, 'Prefix').strip('/')
    if not port.isdigit() or int(port) > _MAX_PORT:
        raise Unreadable(f'Prefix {port!r} holds no port')
    address = _packed(text_in(document, 'Host'))
    limit_ms = number_in(document, 'TimeoutMs', _DEFAULT_LIMIT_MS)
    route = Route(
        _shares(document),
        document.get('Kind') == 'safe',
        number_in(document, 'TargetLatencyMs', limit_ms) / _MS,
        limit_ms / _MS,
    )
    return address + int(port).to_bytes(2, 'big'), route


def _shares(document: dict[str, object]) -> tuple[tuple[str, float], ...]:
    if 'Service' in document:
        return ((text_in(document, 'Service'), 1.0),)
    rows = _rows(document, 'WeightedBackends')
    pairs = (
        (text_in(row, 'Service'), number_in(row, 'Weight', 0)) for row in rows
    )
    return tuple((service, weight) for service, weight in pairs if weight > 0)


def _warmth(document: dict[str, object]) -> tuple[str, Warmth]:
    warmth = Warmth(
        number_in(document, 'WarmupPerS', 0),
        number_in(document, 'WarmupS', 0),
    )
    return text_in(document, 'Name'), warmth


def _host_ip(address: str) -> str:
    ip, _, port = address.rpartition(':')
    if not port.isdigit():
        raise Unreadable(f'Address {address!r} has no port')
    _packed(ip)
    return ip


def _packed(ip: str) -> bytes:
    try:
        return inet_pton(AF_INET, ip)
    except OSError:
        raise Unreadable(f'{ip!r} is no address') from None
