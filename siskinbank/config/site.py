"""The configuration in force, as frozen data classes."""

import enum
import functools
from dataclasses import dataclass, field

from siskinbank.util import digest64

__all__ = (
    'Address',
    'CentreState',
    'Cold',
    'DataCentre',
    'Endpoint',
    'Host',
    'HostState',
    'Service',
    'Site',
)

#: An IP number and a port.
Address = tuple[str, int]


class HostState(enum.StrEnum):
    """Whether a host takes new work."""

    active = 'active'
    draining = 'draining'


class CentreState(enum.StrEnum):
    """Whether a data centre is in service."""

    inside = 'in'
    out = 'out'


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre of the site."""

    name: str
    region: str
    state: CentreState = CentreState.inside


@dataclass(frozen=True, slots=True)
class Host:
    """One upstream and the sidecar beside it."""

    name: str
    data_centre: str
    address: Address
    weight: float = 1
    state: HostState = HostState.active

    @property
    def seed(self) -> int:
        """The host's 64-bit seed for ranking."""
        return digest64(self.name)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where callers reach a service through one ingress."""

    ingress: str
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class Cold:
    """What a host bears right after it started."""

    connections: int
    slots: int
    warm_up_seconds: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the pool behind it."""

    name: str
    endpoints: tuple[Endpoint, ...]
    connections: int
    slots: int
    cold: Cold
    hosts: tuple[Host, ...]

    @property
    def ident(self) -> int:
        """The 64-bit number that packets carry for the service."""
        return digest64(self.name)


@dataclass(frozen=True)
class Site:
    """All that is in force at one generation."""

    name: str
    generation: int
    data_centres: dict[str, DataCentre]
    services: dict[str, Service]
    digests: dict[str, str] = field(default_factory=dict)

    @functools.cached_property
    def by_ident(self) -> dict[int, Service]:
        """The services by the number that packets carry."""
        return {service.ident: service for service in self.services.values()}

    def is_out(self, host: Host) -> bool:
        """Whether the host's data centre is out of service."""
        centre = self.data_centres[host.data_centre]
        return centre.state is CentreState.out

    def takes_work(self, host: Host) -> bool:
        """Whether the host may get new work."""
        return host.state is HostState.active and not self.is_out(host)

    def find_host(self, name: str) -> tuple[Service, Host] | None:
        """Return a host and its service by the host's name."""
        for service in self.services.values():
            for host in service.hosts:
                if host.name == name:
                    return service, host
        return None
