"""Process settings, as given in flags and environment variables."""

from dataclasses import dataclass, field

from siskinbank.wire.keys import KeyRing

__all__ = ('EntrySettings', 'ProcessSettings', 'SidecarSettings')

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What every process of the system is told at start."""

    name: str
    data_centre: str
    bind: Address
    admin: Address
    platform: str
    keys: KeyRing
    peers: tuple[Address, ...] = field(default=(), kw_only=True)


@dataclass(frozen=True, slots=True)
class EntrySettings(ProcessSettings):
    """Settings of ``siskinbank entry``; ``fou`` is None to switch it off."""

    fou: Address | None
    listen: str


@dataclass(frozen=True, slots=True)
class SidecarSettings(ProcessSettings):
    """Settings of ``siskinbank sidecar``."""

    upstream_packets: Address | None
    upstream_tcp: Address | None
    upstream_http: str | None
    upstream_health: str | None = None
