"""Process settings from command line options and the environment."""

from dataclasses import dataclass, field

from siskinbank.wire.keys import KeyRing

__all__ = ('EntrySettings', 'ProcessSettings', 'SidecarSettings')

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings of every process.

    Attributes:
        name: the name of the instance.
        data_centre: the data centre of the instance.
        bind: the UDP and TCP address for other processes.
        admin: the address of the status and metrics endpoint.
        platform: the URL of the configuration service.
        keys: the keys of the fleet.
        peers: the peers that are contacted first.
    """

    name: str
    data_centre: str
    bind: Address
    admin: Address
    platform: str
    keys: KeyRing
    peers: tuple[Address, ...] = field(default=(), kw_only=True)


@dataclass(frozen=True, slots=True)
class EntrySettings(ProcessSettings):
    """Settings of ``siskinbank entry``.

    Attributes:
        fou: the UDP address for IP-in-UDP packets; None to disable it.
        listen: the IP address for services that do not set one.
    """

    fou: Address | None
    listen: str


@dataclass(frozen=True, slots=True)
class SidecarSettings(ProcessSettings):
    """Settings of ``siskinbank sidecar``; an unset upstream address is None.

    Attributes:
        upstream_packets: the address for IP-in-UDP packets.
        upstream_tcp: the address for TCP connections.
        upstream_http: the base URL for requests.
        upstream_health: the URL of the health or load report.
    """

    upstream_packets: Address | None
    upstream_tcp: Address | None
    upstream_http: str | None
    upstream_health: str | None = None
