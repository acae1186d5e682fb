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
    """Settings of ``siskinbank entry``; ``fou`` is None to disable it."""

    fou: Address | None
    listen: str


@dataclass(frozen=True, slots=True)
class SidecarSettings(ProcessSettings):
    """Settings of ``siskinbank sidecar``."""

    upstream_packets: Address | None
    upstream_tcp: Address | None
    upstream_http: str | None
    upstream_health: str | None = None
