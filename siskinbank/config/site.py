"""Immutable data classes for the configuration in force."""

import enum
import functools
from dataclasses import dataclass, field

from siskinbank.util import name_digest

__all__ = (
    'Address',
    'CentreState',
    'ColdLimits',
    'DataCentre',
    'Endpoint',
    'Host',
    'HostState',
    'Service',
    'Site',
)

#: An IP address and a port.
Address = tuple[str, int]


class HostState(enum.StrEnum):
    """The service state of a host; only active hosts get new work."""

    active = 'active'
    draining = 'draining'


class CentreState(enum.StrEnum):
    """The service state of a data centre."""

    in_service = 'in'
    out = 'out'


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre of the site."""

    name: str
    region: str
    state: CentreState = CentreState.in_service


@dataclass(frozen=True, slots=True)
class Host:
    """An upstream and its sidecar."""

    name: str
    data_centre: str
    address: Address
    weight: float = 1
    state: HostState = HostState.active

    @property
    def seed(self) -> int:
        """The host's 64-bit seed for ranking."""
        return name_digest(self.name)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The address of a service at one ingress."""

    ingress: str
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """The limits of a host right after its start, and its warm-up time."""

    connections: int
    slots: int
    warm_up_seconds: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service and its pool of hosts.

    Attributes:
        name: the name of the service.
        endpoints: the addresses of the service, one for each ingress.
        connections: the full limit of connections and flows of each host.
        slots: the full limit of concurrent requests of each host.
        cold: the limits right after the start of a host.
        hosts: the hosts that serve the service.
    """

    name: str
    endpoints: tuple[Endpoint, ...]
    connections: int
    slots: int
    cold: ColdLimits
    hosts: tuple[Host, ...]

    @property
    def ident(self) -> int:
        """The 64-bit number that identifies the service in packets."""
        return name_digest(self.name)


@dataclass(frozen=True)
class Site:
    """The configuration of a site at one generation.

    Attributes:
        name: the name of the site.
        generation: the generation number of the configuration.
        data_centres: the data centres by name.
        services: the services by name.
        digests: the hexadecimal digests of the sections by section name.
    """

    name: str
    generation: int
    data_centres: dict[str, DataCentre]
    services: dict[str, Service]
    digests: dict[str, str] = field(default_factory=dict)

    @functools.cached_property
    def by_ident(self) -> dict[int, Service]:
        """The services by their number in packets."""
        return {service.ident: service for service in self.services.values()}

    def is_out(self, host: Host) -> bool:
        """Return whether the host's data centre is out of service."""
        centre = self.data_centres[host.data_centre]
        return centre.state is CentreState.out

    def accepts_work(self, host: Host) -> bool:
        """Return whether the host may receive new work."""
        return host.state is HostState.active and not self.is_out(host)

    def find_host(self, name: str) -> tuple[Service, Host] | None:
        """Return the host with this name and its service, or None."""
        for service in self.services.values():
            for host in service.hosts:
                if host.name == name:
                    return service, host
        return None
